// Package load generates open-loop load: it sends requests to entry hosts at
// random times that do not depend on the answers, and measures response times,
// failures and broken guarantees as callers observe them.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Mix is the distribution of run times. A share of LongShare is uniformly
// distributed between LongMin and LongMax, the rest between ShortMin and
// ShortMax.
type Mix struct {
	ShortMin  time.Duration
	ShortMax  time.Duration
	LongMin   time.Duration
	LongMax   time.Duration
	LongShare float64
}

// DefaultMix has mostly run times between 50 ms and 1 s and a few of several
// seconds.
var DefaultMix = Mix{
	ShortMin:  50 * time.Millisecond,
	ShortMax:  time.Second,
	LongMin:   2 * time.Second,
	LongMax:   6 * time.Second,
	LongShare: 0.02,
}

// Mean returns the mean run time.
func (m Mix) Mean() time.Duration {
	short := float64(m.ShortMin+m.ShortMax) / 2
	long := float64(m.LongMin+m.LongMax) / 2
	return time.Duration(short*(1-m.LongShare) + long*m.LongShare)
}

func (m Mix) sample(rng *rand.Rand) time.Duration {
	low, high := m.ShortMin, m.ShortMax
	if rng.Float64() < m.LongShare {
		low, high = m.LongMin, m.LongMax
	}
	return low + time.Duration(rng.Float64()*float64(high-low))
}

// Workload describes the requests that a run sends to the entry hosts.
type Workload struct {
	// Name prefixes the request ids. Runs against the same entry hosts need
	// different names.
	Name string
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Seed determines the arrivals, run times and targets, so that a run can be
	// repeated.
	Seed uint64
	// Targets is the number of entry hosts.
	Targets int
	// IdempotentShare is the share of requests marked as idempotent.
	IdempotentShare float64
	// Mix is the distribution of run times.
	Mix Mix
}

// Arrival is one request of a workload.
type Arrival struct {
	// At is when the request is due, as the time since the start of the run.
	At time.Duration
	ID string
	// RunTime is how long the request runs once it has started.
	RunTime    time.Duration
	Idempotent bool
	// Target is the index of the entry host for the first attempt.
	Target int
}

// Schedule generates the arrivals of a workload, which form a Poisson process.
type Schedule struct {
	workload Workload
	rng      *rand.Rand
	at       time.Duration
	count    int
}

// NewSchedule returns the schedule of a workload.
func NewSchedule(w Workload) *Schedule {
	return &Schedule{workload: w, rng: rand.New(rand.NewPCG(w.Seed, 0))}
}

// Next returns the next arrival, or false after the last one.
func (s *Schedule) Next() (Arrival, bool) {
	s.at += time.Duration(s.rng.ExpFloat64() / s.workload.Rate * float64(time.Second))
	if s.at >= s.workload.Duration {
		return Arrival{}, false
	}
	s.count++
	return Arrival{
		At:         s.at,
		ID:         fmt.Sprintf("%s-%d", s.workload.Name, s.count),
		RunTime:    s.workload.Mix.sample(s.rng),
		Idempotent: s.rng.Float64() < s.workload.IdempotentShare,
		Target:     s.rng.IntN(s.workload.Targets),
	}, true
}
