package workerpool

import "time"

const (
	// minPatience allows for a busy host and a link between zones.
	minPatience = 40 * time.Millisecond
	// maxPatience bounds the wait for a worker that has become slow to answer.
	maxPatience = 250 * time.Millisecond
	// waitingPatience is for the answer of a look that waits for an end: others
	// go on beside it, so that nothing depends on it.
	waitingPatience = 400 * time.Millisecond
	// meanWeight and spreadWeight are those of TCP's retransmission timer, as
	// is the factor of the spread.
	meanWeight   = 1.0 / 8
	spreadWeight = 1.0 / 4
	spreadFactor = 4
)

// Patience estimates how long an answer to an order may take, as TCP does for
// its retransmissions. The zero value is ready to use.
type TimeoutEstimator struct {
	mean, spread time.Duration
}

// Answered takes the time of one answer.
func (p *TimeoutEstimator) Observe(took time.Duration) {
	if p.mean == 0 {
		p.mean, p.spread = took, took/2
		return
	}
	p.spread += time.Duration(spreadWeight * float64((took-p.mean).Abs()-p.spread))
	p.mean += time.Duration(meanWeight * float64(took-p.mean))
}

// Unanswered takes an order whose answer did not come in time.
func (p *TimeoutEstimator) TimedOut() { p.spread += p.spread / 8 }

// Limit returns how long to wait for an answer.
func (p *TimeoutEstimator) Timeout() time.Duration {
	if p.mean == 0 {
		return maxPatience
	}
	return min(max(p.mean+spreadFactor*p.spread, minPatience), maxPatience)
}
