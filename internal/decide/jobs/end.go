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

// takeOwnership adds a job whose tasks this host may place from now on.
func (c *Core) takeOwnership(now time.Time, k Key, p *pendingClaim, leaseEnd time.Time, rule, why string) {
	j := c.newJob(p, k, leaseEnd)
	c.owned[k] = j
	c.byKeyText[j.keyText] = j
	c.unresolved = append(c.unresolved, j)
	c.logDecision(decision.PartJob, "own", rule, k, nil, "%s; %d tasks", why, len(j.tasks))
	if err := c.checkPlaceable(j); err != nil {
		c.beginStop(now, j, err)
		return
	}
	c.placementQueue = append(c.placementQueue, j)
}

// checkPlaceable returns an error if some task of the job can never be placed.
func (c *Core) checkPlaceable(j *job) *errkind.Error {
	quota, bounded := c.quotas[team{j.key.Customer, j.spec.Team}]
	for i := range j.tasks {
		t := &j.tasks[i]
		size := t.declared()
		switch {
		case c.fleet.Len() > 0 && !c.fleet.FitsWhenIdle(size):
			return errkind.New(errkind.TaskUnplaceable, "task %s needs %d cores, %d MB and %d accelerators; no worker has that much",
				t.spec.Name, size.Cores, size.MemoryMB, size.Accelerators)
		case bounded && size.Cores > quota:
			return errkind.New(errkind.QuotaExceeded, "task %s needs %d cores; team %s may hold %d through this entry host",
				t.spec.Name, size.Cores, j.spec.Team, quota)
		}
	}
	return nil
}

// Cancel stops a job at a caller's request. An error concerns this call only;
// after nil, an Answer, OwnedElsewhere or Refused follows.
func (c *Core) Cancel(now time.Time, k Key) *errkind.Error {
	cancelled := errkind.New(errkind.Cancelled, "cancelled by the caller")
	if j, ok := c.owned[k]; ok {
		switch {
		case j.answered:
			c.sendAnswer(now, j)
		case !j.closed && j.stopCause == nil:
			c.logDecision(decision.PartJob, "cancel", "caller", k, nil, "the caller cancelled the job")
			c.beginStop(now, j, cancelled)
		}
		return nil
	}
	if p, ok := c.pending[k]; ok {
		p.cancelErr = cancelled
		return nil
	}
	if e, ok := c.table.Lookup(k); ok {
		c.sendLogged(k, e)
		return nil
	}
	return errkind.New(errkind.UnknownSubject, "no job %s is known here", k).WithRun(errkind.Unknown)
}

// beginStop stops a job: unsent tasks are discarded, sent ones are stopped, and
// the job is closed once the workers have reported their state.
func (c *Core) beginStop(now time.Time, j *job, err *errkind.Error) {
	j.stopCause = err
	j.stopDeadline = now.Add(c.cfg.StopTimeout)
	c.discardUnsent(j)
	c.stopTasks(now, j)
	c.finishStop(now, j)
}

// finishStop closes a job that is being stopped, once no worker may have a task
// of it or the stop deadline has passed.
func (c *Core) finishStop(now time.Time, j *job) {
	if j.closed || j.stopCause == nil || (j.hasTasksOnWorkers() && now.Before(j.stopDeadline)) {
		return
	}
	err := j.stopCause.WithRun(j.runState())
	done, started := j.counts()
	detail := err.Detail
	switch {
	case err.Run == errkind.NotRun:
		detail += "; no task was started"
	case j.hasTasksOnWorkers():
		detail += fmt.Sprintf("; %d of %d tasks known to have started, %d complete, and some workers did not confirm that theirs stopped",
			started, len(j.tasks), done)
	default:
		detail += fmt.Sprintf("; %d of %d tasks started, %d complete, the others stopped", started, len(j.tasks), done)
	}
	err.Detail = detail
	c.close(now, j, err)
}

// fail closes a job as failed at once and stops its other tasks.
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

// close closes a job, as complete if err is nil. It is answered when the log
// has accepted the close, or shortly afterwards without it if the log is
// unavailable.
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
	c.logDecision(decision.PartJob, "close", string(answer.State), j.key, nil, "%s", closeReason(j, answer))
	c.markClosed(now, j, answer)
	if j.minted {
		c.markLogged(now, j)
		return
	}
	j.answerDeadline = now.Add(c.cfg.CloseAppendTimeout)
	c.appendClose(now, j)
}

// AppendSucceeded handles a record that the log accepted. A close that was
// accepted while the lease is valid is the first.
func (c *Core) AppendSucceeded(now time.Time, r Record) {
	j, ok := c.owned[r.Key]
	if ok && r.Kind == KindClose && j.closed && now.Before(j.leaseEnd) {
		c.markLogged(now, j)
	}
}

