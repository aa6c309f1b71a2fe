// Package callerapi defines the paths, headers and documents of the HTTP
// interface that entry hosts offer to callers.
package callerapi

// Paths of the interface.
const (
	PathRequests = "/v1/requests"
	PathIDs      = "/v1/ids"
	PathJobs     = "/v1/jobs"
	PathReady    = "/v1/ready"
)

// Headers of requests and their answers.
const (
	// HeaderCustomer names the customer. It is required.
	HeaderCustomer = "Parsleyhill-Customer"
	// HeaderTeam names the team. It is optional.
	HeaderTeam = "Parsleyhill-Team"
	// HeaderRequestID is the request id. If the caller sends none, the entry host
	// mints one. The answer repeats the id.
	HeaderRequestID = "Parsleyhill-Request-Id"
	// HeaderIdempotent is "true" if the request may safely run more than once.
	HeaderIdempotent = "Parsleyhill-Idempotent"
	// HeaderAttempt is the attempt number: 1 on the first send of an id, then
	// counting up.
	HeaderAttempt = "Parsleyhill-Attempt"
	// HeaderDeadline is how long the caller waits for the answer, in
	// milliseconds.
	HeaderDeadline = "Parsleyhill-Deadline-Ms"
	// HeaderDeclaredRunTime is the declared run time in milliseconds. It is only
	// a hint.
	HeaderDeclaredRunTime = "Parsleyhill-Declared-Ms"
	// HeaderBackend names the backend server that answered.
	HeaderBackend = "Parsleyhill-Backend"
	// HeaderHost names the entry host that answered.
	HeaderHost = "Parsleyhill-Host"
	// HeaderExtraMessages counts the messages sent for the answer beyond the
	// request to the backend server and its reply.
	HeaderExtraMessages = "Parsleyhill-Extra-Messages"
)

// ParamCount is the query parameter of PathIDs for the number of ids to mint.
const ParamCount = "count"

// MaxIDs is the maximum number of ids minted in one call.
const MaxIDs = 1000

// IDs is the answer of PathIDs. A request with one of these ids runs at most
// once, however often it is sent and to whichever entry host.
type IDs struct {
	IDs []string `json:"ids"`
	// Host is the entry host that runs requests with these ids. Other entry
	// hosts forward them to it.
	Host string `json:"host"`
	// ValidMs is how long the ids can be used, in milliseconds.
	ValidMs int64 `json:"valid_ms"`
}

// JobState is the state of a job.
type JobState string

// Job states.
const (
	JobRunning  JobState = "running"
	JobComplete JobState = "complete"
	JobFailed   JobState = "failed"
)

// Task is one task of a job.
type Task struct {
	// Name is unique in the job.
	Name string `json:"name"`
	// Cores, MemoryMB and Accelerators are the declared resource needs.
	Cores        int `json:"cores"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators,omitempty"`
	// RunMs is the declared run time in milliseconds. It is only a hint.
	RunMs int64 `json:"run_ms,omitempty"`
	// Payload is passed to the worker unchanged.
	Payload []byte `json:"payload,omitempty"`
}

// Job is a set of tasks that are submitted together.
type Job struct {
	// Submission is the caller's id of the job. A job that arrives again joins
	// the first one. If it is empty, the entry host mints an id, and the job needs
	// no claim in the log.
	Submission string `json:"submission,omitempty"`
	// Attempt is the attempt number: 1 when the caller sends the submission for
	// the first time, then counting up. 0 means that it is not known.
	Attempt  int    `json:"attempt,omitempty"`
	Customer string `json:"customer"`
	Team     string `json:"team,omitempty"`
	// DeadlineMs is the maximum duration of the job, in milliseconds.
	DeadlineMs int64  `json:"deadline_ms,omitempty"`
	Tasks      []Task `json:"tasks"`
}

// TaskResult is the output of one task and the worker that ran it.
type TaskResult struct {
	Name   string `json:"name"`
	Worker string `json:"worker"`
	Output []byte `json:"output,omitempty"`
}

// JobAnswer is the state of a job. Results holds one result per task if the
// state is complete, and is empty otherwise.
type JobAnswer struct {
	Submission string   `json:"submission"`
	Customer   string   `json:"customer"`
	State      JobState `json:"state"`
	Owner      string   `json:"owner,omitempty"`
	ErrorKind  string   `json:"error_kind,omitempty"`
	Run        string   `json:"run,omitempty"`
	Reason     string   `json:"reason,omitempty"`
	// Unrecorded is set if the log had not yet accepted the record that closes
	// the job when the answer was given.
	Unrecorded bool         `json:"unrecorded,omitempty"`
	Results    []TaskResult `json:"results,omitempty"`
}
