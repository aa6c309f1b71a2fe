package routebench

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const seeds = 5

// TestLeastMeetsTarget bounds the way without extra messages.
func TestLeastMeetsTarget(t *testing.T) {
	for _, skew := range []float64{1, 3} {
		scenario := func(seed uint64) Scenario { return Vadodara(0.8, skew, seed) }
		ideal := TotalIdeal(seeds, scenario)
		got := Total(Least(), seeds, scenario)
		require.LessOrEqual(t, got.Mean()/ideal.Mean(), 1.02, "mean, callers %v:1", skew)
		require.LessOrEqual(t, got.Quantile(0.99)/ideal.Quantile(0.99), 1.3, "p99, callers %v:1", skew)
		require.Zero(t, got.Messages)
	}
}
