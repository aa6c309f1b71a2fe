package eject

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedTime is the longest response time recorded; longer ones count
	// as this.
	maxRecordedTime = 10 * time.Minute
	// histogramDigits is the precision of response times in significant digits.
	histogramDigits = 2
	// rotateInterval is the shortest time for which response times are collected
	// before new bounds are computed. Until then the bounds from the previous
	// interval apply.
	rotateInterval = 20 * time.Second
	// minAnswers is how many answers are needed to compute bounds.
	minAnswers = 1000
	// defaultBound is the bound on the response time until there are enough
	// answers.
	defaultBound = 10 * time.Second
	// minBound is the lowest bound.
	minBound = 500 * time.Millisecond
	// boundMargin is the factor applied to measured response times as a safety
	// margin.
	boundMargin = 1.5
	// boundDecay is the lowest ratio of a new bound to the previous one, so that
	// bounds decrease gradually.
	boundDecay = 0.9
	// falseAlarmProbability is the probability that requests of a healthy server
	// all exceed their bound.
	falseAlarmProbability = 1e-6
	// maxBounds is the largest number of requests with a bound of its own.
	maxBounds = 8
)

// responseTimes computes bounds on response times from those measured. bounds[i]
// is the bound for i+1 requests that wait together.
type responseTimes struct {
	current   *hdrhistogram.Histogram
	rotatedAt time.Time
	bounds    [maxBounds]time.Duration
	known     bool
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Milliseconds(), histogramDigits)
}

func (t *responseTimes) record(took time.Duration) {
	if t.current == nil {
		t.current = newHistogram()
	}
	ms := min(max(1, took.Milliseconds()), maxRecordedTime.Milliseconds())
	// RecordValue cannot fail: the value is within the histogram's range.
	_ = t.current.RecordValue(ms)
}

// rotate computes new bounds from the collected response times once there are
// enough, and starts a new interval.
func (t *responseTimes) rotate(now time.Time) {
	if t.rotatedAt.IsZero() {
		t.rotatedAt = now
	}
	if t.current == nil || t.current.TotalCount() < minAnswers {
		return
	}
	if t.known && now.Sub(t.rotatedAt) < rotateInterval {
		return
	}
	for i := range t.bounds {
		decayed := time.Duration(boundDecay * float64(t.bounds[i]))
		t.bounds[i] = max(boundFor(t.current, i+1), decayed)
	}
	t.known, t.rotatedAt = true, now
	t.current.Reset()
}

// boundFor returns the response time that count requests to a healthy server
// all exceed with a probability of at most falseAlarmProbability, multiplied by
// boundMargin.
func boundFor(h *hdrhistogram.Histogram, count int) time.Duration {
	exceed := math.Pow(falseAlarmProbability, 1/float64(count))
	ms := float64(h.ValueAtQuantile(100 * (1 - exceed)))
	if exceed*float64(h.TotalCount()) < 1 {
		// Too few response times are recorded for this quantile.
		ms = float64(h.Max())
	}
	return max(minBound, time.Duration(boundMargin*ms*float64(time.Millisecond)))
}

// bound returns how long count requests may all wait without an answer.
func (t *responseTimes) bound(count int) time.Duration {
	if !t.known {
		return defaultBound
	}
	return t.bounds[min(count, maxBounds)-1]
}
