package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// allocsPerRequest bounds the allocations that a request makes in the core from
// arrival to outcome, its decision records included.
const allocsPerRequest = 25

// requestLoop sends requests one after another through the core of one entry
// host.
type requestLoop struct {
	core *Core
	now  time.Time
	sent int
}

func newRequestLoop(policy standing.Policy, servers int) *requestLoop {
	rng := rand.New(rand.NewPCG(1, 1))
	var selector route.Selector = route.NewLeastLoaded("zone-0", rng)
	if policy == standing.PolicyShares {
		selector = route.NewShares(route.Host{Name: "entry-0", Zone: "zone-0"}, "entry-0~a", rng)
	}
	m := &requestLoop{core: New("tamarind", standing.Customer{Policy: policy}, selector), now: time.Unix(0, 0)}
	var listed []route.Backend
	for i := range servers {
		listed = append(listed, route.Backend{
			Name: fmt.Sprint("backend-", i), Zone: fmt.Sprint("zone-", i%3), Slots: slots, Limit: connLimit, Weight: 1,
		})
	}
	m.core.SetHosts(m.now, []route.Host{{Name: "entry-0", Zone: "zone-0"}, {Name: "entry-1", Zone: "zone-1"}})
	m.core.SetBackends(m.now, listed)
	return m
}

// request sends one request and reports its success to the core.
func (m *requestLoop) request() {
	m.sent++
	m.now = m.now.Add(time.Millisecond)
	id := fmt.Sprint("request-", m.sent)
	for _, a := range m.core.Arrive(m.now, Request{ID: id, Deadline: m.now.Add(deadline)}) {
		if send, ok := a.(Send); ok {
			m.core.Done(m.now.Add(time.Millisecond), Outcome{ID: send.ID, Backend: send.Backend})
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, policy := range []standing.Policy{standing.PolicyLeast, standing.PolicyShares} {
		for _, servers := range []int{50, 220, 880} {
			b.Run(fmt.Sprintf("%s/%d-servers", policy, servers), func(b *testing.B) {
				m := newRequestLoop(policy, servers)
				b.ReportAllocs()
				for b.Loop() {
					m.request()
				}
			})
		}
	}
}

func TestAllocationsPerRequestAreBounded(t *testing.T) {
	for _, policy := range []standing.Policy{standing.PolicyLeast, standing.PolicyShares} {
		for _, servers := range []int{50, 880} {
			m := newRequestLoop(policy, servers)
			require.LessOrEqual(t, testing.AllocsPerRun(200, m.request), float64(allocsPerRequest), "%s, %d servers", policy, servers)
			require.Zero(t, m.core.Waiting())
		}
	}
}
