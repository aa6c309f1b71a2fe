// Package fleet defines the types that hosts, workers and callers share: jobs,
// workers and their runs, and the configuration in force.
package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Size is the amount of resources that a task requires or a worker provides.
type Size struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int
	MemoryMB int
	GPUs     int
}

// Fits reports whether no resource of s exceeds that of capacity.
func (s Size) Fits(capacity Size) bool {
	return s.MilliCPU <= capacity.MilliCPU && s.MemoryMB <= capacity.MemoryMB && s.GPUs <= capacity.GPUs
}

// Add returns the sum of s and o.
func (s Size) Add(o Size) Size {
	return Size{s.MilliCPU + o.MilliCPU, s.MemoryMB + o.MemoryMB, s.GPUs + o.GPUs}
}

// Sub returns s minus o.
func (s Size) Sub(o Size) Size {
	return Size{s.MilliCPU - o.MilliCPU, s.MemoryMB - o.MemoryMB, s.GPUs - o.GPUs}
}

// Host is one entry host of the fleet.
type Host struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is the IP and port at which the host serves its peers.
	Address string `json:"address"`
	// Incarnation is unique to one start of the host's process.
	Incarnation string `json:"incarnation"`
}

// Worker is the registration of one worker.
type Worker struct {
	ID      string
	Address string
	Zone    string
	// Service is the pool that the worker belongs to.
	Service string
	Labels  []string
	// Capacity is zero if the worker did not register one.
	Capacity Size
	// Draining is set while the worker prepares to leave the fleet.
	Draining bool
	// StartTime is when the worker's process started, in Unix milliseconds. It
	// tells the incarnations of a worker apart: a worker may restart under the
	// same ID. It is zero if the worker did not register one.
	StartTime int64
	// Heartbeat numbers the registrations of one incarnation.
	Heartbeat int64
	// ColdLeft is how long after the registration the worker will still run tasks
	// slower than usual; zero if it does not.
	ColdLeft time.Duration
	// ColdUntil is when ColdLeft ends on the local clock. The receiver of the
	// registration sets it; it is zero if ColdLeft is.
	ColdUntil time.Time
}

// Cold reports whether the worker still runs tasks slower than usual.
func (w Worker) Cold(now time.Time) bool { return now.Before(w.ColdUntil) }

// OlderThan reports whether the registration precedes another one of the same
// worker.
func (w Worker) OlderThan(o Worker) bool {
	return w.StartTime < o.StartTime || w.StartTime == o.StartTime && w.Heartbeat < o.Heartbeat
}

// maxClockDriftPercent bounds how much slower than the local clock a worker's
// clock may run: the platform specifies at most 2 %, and 1 % covers the drift of
// the local clock.
const maxClockDriftPercent = 3

// WithMaxClockDrift returns the longest time that may pass on the local clock
// while d passes on a worker's clock.
func WithMaxClockDrift(d time.Duration) time.Duration { return d + d*maxClockDriftPercent/100 }

// HasLabel reports whether the worker has the label. Every worker has the empty
// label.
func (w Worker) HasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// Route is one queue of jobs, selected by the host and path of a request. It is
// stored as JSON under its Go field names.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Service names the pool of workers that run the queue's tasks.
	Service string
	// Timeout bounds a request; zero means no bound.
	Timeout time.Duration
	// LatencySlack is the part of a job's objective that does not depend on its
	// length: the objective is Stretch times the longest chain plus LatencySlack.
	LatencySlack time.Duration
	// Stretch is the factor on the job's longest chain in its objective.
	Stretch float64
	// Priority orders queues; zero is the most urgent.
	Priority int
	// MaxAttempts is how many failed runs make a task fail.
	MaxAttempts int
}

// Objective returns how long a job may take to be on time, given the estimated
// duration of its longest chain of steps.
func (r Route) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(float64(criticalPath)*r.Stretch) + r.LatencySlack
}

// Limits bounds the requests of callers. Zero means no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Config is the configuration in force.
type Config struct {
	Version int64
	Routes  []Route
	Limits  Limits
}

