package coordinator

import "time"

// answerTime is how long before the end of the callers' port every job is answered, so
// that its answer reaches the caller.
const answerTime = 400 * time.Millisecond

// Leave records that a planned stop has begun, and when the callers' port ends. The
// deadline of no best-effort job is later than answerTime before that.
func (c *Coordinator) Leave(portEnds time.Time) {
	c.answerBy = portEnds.Add(-answerTime)
	for _, j := range c.jobs {
		c.limitDeadline(j)
	}
}

// limitDeadline moves the deadline of a best-effort job to the last time at which it
// can be answered.
func (c *Coordinator) limitDeadline(j *job) {
	if !j.stored && !c.answerBy.IsZero() && j.deadline.After(c.answerBy) {
		j.deadline = c.answerBy
	}
}

// stopNote is appended to the reason of an answer that was given because of a planned
// stop.
func (j *job) stopNote() string {
	if j.deadline.Before(j.callerDeadline) {
		return "; the host is stopping"
	}
	return ""
}
