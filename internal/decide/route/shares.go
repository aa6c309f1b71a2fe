package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Shares divides slots among the entry hosts and borrows from other hosts
// when it is short. A host uses only slots that it holds: its share, less what
// it lent, plus what it borrowed.
type Shares struct {
	self        Host
	incarnation string
	rng         *rand.Rand
	hosts       []Host
	table       table
	// held is the number of slots of each server that this host may use.
	held []int
	// share is this host's fixed part of each server.
	share []int
	// lent and borrowed count slots of each server under leases.
	lent, borrowed []int
	// free is the number of slots held and not used.
	free     int
	lender   lender
	borrower borrower
}

// NewShares returns a Shares selector for the entry host self. The
// incarnation is unique to one start of its process.
func NewShares(self Host, incarnation string, rng *rand.Rand) *Shares {
	s := &Shares{self: self, incarnation: incarnation, rng: rng, hosts: []Host{self}}
	s.lender.loans = map[string]*loan{}
	s.borrower.peers = map[string]*peer{}
	return s
}

// SetBackends implements Selector.
func (s *Shares) SetBackends(_ time.Time, backends []Backend) {
	if s.table.update(backends) {
		s.rebuild()
	}
}

// rebuild computes all counts anew after a change of hosts or servers.
func (s *Shares) rebuild() {
	n := len(s.table.servers)
	s.held, s.lent, s.borrowed = make([]int, n), make([]int, n), make([]int, n)
	s.share = make([]int, n)
	copy(s.share, Assign(s.self.Name, s.hosts, s.table.listed))
	s.trimLoans()
	for _, l := range s.lender.loans {
		s.count(s.lent, l.slots, 1)
	}
	for _, p := range s.borrower.peers {
		s.count(s.borrowed, p.slots, 1)
	}
	s.free = 0
	for i := range n {
		s.held[i] = s.hold(i)
		s.free += s.freeOn(i)
	}
	s.table.rank(s.rank)
}

// count adds grants to counts; slots of servers that are not listed do not
// count.
func (s *Shares) count(counts []int, grants []Grant, sign int) {
	for _, g := range grants {
		if i, ok := s.table.byName[g.Backend]; ok && !s.table.servers[i].gone {
			counts[i] += sign * g.Slots
		}
	}
}

// own returns the slots of server i that this host holds.
func (s *Shares) own(i int) int { return s.share[i] - s.lent[i] + s.borrowed[i] }

// hold returns how many requests this host may have on server i.
func (s *Shares) hold(i int) int { return max(0, min(s.own(i), s.table.servers[i].limit())) }

// freeOn returns the free slots of server i.
func (s *Shares) freeOn(i int) int { return max(0, s.held[i]-s.table.servers[i].used) }

// lendable returns the slots of server i that this host can do without.
func (s *Shares) lendable(i int) int { return s.own(i) - s.table.servers[i].used }

// change runs modify, which changes the counts of server i, and brings what
// follows from them up to date.
func (s *Shares) change(i int, modify func()) {
	s.free -= s.freeOn(i)
	modify()
	s.held[i] = s.hold(i)
	s.free += s.freeOn(i)
	s.table.index.set(i, s.rank(i))
}

// move changes counts by the grants.
func (s *Shares) move(counts []int, grants []Grant, sign int) {
	for _, g := range grants {
		if i, ok := s.table.byName[g.Backend]; ok && !s.table.servers[i].gone {
			s.change(i, func() { counts[i] += sign * g.Slots })
		}
	}
}

// Acquire implements Selector.
func (s *Shares) Acquire(now time.Time, skip map[string]bool) (string, bool) {
	s.expireLeases(now)
	i := s.table.first(skip)
	if i < 0 {
		return "", false
	}
	s.use(i, 1)
	s.borrower.low = min(s.borrower.low, s.free)
	return s.table.servers[i].Name, true
}

// Release implements Selector.
func (s *Shares) Release(_ time.Time, backend string) {
	if i, ok := s.table.byName[backend]; ok && s.table.servers[i].used > 0 {
		s.use(i, -1)
	}
}

func (s *Shares) use(i, n int) {
	s.free -= s.freeOn(i)
	s.table.servers[i].used += n
	s.free += s.freeOn(i)
	s.table.index.set(i, s.rank(i))
}

// Adopt implements Selector.
func (s *Shares) Adopt(backend string) {
	if i, ok := s.table.byName[backend]; ok {
		s.use(i, 1)
	}
}

// Rule implements Selector.
func (s *Shares) Rule() string { return "slot held by this host" }

// rank prefers this host's zone, then the emptiest server.
func (s *Shares) rank(i int) rank {
	b := &s.table.servers[i]
	r := rank{full: b.gone || s.freeOn(i) == 0, tie: s.rng.Uint32()}
	if b.Zone != s.self.Zone {
		r.class = 1
	}
	if !r.full {
		r.load = float64(b.used) / float64(s.held[i])
	}
	return r
}

// SetHosts implements Sharer.
func (s *Shares) SetHosts(_ time.Time, hosts []Host) {
	hosts = withSelf(s.self, hosts)
	if slices.Equal(s.hosts, hosts) {
		return
	}
	s.hosts = hosts
	s.dropPeers()
	s.rebuild()
}
