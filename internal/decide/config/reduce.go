package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// Outcome says what became of a record.
type Outcome = standing.Outcome

const (
	// maxOutcomes bounds the records whose outcome is remembered.
	maxOutcomes = 256
	// maxTouched bounds the keys whose last change is remembered.
	maxTouched = 1024
)

// Fold applies the record at offset to state, which must be folded up to the
// record before, and returns the next state. State is not modified. What Fold
// does depends on its arguments alone: a record that rests on a version older
// than the last change of what it touches is rejected, on every host alike,
// and a record that is in the log twice counts once.
func Apply(state *standing.State, offset int64, r Record) (*standing.State, Outcome) {
	switch r.Kind {
	case KindChange:
		return foldChange(state, offset, r)
	case KindSnapshot:
		return skip(state, offset), Outcome{ID: r.ID, Offset: offset, Accepted: agrees(state, r.Snapshot)}
	default:
		return skip(state, offset), reject(r.ID, offset, "unknown kind %q", r.Kind)
	}
}

// skip returns the state after a record that changes nothing.
func skip(state *standing.State, offset int64) *standing.State {
	next := *state
	next.Offset = offset
	return &next
}

// agrees reports whether a snapshot does not contradict the state. Only a
// snapshot of the same offset can be compared.
func agrees(state, snapshot *standing.State) bool {
	if snapshot == nil {
		return false
	}
	if snapshot.Offset != state.Offset {
		return snapshot.Offset < state.Offset
	}
	// States hold only types that JSON can encode.
	a, _ := json.Marshal(state)
	b, _ := json.Marshal(snapshot)
	return bytes.Equal(a, b)
}

func reject(id string, offset int64, format string, args ...any) Outcome {
	return Outcome{ID: id, Offset: offset, Reason: fmt.Sprintf(format, args...)}
}

func foldChange(state *standing.State, offset int64, r Record) (*standing.State, Outcome) {
	if r.Plan == nil || r.Plan.ID != r.ID {
		return skip(state, offset), reject(r.ID, offset, "the change has no plan of its own")
	}
	if err := r.Plan.Verify(); err != nil {
		return skip(state, offset), reject(r.ID, offset, "%s", err.Detail)
	}
	if first, ok := state.Outcome(r.ID); ok {
		return skip(state, offset), first
	}
	outcome := judge(state, offset, *r.Plan)
	if !outcome.Accepted {
		next := skip(state, offset)
		next.Outcomes = remember(state.Outcomes, outcome)
		return next, outcome
	}
	next := clone(state)
	next.Offset, next.Version, next.Intent = offset, offset, r.Plan.Intent.ID
	next.Outcomes = remember(state.Outcomes, outcome)
	apply(next, offset, r.Plan.Intent)
	touch(next, offset, *r.Plan)
	return next, outcome
}

// judge decides on a verified plan.
func judge(state *standing.State, offset int64, p Plan) Outcome {
	if moved := FindConflict(state, p); moved != nil {
		out := reject(p.ID, offset, "%s moved at version %d by %s with %s, the plan rests on version %d",
			moved.Key, moved.Version, moved.Operator, moved.Intent, p.Base)
		out.Conflict = moved
		return out
	}
	if p.Base < state.MinBase {
		return reject(p.ID, offset, "the plan rests on version %d, changes before %d are forgotten", p.Base, state.MinBase)
	}
	if p.Base > state.Version {
		return reject(p.ID, offset, "the plan rests on version %d, the newest was %d", p.Base, state.Version)
	}
	if err := applicable(state, p.Intent); err != nil {
		return reject(p.ID, offset, "%s", err.Detail)
	}
	return Outcome{ID: p.ID, Offset: offset, Accepted: true}
}

// Stale returns the newest change of what the plan touches since its base, or
// nil if there is none.
func FindConflict(state *standing.State, p Plan) *standing.Conflict {
	var newest *standing.Conflict
	for _, key := range p.Keys {
		last := state.LastChanges[key]
		if last.Version <= p.Base {
			continue
		}
		if newest == nil || last.Version > newest.Version {
			newest = &standing.Conflict{Key: key, Change: last}
		}
	}
	return newest
}

// remember appends to a bounded list without modifying it.
func remember(list []Outcome, o Outcome) []Outcome {
	oldest := max(0, len(list)+1-maxOutcomes)
	return append(slices.Clone(list[oldest:]), o)
}

// touch notes the change of the plan's keys and forgets the oldest ones.
func touch(s *standing.State, version int64, p Plan) {
	for _, key := range p.Keys {
		s.LastChanges[key] = standing.Change{Version: version, Intent: p.Intent.ID, Operator: p.Intent.Operator}
	}
	if len(s.LastChanges) <= maxTouched {
		return
	}
	for _, key := range forgettable(s)[:len(s.LastChanges)-maxTouched] {
		s.MinBase = max(s.MinBase, s.LastChanges[key].Version)
		delete(s.LastChanges, key)
	}
}

// forgettable returns the touched keys, those that no rule in force rests on
// first, and the oldest first among these.
func forgettable(s *standing.State) []string {
	live := map[string]bool{}
	for name := range s.Customers {
		live[standing.CustomerKey(name)] = true
		live[standing.PoolKey(name)] = true
	}
	for name := range s.Drains {
		live[standing.HostKey(name)] = true
	}
	keys := slices.Sorted(maps.Keys(s.LastChanges))
	slices.SortStableFunc(keys, func(a, b string) int {
		if live[a] != live[b] {
			if live[a] {
				return 1
			}
			return -1
		}
		return int(s.LastChanges[a].Version - s.LastChanges[b].Version)
	})
	return keys
}

// clone copies the state deep enough for apply.
func clone(s *standing.State) *standing.State {
	next := *s
	next.Customers = cloneMap(s.Customers)
	next.Drains = cloneMap(s.Drains)
	next.LastChanges = cloneMap(s.LastChanges)
	return &next
}

// cloneMap never returns nil.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// apply changes the state as the intent asks.
func apply(s *standing.State, offset int64, i Intent) {
	customer := s.Customers[i.Customer]
	switch i.Verb {
	case SetCustomer:
		s.Customers[i.Customer] = *i.Rules
	case RemoveCustomer:
		delete(s.Customers, i.Customer)
	case SetTeam:
		customer.Teams = cloneMap(customer.Teams)
		customer.Teams[i.Team] = *i.TeamRules
		s.Customers[i.Customer] = customer
	case RemoveTeam:
		customer.Teams = cloneMap(customer.Teams)
		delete(customer.Teams, i.Team)
		s.Customers[i.Customer] = customer
	case SetWeight:
		customer.Weights = cloneMap(customer.Weights)
		customer.Weights[i.Host] = *i.Weight
		s.Customers[i.Customer] = customer
	case Drain:
		s.Drains[i.Host] = standing.Drain{Since: offset, Intent: i.ID, Operator: i.Operator, Reason: i.Reason}
	case Undrain:
		delete(s.Drains, i.Host)
	}
}
