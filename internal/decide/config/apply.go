package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// Outcome is the result of applying a record.
type Outcome = standing.Outcome

const (
	// maxOutcomes is the number of records whose outcome is kept in the state.
	maxOutcomes = 256
	// maxTrackedKeys is the number of keys whose last change is kept in the
	// state.
	maxTrackedKeys = 1024
)

// Apply applies the record at offset to state, to which all records before offset
// must have been applied, and returns the next state. It does not modify state.
// The result depends on the arguments alone, so that it is the same on every
// host. A plan is rejected if one of its keys changed after the plan's base
// version. A record that is in the log twice is applied once.
func Apply(state *standing.State, offset int64, r Record) (*standing.State, Outcome) {
	switch r.Kind {
	case KindChange:
		return applyChange(state, offset, r)
	case KindSnapshot:
		return advanceOffset(state, offset), Outcome{ID: r.ID, Offset: offset, Accepted: agrees(state, r.Snapshot)}
	default:
		return advanceOffset(state, offset), rejected(r.ID, offset, "unknown kind %q", r.Kind)
	}
}

// advanceOffset returns the state after a record that changes only the offset.
func advanceOffset(state *standing.State, offset int64) *standing.State {
	next := *state
	next.Offset = offset
	return &next
}

// agrees reports whether a snapshot is consistent with the state. The contents
// are compared only if both have the same offset; an older snapshot agrees.
func agrees(state, snapshot *standing.State) bool {
	if snapshot == nil {
		return false
	}
	if snapshot.Offset != state.Offset {
		return snapshot.Offset < state.Offset
	}
	// Encoding cannot fail: states hold only types that JSON can encode.
	a, _ := json.Marshal(state)
	b, _ := json.Marshal(snapshot)
	return bytes.Equal(a, b)
}

func rejected(id string, offset int64, format string, args ...any) Outcome {
	return Outcome{ID: id, Offset: offset, Reason: fmt.Sprintf(format, args...)}
}

func applyChange(state *standing.State, offset int64, r Record) (*standing.State, Outcome) {
	if r.Plan == nil || r.Plan.ID != r.ID {
		return advanceOffset(state, offset), rejected(r.ID, offset, "the change has no plan of its own")
	}
	if err := r.Plan.Verify(); err != nil {
		return advanceOffset(state, offset), rejected(r.ID, offset, "%s", err.Detail)
	}
	if first, ok := state.Outcome(r.ID); ok {
		return advanceOffset(state, offset), first
	}
	outcome := evaluate(state, offset, *r.Plan)
	if !outcome.Accepted {
		next := advanceOffset(state, offset)
		next.Outcomes = appendOutcome(state.Outcomes, outcome)
		return next, outcome
	}
	next := clone(state)
	next.Offset, next.Version, next.Intent = offset, offset, r.Plan.Intent.ID
	next.Outcomes = appendOutcome(state.Outcomes, outcome)
	applyIntent(next, offset, r.Plan.Intent)
	recordChanges(next, offset, *r.Plan)
	return next, outcome
}

// evaluate returns the outcome of a verified plan. The text of a rejection is
// stored in the state, which agrees compares byte for byte.
func evaluate(state *standing.State, offset int64, p Plan) Outcome {
	if conflict := FindConflict(state, p); conflict != nil {
		out := rejected(p.ID, offset, "%s moved at version %d by %s with %s, the plan rests on version %d",
			conflict.Key, conflict.Version, conflict.Operator, conflict.Intent, p.Base)
		out.Conflict = conflict
		return out
	}
	if p.Base < state.MinBase {
		return rejected(p.ID, offset, "the plan rests on version %d, changes before %d are forgotten", p.Base, state.MinBase)
	}
	if p.Base > state.Version {
		return rejected(p.ID, offset, "the plan rests on version %d, the newest was %d", p.Base, state.Version)
	}
	if err := checkApplicable(state, p.Intent); err != nil {
		return rejected(p.ID, offset, "%s", err.Detail)
	}
	return Outcome{ID: p.ID, Offset: offset, Accepted: true}
}

// FindConflict returns the newest change of one of the plan's keys after the
// plan's base version, or nil if there is none.
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

// appendOutcome returns a copy of list with o appended, limited to the newest
// maxOutcomes.
func appendOutcome(list []Outcome, o Outcome) []Outcome {
	oldest := max(0, len(list)+1-maxOutcomes)
	return append(slices.Clone(list[oldest:]), o)
}

// recordChanges records the change of the plan's keys. Beyond
// maxTrackedKeys it removes keys in evictionOrder and raises MinBase to the
// newest version among their last changes.
func recordChanges(s *standing.State, version int64, p Plan) {
	for _, key := range p.Keys {
		s.LastChanges[key] = standing.Change{Version: version, Intent: p.Intent.ID, Operator: p.Intent.Operator}
	}
	if len(s.LastChanges) <= maxTrackedKeys {
		return
	}
	for _, key := range evictionOrder(s)[:len(s.LastChanges)-maxTrackedKeys] {
		s.MinBase = max(s.MinBase, s.LastChanges[key].Version)
		delete(s.LastChanges, key)
	}
}

// evictionOrder returns the tracked keys in the order of their removal: keys
// without a rule, drain or evacuation in force come first, and within each group those with
// the oldest change.
func evictionOrder(s *standing.State) []string {
	inForce := map[string]bool{}
	for name := range s.Customers {
		inForce[standing.CustomerKey(name)] = true
		inForce[standing.PoolKey(name)] = true
	}
	for zone := range s.Evacuations {
		inForce[standing.ZoneKey(zone)] = true
	}
	for name := range s.Drains {
		inForce[standing.HostKey(name)] = true
	}
	keys := slices.Sorted(maps.Keys(s.LastChanges))
	slices.SortStableFunc(keys, func(a, b string) int {
		if inForce[a] != inForce[b] {
			if inForce[a] {
				return 1
			}
			return -1
		}
		return int(s.LastChanges[a].Version - s.LastChanges[b].Version)
	})
	return keys
}

// clone copies the state and those of its maps that applyIntent and
// recordChanges modify.
func clone(s *standing.State) *standing.State {
	next := *s
	next.Customers = cloneMap(s.Customers)
	next.Drains = cloneMap(s.Drains)
	next.Evacuations = cloneMap(s.Evacuations)
	next.LastChanges = cloneMap(s.LastChanges)
	return &next
}

// cloneMap returns a copy of m, which is empty rather than nil if m is nil.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// applyIntent makes the intent's change to s, which must be a clone.
func applyIntent(s *standing.State, offset int64, i Intent) {
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
	case EvacuateZone:
		s.Evacuations[i.Zone] = standing.Evacuation{Since: offset, Intent: i.ID, Operator: i.Operator, Reason: i.Reason}
	case ReadmitZone:
		delete(s.Evacuations, i.Zone)
	}
}
