package workerpool

import "time"

const (
	// minTimeout allows for a busy host and a link between zones.
	minTimeout = 40 * time.Millisecond
	// maxTimeout bounds the wait for a worker that has become slow to answer.
	maxTimeout = 250 * time.Millisecond
	// longPollMargin is for the answer of a look that waits for an end: others
	// go on beside it, so that nothing depends on it.
	longPollMargin = 400 * time.Millisecond
	// meanWeight and spreadWeight are those of TCP's retransmission timer, as
	// is the factor of the spread.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
)

// TimeoutEstimator estimates how long an answer to an order may take, as TCP does for
// its retransmissions. The zero value is ready to use.
type TimeoutEstimator struct {
	mean, deviation time.Duration
}

// Observe takes the time of one answer.
func (p *TimeoutEstimator) Observe(took time.Duration) {
	if p.mean == 0 {
		p.mean, p.deviation = took, took/2
		return
	}
	p.deviation += time.Duration(deviationWeight * float64((took-p.mean).Abs()-p.deviation))
	p.mean += time.Duration(meanWeight * float64(took-p.mean))
}

// TimedOut takes an order whose answer did not come in time.
func (p *TimeoutEstimator) TimedOut() { p.deviation += p.deviation / 8 }

// Timeout returns how long to wait for an answer.
func (p *TimeoutEstimator) Timeout() time.Duration {
	if p.mean == 0 {
		return maxTimeout
	}
	return min(max(p.mean+deviationFactor*p.deviation, minTimeout), maxTimeout)
}
