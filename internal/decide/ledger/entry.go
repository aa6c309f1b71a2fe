// Package ledger follows the log of stored jobs and decides which of them this
// host drives. It is pure: what the log and the store's group say goes in,
// what to drive, to release and to write comes out.
//
// Everything that must survive a host is in the log: that a job was accepted
// or cancelled, which of its runs ended, and that it was closed. What runs is
// not: workers know that.
package ledger

import "github.com/parsleyhill/parsleyhill/internal/fleet"

// Entry is one record of the log.
type Entry interface{ entry() }

// Accepted says that a job was taken from its caller.
type Accepted struct {
	Job   fleet.Job
	Route fleet.Route
	// Takeovers is how often the job's shard had changed hands when the job was
	// accepted, as far as the accepting host knew.
	Takeovers int
}

// Ended says that a run ended as done or failed.
type RunEnded struct {
	fleet.RunID
	Reason fleet.EndReason
}

// Cancelled says that a caller cancelled a job.
type Cancelled struct{ Job string }

// Closed says how a job ended. Its other records are dropped from the log.
type Closed struct {
	Job   string
	Queue string
	State State
	// Runs are those whose ends the log holds.
	Runs []fleet.RunID
}

// Forgotten drops a closed job from the log.
type Forgotten struct{ Job string }

// TakenOver says that a host drives the jobs of a shard from now on.
type TakenOver struct {
	Shard int
	// Takeovers counts the times that the shard has changed hands.
	Takeovers int
}

func (Accepted) entry()  {}
func (RunEnded) entry()  {}
func (Cancelled) entry() {}
func (Closed) entry()    {}
func (Forgotten) entry() {}
func (TakenOver) entry() {}

// State is the state of a stored job.
type State string

// The states.
const (
	Pending        State = "pending"
	Running        State = "running"
	Completed      State = "completed"
	Failed         State = "failed"
	StateCancelled State = "cancelled"
)

// Over reports whether the job has ended.
func (s State) Ended() bool { return s == Completed || s == Failed || s == StateCancelled }
