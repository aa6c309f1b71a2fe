package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func hostsAndBackends(hosts, backends, slots int) ([]Host, []Backend) {
	var hs []Host
	var bs []Backend
	for i := range hosts {
		hs = append(hs, Host{Name: fmt.Sprint("entry-", i), Zone: fmt.Sprint("zone-", i%3)})
	}
	for i := range backends {
		bs = append(bs, Backend{Name: fmt.Sprint("backend-", i), Zone: fmt.Sprint("zone-", i%3), Slots: slots, Limit: 7, Weight: 1})
	}
	return hs, bs
}

func TestAssignDistributesEverySlotOnce(t *testing.T) {
	for _, size := range [][2]int{{1, 3}, {2, 3}, {6, 50}, {7, 50}, {8, 50}, {8, 220}, {15, 880}} {
		hosts, backends := hostsAndBackends(size[0], size[1], 8)
		if size[0] > 3 {
			backends[1].Weight = 0.5
			backends[2].Weight = 0
		}
		shuffled := slices.Clone(hosts)
		slices.Reverse(shuffled)
		assigned := make([]int, len(backends))
		local, total, least, most := 0, 0, 1<<30, 0
		for _, h := range hosts {
			shares := Assign(h.Name, hosts, backends)
			require.Equal(t, shares, Assign(h.Name, shuffled, backends))
			sum := 0
			for i, n := range shares {
				require.LessOrEqual(t, n, 7)
				assigned[i] += n
				sum += n
				if h.Zone == backends[i].Zone {
					local += n
				}
			}
			total += sum
			least, most = min(least, sum), max(most, sum)
		}
		for i, n := range assigned {
			require.Equal(t, min(weightedSlots(backends[i]), 7*len(hosts)), n, "%v server %d", size, i)
		}
		require.LessOrEqual(t, most-least, 1, "%v", size)
		if size[0] >= 6 {
			require.Greater(t, float64(local)/float64(total), 0.75, "%v", size)
		}
	}
}

// message is a borrow request or an offer in transit.
type message struct {
	deliverAt time.Time
	request   *BorrowRequest
	offer     *Offer
}

// simulation runs the selectors of several hosts over an unreliable network.
type simulation struct {
	t           *testing.T
	seed        uint64
	rng         *rand.Rand
	now         time.Time
	hosts       []*Shares
	byName      map[string]*Shares
	used        map[string][]string
	stopped     map[string]bool
	pausedUntil map[string]time.Time
	pending     map[string][]BorrowRequest
	inTransit   []message
	// loss is the fraction of messages that are lost; half that fraction is
	// sent twice.
	loss float64
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), now: start, byName: map[string]*Shares{},
		used: map[string][]string{}, stopped: map[string]bool{}, pausedUntil: map[string]time.Time{}, pending: map[string][]BorrowRequest{}, loss: 0.2,
	}
	hosts, backends := hostsAndBackends(4, 6, 4)
	for i, h := range hosts {
		s := NewShares(h, h.Name+"~1", rand.New(rand.NewPCG(seed, uint64(i))))
		s.SetHosts(start, hosts)
		s.SetBackends(start, backends)
		sim.hosts = append(sim.hosts, s)
		sim.byName[h.Name] = s
	}
	return sim
}

func (sim *simulation) running(s *Shares) bool {
	return !sim.stopped[s.self.Name] && !sim.now.Before(sim.pausedUntil[s.self.Name])
}

func (sim *simulation) send(m message) {
	for range 2 {
		if sim.rng.Float64() >= sim.loss {
			m.deliverAt = sim.now.Add(time.Duration(sim.rng.IntN(100)) * time.Millisecond)
			if sim.rng.Float64() < sim.loss {
				m.deliverAt = m.deliverAt.Add(time.Duration(sim.rng.IntN(20)) * time.Second)
			}
			sim.inTransit = append(sim.inTransit, m)
		}
		if sim.rng.Float64() >= sim.loss/2 {
			return
		}
	}
}

// step advances the time by d, delivers the messages that are due and drives
// every running host.
func (sim *simulation) step(d time.Duration, demand func(s *Shares) int) {
	sim.now = sim.now.Add(d)
	sim.inTransit = slices.DeleteFunc(sim.inTransit, func(m message) bool {
		if m.deliverAt.After(sim.now) {
			return false
		}
		if m.request != nil && sim.running(sim.byName[m.request.To]) {
			sim.byName[m.request.To].HandleRequest(sim.now, *m.request)
		}
		if m.offer != nil && sim.running(sim.byName[m.offer.To]) {
			sim.byName[m.offer.To].HandleOffer(sim.now, *m.offer)
		}
		return true
	})
	for _, s := range sim.hosts {
		if sim.running(s) {
			sim.drive(s, demand(s))
		}
	}
	sim.checkHeldSlots()
}

