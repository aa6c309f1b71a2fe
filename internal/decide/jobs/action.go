package jobs

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// Action is an effect that the caller of Core has to execute.
type Action interface{ action() }

// Append writes one record to the job stream. Records emitted together are sent
// in one append.
type Append struct {
	Record Record
}

// Answer delivers the answer of a closed job to all callers that wait for it.
type Answer struct {
	Key    Key
	Answer callerapi.JobAnswer
	// NotAfter is when this host's exclusive right to answer ends. It is zero
	// if the answer is final.
	NotAfter time.Time
}

// OwnedElsewhere notifies all callers that wait for a submission that another
// host owns it.
type OwnedElsewhere struct {
	Key     Key
	Owner   ids.Incarnation
	Address string
}

// Refused notifies all callers that wait for a submission that it was refused.
type Refused struct {
	Key Key
	Err *errkind.Error
}

// RequestLease requests a lease from a worker.
type RequestLease struct {
	Worker  string
	Address string
	TTL     time.Duration
	// Reserve is capacity that the worker withholds from other hosts.
	Reserve workerapi.Usage
}

// Start sends tasks to a worker in one message. It must not be sent after
// NotAfter on the monotonic clock.
type Start struct {
	ID       int64
	Worker   string
	Address  string
	Call     workerapi.StartCall
	NotAfter time.Time
}

// QueryTasks asks a worker for the state of tasks.
type QueryTasks struct {
	Worker  string
	Address string
	Call    workerapi.StopCall
}

// StopTasks stops tasks on a worker. The worker blocks later starts of tasks
// that it has never seen.
type StopTasks struct {
	Worker  string
	Address string
	Call    workerapi.StopCall
}

// WatchResults reads a worker's results for as long as Core.AwaitingResults
// reports true.
type WatchResults struct {
	Worker  string
	Address string
}

// LogEvent writes a decision record.
type LogEvent struct {
	Record decision.Record
}

func (Append) action()         {}
func (Answer) action()         {}
func (OwnedElsewhere) action() {}
func (Refused) action()        {}
func (RequestLease) action()   {}
func (Start) action()          {}
func (QueryTasks) action()     {}
func (StopTasks) action()      {}
func (WatchResults) action()   {}
func (LogEvent) action()       {}
