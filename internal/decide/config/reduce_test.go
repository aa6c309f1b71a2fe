package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

var testSite = ListedHosts{
	Backends:   []Backend{{Name: "b1", Customer: "tamarind", Slots: 8}, {Name: "b2", Customer: "tamarind", Slots: 8}},
	Workers:    []Worker{{Name: "w1", Cores: 32}},
	EntryHosts: []string{"e1", "e2"},
}

func set(customer string, c standing.Customer) Intent {
	return Intent{ID: "i-" + customer, Operator: "wanjiru", Verb: SetCustomer, Customer: customer, Rules: &c}
}

func drain(host string) Intent {
	return Intent{ID: "i-drain-" + host, Operator: "patel", Verb: Drain, Host: host}
}

func weigh(host string, weight float64) Intent {
	return Intent{ID: "i-weigh-" + host, Operator: "patel", Verb: SetWeight, Customer: "tamarind", Host: host, Weight: &weight}
}

func team(name string, cores int) Intent {
	return Intent{ID: "i-team-" + name, Operator: "patel", Verb: SetTeam, Customer: "tamarind", Team: name, TeamRules: &standing.Team{Cores: cores}}
}

func remove(customer string) Intent {
	return Intent{ID: "i-remove", Operator: "patel", Verb: RemoveCustomer, Customer: customer}
}

func planned(t *testing.T, state *standing.State, i Intent) Plan {
	t.Helper()
	p, err := MakePlan("plan-"+i.ID, state, testSite, i)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func change(p Plan) Record { return Record{Kind: KindChange, ID: p.ID, Plan: &p} }

// opened returns a state with the customer tamarind at version 1.
func opened(t *testing.T) *standing.State {
	t.Helper()
	state, outcome := Apply(&standing.State{}, 1, change(planned(t, &standing.State{}, set("tamarind", standing.Customer{}))))
	require.True(t, outcome.Accepted, outcome.Reason)
	return state
}

// TestRacingPlans confirms two plans made on the same version.
func TestConcurrentPlansOnOneVersion(t *testing.T) {
	cases := []struct {
		name          string
		first, second Intent
		// key is what the second plan finds moved, or "" if both are accepted.
		key string
	}{
		{"two drains of one pool", drain("b1"), drain("b2"), "pool/tamarind"},
		{"drain and weight of one host", drain("b1"), weigh("b1", 2), "host/b1"},
		{"drain and weight of the other host", drain("b1"), weigh("b2", 0), "pool/tamarind"},
		{"removal and team", remove("tamarind"), team("a", 1), "customer/tamarind"},
		{"team and removal", team("a", 1), remove("tamarind"), "customer/tamarind"},
		{"two teams that share a sum", team("a", 20), team("b", 20), "customer/tamarind"},
		{"rules of two customers", set("vadodara", standing.Customer{}), team("a", 1), ""},
		{"drain of a worker and rules", drain("w1"), team("a", 1), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := opened(t)
			c.first.Force, c.second.Force = true, true
			one, two := planned(t, state, c.first), planned(t, state, c.second)
			state, outcome := Apply(state, 2, change(one))
			require.True(t, outcome.Accepted, outcome.Reason)
			state, outcome = Apply(state, 3, change(two))
			require.Equal(t, c.key == "", outcome.Accepted, outcome.Reason)
			if c.key != "" {
				require.EqualValues(t, 2, state.Version)
				require.Equal(t, c.key, outcome.Conflict.Key)
				require.Equal(t, c.first.ID, outcome.Conflict.Intent)
				require.Equal(t, c.first.Operator, outcome.Conflict.Operator)
			}
		})
	}
}

func TestApplyRejects(t *testing.T) {
	state := opened(t)
	good := planned(t, state, team("a", 1))
	resign := func(alter func(*Plan)) Record {
		p := good
		alter(&p)
		p.Digest = p.digest()
		return change(p)
	}
	altered := good
	altered.Intent.TeamRules = &standing.Team{Cores: 9}
	cases := []struct {
		name   string
		record Record
		reason string
	}{
		{"no plan", Record{Kind: KindChange, ID: "x"}, "no plan"},
		{"plan of another record", Record{Kind: KindChange, ID: "x", Plan: &good}, "no plan of its own"},
		{"altered plan", change(altered), "was altered"},
		{"unknown kind", Record{Kind: "later", ID: "x"}, "unknown kind"},
		{"base in the future", resign(func(p *Plan) { p.Base = 9 }), "the newest was 1"},
		{"keys left out", resign(func(p *Plan) { p.Keys = nil }), "lacks the key"},
		{"warnings without force", resign(func(p *Plan) { p.Warnings = []string{"breaks"} }), "force"},
		{"no operator", resign(func(p *Plan) { p.Intent.Operator = "" }), "operator"},
		{"impossible rule", resign(func(p *Plan) { p.Intent.TeamRules = &standing.Team{Cores: -1} }), "cores is -1"},
		{"no such customer", resign(func(p *Plan) { p.Intent.Customer, p.Keys = "x", []string{"customer/x"} }), "no customer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, outcome := Apply(state, 2, c.record)
			require.False(t, outcome.Accepted)
			require.Contains(t, outcome.Reason, c.reason)
			require.EqualValues(t, 1, next.Version)
			require.EqualValues(t, 2, next.Offset)
			require.Equal(t, state.Customers, next.Customers)
		})
	}
}

