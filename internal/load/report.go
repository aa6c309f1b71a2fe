package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	// histogramDigits is the number of significant decimal digits recorded.
	histogramDigits = 3
	// maxMicros is the largest recorded time, in microseconds.
	maxMicros = int64(time.Hour / time.Microsecond)
	// slowdownScale is the integer that records a slowdown of 1.
	slowdownScale = 1000
)

// Quantiles summarizes the distribution of one measure.
type Quantiles struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

// Report holds the results of a run.
type Report struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Seconds is the length of the run, including the wait for the last answers.
	Seconds float64 `json:"seconds"`
	// Offered counts requests; each one ends as answered or failed.
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	Failed   int `json:"failed"`
	// Attempts counts sends; those beyond Offered are retries.
	Attempts int `json:"attempts"`
	// ResponseMs is the response time of answered requests in milliseconds,
	// measured from when they were due.
	ResponseMs Quantiles `json:"response_ms"`
	// Slowdown is the response time of answered requests divided by the ideal
	// one, which is the run time plus one round trip.
	Slowdown Quantiles `json:"slowdown"`
	// LagMs is how late the generator sent first attempts, in milliseconds. If
	// it is large, the run measures the generator instead of the entry hosts.
	LagMs Quantiles `json:"lag_ms"`
	// Kinds counts failed requests by the kind of their last error.
	Kinds map[errkind.Kind]int `json:"kinds,omitempty"`
	// Runs counts failed requests by the run state of their last error.
	Runs map[errkind.RunState]int `json:"runs,omitempty"`
	// ExtraMessages counts the messages beyond the two that a request needs, as
	// reported by the entry hosts, plus the retries.
	ExtraMessages int64 `json:"extra_messages"`
	// ExtraPerRequest is ExtraMessages divided by Offered.
	ExtraPerRequest float64 `json:"extra_per_request"`
	// Crossed counts answers that belonged to another request.
	Crossed int `json:"crossed"`
	// Doubled counts non-idempotent requests that started more than once
	// according to the backend servers' ledgers. It is nil without ledgers.
	Doubled *int `json:"doubled,omitempty"`
	// FalseNotRun counts requests that started according to the ledgers although
	// every attempt was answered as not run. It is nil without ledgers.
	FalseNotRun *int `json:"false_not_run,omitempty"`

	// ends holds how each request ended, by request id.
	ends map[string]requestEnd
}

// requestEnd is what CheckLedger needs to know about a request.
type requestEnd struct {
	idempotent bool
	// notRun is set if every attempt was proved not to have run.
	notRun bool
}

// collector aggregates the outcomes of requests. It is safe for concurrent use.
type collector struct {
	mu       sync.Mutex
	rep      Report
	response *hdrhistogram.Histogram
	slowdown *hdrhistogram.Histogram
	lag      *hdrhistogram.Histogram
}

func newCollector() *collector {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, histogramDigits) }
	return &collector{
		rep: Report{
			Kinds: map[errkind.Kind]int{},
			Runs:  map[errkind.RunState]int{},
			ends:  map[string]requestEnd{},
		},
		response: histogram(),
		slowdown: histogram(),
		lag:      histogram(),
	}
}

func (c *collector) recordOffered(a Arrival, lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.Offered++
	recordClamped(c.lag, lag.Microseconds())
	c.rep.ends[a.ID] = requestEnd{idempotent: a.Idempotent, notRun: true}
}

func (c *collector) recordAttempt(a Arrival, out Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.Attempts++
	c.rep.ExtraMessages += out.ExtraMessages
	if out.Crossed {
		c.rep.Crossed++
	}
	e := c.rep.ends[a.ID]
	e.notRun = e.notRun && out.Err != nil && out.Err.Run == errkind.NotRun
	c.rep.ends[a.ID] = e
}

func (c *collector) recordEnd(a Arrival, out Outcome, elapsed, roundTrip time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out.Err != nil {
		c.rep.Failed++
		c.rep.Kinds[out.Err.Kind]++
		c.rep.Runs[out.Err.Run]++
		return
	}
	c.rep.Answered++
	recordClamped(c.response, elapsed.Microseconds())
	recordClamped(c.slowdown, int64(slowdownScale*float64(elapsed)/float64(a.RunTime+roundTrip)))
}

// recordClamped records a value, clamped to the range of the histogram.
func recordClamped(h *hdrhistogram.Histogram, value int64) {
	// Recording a value within the range never fails.
	_ = h.RecordValue(min(max(value, 1), maxMicros))
}

func (c *collector) report(w Workload, elapsed time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	rep := c.rep
	rep.Name, rep.Seed, rep.Seconds = w.Name, w.Seed, elapsed.Seconds()
	const microsPerMilli = 1000
	rep.ResponseMs = quantiles(c.response, microsPerMilli)
	rep.LagMs = quantiles(c.lag, microsPerMilli)
	rep.Slowdown = quantiles(c.slowdown, slowdownScale)
	rep.ExtraMessages += int64(rep.Attempts - rep.Offered)
	if rep.Offered > 0 {
		rep.ExtraPerRequest = float64(rep.ExtraMessages) / float64(rep.Offered)
	}
	return rep
}

func quantiles(h *hdrhistogram.Histogram, scale float64) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / scale }
	return Quantiles{Mean: h.Mean() / scale, P50: at(50), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / scale}
}

// CheckLedger sets Doubled and FalseNotRun by comparing the starts by request
// id that backend servers counted with how the requests of the run ended.
func (r *Report) CheckLedger(starts map[string]int) {
	doubled, falseNotRun := 0, 0
	for id, e := range r.ends {
		if starts[id] > 1 && !e.idempotent {
			doubled++
		}
		if starts[id] > 0 && e.notRun {
			falseNotRun++
		}
	}
	r.Doubled, r.FalseNotRun = &doubled, &falseNotRun
}

// HasViolations reports whether the run observed a broken guarantee: a
// crossed answer, a doubled start or a false "not run".
func (r *Report) HasViolations() bool {
	return r.Crossed > 0 || (r.Doubled != nil && *r.Doubled > 0) || (r.FalseNotRun != nil && *r.FalseNotRun > 0)
}
