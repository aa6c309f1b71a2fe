package jobs

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// Action is something that the shell has to do.
type Action interface{ action() }

// Append writes one record to the job stream. Records of one moment travel in
// one append.
type Append struct {
	Record Record
}

// Answer gives a closed job's document to everybody who waits for it.
type Answer struct {
	Key    Key
	Answer callerapi.JobAnswer
	// NotAfter is when this host's right to answer alone ends; zero if the log
	// has settled the answer.
	NotAfter time.Time
}

// Settled tells everybody who waits for a submission that another host owns
// it.
type OwnedElsewhere struct {
	Key     Key
	Owner   ids.Incarnation
	Address string
}

// Refused tells everybody who waits for a submission that it was not taken.
type Refused struct {
	Key Key
	Err *errkind.Error
}

// AskLease asks a worker for a lease.
type RequestLease struct {
	Worker  string
	Address string
	TTL     time.Duration
	// Reserve is room to keep from other hosts.
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

// AskTasks asks a worker where tasks stand.
type QueryTasks struct {
	Worker  string
	Address string
	Call    workerapi.StopCall
}

// StopTasks stops tasks on a worker. A task that the worker never saw is
// barred there from then on.
type StopTasks struct {
	Worker  string
	Address string
	Call    workerapi.StopCall
}

// Watch reads a worker's results for as long as the core says that tasks are
// outstanding there.
type WatchResults struct {
	Worker  string
	Address string
}

// Note records a decision.
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
