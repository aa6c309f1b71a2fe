package routebench

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

const (
	seeds   = 3
	measure = 60 * time.Second
)

// TestMeetsTargets bounds response times over the ideal's and the messages.
func TestMeetsTargets(t *testing.T) {
	tests := []struct {
		way                             Strategy
		deployment                      func(load, skew float64, seed uint64) Scenario
		load, skew, mean, p99, messages float64
	}{
		{Shares(), Tamarind, 0.8, 1, 1.01, 1.1, 0.05},
		{Shares(), Tamarind, 0.8, 3, 1.01, 1.1, 0.05},
		{Shares(), Tamarind, 0.95, 1, 1.05, 1.4, 0.5},
		{Shares(), Tamarind, 0.95, 3, 1.05, 1.4, 0.5},
		{LeastLoaded(), Vadodara, 0.8, 1, 1.02, 1.3, 0},
		{LeastLoaded(), Vadodara, 0.8, 3, 1.02, 1.3, 0},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s, load %v, callers %v to 1", tt.way.Policy, tt.load, tt.skew), func(t *testing.T) {
			t.Parallel()
			scenario := func(seed uint64) Scenario {
				s := tt.deployment(tt.load, tt.skew, seed)
				s.Measure = measure
				return s
			}
			ideal := RunIdealSeeds(seeds, scenario)
			got := RunSeeds(tt.way, seeds, scenario)
			require.LessOrEqual(t, got.Mean()/ideal.Mean(), tt.mean, "mean")
			require.LessOrEqual(t, got.Quantile(0.99)/ideal.Quantile(0.99), tt.p99, "p99")
			require.LessOrEqual(t, got.MessagesPerRequest(), tt.messages, "messages")
		})
	}
}

// TestOverload bounds goodput and late answers at 1.3 times the capacity.
func TestOverload(t *testing.T) {
	for _, way := range []Strategy{Shares(), LeastLoaded()} {
		for _, skew := range []float64{1, 3} {
			for _, deadline := range []time.Duration{standing.DefaultDeadlineMs * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, callers %v to 1, deadline %v", way.Policy, skew, deadline), func(t *testing.T) {
					t.Parallel()
					scenario := func(seed uint64) Scenario {
						s := Tamarind(1.3, skew, seed)
						s.Measure, s.Deadline, s.QueueLimit = measure, deadline, standing.DefaultQueueLimit
						return s
					}
					got := RunSeeds(way, seeds, scenario)
					t.Logf("goodput %.3f late %d of %d refused %d messages %.3f", got.Goodput(scenario(0), seeds), got.Late, got.Requests, got.Refused, got.MessagesPerRequest())
					require.GreaterOrEqual(t, got.Goodput(scenario(0), seeds), 0.95)
					require.Zero(t, got.Late, "late of %d", got.Requests)
				})
			}
		}
	}
}
