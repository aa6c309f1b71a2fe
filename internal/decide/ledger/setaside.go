package ledger

import (
	"fmt"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// JobSetAside reports that this host, as its driver, closes a job as failed because no
// host can run it, or that it has read a damaged record of a job's end.
type JobSetAside struct {
	Job   string
	Queue string
	Cause SetAsideCause
	Why   string
}

func (JobSetAside) action() {}

// SetAsideCause tells why no host can run a job of the log.
type SetAsideCause string

// The causes for which a job is set aside.
const (
	// Damaged means that the job's record cannot be read or makes no sense.
	Damaged SetAsideCause = "damaged"
	// TooLarge means that the job exceeds Config.MaxSteps or Config.MaxTasks.
	TooLarge SetAsideCause = "too_large"
)

// damage returns what is wrong with a job that no host may have accepted, or an empty
// string.
func damage(job fleet.Job) string {
	if len(job.Steps) == 0 {
		return "job has no steps"
	}
	for i, step := range job.Steps {
		if step.Count <= 0 || step.Size.MilliCPU < 0 || step.Size.MemoryMB < 0 || step.Size.GPUs < 0 {
			return fmt.Sprintf("step %d has count %d and size %+v", i, step.Count, step.Size)
		}
		for _, dependency := range step.After {
			if dependency < 0 || dependency >= i {
				return fmt.Sprintf("step %d depends on step %d, which is not an earlier step", i, dependency)
			}
		}
	}
	return ""
}

// excess returns which limit a job exceeds, or an empty string.
func (c Config) excess(job fleet.Job) string {
	if c.MaxSteps > 0 && len(job.Steps) > c.MaxSteps {
		return fmt.Sprintf("job has more than %d steps", c.MaxSteps)
	}
	tasks := 0
	for _, step := range job.Steps {
		if c.MaxTasks > 0 && step.Count > c.MaxTasks-tasks {
			return fmt.Sprintf("job has more than %d tasks", c.MaxTasks)
		}
		tasks += step.Count
	}
	return ""
}

// setAside closes a job that no host can run. Only a driver decides this: a host that
// reads the log shows what the log says.
func (l *Ledger) setAside(j *job) bool {
	cause, why := Damaged, j.damage
	if why == "" {
		cause, why = TooLarge, l.cfg.excess(j.spec)
	}
	if why == "" {
		return false
	}
	l.emit(JobSetAside{Job: j.spec.ID, Queue: j.route.Name, Cause: cause, Why: why})
	j.reason = why
	l.closeFailed(j)
	return true
}

// Reason returns why a job was set aside, or an empty string.
func (l *Ledger) Reason(id string) string {
	if j := l.jobs[id]; j != nil && j.state == Failed {
		return j.reason
	}
	return ""
}
