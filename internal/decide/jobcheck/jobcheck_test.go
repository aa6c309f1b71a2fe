package jobcheck

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Guards against a bound that also refuses its own limit, and against a fault of a size
// that makes readers of the log drop a job that another host runs.
func TestBoundsHoldFromTheFirstNumberBeyond(t *testing.T) {
	const most, half = MaxNumber, MaxWork / 2
	limits := Limits{Steps: 3, Tasks: 10}
	for name, c := range map[string]struct {
		change  func(s []fleet.Step) []fleet.Step
		want    *Fault
		readers bool
	}{
		"largest numbers": {func(s []fleet.Step) []fleet.Step {
			s[1].Size.MemoryMB, s[1].Size.GPUs, s[1].MaxPerWorker, s[1].Estimate = most, most, most, maxEstimate
			s[2].Size.MilliCPU = most
			return s
		}, nil, false},
		"most tasks": {func(s []fleet.Step) []fleet.Step { s[2].Count = 8; return s }, nil, false},
		"most work": {func(s []fleet.Step) []fleet.Step {
			for i := range 2 {
				s[i].Size.MilliCPU, s[i].Estimate = half>>29, 1<<29*time.Millisecond
			}
			return s
		}, nil, false},
		"all earlier steps":  {func(s []fleet.Step) []fleet.Step { s[2].After = []int{1, 0}; return s }, nil, false},
		"the same of others": {func(s []fleet.Step) []fleet.Step { s[1].After, s[2].After = []int{0}, []int{0}; return s }, nil, false},

		"no steps":  {func([]fleet.Step) []fleet.Step { return nil }, &Fault{Kind: NoSteps}, true},
		"steps":     {func(s []fleet.Step) []fleet.Step { return append(s, s[0]) }, &Fault{Kind: Steps, Value: 4, Limit: 3}, false},
		"no tasks":  {func(s []fleet.Step) []fleet.Step { s[2].Count = 0; return s }, &Fault{Kind: Count, Step: 2}, true},
		"tasks":     {func(s []fleet.Step) []fleet.Step { s[2].Count = 9; return s }, &Fault{Kind: Tasks, Step: 2, Value: 9, Tasks: 11, Limit: 10}, false},
		"cpu":       {func(s []fleet.Step) []fleet.Step { s[0].Size.MilliCPU = most + 1; return s }, &Fault{Kind: MilliCPU, Value: most + 1, Limit: most}, false},
		"cpu below": {func(s []fleet.Step) []fleet.Step { s[0].Size.MilliCPU = -1; return s }, &Fault{Kind: MilliCPU, Value: -1, Limit: most}, true},
		"per worker": {
			func(s []fleet.Step) []fleet.Step { s[1].MaxPerWorker = math.MaxInt; return s },
			&Fault{Kind: MaxPerWorker, Step: 1, Value: math.MaxInt, Limit: most}, false,
		},
		"estimate": {
			func(s []fleet.Step) []fleet.Step { s[1].Estimate = maxEstimate + 1; return s },
			&Fault{Kind: Estimate, Step: 1, Value: int(maxEstimate) + 1, Limit: int(maxEstimate)}, false,
		},
		"estimate below": {
			func(s []fleet.Step) []fleet.Step { s[1].Estimate = math.MinInt64; return s },
			&Fault{Kind: Estimate, Step: 1, Value: math.MinInt64, Limit: int(maxEstimate)}, true,
		},
		"work": {func(s []fleet.Step) []fleet.Step {
			s[0].Size.MilliCPU, s[0].Estimate = MaxWork>>30, 1<<30*time.Millisecond
			s[2].Size.MilliCPU, s[2].Estimate = 1, time.Millisecond
			return s
		}, &Fault{Kind: Work, Step: 2, Work: MaxWork + 1}, false},
		"after a later step": {func(s []fleet.Step) []fleet.Step { s[1].After = []int{1}; return s }, &Fault{Kind: Order, Step: 1, Value: 1}, true},
		"after one twice":    {func(s []fleet.Step) []fleet.Step { s[2].After = []int{1, 1}; return s }, &Fault{Kind: Repeated, Step: 2, Value: 1}, true},
		"after too many":     {func(s []fleet.Step) []fleet.Step { s[1].After = []int{0, 0}; return s }, &Fault{Kind: Dependencies, Step: 1, Value: 2, Limit: 1}, true},
	} {
		job := fleet.Job{Steps: c.change([]fleet.Step{{Count: 1}, {Count: 1}, {Count: 1}})}
		assert.Equal(t, c.want, Check(job, limits), name)
		assert.Equal(t, c.readers, Malformed(job) != nil, name)
		if c.want != nil {
			require.NotContains(t, c.want.Error(), "fault ", name)
		}
	}
}
