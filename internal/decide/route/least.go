package route

import (
	"math/rand/v2"
	"time"
)

// Least takes the server with the fewest requests of this entry host in
// relation to its slots, its own zone first among equals, ties at random.
type Least struct {
	zone  string
	rng   *rand.Rand
	table table
}

// NewLeast returns a Least selector for an entry host in zone.
func NewLeast(zone string, rng *rand.Rand) *Least {
	return &Least{zone: zone, rng: rng}
}

// SetBackends implements Selector.
func (l *Least) SetBackends(_ time.Time, backends []Backend) {
	if l.table.update(backends) {
		l.table.rank(l.rank)
	}
}

// Acquire implements Selector.
func (l *Least) Acquire(_ time.Time, skip map[string]bool) (string, bool) {
	i := l.table.first(skip)
	if i < 0 {
		return "", false
	}
	l.add(i, 1)
	return l.table.servers[i].Name, true
}

// Release implements Selector.
func (l *Least) Release(_ time.Time, backend string) {
	if i, ok := l.table.byName[backend]; ok && l.table.servers[i].used > 0 {
		l.add(i, -1)
	}
}

// Adopt implements Selector.
func (l *Least) Adopt(backend string) {
	if i, ok := l.table.byName[backend]; ok {
		l.add(i, 1)
	}
}

// Rule implements Selector.
func (l *Least) Rule() string { return "least loaded by local counts" }

func (l *Least) add(i, n int) {
	l.table.servers[i].used += n
	l.table.index.set(i, l.rank(i))
}

func (l *Least) rank(i int) rank {
	s := &l.table.servers[i]
	return rank{
		full: s.gone || s.used >= s.limit(),
		load: float64(s.used) / (float64(s.Slots) * s.Weight),
		far:  s.Zone != l.zone,
		tie:  l.rng.Uint32(),
	}
}
