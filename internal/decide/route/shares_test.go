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

func fleet(hosts, backends, slots int) ([]Host, []Backend) {
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
		hosts, backends := fleet(size[0], size[1], 8)
		if size[0] > 3 {
			backends[1].Weight = 0.5
			backends[2].Weight = 0
		}
		shuffled := slices.Clone(hosts)
		slices.Reverse(shuffled)
		dealt := make([]int, len(backends))
		local, total, least, most := 0, 0, 1<<30, 0
		for _, h := range hosts {
			shares := Assign(h.Name, hosts, backends)
			require.Equal(t, shares, Assign(h.Name, shuffled, backends))
			sum := 0
			for i, n := range shares {
				require.LessOrEqual(t, n, 7)
				dealt[i] += n
				sum += n
				if h.Zone == backends[i].Zone {
					local += n
				}
			}
			total += sum
			least, most = min(least, sum), max(most, sum)
		}
		for i, n := range dealt {
			require.Equal(t, min(capacity(backends[i]), 7*len(hosts)), n, "%v server %d", size, i)
		}
		require.LessOrEqual(t, most-least, 1, "%v", size)
		if size[0] >= 6 {
			require.Greater(t, float64(local)/float64(total), 0.75, "%v", size)
		}
	}
}

// message is an ask or an offer on its way.
type message struct {
	at    time.Time
	ask   *BorrowRequest
	offer *Offer
}

// world is several hosts' selectors with an unreliable network between them.
type world struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	now     time.Time
	hosts   []*Shares
	byName  map[string]*Shares
	used    map[string][]string
	dead    map[string]bool
	frozen  map[string]time.Time
	pending map[string][]BorrowRequest
	flying  []message
	// loss is the part of messages that are lost, and half as many come twice.
	loss float64
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), now: start, byName: map[string]*Shares{},
		used: map[string][]string{}, dead: map[string]bool{}, frozen: map[string]time.Time{}, pending: map[string][]BorrowRequest{}, loss: 0.2,
	}
	hosts, backends := fleet(4, 6, 4)
	for i, h := range hosts {
		s := NewShares(h, h.Name+"~1", rand.New(rand.NewPCG(seed, uint64(i))))
		s.SetHosts(start, hosts)
		s.SetBackends(start, backends)
		w.hosts = append(w.hosts, s)
		w.byName[h.Name] = s
	}
	return w
}

func (w *world) runs(s *Shares) bool {
	return !w.dead[s.self.Name] && !w.now.Before(w.frozen[s.self.Name])
}

func (w *world) post(m message) {
	for range 2 {
		if w.rng.Float64() >= w.loss {
			m.at = w.now.Add(time.Duration(w.rng.IntN(100)) * time.Millisecond)
			if w.rng.Float64() < w.loss {
				m.at = m.at.Add(time.Duration(w.rng.IntN(20)) * time.Second)
			}
			w.flying = append(w.flying, m)
		}
		if w.rng.Float64() >= w.loss/2 {
			return
		}
	}
}

// step lets time pass, delivers what is due and moves every running host.
func (w *world) step(d time.Duration, demand func(s *Shares) int) {
	w.now = w.now.Add(d)
	w.flying = slices.DeleteFunc(w.flying, func(m message) bool {
		if m.at.After(w.now) {
			return false
		}
		if m.ask != nil && w.runs(w.byName[m.ask.To]) {
			w.byName[m.ask.To].HandleRequest(w.now, *m.ask)
		}
		if m.offer != nil && w.runs(w.byName[m.offer.To]) {
			w.byName[m.offer.To].HandleOffer(w.now, *m.offer)
		}
		return true
	})
	for _, s := range w.hosts {
		if w.runs(s) {
			w.move(s, demand(s))
		}
	}
	w.check()
}