func TestDuplicateRecordIsAppliedOnce(t *testing.T) {
	state := opened(t)
	record := change(planned(t, state, drain("w1")))
	record.Plan.Intent.Force = true
	*record.Plan = planned(t, state, record.Plan.Intent)
	state, first := Apply(state, 2, record)
	require.True(t, first.Accepted, first.Reason)
	undrain := Intent{ID: "i-undrain", Operator: "wanjiru", Verb: Undrain, Host: "w1"}
	state, outcome := Apply(state, 3, change(planned(t, state, undrain)))
	require.True(t, outcome.Accepted, outcome.Reason)
	state, again := Apply(state, 4, record)
	require.Equal(t, first, again)
	require.EqualValues(t, 3, state.Version)
	require.Empty(t, state.Drains)
}

// TestMemoryIsBounded changes more keys than are remembered and checks that a
// plan from before the floor is rejected, also where its key is forgotten.
func TestChangesAndOutcomesAreBounded(t *testing.T) {
	state := opened(t)
	old := planned(t, state, team("a", 1))
	old.Keys = []string{"customer/tamarind", "host/old"}
	old.Digest = old.digest()
	for n := range maxTouched + 50 {
		for _, verb := range []Verb{Drain, Undrain} {
			i := Intent{ID: fmt.Sprintf("i-%d-%s", n, verb), Operator: "patel", Verb: verb, Host: fmt.Sprintf("h%d", n)}
			next, outcome := Apply(state, state.Offset+1, change(planned(t, state, i)))
			require.True(t, outcome.Accepted, outcome.Reason)
			state = next
		}
	}
	require.LessOrEqual(t, len(state.LastChanges), maxTouched)
	require.Len(t, state.Outcomes, maxOutcomes)
	require.Contains(t, state.LastChanges, "customer/tamarind", "rules in force keep their intent")
	_, outcome := Apply(state, state.Offset+1, change(old))
	require.False(t, outcome.Accepted)
	require.Contains(t, outcome.Reason, "forgotten")
}

func TestPlanWarnings(t *testing.T) {
	state := opened(t)
	drained, outcome := Apply(state, 2, change(planned(t, state, drain("b1"))))
	require.True(t, outcome.Accepted, outcome.Reason)
	cases := []struct {
		name    string
		state   *standing.State
		site    ListedHosts
		intent  Intent
		warning string
	}{
		{"first drain", state, testSite, drain("b1"), ""},
		{"last backend drained", drained, testSite, drain("b2"), "customer tamarind has no usable backend"},
		{"last backend weighs nothing", drained, testSite, weigh("b2", 0), "customer tamarind has no usable backend"},
		{"customer without backends", state, testSite, set("vadodara", standing.Customer{}), "customer vadodara has no usable backend"},
		{"quota fits", state, testSite, team("a", 32), ""},
		{"quota sum broken", state, testSite, team("a", 33), "sum to 33 cores, the workers have 32"},
		{"slot sum broken", state, testSite, set("tamarind", standing.Customer{Teams: map[string]standing.Team{"a": {Slots: 9}}}), "18 slots over 2 entry hosts"},
		{"last worker", state, testSite, drain("w1"), "no worker is left"},
		{"one entry host of two", state, testSite, drain("e1"), ""},
		{"no host list", state, ListedHosts{}, team("a", 1), "host list is not known"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, err := MakePlan("p", c.state, c.site, c.intent)
			require.Nil(t, err)
			require.Equal(t, c.state.Version, p.Base)
			require.NotEmpty(t, p.Effects)
			require.NotEmpty(t, p.InFlight)
			if c.warning == "" {
				require.Empty(t, p.Warnings)
				require.Nil(t, p.Verify())
				return
			}
			require.Contains(t, fmt.Sprint(p.Warnings), c.warning)
			require.NotNil(t, p.Verify(), "a warning needs force")
		})
	}
}

func TestInvalidRulesAreRejected(t *testing.T) {
	cases := []struct {
		name  string
		rules standing.Customer
		field string
	}{
		{"policy", standing.Customer{Policy: "best"}, "policy"},
		{"negative queue", standing.Customer{QueueLimit: -1}, "queue_limit"},
		{"deadline above the bound", standing.Customer{DeadlineMs: 9, MaxDeadlineMs: 8}, "deadline_ms"},
		{"ejected share", standing.Customer{Eject: standing.Ejection{MaxShare: 1.5}}, "max_share"},
		{"ejection times", standing.Customer{Eject: standing.Ejection{BaseMs: 9, MaxMs: 8}}, "base_ms"},
		{"retries", standing.Customer{RetryRatio: -1}, "retry_ratio"},
		{"weight", standing.Customer{Weights: map[string]float64{"b1": -1}}, "weight of b1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := MakePlan("p", &standing.State{}, testSite, set("tamarind", c.rules))
			require.NotNil(t, err)
			require.Contains(t, err.Detail, c.field)
		})
	}
}
