package routebench

import (
	"math/rand/v2"

	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// Ways returns the ways that are compared.
func Strategies() []Strategy {
	return []Strategy{TwoChoices(), TwoChoicesReported(), LeastLoaded(), FixedShares(), Shares()}
}

// Least is the least loaded server by local counts.
func LeastLoaded() Strategy {
	return Strategy{
		Name: "least outstanding, local counts", Policy: standing.PolicyLeast,
		New: func(_, zone string, rng *rand.Rand) route.Selector { return route.NewLeastLoaded(zone, rng) },
	}
}

// Shares is slot shares with borrowing.
func Shares() Strategy {
	return Strategy{
		Name: "slot shares with borrowing", Policy: standing.PolicyShares,
		New: func(host, zone string, rng *rand.Rand) route.Selector {
			return route.NewShares(route.Host{Name: host, Zone: zone}, host+"~1", rng)
		},
	}
}
