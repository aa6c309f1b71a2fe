package config

import "github.com/parsleyhill/parsleyhill/internal/decide/standing"

// Inspection is the result of checking an intent by the rules for plans.
type Inspection struct {
	// Errors are the reasons for which MakePlan would refuse the intent.
	Errors []standing.Problem
	// Warnings are the warnings that its plan would have.
	Warnings []Warning
	// After is the state after the intent, or nil if there are errors.
	After *standing.State
}

// Inspect checks an intent by the rules of MakePlan. If state is nil, the
// version in force is not known: the intent is checked on its own and applied to
// an empty state. There are no warnings if no host is listed, or if there are
// errors: warnings that follow from invalid values would mislead.
func Inspect(state *standing.State, hosts ListedHosts, i Intent) Inspection {
	if problems := i.Problems(); len(problems) > 0 {
		return Inspection{Errors: problems}
	}
	before := state
	if before == nil {
		before = &standing.State{}
	} else if p, ok := inapplicable(state, i); ok {
		return Inspection{Errors: []standing.Problem{p}}
	}
	after := clone(before)
	applyIntent(after, before.Version, i)
	result := Inspection{After: after}
	if hosts.AnyListed() {
		result.Warnings = warnings(before, after, hosts, i)
	}
	return result
}
