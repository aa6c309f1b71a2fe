package workerpool

import "time"

const (
	// minTimeout allows for a busy host and the latency between zones.
	minTimeout = 40 * time.Millisecond
	// maxTimeout bounds the wait for a worker that has become slow to answer.
	maxTimeout = 250 * time.Millisecond
	// longPollMargin is how long the answer to a long poll may take beyond its
	// wait. It can be generous, since other calls proceed meanwhile.
	longPollMargin = 400 * time.Millisecond
	// meanWeight, deviationWeight and deviationFactor are those of TCP's
	// retransmission timer.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
)

// TimeoutEstimator derives the timeout of an order from the times of earlier
// answers, as TCP does for its retransmissions. The zero value is ready to use.
type TimeoutEstimator struct {
	mean, deviation time.Duration
}

// Observe records the time that an answer took.
func (p *TimeoutEstimator) Observe(took time.Duration) {
	if p.mean == 0 {
		p.mean, p.deviation = took, took/2
		return
	}
	p.deviation += time.Duration(deviationWeight * float64((took-p.mean).Abs()-p.deviation))
	p.mean += time.Duration(meanWeight * float64(took-p.mean))
}

// TimedOut records an order whose answer did not arrive in time; it raises the
// timeout.
func (p *TimeoutEstimator) TimedOut() { p.deviation += p.deviation / 8 }

// Timeout returns how long to wait for an answer: maxTimeout before the first
// observation.
func (p *TimeoutEstimator) Timeout() time.Duration { return p.timeoutWithin(maxTimeout) }

// timeoutWithin returns Timeout with another upper bound.
func (p *TimeoutEstimator) timeoutWithin(bound time.Duration) time.Duration {
	if p.mean == 0 {
		return bound
	}
	return min(max(p.mean+deviationFactor*p.deviation, minTimeout), bound)
}
