package config

import (
	"encoding/json"
	"fmt"

	"github.com/parsleyhill/parsleyhill/internal/backendapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// Plan says what an intent will do. It holds until something it touches
// changes.
type Plan struct {
	// ID is the plan's id and the id of its record once confirmed.
	ID     string `json:"id"`
	Intent Intent `json:"intent"`
	// Base is the version that the plan rests on.
	Base int64 `json:"base"`
	// Effects are short sentences for people.
	Effects []string `json:"effects"`
	// Digest covers the fields above, so that an altered plan is refused.
	Digest string `json:"digest"`
}

// MakePlan plans an intent against a state.
func MakePlan(id string, state *standing.State, intent Intent) (Plan, *errkind.Error) {
	if err := intent.Check(); err != nil {
		return Plan{}, err
	}
	if err := applicable(state, intent); err != nil {
		return Plan{}, err
	}
	p := Plan{ID: id, Intent: intent, Base: state.Version, Effects: effects(intent)}
	p.Digest = p.digest()
	return p, nil
}

// Verify returns an error if the plan is not as it was made.
func (p Plan) Verify() *errkind.Error {
	if err := p.Intent.Check(); err != nil {
		return err
	}
	if p.Digest != p.digest() {
		return errkind.New(errkind.PlanInvalid, "plan %s was altered", p.ID)
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

func effects(i Intent) []string {
	switch i.Verb {
	case SetCustomer:
		return []string{fmt.Sprintf("replaces the rules of customer %s", i.Customer)}
	case RemoveCustomer:
		return []string{fmt.Sprintf("refuses all new work of customer %s", i.Customer)}
	case SetTeam:
		return []string{fmt.Sprintf("replaces the rules of team %s of customer %s", i.Team, i.Customer)}
	case RemoveTeam:
		return []string{fmt.Sprintf("removes team %s of customer %s", i.Team, i.Customer)}
	case SetWeight:
		return []string{fmt.Sprintf("gives %s weight %g for customer %s", i.Host, *i.Weight, i.Customer)}
	case Drain:
		return []string{
			fmt.Sprintf("sends no new work to %s", i.Host),
			"work in flight goes on to its end",
		}
	default:
		return []string{fmt.Sprintf("sends new work to %s again", i.Host)}
	}
}
