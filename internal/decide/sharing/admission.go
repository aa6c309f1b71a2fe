package sharing

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
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
	// MostUrgent means that the job may be late, but no route precedes its own.
	MostUrgent Reason = "most_urgent"
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
	// TaskTime is the declared run time of one of them.
	TaskTime time.Duration
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
	// Limit is the part of the capacity that the route may use before it gives way.
	Limit float64
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
	return fmt.Sprintf("%s: route %s, priority %d, share %.2f, use %.2f of %.2f, expected wait %v, slack %v, ahead %d ms of %d milli-CPU, %d of %d tasks startable",
		d.Reason, d.Route, d.Priority, d.Share, d.Use, d.Limit, d.Wait.Round(time.Millisecond), d.Slack.Round(time.Millisecond),
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
		Route: own.Route, Priority: own.Priority, Share: own.Share,
		Tasks: j.Tasks, Startable: min(j.Startable, j.Tasks), Slack: j.Objective - j.Chain - j.Waited,
	}
	d.Use, d.Limit = Limits(f.Routes, f.Own)
	urgent := f.mostUrgent() && d.Use < urgentBurst*d.Limit
	below := urgent || d.Use < d.Limit
	d.Ahead, d.Available = f.ahead(below)
	guaranteed := f.guaranteed(d.Limit)
	if urgent {
		guaranteed = d.Available
	}
	freed := guaranteed
	if below {
		freed = d.Available
	}
	start := f.startTime(j, freed)
	ownWait := f.waitFor(f.backlog(j, d), guaranteed) + start
	if d.Startable < j.Tasks {
		d.Wait = min(max(f.waitFor(d.Ahead, d.Available)+start, ownWait), NoCapacityWait)
	}
	switch {
	case j.Waited+d.Wait+j.Chain > j.Timeout:
		d.Reason = PastDeadline
	case d.Startable == j.Tasks:
		d.Accept, d.Reason = true, FreeCapacity
	case d.Wait <= d.Slack:
		d.Accept, d.Reason = true, OnTime
	case !f.Waits():
		d.Accept, d.Reason = true, NothingWaits
	case urgent && d.Slack >= 0 && d.Wait <= d.Slack+time.Duration(urgentTolerance*float64(j.Objective)):
		d.Accept, d.Reason = true, MostUrgent
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

// urgentTolerance is the part of its objective by which a job of the most urgent
// priority may be expected to be late. The use of a route with short tasks changes
// within tens of milliseconds, and expected waits are too long as often as too short:
// with none, jobs were refused that would have been on time.
const urgentTolerance = 0.5

// urgentBurst is the multiple of its limit from which the use of a route of the most
// urgent priority counts as a burst. Below, it is the usual variation of short tasks,
// and the route gets all capacity that becomes free: the owners' queues keep the
// shares of the others.
const urgentBurst = 2

// mostUrgent reports whether no route precedes the job's.
func (f Fleet) mostUrgent() bool {
	for i := range f.Routes {
		if f.Routes[i].Priority < f.Routes[f.Own].Priority {
			return false
		}
	}
	return true
}

// Waits reports whether work of the service waits.
func (f Fleet) Waits() bool {
	for i := range f.Routes {
		if f.Routes[i].WaitingWork > 0 {
			return true
		}
	}
	return false
}

// urgentMargin is the part of the other routes' shares that routes of the most urgent
// priority may use beyond their own. Their use varies most in proportion, since their
// tasks are short, and the others keep 0.9 of their shares.
const urgentMargin = 0.1

// Limits returns the parts of the capacity, from 0 to 1, that a route uses and that
// it may use before it gives way to others. Routes of the most urgent priority
// may exceed their share by urgentMargin. The others divide what these leave by their
// shares. If no running work is known, waiting work stands for it.
func Limits(routes []RouteState, route int) (use, limit float64) {
	used := func(r *RouteState) int64 { return r.RunningCPU }
	if !slices.ContainsFunc(routes, func(r RouteState) bool { return r.RunningCPU > 0 }) {
		used = func(r *RouteState) int64 { return r.WaitingWork }
	}
	top := routes[0].Priority
	for i := range routes {
		top = min(top, routes[i].Priority)
	}
	var total, topUsed int64
	topShare := 0.0
	for i := range routes {
		r := &routes[i]
		total += used(r)
		if r.Priority == top {
			topUsed += used(r)
			topShare += r.Share
		}
	}
	own := &routes[route]
	if total == 0 {
		return 0, own.Share
	}
	use = float64(used(own)) / float64(total)
	switch {
	case own.Priority == top && topShare > 0:
		limit = own.Share * (1 + urgentMargin*(1-topShare)/topShare)
	case topShare < 1:
		limit = own.Share * (1 - float64(topUsed)/float64(total)) / (1 - topShare)
	}
	return use, limit
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
		if use, limit := Limits(f.Routes, i); i == f.Own || !below || use < limit {
			ahead += r.WaitingWork
		}
	}
	return ahead, f.Capacity - int64(higher)
}

// guaranteed returns the capacity that serves the job's route while the others use
// theirs: the limit of the route, or more if others need less than their shares.
func (f Fleet) guaranteed(limit float64) int64 {
	left := float64(f.Capacity)
	for i := range f.Routes {
		r := &f.Routes[i]
		if i == f.Own {
			continue
		}
		share := r.Share * float64(f.Capacity)
		if r.WaitingWork == 0 {
			share = min(share, r.MilliCPU)
		}
		left -= share
	}
	return int64(max(left, limit*float64(f.Capacity)))
}

// backlog returns the waiting work of the job's route beyond what starts before the
// route reaches its limit.
func (f Fleet) backlog(j Job, d Decision) int64 {
	headroom := max(0, d.Limit-d.Use) * float64(f.Capacity)
	return max(0, f.Routes[f.Own].WaitingWork-int64(headroom*float64(j.TaskTime.Milliseconds())))
}

// waitFor returns the expected time in which a capacity serves waiting work.
func (f Fleet) waitFor(work, capacity int64) time.Duration {
	if f.Capacity <= 0 || capacity <= 0 {
		return NoCapacityWait
	}
	return time.Duration(float64(work) / float64(capacity) * float64(time.Millisecond))
}

// startTime returns the time until the capacity for the tasks that free workers cannot
// start becomes free, if the job's route gets as much of it as of the whole capacity.
func (f Fleet) startTime(j Job, capacity int64) time.Duration {
	rate := float64(f.FreeingRate) * float64(capacity) / float64(max(1, f.Capacity))
	if rate <= 0 {
		return 0
	}
	missing := float64(max(0, j.Tasks-j.Startable)) * float64(j.TaskCPU)
	return time.Duration(missing / rate * float64(time.Second))
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
