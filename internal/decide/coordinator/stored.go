package coordinator

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// storedPatience stands for no limit: a stored job is done whenever it can.
	storedPatience = time.Hour
	// takeoverTime is how long the next owner of a worker may take to list what
	// ended there: a member's time to live, a join and a look.
	takeoverTime = 1500 * time.Millisecond
)

// Drive takes a stored job. Nobody waits for its answer: it is never refused
// or recalled, and ends when all its tasks are in the log as done.
func (s *Coordinator) SubmitStored(now time.Time, stored ledger.Drive) {
	if _, ok := s.jobs[stored.Job.ID]; ok {
		return
	}
	s.seq++
	j := newJob(now, s.seq, stored.Job, stored.Route, now.Add(storedPatience))
	j.stored = true
	for _, t := range j.tasks {
		t.runs, t.over, t.failed = stored.FirstRun-1, stored.FirstRun-1, stored.FailedRuns[t.name]
	}
	s.jobs[stored.Job.ID] = j
	for _, name := range stored.Done {
		if _, t := s.find(name); t != nil {
			t.state = taskDone
			j.left[name.Step]--
		}
	}
	s.offerJob(now, j)
}

// storedFactor is how many times its objective a stored job may be expected to
// take and still be accepted: later it is of no use to its caller.
const storedFactor = 3

// Admit says why a stored job is not to be accepted, and when its caller may
// come back, or nil.
func (s *Coordinator) AdmitStored(now time.Time, spec fleet.Job, route fleet.Route) (*errkind.Error, time.Duration) {
	j := newJob(now, 0, spec, route, now.Add(storedPatience))
	if err := s.fits(j); err != nil {
		return err, minRetryAfter
	}
	j.wait = s.expectedWait(j)
	if j.wait+j.chain > storedFactor*j.objective {
		return errkind.New(errkind.Overloaded, noRoom), j.retryAfter()
	}
	return nil, 0
}

// Release lets go of a stored job: another host drives it, or it is over.
func (s *Coordinator) ReleaseStored(now time.Time, id, why string) {
	if j, ok := s.jobs[id]; ok && j.stored {
		s.answer(now, j, errkind.New(errkind.Cancelled, "%s", why), 0)
	}
}

// Recorded takes the log's word that a task is done.
func (s *Coordinator) TaskRecorded(now time.Time, name fleet.TaskName) {
	if j, t := s.find(name); t != nil && t.state != taskDone {
		s.taskDone(now, j, t)
	}
}

// LogRead takes the time at which the last reading of the log was sent: every
// end that had been recorded by then is known.
func (s *Coordinator) SetLogReadTime(sent time.Time) { s.logRead = sent }

// orphanOver reports whether an orphaned run has ended without a result. The
// end of a stored job's run may be in the log, or on its worker's list, which
// the worker's next owner reads.
func (s *Coordinator) orphanOver(now time.Time, j *job, t *task) bool {
	if !j.stored {
		return !now.Before(t.overAt)
	}
	over := t.overAt.Add(takeoverTime)
	return !now.Before(over) && s.logRead.After(over)
}