// answerBeforeLogged answers although the log has not accepted the close, as
// long as the lease is valid. After that, the log decides.
func (c *Core) answerBeforeLogged(now time.Time, j *job) {
	if !j.answered {
		j.answered = true
		c.sendAnswer(now, j)
	}
}

// markLogged records that the job's close is in the log or needs no record, and
// sends the answer unless it was sent.
func (c *Core) markLogged(now time.Time, j *job) {
	j.closeLogged = true
	if !j.answered {
		j.answered = true
		c.sendAnswer(now, j)
	}
}

// sendAnswer emits the answer of a job that was answered. Once the lease has
// ended, an answer that is not in the log is withheld, since the log decides
// then.
func (c *Core) sendAnswer(now time.Time, j *job) {
	switch {
	case !j.answered:
	case j.resultsDropped != nil:
		c.emit(Refused{Key: j.key, Err: j.resultsDropped})
	case j.closeLogged:
		c.emit(Answer{Key: j.key, Answer: j.answer})
	case now.Before(j.leaseEnd):
		c.emit(Answer{Key: j.key, Answer: j.currentAnswer(), NotAfter: j.leaseEnd})
	default:
		j.answered = false
	}
}

// currentAnswer returns the answer, marked as unrecorded until the close is in
// the log.
func (j *job) currentAnswer() callerapi.JobAnswer {
	answer := j.answer
	answer.Unrecorded = !j.closeLogged
	return answer
}

// AnswerExpired handles an unrecorded answer that was not delivered before the
// lease ended. The log decides then.
func (c *Core) AnswerExpired(k Key) {
	if j, ok := c.owned[k]; ok && !j.closeLogged {
		j.answered = false
	}
}

func closeReason(j *job, a callerapi.JobAnswer) string {
	if a.State == callerapi.JobComplete {
		return "all " + strconv.Itoa(len(j.tasks)) + " results were received"
	}
	return a.ErrorKind + ": " + a.Reason
}

// markClosed stores the answer of a job and stops all work on it.
func (c *Core) markClosed(now time.Time, j *job, answer callerapi.JobAnswer) {
	c.resultBytes += answerBytes(answer) - answerBytes(j.answer)
	j.answer = answer
	if j.closed {
		return
	}
	j.closed, j.closedAt = true, now
	c.unreserve(j)
	c.discardUnsent(j)
	c.stopTasks(now, j)
	c.closed = append(c.closed, j)
	c.trimResults()
}

// trimResults discards the oldest results beyond the limit. Later requests for
// such a job get an error.
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
		j.resultsDropped = errkind.New(errkind.OwnerLost, "the job completed; its results are no longer held").WithRun(errkind.Ran)
	}
}

func (c *Core) appendClose(now time.Time, j *job) {
	j.retryAt = now.Add(c.cfg.RetryInterval)
	c.append(now, Record{
		Kind: KindClose, Key: j.key, ClaimOwner: c.cfg.Self, State: j.answer.State,
		ErrorKind: j.answer.ErrorKind, Run: j.answer.Run, Reason: j.answer.Reason,
	})
}

// discardUnsent discards the tasks that were not sent to a worker.
func (c *Core) discardUnsent(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.state {
		case taskPlaced:
			c.releaseCapacity(taskRef{j, i})
			t.state = taskDiscarded
		case taskWaiting:
			t.state = taskDiscarded
		}
	}
	j.waiting = nil
}

// stopTasks stops the job's tasks that a worker runs, or may run.
func (c *Core) stopTasks(now time.Time, j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskUnconfirmed || t.state == taskRunning {
			c.queueStops(now, c.workers[t.worker], workerapi.TaskRef{Submission: j.keyText, Task: t.spec.Name})
		}
	}
}

// recordResult stores a task's result, and closes the job after the last one.
func (c *Core) recordResult(now time.Time, j *job, i int, worker string, output []byte) {
	j.results[i] = callerapi.TaskResult{Name: j.tasks[i].spec.Name, Worker: worker, Output: output}
	j.remaining--
	if j.remaining == 0 && !j.closed {
		c.close(now, j, nil)
	}
}

// SetQuotas replaces the quotas of all teams: the cores that each team may use
// through this host.
func (c *Core) SetQuotas(quotas []Quota) {
	clear(c.quotas)
	for _, q := range quotas {
		c.quotas[team{q.Customer, q.Team}] = q.Cores
	}
}

// Quota limits the cores that the tasks of one team hold at once through this
// entry host.
type Quota struct {
	Customer string
	Team     string
	Cores    int
}

// withinQuota reports whether the job's team may use a task's cores in addition
// to those in use.
func (c *Core) withinQuota(j *job, size placement.Size) bool {
	k := team{j.key.Customer, j.spec.Team}
	quota, bounded := c.quotas[k]
	return !bounded || c.coresInUse[k]+size.Cores <= quota
}
