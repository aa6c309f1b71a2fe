package standing

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// maxTimeMs bounds every time in the rules: one day, in milliseconds.
const maxTimeMs = 24 * 60 * 60 * 1000

// bound is one rule with the range that it may take.
type bound struct {
	name     string
	value    float64
	low, top float64
}

// Check returns an error that names every rule with an impossible value.
// Unset rules are checked as their defaults. The same rules give the same error
// on every host.
func (c Customer) Check() error {
	c = c.WithDefaults()
	var problems []error
	if c.Policy != PolicyLeast && c.Policy != PolicyShares {
		problems = append(problems, fmt.Errorf("policy %q is not known", c.Policy))
	}
	if c.Unmarked != UnmarkedQueryPeers && c.Unmarked != UnmarkedFirstAttempt {
		problems = append(problems, fmt.Errorf("unmarked %q is not known", c.Unmarked))
	}
	problems = append(problems, checkBounds([]bound{
		{"queue_limit", float64(c.QueueLimit), 1, 1e6},
		{"deadline_ms", float64(c.DeadlineMs), 1, float64(c.MaxDeadlineMs)},
		{"max_deadline_ms", float64(c.MaxDeadlineMs), 1, maxTimeMs},
		{"retry_ratio", c.RetryRatio, 0, 1},
		{"horizon_ms", float64(c.HorizonMs), 1, maxTimeMs},
		{"eject.failures", float64(c.Eject.Failures), 1, 1e6},
		{"eject.max_share", c.Eject.MaxShare, 0, 1},
		{"eject.base_ms", float64(c.Eject.BaseMs), 1, float64(c.Eject.MaxMs)},
		{"eject.max_ms", float64(c.Eject.MaxMs), 1, maxTimeMs},
	})...)
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		if err := c.Teams[name].Check(); err != nil {
			problems = append(problems, fmt.Errorf("team %s: %w", name, err))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Weights)) {
		problems = append(problems, checkBounds([]bound{{"weight of " + name, c.Weights[name], 0, MaxWeight}})...)
	}
	return errors.Join(problems...)
}

// MaxWeight is the largest weight of a backend server.
const MaxWeight = 1000

// Check returns an error that names every rule with an impossible value.
func (t Team) Check() error {
	return errors.Join(checkBounds([]bound{
		{"weight", float64(t.Weight), 0, MaxWeight},
		{"slots", float64(t.Slots), 0, 1e6},
		{"cores", float64(t.Cores), 0, 1e6},
	})...)
}

func checkBounds(bounds []bound) []error {
	var problems []error
	for _, b := range bounds {
		if !(b.value >= b.low && b.value <= b.top) {
			problems = append(problems, fmt.Errorf("%s is %g, it must be from %g to %g", b.name, b.value, b.low, b.top))
		}
	}
	return problems
}
