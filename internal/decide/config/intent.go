package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// Verb is the kind of change that an intent requests.
type Verb string

// The verbs.
const (
	// SetCustomer replaces a customer's rules.
	SetCustomer Verb = "set_customer"
	// RemoveCustomer removes a customer and all its rules.
	RemoveCustomer Verb = "remove_customer"
	// SetTeam replaces one team's rules.
	SetTeam Verb = "set_team"
	// RemoveTeam removes a team.
	RemoveTeam Verb = "remove_team"
	// SetWeight sets a backend server's weight for a customer.
	SetWeight Verb = "set_weight"
	// Drain takes a host out of service: it gets no new work.
	Drain Verb = "drain"
	// Undrain returns a host to service.
	Undrain Verb = "undrain"
	// EvacuateZone gives the backend servers and workers of a zone no new work.
	EvacuateZone Verb = "evacuate_zone"
	// ReadmitZone returns an evacuated zone to service.
	ReadmitZone Verb = "readmit_zone"
)

var verbs = []Verb{SetCustomer, RemoveCustomer, SetTeam, RemoveTeam, SetWeight, Drain, Undrain, EvacuateZone, ReadmitZone}

const (
	// maxNameBytes is the maximum length of each name in an intent.
	maxNameBytes = 128
	// maxReasonBytes is the maximum length of an operator's reason.
	maxReasonBytes = 1024
)

// Intent is a change of the standing configuration that an operator requests.
type Intent struct {
	// ID is assigned by the entry host that plans the intent.
	ID       string `json:"id,omitempty"`
	Operator string `json:"operator"`
	Reason   string `json:"reason,omitempty"`
	Verb     Verb   `json:"verb"`
	Customer string `json:"customer,omitempty"`
	Team     string `json:"team,omitempty"`
	// Host is the name of a backend server, worker or entry host.
	Host string `json:"host,omitempty"`
	// Zone is the name of an availability zone.
	Zone      string             `json:"zone,omitempty"`
	Rules     *standing.Customer `json:"rules,omitempty"`
	TeamRules *standing.Team     `json:"team_rules,omitempty"`
	Weight    *float64           `json:"weight,omitempty"`
	// Force acknowledges the plan's warnings. A plan with warnings is refused
	// if it is not set.
	Force bool `json:"force,omitempty"`
}

// Keys returns the sorted keys that the intent changes or depends on. Plans that
// share a key conflict.
func (i Intent) Keys() []string {
	customer, pool := standing.CustomerKey(i.Customer), standing.PoolKey(i.Customer)
	switch i.Verb {
	case Drain, Undrain:
		return []string{standing.HostKey(i.Host)}
	case EvacuateZone, ReadmitZone:
		return []string{standing.ZoneKey(i.Zone), standing.ZonesKey}
	case SetWeight:
		return []string{customer, standing.HostKey(i.Host), pool}
	case SetTeam, RemoveTeam:
		return []string{customer}
	default:
		return []string{customer, pool}
	}
}

// Check returns a PlanInvalid error if the intent is incomplete or requests rules
// with invalid values. The result depends on the intent alone, so that it is the
// same on every host.
func (i Intent) Check() *errkind.Error {
	var texts []string
	for _, p := range i.Problems() {
		texts = append(texts, p.Text)
	}
	if len(texts) == 0 {
		return nil
	}
	return errkind.New(errkind.PlanInvalid, "%s", strings.Join(texts, "; "))
}

// Problems returns the reasons for which Check refuses the intent, with the
// path of each entry in the intent.
func (i Intent) Problems() []standing.Problem {
	if field := i.missing(); field != "" {
		return []standing.Problem{i.missingProblem(field)}
	}
	var problems []standing.Problem
	for _, n := range []struct{ field, name string }{
		{"id", i.ID},
		{"operator", i.Operator},
		{"customer", i.Customer},
		{"team", i.Team},
		{"host", i.Host},
		{"zone", i.Zone},
	} {
		if len(n.name) > maxNameBytes {
			problems = append(problems, lengthProblem(n.field, "a name", len(n.name), maxNameBytes))
		}
	}
	if len(i.Reason) > maxReasonBytes {
		problems = append(problems, lengthProblem("reason", "the reason", len(i.Reason), maxReasonBytes))
	}
	return append(problems, i.ruleProblems()...)
}

func (i Intent) missingProblem(field string) standing.Problem {
	p := standing.Problem{
		Path: []string{field}, Text: fmt.Sprintf("%s needs %q", i.Verb, field), Fix: fmt.Sprintf("add %q", field),
	}
	if field == unknownVerb {
		p.Path, p.Fix = []string{"verb"}, fmt.Sprintf("set it to one of %v", verbs)
	}
	return p
}

func lengthProblem(field, what string, length, limit int) standing.Problem {
	return standing.Problem{
		Path: []string{field}, Text: fmt.Sprintf("%s has %d bytes, the maximum is %d", what, length, limit),
		Fix: fmt.Sprintf("shorten it to %d bytes", limit),
	}
}

// unknownVerb is what missing returns for an intent without a known verb.
const unknownVerb = "a known verb"

// missing returns the first field that the verb requires and the intent does not
// set, or "".
func (i Intent) missing() string {
	hostVerb, zoneVerb := i.Verb == Drain || i.Verb == Undrain, i.Verb == EvacuateZone || i.Verb == ReadmitZone
	switch {
	case !slices.Contains(verbs, i.Verb):
		return unknownVerb
	case i.Operator == "":
		return "operator"
	case zoneVerb && i.Zone == "":
		return "zone"
	case !hostVerb && !zoneVerb && i.Customer == "":
		return "customer"
	case (hostVerb || i.Verb == SetWeight) && i.Host == "":
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

func (i Intent) ruleProblems() []standing.Problem {
	var problems []standing.Problem
	var prefix string
	switch i.Verb {
	case SetCustomer:
		prefix, problems = "rules", i.Rules.Problems()
	case SetTeam:
		prefix, problems = "team_rules", i.TeamRules.Problems()
	case SetWeight:
		problems = standing.Customer{Weights: map[string]float64{i.Host: *i.Weight}}.Problems()
		for n := range problems {
			problems[n].Path = nil
		}
		prefix = "weight"
	}
	for n := range problems {
		problems[n].Path = append([]string{prefix}, problems[n].Path...)
	}
	return problems
}
