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
	// Reserve keeps room from other holders, as long as the lease holds and
	// until the holder's next start or lease call. It is counted as used in what
	// others are told.
	Reserve Usage `json:"reserve,omitzero"`
}

// Usage is a worker's use as last measured, over all holders.
type Usage struct {
	Cores        int `json:"cores"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Lease is granted by a worker to one holder. Starts under a lapsed lease are
// refused.
type Lease struct {
	Worker string `json:"worker"`
	// Instance names one start of the worker's process. What another instance
	// ran is not known to this one.
	Instance string `json:"instance"`
	Holder   string `json:"holder"`
	// Epoch grows with each lease after a lapse.
	Epoch int64 `json:"epoch"`
	TTLMs int64 `json:"ttl_ms"`
	// Cores, MemoryMB and Accelerators are the worker's capacity.
	Cores        int   `json:"cores"`
	MemoryMB     int   `json:"memory_mb"`
	Accelerators int   `json:"accelerators"`
	Used         Usage `json:"used"`
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
	Holder   string `json:"holder"`
	Instance string `json:"instance"`
	Epoch    int64  `json:"epoch"`
	// TTLMs renews the lease, unless it has lapsed, in milliseconds.
	TTLMs int64   `json:"ttl_ms,omitempty"`
	Tasks []Start `json:"tasks"`
}

// Verdict is the worker's answer to one start.
type Verdict string

// The verdicts. Every verdict but Started proves that this call did not start
// the task.
const (
	Started               Verdict = "started"
	RefusedNoCapacity     Verdict = "no_room"
	RefusedLeaseExpired   Verdict = "lease_lapsed"
	RefusedAlreadyStarted Verdict = "already_started"
	RefusedLeaving        Verdict = "leaving"
)

// StartReply holds one verdict a task, in the order of the call.
type StartReply struct {
	Verdicts []Verdict `json:"verdicts"`
	Used     Usage     `json:"used"`
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
	// TaskUnknown is the answer of another instance than the one asked for.
	TaskUnknown TaskState = "unknown"
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
	// Peak is the largest use seen while the task ran; zero if not measured.
	Peak Usage `json:"peak,omitzero"`
}

// Results is a page of ended tasks of one holder.
type Results struct {
	Instance string   `json:"instance"`
	Results  []Result `json:"results"`
	Used     Usage    `json:"used"`
}

// TaskRef names one task of one submission.
type TaskRef struct {
	Submission string `json:"submission"`
	Task       string `json:"task"`
}

// StopCall stops tasks, or asks about them.
type StopCall struct {
	Holder   string    `json:"holder"`
	Instance string    `json:"instance"`
	Tasks    []TaskRef `json:"tasks"`
}

// StopReply holds each task's state after the call, in the order of the call.
type StopReply struct {
	States []TaskState `json:"states"`
}
