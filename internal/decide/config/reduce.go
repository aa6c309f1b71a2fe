package config

import (
	"fmt"
	"maps"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// Outcome says what became of a record.
type Outcome struct {
	// ID is the record's id.
	ID string
	// Accepted is set if the record changed the state.
	Accepted bool
	// Reason says why a record was rejected.
	Reason string
}

// Fold applies the record at offset to state and returns the next state.
// State is not modified. A record that rests on a version older than the last
// change of what it touches is rejected, on every host alike.
func Fold(state *standing.State, offset int64, r Record) (*standing.State, Outcome) {
	switch r.Kind {
	case KindSnapshot:
		return foldSnapshot(state, r)
	case KindChange:
		return foldChange(state, offset, r)
	default:
		return state, Outcome{ID: r.ID, Reason: fmt.Sprintf("unknown kind %q", r.Kind)}
	}
}

func foldSnapshot(state *standing.State, r Record) (*standing.State, Outcome) {
	if r.Snapshot == nil || (state != nil && state.Version >= r.Snapshot.Version) {
		return state, Outcome{ID: r.ID, Reason: "older than the state"}
	}
	return r.Snapshot, Outcome{ID: r.ID, Accepted: true}
}

func foldChange(state *standing.State, offset int64, r Record) (*standing.State, Outcome) {
	if r.Plan == nil {
		return state, Outcome{ID: r.ID, Reason: "change without a plan"}
	}
	if err := r.Plan.Verify(); err != nil {
		return state, Outcome{ID: r.ID, Reason: err.Detail}
	}
	intent := r.Plan.Intent
	if last := state.Touched[intent.Key()]; last > r.Plan.Base {
		reason := fmt.Sprintf("%s changed at version %d, the plan rests on %d", intent.Key(), last, r.Plan.Base)
		return state, Outcome{ID: r.ID, Reason: reason}
	}
	if err := applicable(state, intent); err != nil {
		return state, Outcome{ID: r.ID, Reason: err.Detail}
	}
	next := clone(state)
	next.Version = offset
	next.Intent = intent.ID
	next.Touched[intent.Key()] = offset
	apply(next, offset, intent)
	return next, Outcome{ID: r.ID, Accepted: true}
}

// clone copies the state deep enough for apply.
func clone(s *standing.State) *standing.State {
	return &standing.State{
		Version:   s.Version,
		Intent:    s.Intent,
		Customers: cloneMap(s.Customers),
		Drains:    cloneMap(s.Drains),
		Touched:   cloneMap(s.Touched),
	}
}

// cloneMap never returns nil.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

func apply(s *standing.State, offset int64, i Intent) {
	customer := s.Customers[i.Customer]
	switch i.Verb {
	case SetCustomer:
		s.Customers[i.Customer] = *i.Rules
	case RemoveCustomer:
		delete(s.Customers, i.Customer)
	case SetTeam:
		customer.Teams = cloneMap(customer.Teams)
		customer.Teams[i.Team] = *i.TeamRule
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
