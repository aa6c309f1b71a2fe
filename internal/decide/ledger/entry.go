// Package ledger replicates the log of stored jobs and decides which of these
// jobs this host drives. The driver of a job offers its tasks to the owners of
// workers. The package does no I/O: it takes log entries and the store's shard
// assignments, and returns which jobs to drive or release and which entries to
// append.
//
// The log holds everything that must survive the failure of a host: that a job
// was accepted or cancelled, which of its runs ended or were lost with their
// worker, and that it was closed.
// It does not hold which runs are in progress; the workers report those. Only a driver
// that hands its shard over records them, for the next driver, and an owner those that it
// holds for their driver.
package ledger

import (
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Entry is one record of the log.
type Entry interface{ entry() }

// Accepted records that a host accepted a job from its caller.
type Accepted struct {
	Job   fleet.Job
	Route fleet.Route
	// Takeovers is the number of takeovers of the job's shard that the accepting
	// host knew of at that time. Hosts of an older version number runs by it.
	Takeovers int
	// Damage tells what is wrong with a record that cannot be read, or is empty. Only
	// the id of the job is known then.
	Damage string
}

// RunEnded records that a run ended as done or failed.
type RunEnded struct {
	fleet.RunID
	Reason fleet.EndReason
}

// RunLost records that a run was lost with its worker. A later entry for the same
// run replaces it.
type RunLost struct {
	Task fleet.TaskName
	Loss quarantine.Loss
}

// RunHeld records that a next owner of a worker has found a run there that no driver has
// claimed yet, and renews its lease for a while. The driver must not take the run to be over
// before.
type RunHeld struct {
	fleet.RunID
	// Fence is the one under which the run was found. It rises with each owner.
	Fence int64
}

// Cancelled records that a caller cancelled a job.
type Cancelled struct{ Job string }

// Closed records the final state of a job. It replaces the job's other records
// in the log.
type Closed struct {
	Job   string
	Queue string
	State State
	// Reason is why the job was set aside, or empty.
	Reason string
	// Damaged is set if the record could not be read. Only the id of the job is known
	// then.
	Damaged bool
	// Runs are the runs whose ends are in the log and are dropped from it, and
	// LostRuns and HeldRuns those whose losses and holds are.
	Runs, LostRuns, HeldRuns []fleet.RunID
}

// Forgotten removes a closed job from the log.
type Forgotten struct{ Job string }

// TakenOver records that a host takes over the jobs of a shard.
type TakenOver struct {
	Shard int
	// Takeovers is the number of takeovers of the shard, including this one.
	Takeovers int
	// Host and Nonce identify the host and its process. They are empty in an entry of
	// an older version.
	Host  string
	Nonce int64
	// Generation is that of the store's group in which the shard is the host's; it orders the
	// takeovers also where the store carries their appends out late. It is zero in an entry
	// of an older version.
	Generation int64
	// FormerTakeovers and FormerGeneration are those of the last takeover under which the
	// process has driven the shard; zero if there is none.
	FormerTakeovers  int
	FormerGeneration int64
}

func (Accepted) entry()  {}
func (RunEnded) entry()  {}
func (RunLost) entry()   {}
func (RunHeld) entry()   {}
func (Cancelled) entry() {}
func (Closed) entry()    {}
func (Forgotten) entry() {}
func (TakenOver) entry() {}

// State is the state of a stored job.
type State string

// The states of a stored job.
const (
	Pending        State = "pending"
	Running        State = "running"
	Completed      State = "completed"
	Failed         State = "failed"
	StateCancelled State = "cancelled"
)

// Ended reports whether s is a final state.
func (s State) Ended() bool { return s == Completed || s == Failed || s == StateCancelled }
