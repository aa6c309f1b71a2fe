// Package routebench drives the decisions of several entry hosts in virtual
// time against queues with slots, and compares response times with one global
// queue. It models delays, not networks or machines.
package routebench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario is one setting of the benchmark.
type Scenario struct {
	// Hosts, Zones, Backends and Slots are the sizes.
	Hosts, Zones, Backends, Slots int
	// Limit bounds the requests of one host on one backend server.
	Limit int
	// Load is the offered work over the capacity.
	Load float64
	// Skew is the arrival rate of every second host over that of the others.
	Skew float64
	// ClientDelay, ZoneDelay and LocalDelay are one-way delays: to callers,
	// between zones and within a zone.
	ClientDelay, ZoneDelay, LocalDelay time.Duration
	// Warmup is left out of the figures; Measure is the time measured.
	Warmup, Measure time.Duration
	// Deadline is the deadline of each request after its arrival.
	Deadline time.Duration
	// QueueLimit bounds the requests that wait on one host.
	QueueLimit int
	// Seed makes a run repeatable.
	Seed uint64
}

// Tamarind returns the Nairobi deployment at the given load.
func Tamarind(load, skew float64, seed uint64) Scenario {
	return Scenario{
		Hosts: 8, Zones: 3, Backends: 50, Slots: 8, Limit: 7, Load: load, Skew: skew, Seed: seed,
		ClientDelay: time.Millisecond, ZoneDelay: 1500 * time.Microsecond, LocalDelay: 200 * time.Microsecond,
		Warmup: 10 * time.Second, Measure: 200 * time.Second, Deadline: 10 * time.Minute, QueueLimit: 1 << 20,
	}
}

// Vadodara returns the Vadodara deployment at the given load.
func Vadodara(load, skew float64, seed uint64) Scenario {
	s := Tamarind(load, skew, seed)
	s.ClientDelay = 3 * time.Millisecond
	return s
}

// Deployment is a named setting.
type Deployment struct {
	Name     string
	Scenario func(load, skew float64, seed uint64) Scenario
}

// Deployments returns the settings that are compared.
func Deployments() []Deployment {
	return []Deployment{{"Tamarind", Tamarind}, {"Vadodara", Vadodara}}
}

const (
	minRun   = 50 * time.Millisecond
	maxRun   = time.Second
	minLong  = 2 * time.Second
	maxLong  = 6 * time.Second
	longPart = 0.02
)

func meanRun() time.Duration {
	short := (minRun + maxRun) / 2
	long := (minLong + maxLong) / 2
	return time.Duration((1-longPart)*float64(short) + longPart*float64(long))
}

// request is one request of the workload. Times count from the start.
type request struct {
	host    int
	arrives time.Duration
	run     time.Duration
}

// workload draws the requests of a scenario, in order of arrival at the hosts.
func (s Scenario) workload() []request {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	rate := s.Load * float64(s.Backends*s.Slots) / meanRun().Seconds()
	weights := s.weights()
	var all []request
	for h, w := range weights {
		at := 0.0
		for {
			at += rng.ExpFloat64() / (rate * w)
			arrives := time.Duration(at * float64(time.Second))
			if arrives > s.Warmup+s.Measure {
				break
			}
			all = append(all, request{host: h, arrives: arrives, run: drawRun(rng)})
		}
	}
	slices.SortFunc(all, func(a, b request) int { return int(a.arrives - b.arrives) })
	return all
}

// weights returns each host's part of the arrivals.
func (s Scenario) weights() []float64 {
	weights := make([]float64, s.Hosts)
	sum := 0.0
	for h := range weights {
		weights[h] = 1
		if h%2 == 0 {
			weights[h] = s.Skew
		}
		sum += weights[h]
	}
	for h := range weights {
		weights[h] /= sum
	}
	return weights
}

func drawRun(rng *rand.Rand) time.Duration {
	low, high := minRun, maxRun
	if rng.Float64() < longPart {
		low, high = minLong, maxLong
	}
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// slowdown is the response time over the run time and one round trip to the
// caller.
func (s Scenario) slowdown(r request, response time.Duration) float64 {
	return float64(response+2*s.ClientDelay) / float64(r.run+2*s.ClientDelay)
}

// Ideal returns the slowdowns of one global queue that knows every slot and
// has no network behind it.
func (s Scenario) RunIdeal() Result {
	res := Result{Name: "ideal"}
	slots := make(timeHeap, s.Backends*s.Slots)
	for _, r := range s.workload() {
		begins := max(r.arrives, slots[0])
		slots[0] = begins + r.run
		heap.Fix(&slots, 0)
		if r.arrives >= s.Warmup {
			res.add(s.slowdown(r, begins+r.run-r.arrives))
		}
	}
	return res
}

type timeHeap []time.Duration

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(a, b int) bool { return h[a] < h[b] }
func (h timeHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *timeHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *timeHeap) Pop() any          { return nil }

// Result holds the figures of one way over one or more runs.
type Result struct {
	Name      string
	slowdowns []float64
	// Requests is the number of measured requests that were answered.
	Requests int
	// Refused is the number of measured requests refused.
	Refused int
	// Late is the number of answers after the deadline.
	Late int
	// Messages is the number of messages between entry hosts, one-way.
	Messages int
	// Work is the run time of the answers that came within their deadlines
	// while it was measured, in slot seconds.
	UsefulSlotSeconds float64
	// Queued is the number of requests that waited in a backend's own queue.
	Queued int
	sorted bool
}

func (r *Result) add(slowdown float64) {
	r.slowdowns = append(r.slowdowns, slowdown)
	r.Requests++
	r.sorted = false
}

// Merge adds the figures of another run.
func (r *Result) Merge(o Result) {
	r.slowdowns = append(r.slowdowns, o.slowdowns...)
	r.Requests += o.Requests
	r.Refused += o.Refused
	r.Late += o.Late
	r.Messages += o.Messages
	r.UsefulSlotSeconds += o.UsefulSlotSeconds
	r.Queued += o.Queued
	r.sorted = false
}

// Goodput returns the work of answers within their deadlines over the capacity
// of the runs of the scenario.
func (r *Result) Goodput(s Scenario, runs int) float64 {
	return r.UsefulSlotSeconds / (float64(s.Backends*s.Slots*runs) * s.Measure.Seconds())
}

// Mean returns the mean slowdown.
func (r *Result) Mean() float64 {
	sum := 0.0
	for _, v := range r.slowdowns {
		sum += v
	}
	return sum / float64(len(r.slowdowns))
}

// Quantile returns the slowdown that the part q of the requests does not
// exceed.
func (r *Result) Quantile(q float64) float64 {
	if !r.sorted {
		slices.Sort(r.slowdowns)
		r.sorted = true
	}
	at := int(math.Ceil(q*float64(len(r.slowdowns)))) - 1
	return r.slowdowns[max(0, at)]
}

// PerRequest returns the extra messages per request.
func (r *Result) MessagesPerRequest() float64 {
	return float64(r.Messages) / float64(max(1, r.Requests+r.Refused))
}
