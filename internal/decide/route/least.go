package route

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// capDecrease and capIncrease change the cap on this host's requests on a
	// server after an answer that reports a queue there, and after one that does
	// not.
	capDecrease = 0.5
	capIncrease = 0.25
)

// LeastLoaded chooses the server with the fewest requests of this entry host
// relative to its weighted slots. Among equals it prefers the host's own zone,
// then chooses at random. When answers report that requests queue at a server,
// it sends fewer there, so that under overload requests wait at the entry host.
type LeastLoaded struct {
	zone  string
	rng   *rand.Rand
	table table
	// caps holds the caps on this host's requests by server name. A server
	// without a cap may get requests up to its limit.
	caps map[string]float64
}

// NewLeastLoaded returns a LeastLoaded selector for an entry host in zone.
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
	l.table.rebuildIndex(l.rank)
}

// Acquire implements Selector.
func (l *LeastLoaded) Acquire(_ time.Time, skip map[string]bool) (string, bool) {
	i := l.table.first(skip)
	if i < 0 {
		return "", false
	}
	l.addUsed(i, 1)
	return l.table.servers[i].Name, true
}

// Release implements Selector.
func (l *LeastLoaded) Release(_ time.Time, backend string) {
	if i, ok := l.table.byName[backend]; ok && l.table.servers[i].used > 0 {
		l.addUsed(i, -1)
	}
}

// Adopt implements Selector.
func (l *LeastLoaded) Adopt(backend string) {
	if i, ok := l.table.byName[backend]; ok {
		l.addUsed(i, 1)
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
	limit := float64(s.maxConcurrent())
	bound, bounded := l.caps[backend]
	switch {
	case load > s.Slots && !bounded:
		l.caps[backend] = max(1, min(limit, float64(s.used+1))-capDecrease)
	case load > s.Slots:
		l.caps[backend] = max(1, bound-capDecrease)
	case bounded && bound+capIncrease >= limit:
		delete(l.caps, backend)
	case bounded:
		l.caps[backend] = bound + capIncrease
	default:
		return
	}
	l.table.index.update(i, l.rank(i))
}

func (l *LeastLoaded) addUsed(i, n int) {
	l.table.servers[i].used += n
	l.table.index.update(i, l.rank(i))
}

func (l *LeastLoaded) rank(i int) rank {
	s := &l.table.servers[i]
	bound, bounded := l.caps[s.Name]
	return rank{
		full:      s.unlisted || s.used >= s.limit() || (bounded && s.used >= int(bound)),
		load:      float64(s.used) / (float64(s.Slots) * s.Weight),
		otherZone: s.Zone != l.zone,
		tie:       l.rng.Uint32(),
	}
}
