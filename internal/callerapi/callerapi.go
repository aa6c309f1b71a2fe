// Package callerapi holds the names and documents of the HTTP interface to
// callers.
package callerapi

// The paths of the interface.
const (
	PathRequests = "/v1/requests"
	PathIDs      = "/v1/ids"
	PathJobs     = "/v1/jobs"
	PathReady    = "/v1/ready"
)

// The headers of a request.
const (
	// HeaderCustomer names the customer. Required.
	HeaderCustomer = "Parsleyhill-Customer"
	// HeaderTeam names the team. Optional.
	HeaderTeam = "Parsleyhill-Team"
	// HeaderRequestID carries the caller's id. Without it the entry host mints
	// one and the answer carries it.
	HeaderRequestID = "Parsleyhill-Request-Id"
	// HeaderIdempotent is "true" if running the request twice does no harm.
	HeaderIdempotent = "Parsleyhill-Idempotent"
	// HeaderAttempt is 1 on the first send of an id and counts up.
	HeaderAttempt = "Parsleyhill-Attempt"
	// HeaderDeadline is the time the caller waits, in milliseconds.
	HeaderDeadline = "Parsleyhill-Deadline-Ms"
	// HeaderDeclared is the declared run time in milliseconds. A hint.
	HeaderDeclaredRunTime = "Parsleyhill-Declared-Ms"
	// HeaderBackend names the backend server in an answer.
	HeaderBackend = "Parsleyhill-Backend"
	// HeaderHost names the entry host in an answer.
	HeaderHost = "Parsleyhill-Host"
	// HeaderMessages counts the messages spent on the answer beyond the
	// request to the backend server and its reply.
	HeaderExtraMessages = "Parsleyhill-Extra-Messages"
)

// ParamCount is the query parameter of PathIDs that says how many ids to mint.
const ParamCount = "count"

// MaxIDs is the largest number of ids minted at once.
const MaxIDs = 1000

// IDs is the answer of PathIDs: request ids that run at most once wherever
// and however often they arrive.
type IDs struct {
	IDs []string `json:"ids"`
	// Host is the entry host that runs them. Others forward to it.
	Host string `json:"host"`
	// ValidMs is how long the ids may be used, in milliseconds.
	ValidMs int64 `json:"valid_ms"`
}

// JobState is where a job stands.
type JobState string

// The job states.
const (
	JobRunning  JobState = "running"
	JobComplete JobState = "complete"
	JobFailed   JobState = "failed"
)

// Task is one task of a job.
type Task struct {
	// Name is unique in the job.
	Name string `json:"name"`
	// Cores, MemoryMB and Accelerators are the declared needs.
	Cores        int `json:"cores"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators,omitempty"`
	// RunMs is the declared run time in milliseconds. A hint.
	RunMs int64 `json:"run_ms,omitempty"`
	// Payload is handed to the worker as it is.
	Payload []byte `json:"payload,omitempty"`
}

// Job is a submission of many tasks.
type Job struct {
	// Submission is the caller's id. A second arrival joins the first. Without
	// it the entry host mints one, and the job needs no claim in the log.
	Submission string `json:"submission,omitempty"`
	// Attempt is 1 when the caller sends the submission for the first time and
	// counts up; 0 means that the caller does not say.
	Attempt  int    `json:"attempt,omitempty"`
	Customer string `json:"customer"`
	Team     string `json:"team,omitempty"`
	// DeadlineMs is the time the job may take, in milliseconds.
	DeadlineMs int64  `json:"deadline_ms,omitempty"`
	Tasks      []Task `json:"tasks"`
}

// TaskResult is one task's output.
type TaskResult struct {
	Name   string `json:"name"`
	Worker string `json:"worker"`
	Output []byte `json:"output,omitempty"`
}

// JobAnswer is the state of a job. Results are present, one a task, only when
// the state is complete.
type JobAnswer struct {
	Submission string   `json:"submission"`
	Customer   string   `json:"customer"`
	State      JobState `json:"state"`
	Owner      string   `json:"owner,omitempty"`
	ErrorKind  string   `json:"error_kind,omitempty"`
	Run        string   `json:"run,omitempty"`
	Reason     string   `json:"reason,omitempty"`
	// Unrecorded is set when the log had not taken the job's close when the
	// answer was given.
	Unrecorded bool         `json:"unrecorded,omitempty"`
	Results    []TaskResult `json:"results,omitempty"`
}
