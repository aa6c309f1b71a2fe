package routebench

import (
	"math/rand/v2"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// twoChoices is a selector that chooses the less loaded of two random servers.
type twoChoices struct {
	rng      *rand.Rand
	backends []route.Backend
	used     map[string]int
	// reported is the load that each server's last answer reported, plus the
	// requests sent since. It is nil if reported loads are not used.
	reported map[string]int
}

// TwoChoices is the power of two choices with local counts.
func TwoChoices() Strategy {
	return Strategy{
		Name: "two choices, local counts", Policy: standing.PolicyLeast,
		New: func(_, _ string, rng *rand.Rand) route.Selector {
			return &twoChoices{rng: rng, used: map[string]int{}}
		},
	}
}

// TwoChoicesReported is the power of two choices with the load that answers
// report.
func TwoChoicesReported() Strategy {
	return Strategy{
		Name: "two choices, load on answers", Policy: standing.PolicyLeast,
		New: func(_, _ string, rng *rand.Rand) route.Selector {
			return &twoChoices{rng: rng, used: map[string]int{}, reported: map[string]int{}}
		},
	}
}

func (c *twoChoices) SetBackends(_ time.Time, backends []route.Backend) { c.backends = backends }

func (c *twoChoices) Acquire(time.Time, map[string]bool) (string, bool) {
	a := c.backends[c.rng.IntN(len(c.backends))].Name
	b := c.backends[c.rng.IntN(len(c.backends))].Name
	if c.load(b) < c.load(a) {
		a = b
	}
	c.Adopt(a)
	return a, true
}

// load returns the server's load as known to this host. Requests that were sent
// since the last report are added to it.
func (c *twoChoices) load(name string) int {
	if c.reported == nil {
		return c.used[name]
	}
	return max(c.used[name], c.reported[name])
}

func (c *twoChoices) Release(_ time.Time, backend string) { c.used[backend]-- }

func (c *twoChoices) Adopt(backend string) {
	c.used[backend]++
	if c.reported != nil {
		c.reported[backend]++
	}
}

func (c *twoChoices) Observe(_ time.Time, backend string, load int) {
	if c.reported != nil {
		c.reported[backend] = load - 1
	}
}

func (c *twoChoices) Rule() string { return "less loaded of two" }

// fixedShares is a Shares selector that never borrows.
type fixedShares struct{ *route.Shares }

func (fixedShares) DueRequests(time.Time, int, time.Time) []route.BorrowRequest { return nil }

// FixedShares divides slots into shares without borrowing.
func FixedShares() Strategy {
	return Strategy{
		Name: "fixed slot shares", Policy: standing.PolicyShares,
		New: func(host, zone string, rng *rand.Rand) route.Selector {
			return fixedShares{route.NewShares(route.Host{Name: host, Zone: zone}, host+"~1", rng)}
		},
	}
}