// move takes and gives back slots at random and sends what the host says.
func (w *world) move(s *Shares, demand int) {
	name := s.self.Name
	for len(w.used[name]) > 0 && (demand == 0 || w.rng.IntN(3) == 0) {
		s.Release(w.now, w.used[name][0])
		w.used[name] = w.used[name][1:]
	}
	waiting := demand
	for waiting > 0 {
		b, ok := s.Acquire(w.now, nil)
		if !ok {
			break
		}
		w.used[name] = append(w.used[name], b)
		waiting--
	}
	for _, o := range s.DueOffers(w.now, waiting, w.now) {
		w.post(message{offer: &o})
	}
	for _, a := range s.DueRequests(w.now, waiting, w.now.Add(-time.Second)) {
		w.post(message{ask: &a})
		w.pending[name] = append(w.pending[name], a)
	}
	w.pending[name] = slices.DeleteFunc(w.pending[name], func(a BorrowRequest) bool {
		late := w.now.Sub(s.borrower.peers[a.To].sent) > 2*time.Second
		if late {
			s.RequestFailed(w.now, a.To, a.Seq)
		}
		return late
	})
}

// check makes sure that no host holds more of a lender's slots than the lender
// counts as lent.
func (w *world) check() {
	for _, b := range w.hosts {
		if !w.runs(b) {
			continue
		}
		for _, p := range b.borrower.order {
			lender := w.byName[p.Name]
			if !w.runs(lender) {
				continue
			}
			for _, g := range p.slots {
				lent := 0
				if l, ok := lender.lender.loans[b.incarnation]; ok {
					lent = slots(common(l.slots, []Grant{g}))
				}
				require.LessOrEqual(w.t, g.Slots, lent, "seed %d at %v: %s holds of %s", w.seed, w.now.Sub(start), b.self.Name, p.Name)
			}
		}
	}
}

// TestLentSlotsAreHeldOnce drives random histories of loss, delay, repetition,
// reordering, pauses and deaths, then checks that all slots come back.
func TestLentSlotsAreHeldByOneHost(t *testing.T) {
	borrowed := 0
	for seed := range uint64(150) {
		w := newWorld(t, seed)
		for range 400 {
			w.step(time.Duration(20+w.rng.IntN(400))*time.Millisecond, func(s *Shares) int {
				if s.self.Name == "entry-0" {
					return w.rng.IntN(12)
				}
				return w.rng.IntN(5)
			})
			if w.rng.IntN(150) == 0 {
				w.frozen[w.hosts[w.rng.IntN(3)].self.Name] = w.now.Add(time.Duration(w.rng.IntN(40)) * time.Second)
			}
			borrowed += sum(w.hosts[0].borrowed)
		}
		if seed%2 == 0 {
			w.dead["entry-3"] = true
		}
		w.loss = 0
		for range 8 * int(leaseTime/time.Second) {
			w.step(time.Second, func(*Shares) int { return 0 })
		}
		for _, s := range w.hosts[:3] {
			for i := range s.table.servers {
				require.Equal(t, s.share[i], s.own(i), "seed %d %s", seed, s.self.Name)
				require.Zero(t, s.table.servers[i].used)
			}
		}
	}
	require.Greater(t, borrowed, 10_000)
}

func TestPausedBorrowerUsesNoExpiredLease(t *testing.T) {
	w := newWorld(t, 1)
	w.loss = 0
	s := w.hosts[0]
	for range 20 {
		w.step(500*time.Millisecond, func(h *Shares) int {
			if h == s {
				return 10
			}
			return 0
		})
	}
	require.Positive(t, sum(s.borrowed))
	for _, b := range w.used[s.self.Name] {
		s.Release(w.now, b)
	}
	later := w.now.Add(leaseTime)
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
	w := newWorld(t, 2)
	hosts, _ := fleet(3, 0, 0)
	total := 0
	for _, s := range w.hosts[:3] {
		s.SetHosts(w.now, hosts)
		total += sum(s.share)
	}
	require.Equal(t, 24, total)
}

func TestExcludedServerGetsNoWorkAndKeepsItsShares(t *testing.T) {
	hosts, backends := fleet(4, 6, 4)
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