// drive acquires slots up to the demand, releases some at random and sends the
// host's messages.
func (sim *simulation) drive(s *Shares, demand int) {
	name := s.self.Name
	for len(sim.used[name]) > 0 && (demand == 0 || sim.rng.IntN(3) == 0) {
		s.Release(sim.now, sim.used[name][0])
		sim.used[name] = sim.used[name][1:]
	}
	waiting := demand
	for waiting > 0 {
		b, ok := s.Acquire(sim.now, nil)
		if !ok {
			break
		}
		sim.used[name] = append(sim.used[name], b)
		waiting--
	}
	for _, o := range s.DueOffers(sim.now, waiting, sim.now) {
		sim.send(message{offer: &o})
	}
	for _, req := range s.DueRequests(sim.now, waiting, sim.now.Add(-time.Second)) {
		sim.send(message{request: &req})
		sim.pending[name] = append(sim.pending[name], req)
	}
	sim.pending[name] = slices.DeleteFunc(sim.pending[name], func(req BorrowRequest) bool {
		late := sim.now.Sub(s.borrower.peers[req.To].sentAt) > 2*time.Second
		if late {
			s.RequestFailed(sim.now, req.To, req.Seq)
		}
		return late
	})
}

// checkHeldSlots checks that no host holds more of a lender's slots than the
// lender counts as lent to it.
func (sim *simulation) checkHeldSlots() {
	for _, b := range sim.hosts {
		if !sim.running(b) {
			continue
		}
		for _, p := range b.borrower.order {
			lender := sim.byName[p.Name]
			if !sim.running(lender) {
				continue
			}
			for _, g := range p.slots {
				lent := 0
				if l, ok := lender.lender.loans[b.incarnation]; ok {
					lent = totalSlots(intersectGrants(l.slots, []Grant{g}))
				}
				require.LessOrEqual(sim.t, g.Slots, lent, "seed %d at %v: %s holds of %s", sim.seed, sim.now.Sub(start), b.self.Name, p.Name)
			}
		}
	}
}

// TestLentSlotsAreHeldByOneHost runs random histories in which messages are
// lost, delayed, duplicated and reordered and hosts pause and stop. No borrower
// may hold a slot that its lender does not count as lent to it, and at the end
// every host must hold exactly its share again.
func TestLentSlotsAreHeldByOneHost(t *testing.T) {
	borrowed := 0
	for seed := range uint64(150) {
		sim := newSimulation(t, seed)
		for range 400 {
			sim.step(time.Duration(20+sim.rng.IntN(400))*time.Millisecond, func(s *Shares) int {
				if s.self.Name == "entry-0" {
					return sim.rng.IntN(12)
				}
				return sim.rng.IntN(5)
			})
			if sim.rng.IntN(150) == 0 {
				sim.pausedUntil[sim.hosts[sim.rng.IntN(3)].self.Name] = sim.now.Add(time.Duration(sim.rng.IntN(40)) * time.Second)
			}
			borrowed += sum(sim.hosts[0].borrowed)
		}
		if seed%2 == 0 {
			sim.stopped["entry-3"] = true
		}
		sim.loss = 0
		for range 8 * int(leaseDuration/time.Second) {
			sim.step(time.Second, func(*Shares) int { return 0 })
		}
		for _, s := range sim.hosts[:3] {
			for i := range s.table.servers {
				require.Equal(t, s.share[i], s.allotted(i), "seed %d %s", seed, s.self.Name)
				require.Zero(t, s.table.servers[i].used)
			}
		}
	}
	require.Greater(t, borrowed, 10_000)
}

func TestPausedBorrowerUsesNoExpiredLease(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.loss = 0
	s := sim.hosts[0]
	for range 20 {
		sim.step(500*time.Millisecond, func(h *Shares) int {
			if h == s {
				return 10
			}
			return 0
		})
	}
	require.Positive(t, sum(s.borrowed))
	for _, b := range sim.used[s.self.Name] {
		s.Release(sim.now, b)
	}
	later := sim.now.Add(leaseDuration)
	taken := 0
	for {
		if _, ok := s.Acquire(later, nil); !ok {
			break
		}
		taken++
	}
	require.Equal(t, sum(s.share)-sum(s.lent), taken)
}

func sum(counts []int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

func TestSlotsOfRemovedHostAreRedistributed(t *testing.T) {
	sim := newSimulation(t, 2)
	hosts, _ := hostsAndBackends(3, 0, 0)
	total := 0
	for _, s := range sim.hosts[:3] {
		s.SetHosts(sim.now, hosts)
		total += sum(s.share)
	}
	require.Equal(t, 24, total)
}

func TestExcludedServerGetsNoWorkAndKeepsItsShares(t *testing.T) {
	hosts, backends := hostsAndBackends(4, 6, 4)
	s := NewShares(hosts[0], "x", rand.New(rand.NewPCG(1, 1)))
	s.SetHosts(start, hosts)
	s.SetBackends(start, backends)
	before := slices.Clone(s.share)
	backends = slices.Clone(backends)
	backends[0].Excluded = true
	s.SetBackends(start, backends)
	require.Equal(t, before, s.share)
	for {
		b, ok := s.Acquire(start, nil)
		if !ok {
			break
		}
		require.NotEqual(t, "backend-0", b)
	}
}
