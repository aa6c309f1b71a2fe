package config

import (
	"slices"
	"strings"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// Verb is what an intent asks for.
type Verb string

// The verbs.
const (
	// SetCustomer replaces a customer's rules.
	SetCustomer Verb = "set_customer"
	// RemoveCustomer removes a customer.
	RemoveCustomer Verb = "remove_customer"
	// SetTeam replaces one team's rules.
	SetTeam Verb = "set_team"
	// RemoveTeam removes a team.
	RemoveTeam Verb = "remove_team"
	// SetWeight sets a backend server's weight for a customer.
	SetWeight Verb = "set_weight"
	// Drain takes a host out of service.
	Drain Verb = "drain"
	// Undrain returns a host to service.
	Undrain Verb = "undrain"
)

var verbs = []Verb{SetCustomer, RemoveCustomer, SetTeam, RemoveTeam, SetWeight, Drain, Undrain}

const (
	// maxNameBytes bounds each name in an intent.
	maxNameBytes = 128
	// maxReasonBytes bounds an operator's reason.
	maxReasonBytes = 1024
)

// Intent is what an operator wants.
type Intent struct {
	// ID is given by the entry host that plans it.
	ID       string `json:"id,omitempty"`
	Operator string `json:"operator"`
	Reason   string `json:"reason,omitempty"`
	Verb     Verb   `json:"verb"`
	Customer string `json:"customer,omitempty"`
	Team     string `json:"team,omitempty"`
	// Host is a backend server, worker or entry host.
	Host      string             `json:"host,omitempty"`
	Rules     *standing.Customer `json:"rules,omitempty"`
	TeamRules *standing.Team     `json:"team_rules,omitempty"`
	Weight    *float64           `json:"weight,omitempty"`
	// Force acknowledges the warnings of the plan. A plan with warnings is
	// refused without it.
	Force bool `json:"force,omitempty"`
}

// Keys returns the keys of what the intent touches, sorted. Plans that share a
// key conflict.
func (i Intent) Keys() []string {
	customer, pool := standing.CustomerKey(i.Customer), standing.PoolKey(i.Customer)
	switch i.Verb {
	case Drain, Undrain:
		return []string{standing.HostKey(i.Host)}
	case SetWeight:
		return []string{customer, standing.HostKey(i.Host), pool}
	case SetTeam, RemoveTeam:
		return []string{customer}
	default:
		return []string{customer, pool}
	}
}

// Check returns an error if the intent is incomplete or asks for rules with
// impossible values. It depends on the intent alone, so that every host finds
// the same.
func (i Intent) Check() *errkind.Error {
	if field := i.missing(); field != "" {
		return errkind.New(errkind.PlanInvalid, "%s needs %q", i.Verb, field)
	}
	for _, name := range []string{i.ID, i.Operator, i.Customer, i.Team, i.Host} {
		if len(name) > maxNameBytes {
			return errkind.New(errkind.PlanInvalid, "a name has %d bytes, it must have up to %d", len(name), maxNameBytes)
		}
	}
	if len(i.Reason) > maxReasonBytes {
		return errkind.New(errkind.PlanInvalid, "the reason has %d bytes, it must have up to %d", len(i.Reason), maxReasonBytes)
	}
	return i.checkRules()
}

// missing returns the first field that the verb needs and the intent lacks.
func (i Intent) missing() string {
	ofHost := i.Verb == Drain || i.Verb == Undrain
	switch {
	case !slices.Contains(verbs, i.Verb):
		return "a known verb"
	case i.Operator == "":
		return "operator"
	case !ofHost && i.Customer == "":
		return "customer"
	case (ofHost || i.Verb == SetWeight) && i.Host == "":
		return "host"
	case i.Verb == SetCustomer && i.Rules == nil:
		return "rules"
	case (i.Verb == SetTeam || i.Verb == RemoveTeam) && i.Team == "":
		return "team"
	case i.Verb == SetTeam && i.TeamRules == nil:
		return "team_rules"
	case i.Verb == SetWeight && i.Weight == nil:
		return "weight"
	}
	return ""
}

func (i Intent) checkRules() *errkind.Error {
	var err error
	switch i.Verb {
	case SetCustomer:
		err = i.Rules.Check()
	case SetTeam:
		err = i.TeamRules.Check()
	case SetWeight:
		err = standing.Customer{Weights: map[string]float64{i.Host: *i.Weight}}.Check()
	}
	if err != nil {
		return errkind.Wrap(errkind.PlanInvalid, err, "%s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return nil
}
