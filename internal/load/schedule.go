// Package load sends requests to entry hosts at random times that do not
// depend on the answers (open loop), and measures what callers see.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Mix is the distribution of run times: most lie evenly between ShortMin and
// ShortMax, a share of LongShare evenly between LongMin and LongMax.
type Mix struct {
	ShortMin  time.Duration
	ShortMax  time.Duration
	LongMin   time.Duration
	LongMax   time.Duration
	LongShare float64
}

// DefaultMix has most run times between 50 ms and a second and a few of
// several seconds.
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

func (m Mix) draw(rng *rand.Rand) time.Duration {
	low, high := m.ShortMin, m.ShortMax
	if rng.Float64() < m.LongShare {
		low, high = m.LongMin, m.LongMax
	}
	return low + time.Duration(rng.Float64()*float64(high-low))
}

// Plan is what a run offers to the entry hosts.
type Workload struct {
	// Name prefixes the request ids. Two runs against the same entry hosts
	// need two names.
	Name string
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Duration is the time in which requests arrive.
	Duration time.Duration
	// Seed makes arrivals, run times and targets repeatable.
	Seed uint64
	// Targets is the number of entry hosts.
	Targets int
	// IdempotentShare is the share of requests marked as idempotent.
	IdempotentShare float64
	// Mix is the distribution of run times.
	Mix Mix
}

// Arrival is one request to offer.
type Arrival struct {
	// At is the time since the start of the run.
	At time.Duration
	ID string
	// RunTime is how long the request runs once it has started.
	RunTime    time.Duration
	Idempotent bool
	// Target is the index of the entry host for the first attempt.
	Target int
}

// Schedule yields the arrivals of a plan, a Poisson process.
type Schedule struct {
	plan Workload
	rng  *rand.Rand
	at   time.Duration
	n    int
}

// NewSchedule returns the schedule of a plan.
func NewSchedule(p Workload) *Schedule {
	return &Schedule{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0))}
}

// Next returns the next arrival, or false after the last one.
func (s *Schedule) Next() (Arrival, bool) {
	s.at += time.Duration(s.rng.ExpFloat64() / s.plan.Rate * float64(time.Second))
	if s.at >= s.plan.Duration {
		return Arrival{}, false
	}
	s.n++
	return Arrival{
		At:         s.at,
		ID:         fmt.Sprintf("%s-%d", s.plan.Name, s.n),
		RunTime:    s.plan.Mix.draw(s.rng),
		Idempotent: s.rng.Float64() < s.plan.IdempotentShare,
		Target:     s.rng.IntN(s.plan.Targets),
	}, true
}
