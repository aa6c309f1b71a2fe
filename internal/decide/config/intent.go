package config

import (
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
	Host     string             `json:"host,omitempty"`
	Rules    *standing.Customer `json:"rules,omitempty"`
	TeamRule *standing.Team     `json:"team_rules,omitempty"`
	Weight   *float64           `json:"weight,omitempty"`
}

// Key returns the key of what the intent touches. Two intents with the same
// key conflict.
func (i Intent) Key() string {
	switch i.Verb {
	case Drain, Undrain:
		return "drain/" + i.Host
	default:
		return "customer/" + i.Customer
	}
}

// Check returns an error if the intent is incomplete.
func (i Intent) Check() *errkind.Error {
	missing := func(field string) *errkind.Error {
		return errkind.New(errkind.PlanInvalid, "%s needs %q", i.Verb, field)
	}
	if i.Operator == "" {
		return missing("operator")
	}
	switch i.Verb {
	case Drain, Undrain:
		if i.Host == "" {
			return missing("host")
		}
		return nil
	case SetCustomer, RemoveCustomer, SetTeam, RemoveTeam, SetWeight:
	default:
		return errkind.New(errkind.PlanInvalid, "unknown verb %q", i.Verb)
	}
	switch {
	case i.Customer == "":
		return missing("customer")
	case i.Verb == SetCustomer && i.Rules == nil:
		return missing("rules")
	case (i.Verb == SetTeam || i.Verb == RemoveTeam) && i.Team == "":
		return missing("team")
	case i.Verb == SetTeam && i.TeamRule == nil:
		return missing("team_rules")
	case i.Verb == SetWeight && (i.Host == "" || i.Weight == nil):
		return missing("host and weight")
	}
	return nil
}
