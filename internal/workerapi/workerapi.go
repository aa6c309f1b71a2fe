// Package workerapi defines the paths and documents of the HTTP interface
// between entry hosts and workers.
package workerapi

// Paths of the interface.
const (
	PathLeases  = "/v1/leases"
	PathStarts  = "/v1/starts"
	PathResults = "/v1/results"
	PathStops   = "/v1/stops"
	PathTasks   = "/v1/tasks"
)

// LeaseCall requests a lease, or renews the lease of the same holder.
type LeaseCall struct {
	// Holder is the incarnation of the entry host.
	Holder string `json:"holder"`
	// TTLMs is how long the lease is valid, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
	// Reserve withholds capacity from other holders until the holder's next start
	// or lease call, or until the lease expires. Other holders see it as used.
	Reserve Usage `json:"reserve,omitzero"`
}

// Usage is an amount of a worker's resources. As the used part of a worker it is
// the last measurement and covers all holders.
type Usage struct {
	Cores        int `json:"cores"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Lease is granted by a worker to one holder. The worker refuses starts under
// an expired lease.
type Lease struct {
	Worker string `json:"worker"`
	// Instance identifies the worker process. An instance does not know which
	// tasks another instance ran.
	Instance string `json:"instance"`
	Holder   string `json:"holder"`
	// Epoch increases with each lease granted after an expired one.
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
	// TTLMs renews the lease for this many milliseconds, unless it has expired.
	TTLMs int64   `json:"ttl_ms,omitempty"`
	Tasks []Start `json:"tasks"`
}

// Verdict is the worker's answer to the start of one task.
type Verdict string

// Verdicts. Every verdict except Started proves that this call did not start
// the task.
const (
	Started               Verdict = "started"
	RefusedNoCapacity     Verdict = "no_room"
	RefusedLeaseExpired   Verdict = "lease_lapsed"
	RefusedAlreadyStarted Verdict = "already_started"
	RefusedLeaving        Verdict = "leaving"
)

// StartReply holds one verdict per task, in the order of the call.
type StartReply struct {
	Verdicts []Verdict `json:"verdicts"`
	Used     Usage     `json:"used"`
}

// TaskState is the state of a task on a worker.
type TaskState string

// Task states.
const (
	TaskNeverSeen TaskState = "never_seen"
	TaskRunning   TaskState = "running"
	TaskDone      TaskState = "done"
	TaskFailed    TaskState = "failed"
	TaskStopped   TaskState = "stopped"
	// TaskUnknown is the answer of a different instance than the one in the call.
	TaskUnknown TaskState = "unknown"
)

// Result describes how one task ended.
type Result struct {
	Seq        int64     `json:"seq"`
	Submission string    `json:"submission"`
	Task       string    `json:"task"`
	State      TaskState `json:"state"`
	Output     []byte    `json:"output,omitempty"`
	Error      string    `json:"error,omitempty"`
	RunMs      int64     `json:"run_ms"`
	// Peak is the highest usage measured while the task ran, or zero if it was
	// not measured.
	Peak Usage `json:"peak,omitzero"`
}

// Results is a page of results of one holder's tasks.
type Results struct {
	Instance string   `json:"instance"`
	Results  []Result `json:"results"`
	Used     Usage    `json:"used"`
}

// TaskRef identifies one task of a submission.
type TaskRef struct {
	Submission string `json:"submission"`
	Task       string `json:"task"`
}

// StopCall stops tasks or queries their states, depending on the path.
type StopCall struct {
	Holder   string    `json:"holder"`
	Instance string    `json:"instance"`
	Tasks    []TaskRef `json:"tasks"`
}

// StopReply holds the state of each task after the call, in the order of the
// call.
type StopReply struct {
	States []TaskState `json:"states"`
}
