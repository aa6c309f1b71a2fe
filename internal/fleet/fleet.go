// Package fleet holds the nouns that hosts, workers and callers share: what a
// job asks for, what a worker offers, and which configuration is in force.
package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Size is what a task takes, or what a worker has.
type Size struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int
	MemoryMB int
	GPUs     int
}

// Fits reports whether s fits into room.
func (s Size) Fits(room Size) bool {
	return s.MilliCPU <= room.MilliCPU && s.MemoryMB <= room.MemoryMB && s.GPUs <= room.GPUs
}

// Plus returns the sum of both.
func (s Size) Add(o Size) Size {
	return Size{s.MilliCPU + o.MilliCPU, s.MemoryMB + o.MemoryMB, s.GPUs + o.GPUs}
}

// Minus returns s less o.
func (s Size) Sub(o Size) Size {
	return Size{s.MilliCPU - o.MilliCPU, s.MemoryMB - o.MemoryMB, s.GPUs - o.GPUs}
}

// Host is one entry host of the fleet.
type Host struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is where the host serves its peers, as IP and port.
	Address string `json:"address"`
	// Incarnation is unique to one start of the host's process.
	Incarnation string `json:"incarnation"`
}

// Worker is one worker as it registered itself.
type Worker struct {
	ID      string
	Address string
	Zone    string
	// Service is the pool that the worker belongs to.
	Service string
	Labels  []string
	// Capacity is zero if the worker did not say.
	Capacity Size
	// Draining is set while the worker prepares to leave.
	Draining bool
	// Born is when the worker's process started, in Unix milliseconds. A
	// worker may start again under the same id.
	StartTime int64
}

// clocksSlow bounds, in hundredths, how much slower than ours a worker's clock
// may run: the platform says two, and one is for our own.
const clocksSlow = 3

// OnSlowestClock returns how long a time on a worker's clock may take on ours.
func WithMaxClockDrift(d time.Duration) time.Duration { return d + d*clocksSlow/100 }

// HasLabel reports whether the worker has a label; the empty one always.
func (w Worker) HasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// Route is one queue of jobs.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Service names the pool of workers that run the queue's tasks.
	Service string
	// Timeout bounds a request; zero means no bound.
	Timeout time.Duration
	// LatencySlack is added to the stretched work to give the objective.
	LatencySlack time.Duration
	// Stretch is the share of a job's longest chain that its objective allows.
	Stretch float64
	// Priority orders queues; zero comes first.
	Priority int
	// MaxAttempts bounds the failed runs of one task.
	MaxAttempts int
}

// Limits bound what callers may send. Zero means no bound.
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

// Route returns the route for a host and path: the longest prefix wins.
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

// Step is one step of a job.
type Step struct {
	Count    int
	Size     Size
	Estimate time.Duration
	// After numbers the steps whose tasks must all be done first.
	After []int
	// RequiredLabel is a label that the worker must have, or empty.
	RequiredLabel string
	// Affinity names the rack that holds the data, or is empty.
	Affinity string
	// MaxPerWorker bounds the tasks of the step on one worker; zero: no bound.
	MaxPerWorker int
}

// Job is one submission.
type Job struct {
	ID    string
	Spec  string
	Steps []Step
	// BestEffort jobs are not stored; the caller waits for their end.
	BestEffort bool
	// Unsupported names a feature that this dispatcher does not run, or is
	// empty.
	Unsupported string `json:",omitempty"`
}

// TaskName names one task of a job.
type TaskName struct {
	Job   string
	Step  int
	Index int
}

// String returns the name for logs.
func (t TaskName) String() string { return fmt.Sprintf("%s/%d/%d", t.Job, t.Step, t.Index) }

// Ending says how a run ended at its worker.
type EndReason int

// The endings.
const (
	// EndedDone means that the task completed.
	EndedDone EndReason = iota + 1
	// EndedFailed means that the run failed, by its own or the worker's fault.
	EndedFailed
	// EndedStopped means that the run was stopped on order.
	EndedStopped
	// EndedLapsed means that the run's lease expired.
	EndedLeaseExpired
)

// String returns the ending for logs.
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

// RunID names one run of one task.
type RunID struct {
	Task TaskName
	Run  int
}

// Compare orders runs by task and number.
func (r RunID) Compare(o RunID) int {
	return cmp.Or(
		cmp.Compare(r.Task.Job, o.Task.Job), cmp.Compare(r.Task.Step, o.Task.Step),
		cmp.Compare(r.Task.Index, o.Task.Index), cmp.Compare(r.Run, o.Run),
	)
}

// RunEnd is one entry of a worker's list of ends.
type RunEnd struct {
	// Seq numbers the ends of one lifetime of the worker, from 1.
	Seq int64
	RunID
	Reason EndReason
}

// Progress is one entry of a worker's list of runs.
type RunProgress struct {
	RunID
	// Percent is how much of its work the run has done.
	Percent int
}

// Listing is what a worker says about itself.
type PollResponse struct {
	// Clock is the worker's own clock.
	Clock     time.Duration
	StartTime int64
	Running   []RunProgress
	Ended     []RunEnd
}

// StartVerdict is a worker's answer to a start.
type StartVerdict int

// The verdicts.
const (
	// StartAccepted means that the run is there.
	StartAccepted StartVerdict = iota
	// StartFenced means that another host owns the worker.
	StartFenced
	// StartOld means that a run as high was stopped or ended there.
	StartSuperseded
	// StartLate means that the lease had expired on arrival.
	StartLeaseExpired
	// StartNoRoom means that the worker rejected the run for want of room.
	StartNoCapacity
	// StartUnhealthy means that the worker did nothing.
	StartUnhealthy
	// StartGone means that another lifetime answered.
	StartWrongWorker
	// StartInvalid means that the worker rejected the order as malformed.
	StartInvalid
	// StartUnknown means that no answer came; the run may be there.
	StartUnknown
)

// String returns the verdict for logs.
func (v StartVerdict) String() string {
	names := [...]string{"accepted", "fenced", "old", "late", "no_room", "unhealthy", "gone", "invalid", "unknown"}
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict %d", int(v))
}
