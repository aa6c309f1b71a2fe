package jobs

import (
	"fmt"
	"strconv"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// own takes a job: its tasks may be placed from now on.
func (c *Core) own(now time.Time, k Key, p *pending, leaseEnd time.Time, rule, why string) {
	j := c.newJob(p, k, leaseEnd)
	c.owned[k] = j
	c.byText[j.text] = j
	c.open = append(c.open, j)
	c.note(decision.PartJob, "own", rule, k, nil, "%s; %d tasks", why, len(j.tasks))
	if err := c.unplaceable(j); err != nil {
		c.end(now, j, err)
		return
	}
	c.queue = append(c.queue, j)
}

// unplaceable returns why a job can never run whole, or nil.
func (c *Core) unplaceable(j *job) *errkind.Error {
	quota, bounded := c.quotas[team{j.key.Customer, j.spec.Team}]
	for i := range j.tasks {
		t := &j.tasks[i]
		size := t.declared()
		switch {
		case c.fleet.Len() > 0 && !c.fleet.FitsWhenIdle(size):
			return errkind.New(errkind.TaskUnplaceable, "task %s needs %d cores, %d MB and %d accelerators; no worker has that",
				t.spec.Name, size.Cores, size.MemoryMB, size.Accelerators)
		case bounded && size.Cores > quota:
			return errkind.New(errkind.QuotaExceeded, "task %s needs %d cores; team %s may hold %d through this entry host",
				t.spec.Name, size.Cores, j.spec.Team, quota)
		}
	}
	return nil
}

// Cancel ends a job on a caller's word. An error is for this arrival alone;
// after nil, an Answer, Settled or Refused follows.
func (c *Core) Cancel(now time.Time, k Key) *errkind.Error {
	cancelled := errkind.New(errkind.Cancelled, "cancelled by the caller")
	if j, ok := c.owned[k]; ok {
		switch {
		case j.answered:
			c.give(now, j)
		case !j.closed && j.ending == nil:
			c.note(decision.PartJob, "cancel", "caller", k, nil, "the caller cancelled the job")
			c.end(now, j, cancelled)
		}
		return nil
	}
	if p, ok := c.pending[k]; ok {
		p.cancelled = cancelled
		return nil
	}
	if e, ok := c.table.Lookup(k); ok {
		c.tell(k, e)
		return nil
	}
	return errkind.New(errkind.UnknownSubject, "no job %s is known here", k).WithRun(errkind.Unknown)
}

// end stops a job: what was not sent is dropped, what was sent is stopped, and
// the job is closed when the workers have said what became of it.
func (c *Core) end(now time.Time, j *job, err *errkind.Error) {
	j.ending = err
	j.stopBy = now.Add(c.cfg.StopTimeout)
	c.dropUnsent(j)
	c.stopAll(now, j)
	c.finishEnding(now, j)
}

// finishEnding closes a job that is being stopped, once nothing is in doubt or
// the wait is over.
func (c *Core) finishEnding(now time.Time, j *job) {
	if j.closed || j.ending == nil || (j.busy() && now.Before(j.stopBy)) {
		return
	}
	err := j.ending.WithRun(j.runState())
	done, started := j.counts()
	detail := err.Detail
	switch {
	case err.Run == errkind.NotRun:
		detail += "; no task was started"
	case j.busy():
		detail += fmt.Sprintf("; %d of %d tasks known started, %d complete, and some workers did not confirm that theirs stopped",
			started, len(j.tasks), done)
	default:
		detail += fmt.Sprintf("; %d of %d tasks started, %d complete, the others stopped", started, len(j.tasks), done)
	}
	err.Detail = detail
	c.close(now, j, err)
}

// fail closes a job as failed at once and stops what is left of it.
func (c *Core) fail(now time.Time, j *job, err *errkind.Error) {
	if j.closed {
		return
	}
	run := j.runState()
	if err.Run == errkind.Ran {
		run = errkind.Ran
	}
	c.close(now, j, err.WithRun(run))
}

// close closes a job: complete if err is nil. It is answered when the log has
// taken the close, or shortly after if the log is away.
func (c *Core) close(now time.Time, j *job, err *errkind.Error) {
	answer := callerapi.JobAnswer{
		Submission: j.key.Submission, Customer: j.key.Customer, State: callerapi.JobComplete, Owner: c.cfg.Self.Host(),
	}
	if err == nil {
		answer.Results = j.results
	} else {
		answer.State = callerapi.JobFailed
		answer.ErrorKind, answer.Run, answer.Reason = string(err.Kind), string(err.Run), err.Detail
	}
	c.note(decision.PartJob, "close", string(answer.State), j.key, nil, "%s", closeReason(j, answer))
	c.shut(now, j, answer)
	if j.minted {
		c.settle(now, j)
		return
	}
	j.answerBy = now.Add(c.cfg.CloseAppendTimeout)
	c.publishClose(now, j)
}

// AppendDone is told when the log took a record. A close that was taken while
// the lease holds is the first.
func (c *Core) AppendSucceeded(now time.Time, r Record) {
	j, ok := c.owned[r.Key]
	if ok && r.Kind == KindClose && j.closed && now.Before(j.leaseEnd) {
		c.settle(now, j)
	}
}

// replyUnrecorded answers although the log has not taken the close, as long as
// the lease holds. After that, the log decides.
func (c *Core) replyUnrecorded(now time.Time, j *job) {
	if !j.answered {
		j.answered = true
		c.give(now, j)
	}
}

// settle takes that the log has the job's answer, and gives it unless it was
// given.
func (c *Core) settle(now time.Time, j *job) {
	j.recorded = true
	if !j.answered {
		j.answered = true
		c.give(now, j)
	}
}

// give gives the answer of a job that was answered. An answer that the log
// does not have is not given after the lease; the log decides then.
func (c *Core) give(now time.Time, j *job) {
	switch {
	case !j.answered:
	case j.trimmed != nil:
		c.emit(Refused{Key: j.key, Err: j.trimmed})
	case j.recorded:
		c.emit(Answer{Key: j.key, Answer: j.answer})
	case now.Before(j.leaseEnd):
		c.emit(Answer{Key: j.key, Answer: j.document(), NotAfter: j.leaseEnd})
	default:
		j.answered = false
	}
}

// document is the answer as it stands.
func (j *job) document() callerapi.JobAnswer {
	answer := j.answer
	answer.Unrecorded = !j.recorded
	return answer
}

// Withdraw is told when an unrecorded answer was not given before the lease
// ended. The log decides then.
func (c *Core) AnswerExpired(k Key) {
	if j, ok := c.owned[k]; ok && !j.recorded {
		j.answered = false
	}
}

func closeReason(j *job, a callerapi.JobAnswer) string {
	if a.State == callerapi.JobComplete {
		return "all " + strconv.Itoa(len(j.tasks)) + " results are in"
	}
	return a.ErrorKind + ": " + a.Reason
}

// shut ends all work on a job and keeps its answer.
func (c *Core) shut(now time.Time, j *job, answer callerapi.JobAnswer) {
	c.resultBytes += answerBytes(answer) - answerBytes(j.answer)
	j.answer = answer
	if j.closed {
		return
	}
	j.closed, j.closedAt = true, now
	c.unreserve(j)
	c.dropUnsent(j)
	c.stopAll(now, j)
	c.closed = append(c.closed, j)
	c.trimResults()
}

// trimResults lets go of the oldest results beyond the bound. Such a job can
// no longer be answered whole.
func (c *Core) trimResults() {
	for _, j := range c.closed {
		if c.resultBytes <= c.cfg.MaxResultBytes || j == c.closed[len(c.closed)-1] {
			return
		}
		if j.answer.Results == nil || !j.answered {
			continue
		}
		c.resultBytes -= answerBytes(j.answer)
		j.answer.Results, j.results = nil, nil
		j.trimmed = errkind.New(errkind.OwnerLost, "the job completed; its results are no longer held").WithRun(errkind.Ran)
	}
}

func (c *Core) publishClose(now time.Time, j *job) {
	j.retryAt = now.Add(c.cfg.RetryInterval)
	c.append(now, Record{
		Kind: KindClose, Key: j.key, ClaimOwner: c.cfg.Self, State: j.answer.State,
		ErrorKind: j.answer.ErrorKind, Run: j.answer.Run, Reason: j.answer.Reason,
	})
}

// dropUnsent takes back what no worker has seen.
func (c *Core) dropUnsent(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.state {
		case taskPlaced:
			c.release(ref{j, i})
			t.state = taskDropped
		case taskWaiting:
			t.state = taskDropped
		}
	}
	j.waiting = nil
}

