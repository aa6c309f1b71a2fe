package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// selectors returns each selector over n servers with most slots in use.
func selectors(n int) map[string]Selector {
	hosts, backends := fleet(8, n, 8)
	rng := rand.New(rand.NewPCG(1, 1))
	shares := NewShares(hosts[0], "x", rng)
	shares.SetHosts(start, hosts)
	all := map[string]Selector{"least": NewLeastLoaded("zone-0", rng), "shares": shares}
	for _, s := range all {
		s.SetBackends(start, backends)
		for range n * 4 / 5 {
			s.Acquire(start, nil)
		}
	}
	return all
}

func choose(s Selector) {
	if b, ok := s.Acquire(start, nil); ok {
		s.Release(start, b)
	}
}

// TestChoiceAllocatesNothing bounds the cost of a choice at every size.
func TestChoiceAllocatesNothing(t *testing.T) {
	for _, n := range []int{50, 220, 880} {
		for name, s := range selectors(n) {
			require.Zero(t, testing.AllocsPerRun(1000, func() { choose(s) }), "%s, %d servers", name, n)
		}
	}
}

func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{50, 220, 880} {
		for name, s := range selectors(n) {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					choose(s)
				}
			})
		}
	}
}
