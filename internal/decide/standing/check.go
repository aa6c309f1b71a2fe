package standing

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// maxTimeMs is the upper limit of every duration in the rules, in
// milliseconds: one day.
const maxTimeMs = 24 * 60 * 60 * 1000

// Problem is an entry with an invalid value.
type Problem struct {
	// Path holds the JSON names that lead to the entry, outermost first.
	Path []string
	// Text describes the problem and names the entry.
	Text string
	// Fix says what to change.
	Fix string
}

// bound is the value of one rule with its permitted range. The name is the
// rule's path, joined by dots.
type bound struct {
	name     string
	value    float64
	low, top float64
}

// Check returns an error that names every rule with an invalid value, or nil. The
// result depends on c alone, so that every host returns the same error.
func (c Customer) Check() error { return joinProblems(c.Problems()) }

// Problems returns every rule with an invalid value, in a fixed order. Unset
// rules are checked with their defaults.
func (c Customer) Problems() []Problem {
	c = c.WithDefaults()
	var problems []Problem
	if c.Policy != PolicyLeast && c.Policy != PolicyShares {
		problems = append(problems, Problem{
			Path: []string{"policy"}, Text: fmt.Sprintf("policy %q is not known", c.Policy),
			Fix: fmt.Sprintf("set it to %q or %q", PolicyLeast, PolicyShares),
		})
	}
	if c.Unmarked != UnmarkedQueryPeers && c.Unmarked != UnmarkedFirstAttempt {
		problems = append(problems, Problem{
			Path: []string{"unmarked"}, Text: fmt.Sprintf("unmarked %q is not known", c.Unmarked),
			Fix: fmt.Sprintf("set it to %q or %q", UnmarkedQueryPeers, UnmarkedFirstAttempt),
		})
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
		for _, p := range c.Teams[name].Problems() {
			p.Path = append([]string{"teams", name}, p.Path...)
			p.Text = fmt.Sprintf("team %s: %s", name, p.Text)
			problems = append(problems, p)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Weights)) {
		for _, p := range checkBounds([]bound{{"weight of " + name, c.Weights[name], 0, MaxWeight}}) {
			p.Path = []string{"weights", name}
			problems = append(problems, p)
		}
	}
	return problems
}

// MaxWeight is the largest weight of a backend server or a team.
const MaxWeight = 1000

// Problems returns every rule with an invalid value, in a fixed order.
func (t Team) Problems() []Problem {
	return checkBounds([]bound{
		{"weight", float64(t.Weight), 0, MaxWeight},
		{"slots", float64(t.Slots), 0, 1e6},
		{"cores", float64(t.Cores), 0, 1e6},
	})
}

func checkBounds(bounds []bound) []Problem {
	var problems []Problem
	for _, b := range bounds {
		if !(b.value >= b.low && b.value <= b.top) {
			problems = append(problems, Problem{
				Path: strings.Split(b.name, "."),
				Text: fmt.Sprintf("%s is %g, it must be from %g to %g", b.name, b.value, b.low, b.top),
				Fix:  fmt.Sprintf("set it to a value from %s to %s", decimal(b.low), decimal(b.top)),
			})
		}
	}
	return problems
}

// decimal formats a number without an exponent.
func decimal(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func joinProblems(problems []Problem) error {
	var all []error
	for _, p := range problems {
		all = append(all, errors.New(p.Text))
	}
	return errors.Join(all...)
}
