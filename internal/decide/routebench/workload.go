// Package routebench simulates several entry hosts and their backend servers in
// virtual time and compares the response times of routing strategies with those
// of one ideal global queue. It models delays, but not networks or machines.
package routebench

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario holds the parameters of one run of the benchmark.
type Scenario struct {
	// Hosts, Zones and Backends are the numbers of entry hosts, zones and backend
	// servers; Slots is the number of slots of each server.
	Hosts, Zones, Backends, Slots int
	// Limit bounds the concurrent requests of one host on one backend server.
	Limit int
	// Load is the ratio of offered work to capacity.
	Load float64
	// Skew is the ratio of the arrival rate at every second host to that at the
	// others.
	Skew float64
	// ClientDelay, ZoneDelay and LocalDelay are one-way delays: to callers,
	// between zones and within a zone.
	ClientDelay, ZoneDelay, LocalDelay time.Duration
	// Warmup is the time at the start that is not measured; Measure is the time
	// measured after it.
	Warmup, Measure time.Duration
	// Deadline is the time from the arrival of a request to its deadline.
	Deadline time.Duration
	// QueueLimit bounds the requests that wait at one host.
	QueueLimit int
	// Seed seeds the random numbers, so that a run is repeatable.
	Seed uint64
}

// Tamarind returns the scenario of the Nairobi deployment with the given load
// and skew.
func Tamarind(load, skew float64, seed uint64) Scenario {
	return Scenario{
		Hosts: 8, Zones: 3, Backends: 50, Slots: 8, Limit: 7, Load: load, Skew: skew, Seed: seed,
		ClientDelay: time.Millisecond, ZoneDelay: 1500 * time.Microsecond, LocalDelay: 200 * time.Microsecond,
		Warmup: 10 * time.Second, Measure: 200 * time.Second, Deadline: 10 * time.Minute, QueueLimit: 1 << 20,
	}
}

// Vadodara returns the scenario of the Vadodara deployment with the given load
// and skew.
func Vadodara(load, skew float64, seed uint64) Scenario {
	s := Tamarind(load, skew, seed)
	s.ClientDelay = 3 * time.Millisecond
	return s
}

// Deployment is a deployment to simulate, by name.
type Deployment struct {
	Name     string
	Scenario func(load, skew float64, seed uint64) Scenario
}

// Deployments returns the deployments to simulate.
func Deployments() []Deployment {
	return []Deployment{{"Tamarind", Tamarind}, {"Vadodara", Vadodara}}
}

const (
	minShortRun  = 50 * time.Millisecond
	maxShortRun  = time.Second
	minLongRun   = 2 * time.Second
	maxLongRun   = 6 * time.Second
	longFraction = 0.02
)

func meanRunTime() time.Duration {
	short := (minShortRun + maxShortRun) / 2
	long := (minLongRun + maxLongRun) / 2
	return time.Duration((1-longFraction)*float64(short) + longFraction*float64(long))
}

// request is one request of the workload. arrivesAt counts from the start of the
// run.
type request struct {
	host      int
	arrivesAt time.Duration
	runTime   time.Duration
}

// workload returns random requests for the scenario in the order of their arrival
// at the hosts.
func (s Scenario) workload() []request {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	rate := s.Load * float64(s.Backends*s.Slots) / meanRunTime().Seconds()
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
			all = append(all, request{host: h, arrivesAt: arrives, runTime: drawRunTime(rng)})
		}
	}
	slices.SortFunc(all, func(a, b request) int { return int(a.arrivesAt - b.arrivesAt) })
	return all
}

// weights returns each host's fraction of the arrivals.
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

func drawRunTime(rng *rand.Rand) time.Duration {
	low, high := minShortRun, maxShortRun
	if rng.Float64() < longFraction {
		low, high = minLongRun, maxLongRun
	}
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// slowdown returns the ratio of the caller's response time to the run time plus
// one round trip to the caller.
func (s Scenario) slowdown(r request, response time.Duration) float64 {
	return float64(response+2*s.ClientDelay) / float64(r.runTime+2*s.ClientDelay)
}

// RunIdeal simulates one global queue that knows every slot and has no network
// delay to the servers.
func (s Scenario) RunIdeal() Result {
	res := Result{Name: "ideal"}
	slots := make(freeTimes, s.Backends*s.Slots)
	for _, r := range s.workload() {
		begins := max(r.arrivesAt, slots[0])
		slots[0] = begins + r.runTime
		heap.Fix(&slots, 0)
		if r.arrivesAt >= s.Warmup {
			res.add(s.slowdown(r, begins+r.runTime-r.arrivesAt))
		}
	}
	return res
}

type freeTimes []time.Duration

func (h freeTimes) Len() int           { return len(h) }
func (h freeTimes) Less(a, b int) bool { return h[a] < h[b] }
func (h freeTimes) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *freeTimes) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *freeTimes) Pop() any          { return nil }

// Result holds the measurements of one strategy over one or more runs.
type Result struct {
	Name      string
	slowdowns []float64
	// Requests is the number of measured requests that were answered.
	Requests int
	// Refused is the number of measured requests that were refused.
	Refused int
	// Late is the number of measured requests answered after their deadlines.
	Late int
	// Messages is the number of one-way messages between entry hosts.
	Messages int
	// UsefulSlotSeconds is the total run time, in slot seconds, of the requests
	// that were answered in the measured time and within their deadlines.
	UsefulSlotSeconds float64
	// Queued is the number of requests that waited in a backend server's own
	// queue.
	Queued int
	sorted bool
}

func (r *Result) add(slowdown float64) {
	r.slowdowns = append(r.slowdowns, slowdown)
	r.Requests++
	r.sorted = false
}

// Merge adds the measurements of another run.
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

// Goodput returns the ratio of UsefulSlotSeconds to the capacity of the given
// number of runs of the scenario.
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

// Quantile returns the slowdown that a fraction q of the requests does not
// exceed.
func (r *Result) Quantile(q float64) float64 {
	if !r.sorted {
		slices.Sort(r.slowdowns)
		r.sorted = true
	}
	at := int(math.Ceil(q*float64(len(r.slowdowns)))) - 1
	return r.slowdowns[max(0, at)]
}

// MessagesPerRequest returns the number of messages between entry hosts per
// request.
func (r *Result) MessagesPerRequest() float64 {
	return float64(r.Messages) / float64(max(1, r.Requests+r.Refused))
}
