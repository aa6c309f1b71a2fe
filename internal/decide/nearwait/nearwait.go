// Package nearwait decides how long a task waits for a place near its data. It is
// pure: the state and the time go in, a decision comes out.
package nearwait

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// uncertainty is the share by which an expected wait, and a run that has to be
	// on time, is counted longer, because declared run times are off by up to 40%.
	uncertainty = 0.4
	// reviewInterval is the shortest time after which a wait is reviewed although no
	// place became free. Within less, expectations hardly change.
	reviewInterval = 10 * time.Millisecond
	// reaction is the time from the end of a wait to the start elsewhere: one tick
	// of the host (20 ms), and the return and the new offer of the task (8 ms).
	reaction = 28 * time.Millisecond
	// MaxRunTime bounds run times in the computation, so that no time overflows.
	MaxRunTime = 24 * time.Hour
)

// Action is what to do with a task.
type Action int

// The actions.
const (
	// StartNear means that the task starts near its data now.
	StartNear Action = iota + 1
	// WaitNear means that the task waits for a place near its data until
	// Decision.Until.
	WaitNear
	// StartElsewhere means that the task takes the first place elsewhere.
	StartElsewhere
)

// String returns the action as it appears in logs and metrics.
func (a Action) String() string {
	names := [...]string{"", "start_near", "wait_near", "start_elsewhere"}
	if a > 0 && int(a) < len(names) {
		return names[a]
	}
	return "invalid"
}

// Reason tells why an action was chosen. Its values appear in logs and metrics.
type Reason string

// The reasons.
const (
	// NearFree means that a place near the data is free.
	NearFree Reason = "near_free"
	// NoNearWorker means that no worker of the rack is known and in service.
	NoNearWorker Reason = "no_near_worker"
	// NowhereElse means that no worker of another rack can run the task.
	NowhereElse Reason = "nowhere_else"
	// NearEndsEarlier means that the task is expected to end earlier if it waits.
	NearEndsEarlier Reason = "near_ends_earlier"
	// OnTimeOnlyNear means that only a start near the data is expected to meet the
	// objective or, if none is, the deadline.
	OnTimeOnlyNear Reason = "on_time_only_near"
	// NearEndsLater means that the task is expected to end later if it waits.
	NearEndsLater Reason = "near_ends_later"
	// ObjectiveAtRisk means that the start elsewhere would come too late for the
	// objective or the deadline if it came after the wait.
	ObjectiveAtRisk Reason = "objective_at_risk"
	// LateNearToo means that the objective is not expected to be met near the data
	// either. The task leaves the rack to tasks that can be on time there.
	LateNearToo Reason = "late_near_too"
	// LongerThanOthers means that the task would hold the place for much longer than
	// the runs on the rack do, which could be on time there in its place.
	LongerThanOthers Reason = "longer_than_others"
	// WaitUsedUp means that the task has waited as long as the slower run elsewhere
	// takes longer.
	WaitUsedUp Reason = "wait_used_up"
)

// Place is what is known about the workers of the rack, or about all others.
type Place struct {
	// Known is set if some worker in service could run the task.
	Known bool
	// Free is set if one of them can start the task now.
	Free bool
	// At is when the task is expected to start there. If Free is set, it is the time
	// at which the place is reached.
	At time.Time
}

// Inputs is the state that a decision rests on.
type Inputs struct {
	Now time.Time
	// RunTime is the expected run time near the data.
	RunTime time.Duration
	// Slowdown is the factor on the run time elsewhere; above 1.
	Slowdown        float64
	Near, Elsewhere Place
	// StartBy is the latest start near the data that meets the objective.
	StartBy time.Time
	// Deadline is the time after which nobody waits for the job.
	Deadline time.Time
	// OthersRunTime is the mean run time of the runs on the rack; zero if unknown.
	OthersRunTime time.Duration
	// Since is when the task began to wait for a place near its data.
	Since time.Time
}

// Decision is the result of Decide.
type Decision struct {
	Action Action
	Reason Reason
	// Until is when a wait ends; it is set with WaitNear.
	Until time.Time
}

// Extra returns how much longer the task runs elsewhere.
func (in *Inputs) Extra() time.Duration {
	return time.Duration(min(float64(in.RunTime)*max(0, in.Slowdown-1), float64(MaxRunTime)))
}

// NearStart returns when the task is expected to start near its data, with the
// margin for uncertainty.
func (in *Inputs) NearStart() time.Time {
	wait := max(0, in.Near.At.Sub(in.Now))
	return in.Now.Add(wait + time.Duration(uncertainty*float64(wait)))
}

// Decide returns what to do with a task now.
func Decide(in Inputs) Decision {
	switch {
	case !in.Near.Known:
		return Decision{Action: StartElsewhere, Reason: NoNearWorker}
	case in.Near.Free:
		return Decision{Action: StartNear, Reason: NearFree}
	case !in.Elsewhere.Known:
		return Decision{Action: WaitNear, Reason: NowhereElse, Until: in.Deadline}
	}
	if in.Elsewhere.Free && in.OthersRunTime > 0 && float64(in.RunTime) > (1+uncertainty)*float64(in.OthersRunTime) {
		return Decision{Action: StartElsewhere, Reason: LongerThanOthers}
	}
	near, elsewhere, extra := in.NearStart(), later(in.Now, in.Elsewhere.At), in.Extra()
	// The latest starts elsewhere that meet the objective and the deadline.
	onTime, inTime := in.StartBy.Add(-extra), in.Deadline.Add(-in.RunTime-extra)
	marginNear := time.Duration(uncertainty * float64(in.RunTime))
	marginElsewhere := marginNear + time.Duration(uncertainty*float64(extra))
	// delay is what a start elsewhere costs after the wait: its own wait, and the
	// time to notice.
	delay := elsewhere.Sub(in.Now) + reaction
	reason, late := NearEndsEarlier, NearEndsLater
	limit := elsewhere.Add(extra)
	if in.Elsewhere.Free {
		if used := in.Since.Add(extra); used.Before(limit) {
			limit, late = used, WaitUsedUp
			if near.After(elsewhere.Add(extra)) {
				late = NearEndsLater
			}
		}
	}
	bound := func(t time.Time, why Reason) {
		if t.Before(limit) {
			limit, late = t, why
		}
	}
	switch {
	case !elsewhere.After(onTime):
		bound(onTime.Add(-marginElsewhere-delay), ObjectiveAtRisk)
	case !elsewhere.After(inTime):
		bound(inTime.Add(-marginElsewhere-delay), ObjectiveAtRisk)
		if !in.Now.After(in.StartBy) {
			reason = OnTimeOnlyNear
			bound(in.StartBy.Add(-marginNear), LateNearToo)
		}
	default:
		// Elsewhere the task would end after its deadline.
		reason, limit, late = OnTimeOnlyNear, in.Deadline.Add(-in.RunTime), LateNearToo
	}
	if near.After(limit) || !in.Now.Before(limit) {
		return Decision{Action: StartElsewhere, Reason: late}
	}
	return Decision{Action: WaitNear, Reason: reason, Until: earlier(limit, later(near, in.Now.Add(reviewInterval)))}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Report describes a decision, for the process log and the metrics.
type Report struct {
	Task     fleet.TaskName
	Rack     string
	Decision Decision
	Inputs   Inputs
	// Worker is the worker that is free for the task if it starts now, or empty.
	Worker string
	// Ahead is the number of tasks that wait for the rack before this one.
	Ahead int
}
