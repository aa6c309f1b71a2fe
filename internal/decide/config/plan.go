package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/parsleyhill/parsleyhill/internal/backendapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// maxPlanKeys is the maximum number of keys of a plan.
const maxPlanKeys = 16

// Plan describes what an intent will change. It can be confirmed until one of its
// keys changes.
type Plan struct {
	// ID is the id of the plan, and of its record in the log once the plan is
	// confirmed.
	ID     string `json:"id"`
	Intent Intent `json:"intent"`
	// Base is the configuration version that the plan was made for.
	Base int64 `json:"base"`
	// Keys are the sorted keys that the plan changes or depends on. The plan is
	// rejected if one of them changes after Base.
	Keys []string `json:"touches"`
	// Affected are the names of the customers, teams and hosts whose work is
	// affected.
	Affected []string `json:"concerns"`
	// Effects are human-readable descriptions of the changes.
	Effects []string `json:"effects"`
	// InFlight describes what happens to work that has already started.
	InFlight string `json:"in_flight"`
	// Validity describes how long the plan can be confirmed.
	Validity string `json:"holds"`
	// Warnings describe what the plan would break. A plan with warnings can be
	// confirmed only if Intent.Force is set.
	Warnings []string `json:"warnings,omitempty"`
	// Digest is a hash of the fields above, by which an altered plan is
	// detected and refused.
	Digest string `json:"digest"`
}

// MakePlan returns the plan of an intent for the state and the listed hosts. It
// returns a PlanInvalid error if the intent is not valid, and a PlanRejected
// error if it cannot be applied to the state.
func MakePlan(id string, state *standing.State, hosts ListedHosts, intent Intent) (Plan, *errkind.Error) {
	if err := intent.Check(); err != nil {
		return Plan{}, err
	}
	if err := checkApplicable(state, intent); err != nil {
		return Plan{}, err
	}
	after := clone(state)
	applyIntent(after, state.Version, intent)
	p := Plan{
		ID: id, Intent: intent, Base: state.Version,
		Keys:     planKeys(hosts, intent),
		Affected: affectedBy(hosts, intent),
		Effects:  effects(state, after, hosts, intent),
		InFlight: inFlight(intent),
		Warnings: warningTexts(state, after, hosts, intent),
	}
	p.Validity = fmt.Sprintf("until %s changes after version %d", strings.Join(p.Keys, " or "), p.Base)
	p.Digest = p.digest()
	return p, nil
}

// planKeys returns the sorted keys of the plan. To the keys of the intent it adds
// the pool of the customer whose backend server is drained, so that two
// concurrent drains cannot together remove a customer's last server. An evacuation
// adds the pools of the customers with servers in the zone, as far as they fit.
func planKeys(hosts ListedHosts, i Intent) []string {
	keys := i.Keys()
	if i.Verb == Drain || i.Verb == Undrain {
		if b, ok := hosts.Backend(i.Host); ok {
			keys = append(keys, standing.PoolKey(b.Customer))
		}
	}
	if i.Verb == EvacuateZone {
		for _, customer := range hosts.customersIn(i.Zone) {
			if len(keys) < maxPlanKeys {
				keys = append(keys, standing.PoolKey(customer))
			}
		}
	}
	slices.Sort(keys)
	return keys
}

func affectedBy(hosts ListedHosts, i Intent) []string {
	var names []string
	for _, name := range []string{i.Customer, i.Team, i.Host, i.Zone} {
		if name != "" {
			names = append(names, name)
		}
	}
	if b, ok := hosts.Backend(i.Host); ok && b.Customer != i.Customer {
		names = append(names, b.Customer)
	}
	if i.Zone != "" {
		names = append(names, hosts.customersIn(i.Zone)...)
	}
	return names
}

// Subjects returns the ids that a decision record about the plan names.
func (p Plan) Subjects() []string {
	return append([]string{p.ID, p.Intent.ID}, p.Affected...)
}

// Verify returns an error if the plan is invalid or was altered, or if it has
// warnings and Intent.Force is not set. The result depends on the plan alone, so
// that it is the same on every host.
func (p Plan) Verify() *errkind.Error {
	if err := p.Intent.Check(); err != nil {
		return err
	}
	if p.ID == "" || len(p.ID) > maxNameBytes || p.Intent.ID == "" {
		return errkind.New(errkind.PlanInvalid, "the plan or its intent has no valid id")
	}
	if p.Digest != p.digest() {
		return errkind.New(errkind.PlanInvalid, "plan %s was altered", p.ID)
	}
	if len(p.Keys) > maxPlanKeys || !slices.IsSorted(p.Keys) {
		return errkind.New(errkind.PlanInvalid, "plan %s has too many or unsorted keys", p.ID)
	}
	for _, key := range p.Intent.Keys() {
		if !slices.Contains(p.Keys, key) {
			return errkind.New(errkind.PlanInvalid, "plan %s lacks the key %s", p.ID, key)
		}
	}
	if len(p.Warnings) > 0 && !p.Intent.Force {
		return errkind.New(errkind.PlanRejected, "plan %s has warnings, its intent needs \"force\": %s",
			p.ID, strings.Join(p.Warnings, "; "))
	}
	return nil
}

func (p Plan) digest() string {
	p.Digest = ""
	// Encoding cannot fail: a plan holds only types that JSON can encode.
	data, _ := json.Marshal(p)
	return backendapi.Digest(data)
}

// checkApplicable returns a PlanRejected error if the intent cannot be applied to
// the state. The error's text becomes part of the stored outcome.
func checkApplicable(state *standing.State, i Intent) *errkind.Error {
	if p, ok := inapplicable(state, i); ok {
		return errkind.New(errkind.PlanRejected, "%s", p.Text)
	}
	return nil
}

// inapplicable returns the entry for which the intent cannot be applied to the
// state, or false if it can.
func inapplicable(state *standing.State, i Intent) (standing.Problem, bool) {
	customer, known := state.Customers[i.Customer]
	switch i.Verb {
	case Drain, SetCustomer, EvacuateZone:
		return standing.Problem{}, false
	case ReadmitZone:
		return standing.Problem{
			Path: []string{"zone"}, Text: fmt.Sprintf("zone %q is not evacuated", i.Zone), Fix: "name an evacuated zone",
		}, !state.Evacuated(i.Zone)
	case Undrain:
		_, drained := state.Drains[i.Host]
		return standing.Problem{
			Path: []string{"host"}, Text: fmt.Sprintf("%s is not drained", i.Host), Fix: "name a drained host",
		}, !drained
	}
	if !known {
		return standing.Problem{
			Path: []string{"customer"}, Text: fmt.Sprintf("no customer %q", i.Customer),
			Fix: "name a customer in force, or set its rules first",
		}, true
	}
	_, listed := customer.Teams[i.Team]
	return standing.Problem{
		Path: []string{"team"}, Text: fmt.Sprintf("no team %q", i.Team), Fix: "name a team of the customer",
	}, i.Verb == RemoveTeam && !listed
}
