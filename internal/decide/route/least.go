package route

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// capDown and capUp change the bound on this host's requests on a server
	// after an answer that tells of a queue there, and after one that does not.
	capDown = 0.5
	capUp   = 0.25
)

// Least takes the server with the fewest requests of this entry host in
// relation to its slots, its own zone first among equals, ties at random. When
// answers tell that requests queue at a server, it sends fewer there, so that
// under overload requests wait at the entry host.
type LeastLoaded struct {
	zone  string
	rng   *rand.Rand
	table table
	// caps bound this host's requests on a server, by name. A server without
	// one has its full limit.
	caps map[string]float64
}

// NewLeast returns a Least selector for an entry host in zone.
func NewLeastLoaded(zone string, rng *rand.Rand) *LeastLoaded {
	return &LeastLoaded{zone: zone, rng: rng, caps: map[string]float64{}}
}

// SetBackends implements Selector.
func (l *LeastLoaded) SetBackends(_ time.Time, backends []Backend) {
	if !l.table.update(backends) {
		return
	}
	maps.DeleteFunc(l.caps, func(name string, _ float64) bool {
		_, ok := l.table.byName[name]
		return !ok
	})
	l.table.rank(l.rank)
}

// Acquire implements Selector.
func (l *LeastLoaded) Acquire(_ time.Time, skip map[string]bool) (string, bool) {
	i := l.table.first(skip)
	if i < 0 {
		return "", false
	}
	l.add(i, 1)
	return l.table.servers[i].Name, true
}

// Release implements Selector.
func (l *LeastLoaded) Release(_ time.Time, backend string) {
	if i, ok := l.table.byName[backend]; ok && l.table.servers[i].used > 0 {
		l.add(i, -1)
	}
}

// Adopt implements Selector.
func (l *LeastLoaded) Adopt(backend string) {
	if i, ok := l.table.byName[backend]; ok {
		l.add(i, 1)
	}
}

// Rule implements Selector.
func (l *LeastLoaded) Rule() string { return "least loaded by local counts" }

// Observe implements Observer.
func (l *LeastLoaded) Observe(_ time.Time, backend string, load int) {
	i, ok := l.table.byName[backend]
	if !ok {
		return
	}
	s := &l.table.servers[i]
	limit := float64(s.connections())
	bound, bounded := l.caps[backend]
	switch {
	case load > s.Slots && !bounded:
		l.caps[backend] = max(1, min(limit, float64(s.used+1))-capDown)
	case load > s.Slots:
		l.caps[backend] = max(1, bound-capDown)
	case bounded && bound+capUp >= limit:
		delete(l.caps, backend)
	case bounded:
		l.caps[backend] = bound + capUp
	default:
		return
	}
	l.table.index.set(i, l.rank(i))
}

func (l *LeastLoaded) add(i, n int) {
	l.table.servers[i].used += n
	l.table.index.set(i, l.rank(i))
}

func (l *LeastLoaded) rank(i int) rank {
	s := &l.table.servers[i]
	bound, bounded := l.caps[s.Name]
	return rank{
		full: s.gone || s.used >= s.limit() || (bounded && s.used >= int(bound)),
		load: float64(s.used) / (float64(s.Slots) * s.Weight),
		far:  s.Zone != l.zone,
		tie:  l.rng.Uint32(),
	}
}
