// Package route chooses a backend server for a request. The selectors are
// pure: they do no I/O, read no clock and draw randomness from an injected
// source.
package route

import (
	"math/rand/v2"
	"time"
)

// Backend is a backend server as the selectors see it.
type Backend struct {
	// Name is unique among the customer's servers.
	Name string
	// Zone is the availability zone.
	Zone string
	// Slots is how many requests the server runs at once.
	Slots int
	// Weight scales the server's share of new work; 0 gives it none.
	Weight float64
}

// Selector chooses backend servers and counts the slots in use. A selector is
// not safe for concurrent use.
type Selector interface {
	// SetBackends replaces the servers that may get new work. Slots in use on
	// a server that is no longer listed stay counted until released.
	SetBackends(now time.Time, backends []Backend)
	// Acquire takes a slot on a server that is not in skip, which may be nil.
	// It returns false if no slot is free.
	Acquire(now time.Time, skip map[string]bool) (backend string, ok bool)
	// Release gives a slot back.
	Release(now time.Time, backend string)
	// Rule describes the choice for decision records.
	Rule() string
}

// Least takes the server with the fewest requests of this entry host in
// relation to its slots, its own zone first among equals, ties at random.
type Least struct {
	zone     string
	rng      *rand.Rand
	backends []Backend
	used     map[string]int
}

// NewLeast returns a Least selector for an entry host in zone.
func NewLeast(zone string, rng *rand.Rand) *Least {
	return &Least{zone: zone, rng: rng, used: map[string]int{}}
}

// SetBackends implements Selector.
func (l *Least) SetBackends(_ time.Time, backends []Backend) {
	l.backends = backends
}

// Acquire implements Selector.
func (l *Least) Acquire(_ time.Time, skip map[string]bool) (string, bool) {
	best, ties := -1, 0
	for i, b := range l.backends {
		if b.Weight <= 0 || l.used[b.Name] >= b.Slots || skip[b.Name] {
			continue
		}
		switch {
		case best < 0 || l.less(b, l.backends[best]):
			best, ties = i, 1
		case !l.less(l.backends[best], b):
			ties++
			if l.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return "", false
	}
	name := l.backends[best].Name
	l.used[name]++
	return name, true
}

func (l *Least) less(a, b Backend) bool {
	loadA := float64(l.used[a.Name]) / (float64(a.Slots) * a.Weight)
	loadB := float64(l.used[b.Name]) / (float64(b.Slots) * b.Weight)
	if loadA != loadB {
		return loadA < loadB
	}
	return a.Zone == l.zone && b.Zone != l.zone
}

// Release implements Selector.
func (l *Least) Release(_ time.Time, backend string) {
	l.used[backend]--
	if l.used[backend] <= 0 {
		delete(l.used, backend)
	}
}

// Rule implements Selector.
func (l *Least) Rule() string { return "least loaded by local counts" }