// stopAll stops what workers run, or may run, of a job.
func (c *Core) stopAll(now time.Time, j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskUnsure || t.state == taskRunning {
			c.stopAt(now, c.workers[t.worker], workerapi.TaskRef{Submission: j.text, Task: t.spec.Name})
		}
	}
}

// complete counts a result in and closes the job when it was the last.
func (c *Core) complete(now time.Time, j *job, i int, worker string, output []byte) {
	j.results[i] = callerapi.TaskResult{Name: j.tasks[i].spec.Name, Worker: worker, Output: output}
	j.left--
	if j.left == 0 && !j.closed {
		c.close(now, j, nil)
	}
}

// SetQuotas replaces the cores that each team may hold through this host.
func (c *Core) SetQuotas(quotas []Quota) {
	clear(c.quotas)
	for _, q := range quotas {
		c.quotas[team{q.Customer, q.Team}] = q.Cores
	}
}

// Quota bounds the cores that one team's tasks hold at once through this
// entry host.
type Quota struct {
	Customer string
	Team     string
	Cores    int
}

// withinQuota reports whether a team may take more cores.
func (c *Core) withinQuota(j *job, size placement.Size) bool {
	k := team{j.key.Customer, j.spec.Team}
	quota, bounded := c.quotas[k]
	return !bounded || c.holding[k]+size.Cores <= quota
}
