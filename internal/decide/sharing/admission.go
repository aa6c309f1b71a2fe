package sharing

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// RouteState is what a job's host knows about one route of a service.
type RouteState struct {
	// Rate holds the usual rate of arriving work at all hosts.
	Rate
	// Share is the route's part of the arriving work of the service, from 0 to 1.
	Share float64
	// WaitingWork is the work in the queues of all hosts, in thousandths of a core
	// times milliseconds.
	WaitingWork int64
	// RunningCPU is the capacity in use by the route, in thousandths of a core.
	RunningCPU int64
}

// Active reports whether routes share scarce capacity: they differ in priority, and
// work waits.
func Active(routes []RouteState) bool {
	ranked, waits := false, false
	for i := range routes {
		ranked = ranked || routes[i].Priority != routes[0].Priority
		waits = waits || routes[i].WaitingWork > 0
	}
	return ranked && waits
}

// Reason says why a job is accepted or refused. It is a value of a metric's label.
type Reason string

// The reasons to accept a job.
const (
	// FreeCapacity means that free workers can start all tasks of the first step.
	FreeCapacity Reason = "free_capacity"
	// OnTime means that the job is expected to end within its objective.
	OnTime Reason = "on_time"
	// NothingWaits means that the job is late, but delays no other.
	NothingWaits Reason = "nothing_waits"
	// WithinShare means that the job is late because of the work of other routes,
	// while its route uses less than its share.
	WithinShare Reason = "within_share"
)

// The reasons to refuse a job.
const (
	// PastDeadline means that the job is expected to end after the caller has left.
	PastDeadline Reason = "deadline"
	// ShareUsed means that the job is expected to be late, and its route uses its
	// share or more.
	ShareUsed Reason = "share_used"
	// OwnBacklog means that the job is expected to be late because of the waiting
	// work of its own route, served at the route's share of the capacity.
	OwnBacklog Reason = "own_backlog"
	// SomeTasks is ShareUsed or OwnBacklog for a job of which free workers can start
	// some tasks. It isn't started in part.
	SomeTasks Reason = "some_tasks"
	// TooLate means that the job could not be on time even if it started now.
	TooLate Reason = "too_late"
)

// Job holds the inputs of an admission that concern the job.
type Job struct {
	// Tasks is the number of tasks of the first step that have not started, and
	// Startable is how many of these free workers can start.
	Tasks, Startable int
	// TaskCPU is the size of one of them, in thousandths of a core.
	TaskCPU int64
	// Waited is the time since the job's arrival.
	Waited time.Duration
	// Chain is the expected time from the start of the last task of the first step to
	// the answer.
	Chain time.Duration
	// Objective and Timeout count from the arrival: the time to be on time, and the
	// time after which the caller leaves.
	Objective, Timeout time.Duration
}

// Fleet holds the inputs of an admission that concern the hosts and their workers.
type Fleet struct {
	// Capacity is that of all workers, in thousandths of a core.
	Capacity int64
	// FreeingRate is the capacity that the ends of runs free, in thousandths of a core
	// per second.
	FreeingRate int64
	// Routes are those of the job's service, and Own is the index of the job's route.
	Routes []RouteState
	Own    int
}

// Decision is the result of an admission, with the values that it was decided by.
type Decision struct {
	Accept bool
	Reason Reason
	// Wait is the expected time until the last task of the first step starts.
	Wait time.Duration
	// Slack is the longest wait with which the job is on time.
	Slack time.Duration
	// Route and Priority are those of the job.
	Route    string
	Priority int
	// Share and Use are the route's parts of the arriving work and of the capacity in
	// use, from 0 to 1.
	Share, Use float64
	// Ahead is the waiting work that is served before the job, in thousandths of a
	// core times milliseconds.
	Ahead int64
	// Available is the capacity left by the usual rate of routes of higher precedence,
	// in thousandths of a core.
	Available int64
	// Tasks and Startable are those of the job.
	Tasks, Startable int
}

// Decided reports whether the decision was taken: the zero value was not.
func (d Decision) Decided() bool { return d.Reason != "" }

// String returns the decision with its inputs, for logs and refusals.
func (d Decision) String() string {
	return fmt.Sprintf("%s: route %s, priority %d, share %.2f, use %.2f, expected wait %v, slack %v, ahead %d ms of %d milli-CPU, %d of %d tasks startable",
		d.Reason, d.Route, d.Priority, d.Share, d.Use, d.Wait.Round(time.Millisecond), d.Slack.Round(time.Millisecond),
		d.Ahead/max(1, d.Available), d.Available, d.Startable, d.Tasks)
}

