// Package workerapi holds the paths and documents of the HTTP interface
// between entry hosts and workers.
package workerapi

// The paths of the interface.
const (
	PathLeases  = "/v1/leases"
	PathStarts  = "/v1/starts"
	PathResults = "/v1/results"
	PathStops   = "/v1/stops"
	PathTasks   = "/v1/tasks"
)

// LeaseCall asks for a lease, or renews the one with the same holder.
type LeaseCall struct {
	// Holder is the incarnation of the entry host.
	Holder string `json:"holder"`
	// TTLMs is how long the lease holds, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
}

// Lease is granted by a worker to one holder. Starts under a lapsed lease are
// refused.
type Lease struct {
	Worker string `json:"worker"`
	Holder string `json:"holder"`
	// Epoch grows with each lease after a lapse.
	Epoch int64 `json:"epoch"`
	TTLMs int64 `json:"ttl_ms"`
	// Cores, MemoryMB and Accelerators are the worker's capacity.
	Cores        int `json:"cores"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators"`
	// UsedCores and UsedMemoryMB are the worker's usage as last measured.
	UsedCores    int `json:"used_cores"`
	UsedMemoryMB int `json:"used_memory_mb"`
}

// Start is one task to start.
type Start struct {
	Submission   string `json:"submission"`
	Task         string `json:"task"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators,omitempty"`
	Payload      []byte `json:"payload,omitempty"`
}

// StartCall starts tasks under a lease.
type StartCall struct {
	Holder string  `json:"holder"`
	Epoch  int64   `json:"epoch"`
	Tasks  []Start `json:"tasks"`
}

// Verdict is the worker's answer to one start.
type Verdict string

// The verdicts. Every verdict but Started proves that the task did not start.
const (
	Started      Verdict = "started"
	RefusedRoom  Verdict = "no_room"
	RefusedLease Verdict = "lease_lapsed"
	RefusedTwice Verdict = "already_started"
	RefusedLeave Verdict = "leaving"
)

// StartReply holds one verdict a task, in the order of the call.
type StartReply struct {
	Verdicts []Verdict `json:"verdicts"`
}

// TaskState is where a task stands on a worker.
type TaskState string

// The task states.
const (
	TaskNeverSeen TaskState = "never_seen"
	TaskRunning   TaskState = "running"
	TaskDone      TaskState = "done"
	TaskFailed    TaskState = "failed"
	TaskStopped   TaskState = "stopped"
)

// Result is the end of one task.
type Result struct {
	Seq        int64     `json:"seq"`
	Submission string    `json:"submission"`
	Task       string    `json:"task"`
	State      TaskState `json:"state"`
	Output     []byte    `json:"output,omitempty"`
	Error      string    `json:"error,omitempty"`
	RunMs      int64     `json:"run_ms"`
}

// Results is a page of ended tasks of one holder.
type Results struct {
	Results []Result `json:"results"`
}

// StopCall stops tasks.
type StopCall struct {
	Holder     string   `json:"holder"`
	Submission string   `json:"submission"`
	Tasks      []string `json:"tasks"`
}

// StopReply holds each task's state after the call, in the order of the call.
type StopReply struct {
	States []TaskState `json:"states"`
}
