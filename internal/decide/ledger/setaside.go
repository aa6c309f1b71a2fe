package ledger

import "github.com/parsleyhill/parsleyhill/internal/decide/jobcheck"

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
	// TooLarge means that a number of the job, or its work, is larger than this version
	// accepts, or that it exceeds Config.MaxSteps or Config.MaxTasks.
	TooLarge SetAsideCause = "too_large"
)

// setAside closes a job that no host can run. Only a driver decides this: a host that
// reads the log shows what the log says.
func (l *Ledger) setAside(j *job) bool {
	cause, why := Damaged, j.damage
	if why == "" {
		fault := jobcheck.Check(j.spec, jobcheck.Limits{Steps: l.cfg.MaxSteps, Tasks: l.cfg.MaxTasks})
		if fault == nil {
			return false
		}
		cause, why = TooLarge, fault.Error()
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