// NoCapacityWait is the expected wait without any capacity.
const NoCapacityWait = time.Hour

// Decide accepts or refuses a job while work waits and routes differ in priority.
// A job that cannot meet its deadline is refused. Otherwise, free capacity and the
// objective decide first. A late job is refused unless the delay is due to the work of
// other routes and its own uses less than its share.
func Decide(j Job, f Fleet) Decision {
	own := f.Routes[f.Own]
	d := Decision{
		Route: own.Route, Priority: own.Priority, Share: own.Share, Use: f.use(f.Own),
		Tasks: j.Tasks, Startable: min(j.Startable, j.Tasks), Slack: j.Objective - j.Chain - j.Waited,
	}
	below := d.Use < d.Share
	d.Ahead, d.Available = f.ahead(below)
	if d.Startable < j.Tasks {
		d.Wait = f.wait(d.Ahead, d.Available, j)
	}
	ownWait := f.wait(own.WaitingWork, int64(own.Share*float64(f.Capacity)), j)
	switch {
	case j.Waited+d.Wait+j.Chain > j.Timeout:
		d.Reason = PastDeadline
	case d.Startable == j.Tasks:
		d.Accept, d.Reason = true, FreeCapacity
	case d.Wait <= d.Slack:
		d.Accept, d.Reason = true, OnTime
	case !f.waits():
		d.Accept, d.Reason = true, NothingWaits
	case d.Slack < 0 && j.Objective >= j.Chain:
		d.Reason = TooLate
	case below && ownWait <= d.Slack:
		d.Accept, d.Reason = true, WithinShare
	case d.Startable > 0:
		d.Reason = SomeTasks
	case below:
		d.Reason = OwnBacklog
	default:
		d.Reason = ShareUsed
	}
	return d
}

// waits reports whether work waits.
func (f Fleet) waits() bool {
	for i := range f.Routes {
		if f.Routes[i].WaitingWork > 0 {
			return true
		}
	}
	return false
}

// use returns a route's part of the capacity in use by the service. If no host
// reports that, it is the route's part of the waiting work.
func (f Fleet) use(route int) float64 {
	var running, waiting int64
	for i := range f.Routes {
		running += f.Routes[i].RunningCPU
		waiting += f.Routes[i].WaitingWork
	}
	switch {
	case running > 0:
		return float64(f.Routes[route].RunningCPU) / float64(running)
	case waiting > 0:
		return float64(f.Routes[route].WaitingWork) / float64(waiting)
	}
	return 0
}

// ahead returns the waiting work of the same or a higher precedence than the job's
// route, and the capacity that the usual rate of routes of higher precedence leaves.
// For a route below its share, the waiting work of other routes that use their share
// or more isn't ahead.
func (f Fleet) ahead(below bool) (ahead, available int64) {
	own := &f.Routes[f.Own]
	higher := 0.0
	for i := range f.Routes {
		r := &f.Routes[i]
		if r.Priority > own.Priority {
			continue
		}
		if r.Priority < own.Priority {
			// If more work than the capacity usually arrives, each route gets its share.
			higher += min(r.MilliCPU, r.Share*float64(f.Capacity))
		}
		if i == f.Own || !below || f.use(i) < r.Share {
			ahead += r.WaitingWork
		}
	}
	return ahead, f.Capacity - int64(higher)
}

// wait returns the expected time until the work ahead has been served and the
// capacity for the missing tasks is free. Of the capacity that becomes free, the job
// gets the available part.
func (f Fleet) wait(ahead, available int64, j Job) time.Duration {
	if f.Capacity <= 0 || available <= 0 {
		return NoCapacityWait
	}
	missing := float64(max(0, j.Tasks-j.Startable)) * float64(j.TaskCPU)
	wait := time.Duration(float64(ahead) / float64(available) * float64(time.Millisecond))
	if rate := float64(f.FreeingRate) * float64(available) / float64(f.Capacity); rate > 0 {
		wait += time.Duration(missing / rate * float64(time.Second))
	}
	return min(wait, NoCapacityWait)
}

// retryJitter is the largest part of its delay by which a retry is put off, so that
// refused callers don't return together.
const retryJitter = 0.5

// SpreadRetryAfter adds jitter, taken from the job's ID, to the delay after which the
// caller may retry. The result has whole seconds, as the Retry-After header has. The
// fraction is rounded up for as many jobs as keep the mean.
func SpreadRetryAfter(job string, delay time.Duration) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(job))
	r := rand.New(rand.NewPCG(h.Sum64(), 0))
	seconds := delay.Seconds() * (1 + retryJitter*r.Float64())
	return time.Duration(seconds+r.Float64()) * time.Second
}
