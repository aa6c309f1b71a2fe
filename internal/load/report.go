package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	// histogramDigits is the number of decimal digits kept of each value.
	histogramDigits = 3
	// maxMicros bounds a recorded time, in microseconds.
	maxMicros = int64(time.Hour / time.Microsecond)
	// slowdownScale is the number of parts of a slowdown of 1.
	slowdownScale = 1000
)

// Quantiles sums up one measure.
type Quantiles struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
}

// Report is what a run saw.
type Report struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Seconds is the length of the run, with the time for the last answers.
	Seconds float64 `json:"seconds"`
	// Offered counts requests; each ends answered or failed.
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	Failed   int `json:"failed"`
	// Attempts counts sends; those beyond Offered are retries.
	Attempts int `json:"attempts"`
	// ResponseMs is the response time of answered requests, from when they
	// were due, in milliseconds.
	ResponseMs Quantiles `json:"response_ms"`
	// Slowdown is the response time over the ideal, which is the run time and
	// one round trip.
	Slowdown Quantiles `json:"slowdown"`
	// LagMs is how late the generator sent first attempts, in milliseconds. A
	// run with much lag measures the generator.
	LagMs Quantiles `json:"lag_ms"`
	// Kinds counts failed requests by the kind of their last error.
	Kinds map[errkind.Kind]int `json:"kinds,omitempty"`
	// Runs counts failed requests by the run state of their last error.
	Runs map[errkind.RunState]int `json:"runs,omitempty"`
	// ExtraMessages counts messages beyond the two that a request needs, as
	// the entry hosts report them, and retries.
	ExtraMessages int64 `json:"extra_messages"`
	// ExtraPerRequest is ExtraMessages over Offered.
	ExtraPerRequest float64 `json:"extra_per_request"`
	// Crossed counts answers that belonged to another request.
	Crossed int `json:"crossed"`
	// Doubled counts requests that are not idempotent and started more than
	// once, by the ledgers of the backend servers. It is absent without them.
	Doubled *int `json:"doubled,omitempty"`
	// FalseNotRun counts requests that the ledgers show as started although
	// every attempt ended as not run. It is absent without ledgers.
	FalseNotRun *int `json:"false_not_run,omitempty"`

	// ends holds the end of each request by id.
	ends map[string]end
}

// end is what a ledger check needs to know about a request.
type end struct {
	idempotent bool
	// notRun is set if every attempt was proved not to have run.
	notRun bool
}

// collector gathers what requests see. It is safe for concurrent use.
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
			ends:  map[string]end{},
		},
		response: histogram(),
		slowdown: histogram(),
		lag:      histogram(),
	}
}

func (c *collector) offered(a Arrival, lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rep.Offered++
	record(c.lag, lag.Microseconds())
	c.rep.ends[a.ID] = end{idempotent: a.Idempotent, notRun: true}
}

func (c *collector) attempt(a Arrival, out Outcome) {
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

func (c *collector) ended(a Arrival, out Outcome, took, roundTrip time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if out.Err != nil {
		c.rep.Failed++
		c.rep.Kinds[out.Err.Kind]++
		c.rep.Runs[out.Err.Run]++
		return
	}
	c.rep.Answered++
	record(c.response, took.Microseconds())
	record(c.slowdown, int64(slowdownScale*float64(took)/float64(a.RunTime+roundTrip)))
}

// record keeps values within the histogram's range.
func record(h *hdrhistogram.Histogram, value int64) {
	// A value inside the range is always taken.
	_ = h.RecordValue(min(max(value, 1), maxMicros))
}

func (c *collector) report(p Workload, took time.Duration) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	rep := c.rep
	rep.Name, rep.Seed, rep.Seconds = p.Name, p.Seed, took.Seconds()
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

// CheckLedger compares the starts that backend servers counted, by request id,
// with how the requests of the run ended.
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

// Broken reports whether the run saw a promise broken.
func (r *Report) HasViolations() bool {
	return r.Crossed > 0 || (r.Doubled != nil && *r.Doubled > 0) || (r.FalseNotRun != nil && *r.FalseNotRun > 0)
}
