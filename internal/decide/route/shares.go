package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Shares divides the slots of the servers among the entry hosts and borrows
// from other hosts when this host has too few. A host uses only slots that it
// holds: its share, less what it lent, plus what it borrowed.
type Shares struct {
	self        Host
	incarnation string
	rng         *rand.Rand
	hosts       []Host
	table       table
	// usableSlots is the number of slots of each server that this host may use.
	usableSlots []int
	// share is the number of slots of each server that Assign gives this host.
	share []int
	// lent and borrowed are the numbers of slots of each server under leases.
	lent, borrowed []int
	// free is the number of usable slots that are not in use.
	free     int
	lender   lenderState
	borrower borrowerState
}

// NewShares returns a Shares selector for the entry host self. The incarnation
// must be unique to one start of the host's process.
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

// rebuild recomputes all counts after a change of hosts or servers.
func (s *Shares) rebuild() {
	n := len(s.table.servers)
	s.usableSlots, s.lent, s.borrowed = make([]int, n), make([]int, n), make([]int, n)
	s.share = make([]int, n)
	copy(s.share, Assign(s.self.Name, s.hosts, s.table.listed))
	s.endUnlistedLoans()
	for _, l := range s.lender.loans {
		s.addListed(s.lent, l.slots, 1)
	}
	for _, p := range s.borrower.peers {
		s.addListed(s.borrowed, p.slots, 1)
	}
	s.free = 0
	for i := range n {
		s.usableSlots[i] = s.usable(i)
		s.free += s.freeOn(i)
	}
	s.table.rebuildIndex(s.rank)
}

// addListed adds sign times the grants to counts. Grants on servers that are
// not listed are left out.
func (s *Shares) addListed(counts []int, grants []Grant, sign int) {
	for _, g := range grants {
		if i, ok := s.table.byName[g.Backend]; ok && !s.table.servers[i].unlisted {
			counts[i] += sign * g.Slots
		}
	}
}

// allotted returns the slots of server i that this host holds. The result is
// negative if it lent more than its share and its borrowed slots.
func (s *Shares) allotted(i int) int { return s.share[i] - s.lent[i] + s.borrowed[i] }

// usable returns how many requests this host may have on server i.
func (s *Shares) usable(i int) int { return max(0, min(s.allotted(i), s.table.servers[i].limit())) }

// freeOn returns the free slots of server i.
func (s *Shares) freeOn(i int) int { return max(0, s.usableSlots[i]-s.table.servers[i].used) }

// lendable returns the slots of server i that this host holds and does not use.
func (s *Shares) lendable(i int) int { return s.allotted(i) - s.table.servers[i].used }

// updateServer calls modify, which changes the lent or borrowed slots of server
// i, and updates the values derived from them.
func (s *Shares) updateServer(i int, modify func()) {
	s.free -= s.freeOn(i)
	modify()
	s.usableSlots[i] = s.usable(i)
	s.free += s.freeOn(i)
	s.table.index.update(i, s.rank(i))
}

// applyGrants adds sign times the grants to counts, which is lent or borrowed,
// and updates the derived values of each server.
func (s *Shares) applyGrants(counts []int, grants []Grant, sign int) {
	for _, g := range grants {
		if i, ok := s.table.byName[g.Backend]; ok && !s.table.servers[i].unlisted {
			s.updateServer(i, func() { counts[i] += sign * g.Slots })
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
	s.addUsed(i, 1)
	s.borrower.minFree = min(s.borrower.minFree, s.free)
	return s.table.servers[i].Name, true
}

// Release implements Selector.
func (s *Shares) Release(_ time.Time, backend string) {
	if i, ok := s.table.byName[backend]; ok && s.table.servers[i].used > 0 {
		s.addUsed(i, -1)
	}
}

func (s *Shares) addUsed(i, n int) {
	s.free -= s.freeOn(i)
	s.table.servers[i].used += n
	s.free += s.freeOn(i)
	s.table.index.update(i, s.rank(i))
}

// Adopt implements Selector.
func (s *Shares) Adopt(backend string) {
	if i, ok := s.table.byName[backend]; ok {
		s.addUsed(i, 1)
	}
}

// Rule implements Selector.
func (s *Shares) Rule() string { return "slot held by this host" }

// rank orders servers of this host's zone first, then by the fraction of the
// usable slots that is in use.
func (s *Shares) rank(i int) rank {
	b := &s.table.servers[i]
	r := rank{full: b.unlisted || s.freeOn(i) == 0, tie: s.rng.Uint32()}
	if b.Zone != s.self.Zone {
		r.class = 1
	}
	if !r.full {
		r.load = float64(b.used) / float64(s.usableSlots[i])
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
	s.updatePeers()
	s.rebuild()
}
