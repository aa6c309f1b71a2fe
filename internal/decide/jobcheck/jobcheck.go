// Package jobcheck bounds what a job may ask for. A job is checked when it is submitted,
// and again before a host drives one of the log, which another version may have accepted.
package jobcheck

import (
	"fmt"
	"math"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// MaxNumber is the largest number of tasks, size or run time in milliseconds that a
	// message between hosts can carry.
	MaxNumber = math.MaxInt32
	// maxEstimate bounds the declared run time of a task.
	maxEstimate = MaxNumber * time.Millisecond
	// MaxWork bounds the work of a job, in thousandths of a core times milliseconds: hosts
	// add up the work of all their jobs as an int64.
	MaxWork = 1 << 50
)

// Limits bounds the steps and tasks of a job. Zero means no limit on steps, and MaxNumber
// tasks.
type Limits struct{ Steps, Tasks int }

// Kind tells which bound a job breaks.
type Kind int

// The bounds on jobs.
const (
	// NoSteps means that the job has no steps, Steps that it has too many.
	NoSteps Kind = iota
	Steps
	// Count means that a step has no tasks, Tasks that it and the earlier ones have too many.
	Count
	Tasks
	// MilliCPU to Estimate mean that a number of a step is out of range.
	MilliCPU
	MemoryMB
	GPUs
	MaxPerWorker
	Estimate
	// Dependencies means that a step depends on more steps than there are before it, Order
	// that it depends on one that is not before it, Repeated that it lists one twice.
	Dependencies
	Order
	Repeated
	// Work means that the steps up to one have too much work.
	Work
)

// Fault is the first bound that a job breaks.
type Fault struct {
	Kind Kind
	// Step is the index of the step, or zero for NoSteps and Steps.
	Step int
	// Value is the number that is out of bounds; an Estimate is in nanoseconds. For Tasks
	// it is the count of the step, and Tasks the tasks of the job up to it.
	Value int
	Tasks uint64
	// Limit is the largest value, or for Tasks the most tasks of the job.
	Limit int
	// Work is the work of the job up to the step, if that is the fault.
	Work float64
}

// Error implements error.
func (f *Fault) Error() string {
	switch f.Kind {
	case NoSteps:
		return "job has no steps"
	case Steps:
		return fmt.Sprintf("job has more than %d steps", f.Limit)
	case Count:
		return fmt.Sprintf("step %d has count %d, less than 1", f.Step, f.Value)
	case Tasks:
		return fmt.Sprintf("job has more than %d tasks", f.Limit)
	case MilliCPU:
		return f.outOfRange("%d thousandths of a core")
	case MemoryMB:
		return f.outOfRange("%d MB of memory")
	case GPUs:
		return f.outOfRange("%d GPUs")
	case MaxPerWorker:
		return f.outOfRange("at most %d tasks on a worker")
	case Estimate:
		return fmt.Sprintf("step %d has an estimate of %v, not from 0 to %v", f.Step, time.Duration(f.Value), maxEstimate)
	case Dependencies:
		return fmt.Sprintf("step %d lists %d dependencies, more than the %d earlier steps", f.Step, f.Value, f.Limit)
	case Order:
		return fmt.Sprintf("step %d depends on step %d, which is not an earlier step", f.Step, f.Value)
	case Repeated:
		return fmt.Sprintf("step %d depends on step %d twice", f.Step, f.Value)
	case Work:
		return fmt.Sprintf("job has work of %.0f with step %d, more than %d", f.Work, f.Step, MaxWork)
	}
	return fmt.Sprintf("fault %d of step %d", f.Kind, f.Step)
}

func (f *Fault) outOfRange(value string) string {
	return fmt.Sprintf("step %d has "+value+", not from 0 to %d", f.Step, f.Value, f.Limit)
}

// Check returns the first bound that a job breaks, or nil.
func Check(job fleet.Job, limits Limits) *Fault {
	if fault := Malformed(job); fault != nil {
		return fault
	}
	return excess(job, limits)
}

// Malformed returns the first bound that a job breaks and that holds for a job of any
// size, or nil.
func Malformed(job fleet.Job) *Fault {
	if len(job.Steps) == 0 {
		return &Fault{Kind: NoSteps}
	}
	// lastUser is, for each step, one more than the last step that depends on it.
	lastUser := make([]int, len(job.Steps))
	for i, s := range job.Steps {
		if s.Count < 1 {
			return &Fault{Kind: Count, Step: i, Value: s.Count}
		}
		for _, n := range numbers(s) {
			if n.value < 0 {
				return &Fault{Kind: n.kind, Step: i, Value: n.value, Limit: n.limit}
			}
		}
		if len(s.After) > i {
			return &Fault{Kind: Dependencies, Step: i, Value: len(s.After), Limit: i}
		}
		for _, dependency := range s.After {
			if dependency < 0 || dependency >= i {
				return &Fault{Kind: Order, Step: i, Value: dependency}
			}
			if lastUser[dependency] == i+1 {
				return &Fault{Kind: Repeated, Step: i, Value: dependency}
			}
			lastUser[dependency] = i + 1
		}
	}
	return nil
}

// excess returns the first bound that a job is too large for, or nil.
func excess(job fleet.Job, limits Limits) *Fault {
	if limits.Steps > 0 && len(job.Steps) > limits.Steps {
		return &Fault{Kind: Steps, Value: len(job.Steps), Limit: limits.Steps}
	}
	if limits.Tasks == 0 {
		limits.Tasks = MaxNumber
	}
	tasks, work := 0, 0.0
	for i, s := range job.Steps {
		for _, n := range numbers(s) {
			if n.value > n.limit {
				return &Fault{Kind: n.kind, Step: i, Value: n.value, Limit: n.limit}
			}
		}
		if s.Count > limits.Tasks-tasks {
			return &Fault{Kind: Tasks, Step: i, Value: s.Count, Tasks: uint64(tasks) + uint64(s.Count), Limit: limits.Tasks}
		}
		tasks += s.Count
		work += float64(s.Count) * float64(s.Size.MilliCPU) * float64(s.Estimate) / float64(time.Millisecond)
		if work > MaxWork {
			return &Fault{Kind: Work, Step: i, Work: work}
		}
	}
	return nil
}

// number is a number of a step that may be from 0 to limit.
type number struct {
	kind         Kind
	value, limit int
}

func numbers(s fleet.Step) []number {
	return []number{
		{MilliCPU, s.Size.MilliCPU, MaxNumber},
		{MemoryMB, s.Size.MemoryMB, MaxNumber},
		{GPUs, s.Size.GPUs, MaxNumber},
		{MaxPerWorker, s.MaxPerWorker, MaxNumber},
		{Estimate, int(s.Estimate), int(maxEstimate)},
	}
}
