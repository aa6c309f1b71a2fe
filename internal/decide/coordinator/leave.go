package coordinator

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// answerTime is how long before the end of the callers' port every job is answered, so
// that its answer reaches the caller. It is longer than the time by which the port ends the
// contexts of all requests (httpserve): a job that ends there counts as one that may have
// run.
const answerTime = 400 * time.Millisecond

// Leave records that a planned stop has begun, and when the callers' port ends. The
// deadline of no best-effort job is later than answerTime before that. Jobs that have not
// started and cannot end by then are recalled, to be refused.
func (c *Coordinator) Leave(now, portEnds time.Time) {
	c.answerBy = portEnds.Add(-answerTime)
	for _, j := range c.jobsByArrival() {
		c.limitDeadline(j)
		c.recall(now, j)
		c.review(now, j)
	}
}

// limitDeadline moves the deadline of a best-effort job to the last time at which it
// can be answered.
func (c *Coordinator) limitDeadline(j *job) {
	if !j.stored && !c.answerBy.IsZero() && j.deadline.After(c.answerBy) {
		j.deadline = c.answerBy
	}
}

// missesStop reports whether a job that starts after a wait ends too late to be answered
// before the callers' port of this host ends.
func (c *Coordinator) missesStop(now time.Time, j *job, wait time.Duration) bool {
	return !j.stored && !c.answerBy.IsZero() && now.Add(wait+j.criticalPath+crossZoneDelay).After(c.answerBy)
}

// refuseStopping refuses a job that would end too late. Other hosts can take it now.
func (c *Coordinator) refuseStopping(now time.Time, j *job) {
	j.refusal = Stopping
	c.answer(now, j, errkind.New(errkind.Stopping, "the host is stopping and answers for another %v; the job takes %v",
		max(0, c.answerBy.Sub(now)), j.criticalPath), minRetryAfter)
}

// stopNote is appended to the reason of an answer that was given because of a planned
// stop.
func (j *job) stopNote() string {
	if j.deadline.Before(j.callerDeadline) {
		return "; the host is stopping"
	}
	return ""
}