// Route returns the route with the longest matching prefix for a host and path.
// It returns false if none matches.
func (c *Config) Route(host, path string) (Route, bool) {
	best := -1
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// Step is one step of a job: a number of equal tasks. It is stored as JSON under
// its Go field names.
type Step struct {
	// Count is the number of tasks.
	Count    int
	Size     Size
	Estimate time.Duration
	// After lists the indexes of the steps that must complete first.
	After []int
	// RequiredLabel is a label that the worker must have, or empty.
	RequiredLabel string
	// Affinity names the rack that holds the data, or is empty.
	Affinity string
	// MaxPerWorker bounds the step's concurrent tasks on one worker; zero means
	// no bound.
	MaxPerWorker int
}

// Job is one submission of a caller. It is stored as JSON under its Go field
// names.
type Job struct {
	ID    string
	Spec  string
	Steps []Step
	// BestEffort is set for jobs that are not stored; their caller waits for the
	// result.
	BestEffort bool
	// Unsupported names a requested feature that this dispatcher does not
	// support, or is empty.
	Unsupported string `json:",omitempty"`
}

// TaskName identifies one task of a job.
type TaskName struct {
	Job   string
	Step  int
	Index int
}

// String returns the name as job/step/index.
func (t TaskName) String() string { return fmt.Sprintf("%s/%d/%d", t.Job, t.Step, t.Index) }

// Compare orders tasks by job, step and index.
func (t TaskName) Compare(o TaskName) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// EndReason is the way in which a run ended at its worker. Its values are sent
// between hosts and stored in the log of stored jobs.
type EndReason int

// The reasons for the end of a run.
const (
	// EndedDone means that the task completed.
	EndedDone EndReason = iota + 1
	// EndedFailed means that the run failed, whether the task or the worker
	// caused it.
	EndedFailed
	// EndedStopped means that the owner stopped the run.
	EndedStopped
	// EndedLeaseExpired means that the worker stopped the run at the end of its
	// lease.
	EndedLeaseExpired
)

// String returns the reason as it appears in logs.
func (e EndReason) String() string {
	switch e {
	case EndedDone:
		return "done"
	case EndedFailed:
		return "failed"
	case EndedStopped:
		return "stopped"
	case EndedLeaseExpired:
		return "lapsed"
	}
	return fmt.Sprintf("ending %d", int(e))
}

// RunID identifies one run of one task.
type RunID struct {
	Task TaskName
	Run  int
}

// Compare orders runs by task, then by run number.
func (r RunID) Compare(o RunID) int {
	return cmp.Or(r.Task.Compare(o.Task), cmp.Compare(r.Run, o.Run))
}

// RunEnd is one entry of a worker's list of ended runs.
type RunEnd struct {
	// Seq numbers the ends within one incarnation of the worker, from 1.
	Seq int64
	RunID
	Reason EndReason
}

// RunProgress is one entry of a worker's list of active runs.
type RunProgress struct {
	RunID
	// Percent is the share of its work that the run has completed.
	Percent int
}

// PollResponse is a worker's answer to a poll.
type PollResponse struct {
	// Clock is the reading of the worker's own clock.
	Clock time.Duration
	// StartTime is Worker.StartTime of the incarnation that answered.
	StartTime int64
	Running   []RunProgress
	// Ended lists the ends that are not acknowledged yet, the oldest first.
	Ended []RunEnd
	// Truncated is set if there may be more ends than Ended lists. A run in neither
	// list may then have ended.
	Truncated bool
}

// StartVerdict is a worker's answer to a start.
type StartVerdict int

// The verdicts.
const (
	// StartAccepted means that the run is at the worker.
	StartAccepted StartVerdict = iota
	// StartFenced means that another host owns the worker.
	StartFenced
	// StartSuperseded means that a run of the task with the same or a higher
	// number has been stopped or has ended there.
	StartSuperseded
	// StartLeaseExpired means that the lease had expired when the order arrived.
	StartLeaseExpired
	// StartNoCapacity means that the run does not fit into the worker's free
	// capacity.
	StartNoCapacity
	// StartUnhealthy means that the worker reported that it is overloaded or
	// unavailable, and did nothing.
	StartUnhealthy
	// StartWrongWorker means that another worker answered at the address.
	StartWrongWorker
	// StartInvalid means that the worker rejected the order as malformed.
	StartInvalid
	// StartUnknown means that no answer arrived; the run may have started.
	StartUnknown
	// StartNotSent means that no connection to the worker could be opened; the run
	// has not started.
	StartNotSent
)

// String returns the verdict as it appears in logs.
func (v StartVerdict) String() string {
	names := [...]string{"accepted", "fenced", "old", "late", "no_room", "unhealthy", "gone", "invalid", "unknown", "not_sent"}
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict %d", int(v))
}

// CallFailure is the way in which a call to a worker ended without an answer.
type CallFailure int

// The ways.
const (
	// CallTimedOut means that no answer arrived in time, or that the call failed
	// in a way that says nothing about the worker.
	CallTimedOut CallFailure = iota
	// CallClosed means that the worker's side closed the connection while the
	// call was pending. A process that ends does that.
	CallClosed
	// CallReset means that the connection was reset, which the network may have
	// done.
	CallReset
	// CallRefused means that no connection could be opened because nothing
	// listens at the address, or because the network refuses it.
	CallRefused
	// CallProcessEnded means that the worker's side had closed a connection in use
	// and that nothing listens at the address any more: the worker's process has
	// ended. A fault of the network may refuse or reset connections, but does not
	// close them in order.
	CallProcessEnded
)

// String returns the failure as it appears in logs.
func (f CallFailure) String() string {
	names := [...]string{"no answer", "connection closed", "connection reset", "connection refused", "process ended"}
	if f >= 0 && int(f) < len(names) {
		return names[f]
	}
	return fmt.Sprintf("call failure %d", int(f))
}
