package eject

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestTime is the longest answer time that is told apart.
	longestTime = 10 * time.Minute
	// timesDigits is the precision of answer times in significant digits.
	timesDigits = 2
	// timesInterval is how long answer times are gathered before they count.
	// Those of the last interval count until the next is full.
	timesInterval = 20 * time.Second
	// timesNeeded is how many answers must be known to bound an answer's time.
	timesNeeded = 1000
	// boundUnknown bounds an answer's time before enough are known.
	boundUnknown = 10 * time.Second
	// boundLeast is the shortest bound.
	boundLeast = 500 * time.Millisecond
	// boundMargin widens what was learned.
	boundMargin = 1.5
	// boundDecay is what is left of a bound when the next interval has shorter
	// times.
	boundDecay = 0.9
	// falseAlarm is the probability that a healthy server's requests all wait
	// beyond their bound.
	falseAlarm = 1e-6
	// boundsHeld is how many requests together get a bound of their own.
	boundsHeld = 8
)

// times learns how long answers take.
type times struct {
	current *hdrhistogram.Histogram
	started time.Time
	bounds  [boundsHeld]time.Duration
	known   bool
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestTime.Milliseconds(), timesDigits)
}

func (t *times) record(took time.Duration) {
	if t.current == nil {
		t.current = newHistogram()
	}
	ms := min(max(1, took.Milliseconds()), longestTime.Milliseconds())
	// The value is within the histogram's range.
	_ = t.current.RecordValue(ms)
}

// rotate takes the gathered times into use.
func (t *times) rotate(now time.Time) {
	if t.started.IsZero() {
		t.started = now
	}
	if t.current == nil || t.current.TotalCount() < timesNeeded {
		return
	}
	if t.known && now.Sub(t.started) < timesInterval {
		return
	}
	for i := range t.bounds {
		decayed := time.Duration(boundDecay * float64(t.bounds[i]))
		t.bounds[i] = max(learn(t.current, i+1), decayed)
	}
	t.known, t.started = true, now
	t.current.Reset()
}

// learn returns the time that count requests of a healthy server together
// exceed with the probability of a false alarm.
func learn(h *hdrhistogram.Histogram, count int) time.Duration {
	exceed := math.Pow(falseAlarm, 1/float64(count))
	ms := float64(h.ValueAtQuantile(100 * (1 - exceed)))
	if exceed*float64(h.TotalCount()) < 1 {
		// The times known do not reach so far.
		ms = float64(h.Max())
	}
	return max(boundLeast, time.Duration(boundMargin*ms*float64(time.Millisecond)))
}

// bound returns how long count requests may go together without an answer.
func (t *times) bound(count int) time.Duration {
	if !t.known {
		return boundUnknown
	}
	return t.bounds[min(count, boundsHeld)-1]
}
