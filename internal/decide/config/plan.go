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

// maxTouches bounds the keys of one plan.
const maxTouches = 16

// Plan says what an intent will do. It holds until something it touches
// changes.
type Plan struct {
	// ID is the plan's id and the id of its record once confirmed.
	ID     string `json:"id"`
	Intent Intent `json:"intent"`
	// Base is the version that the plan rests on.
	Base int64 `json:"base"`
	// Touches are the keys that the plan changes or rests on, sorted. The plan
	// is rejected if one of them changes after Base.
	Keys []string `json:"touches"`
	// Concerns are the customers, teams and hosts whose work is affected.
	Affected []string `json:"concerns"`
	// Effects are short sentences for people.
	Effects []string `json:"effects"`
	// InFlight says what happens to work that has begun.
	InFlight string `json:"in_flight"`
	// Holds says how long the plan can be confirmed.
	Validity string `json:"holds"`
	// Warnings say what the plan would break. A plan with warnings needs
	// Intent.Force.
	Warnings []string `json:"warnings,omitempty"`
	// Digest covers the fields above, so that an altered plan is refused.
	Digest string `json:"digest"`
}

// MakePlan plans an intent against a state and the hosts as last listed.
func MakePlan(id string, state *standing.State, site ListedHosts, intent Intent) (Plan, *errkind.Error) {
	if err := intent.Check(); err != nil {
		return Plan{}, err
	}
	if err := applicable(state, intent); err != nil {
		return Plan{}, err
	}
	after := clone(state)
	apply(after, state.Version, intent)
	p := Plan{
		ID: id, Intent: intent, Base: state.Version,
		Keys:     touches(site, intent),
		Affected: concerns(site, intent),
		Effects:  effects(state, after, site, intent),
		InFlight: inFlight(intent),
		Warnings: warnings(state, after, site, intent),
	}
	p.Validity = fmt.Sprintf("until %s changes after version %d", strings.Join(p.Keys, " or "), p.Base)
	p.Digest = p.digest()
	return p, nil
}

// touches returns the keys of the plan: those of the intent, and the pool of
// the customer whose backend server is drained, so that two drains cannot
// together take a customer's last server.
func touches(site ListedHosts, i Intent) []string {
	keys := i.Keys()
	if i.Verb == Drain || i.Verb == Undrain {
		if b, ok := site.backend(i.Host); ok {
			keys = append(keys, standing.PoolKey(b.Customer))
		}
	}
	slices.Sort(keys)
	return keys
}

func concerns(site ListedHosts, i Intent) []string {
	var names []string
	for _, name := range []string{i.Customer, i.Team, i.Host} {
		if name != "" {
			names = append(names, name)
		}
	}
	if b, ok := site.backend(i.Host); ok && b.Customer != i.Customer {
		names = append(names, b.Customer)
	}
	return names
}

// Subjects returns the ids that a decision about the plan concerns.
func (p Plan) Subjects() []string {
	return append([]string{p.ID, p.Intent.ID}, p.Affected...)
}

// Verify returns an error if the plan is not as it was made, or cannot be
// confirmed. It depends on the plan alone, so that every host finds the same.
func (p Plan) Verify() *errkind.Error {
	if err := p.Intent.Check(); err != nil {
		return err
	}
	if p.ID == "" || len(p.ID) > maxNameBytes || p.Intent.ID == "" {
		return errkind.New(errkind.PlanInvalid, "the plan or its intent has no proper id")
	}
	if p.Digest != p.digest() {
		return errkind.New(errkind.PlanInvalid, "plan %s was altered", p.ID)
	}
	if len(p.Keys) > maxTouches || !slices.IsSorted(p.Keys) {
		return errkind.New(errkind.PlanInvalid, "plan %s has improper keys", p.ID)
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
	// A plan holds only types that JSON can encode.
	data, _ := json.Marshal(p)
	return backendapi.Digest(data)
}

// applicable returns an error if the state cannot take the intent.
func applicable(state *standing.State, i Intent) *errkind.Error {
	customer, known := state.Customers[i.Customer]
	switch i.Verb {
	case Drain, SetCustomer:
		return nil
	case Undrain:
		if _, ok := state.Drains[i.Host]; !ok {
			return errkind.New(errkind.PlanRejected, "%s is not drained", i.Host)
		}
		return nil
	}
	if !known {
		return errkind.New(errkind.PlanRejected, "no customer %q", i.Customer)
	}
	if _, ok := customer.Teams[i.Team]; i.Verb == RemoveTeam && !ok {
		return errkind.New(errkind.PlanRejected, "no team %q", i.Team)
	}
	return nil
}
