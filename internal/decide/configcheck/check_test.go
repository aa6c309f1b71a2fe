package configcheck

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

var testHosts = config.ListedHosts{
	Backends:   []config.Backend{{Name: "b1", Customer: "t", Zone: "z1", Slots: 8}, {Name: "b2", Customer: "v", Zone: "z2", Slots: 8}},
	Workers:    []config.Worker{{Name: "w1", Zone: "z1", Cores: 16}, {Name: "w2", Zone: "z2", Cores: 16}},
	EntryHosts: []string{"e1", "e2"},
	Zones:      []string{"z1", "z2"},
}

var testState = &standing.State{
	Version: 7, Offset: 9,
	Customers: map[string]standing.Customer{
		"t": {QueueLimit: 200, Teams: map[string]standing.Team{"rigs": {Slots: 2}}, Weights: map[string]float64{"b1": 2}},
	},
	Drains:      map[string]standing.Drain{"w2": {Since: 5, Intent: "i-5", Operator: "patel", Reason: "fan"}},
	Evacuations: map[string]standing.Evacuation{},
}

// setRules returns an intent that sets rules, given without their braces, with
// each rule on a line of its own from line 2 on.
func setRules(rules string) string {
	return `{"operator":"wanjiru","verb":"set_customer","customer":"t","rules":{` + "\n" + rules + "\n}}"
}

func intent(fields string) string { return `{"operator":"wanjiru",` + fields + `}` }

func mustCheck(t *testing.T, in Input) Report {
	t.Helper()
	r, err := Check(in)
	require.NoError(t, err)
	return r
}

// requireFinding checks that a report has one finding, with a path and line, a part
// of its text, and a fix.
func requireFinding(t *testing.T, r Report, kind, path, text string) {
	t.Helper()
	require.Len(t, r.Findings, 1)
	f := r.Findings[0]
	require.Equal(t, kind+" "+path, fmt.Sprintf("%s %s:%d", f.Kind, f.Path, f.Line))
	require.Contains(t, f.Text, text)
	require.NotEmpty(t, f.Fix)
}

// TestFindings covers each fault that the check must find: its kind, path and
// line, and a part of the text. A document without a fault has no finding.
func TestFindings(t *testing.T) {
	wide := strings.Repeat("x", 200)
	cases := map[string]struct{ document, kind, path, text string }{
		"valid rules":              {setRules(`"queue_limit":300`), "", "", ""},
		"valid drain":              {intent(`"verb":"drain","host":"w1"`), "out_of_service", "/host:1", "no worker is left"},
		"valid weight":             {intent(`"verb":"set_weight","customer":"t","host":"b1","weight":1`), "", "", ""},
		"unknown verb":             {intent(`"verb":"drian"`), "error", "/verb:1", "needs"},
		"missing field":            {intent(`"verb":"drain"`), "error", "/host:1", `drain needs "host"`},
		"unknown field":            {setRules(`"queue_limits":3`), "error", "/rules/queue_limits:2", "not known"},
		"wrong type":               {setRules("\"policy\":\"least\",\n\"queue_limit\":\"3\""), "error", "/rules/queue_limit:3", "string is not allowed"},
		"not an object":            {`[1]`, "error", ":1", "array is not allowed"},
		"policy":                   {setRules(`"policy":"best"`), "error", "/rules/policy:2", "best"},
		"negative attempts":        {setRules(`"eject":{"failures":-1}`), "error", "/rules/eject/failures:2", "from 1 to"},
		"timeout above maximum":    {setRules(`"deadline_ms":70000`), "error", "/rules/deadline_ms:2", "from 1 to 60000"},
		"team's weight":            {setRules(`"teams":{"a/b":{"weight":-1}}`), "error", "/rules/teams/a~1b/weight:2", "team a/b: weight is -1"},
		"backend's weight":         {setRules(`"weights":{"b1":-1}`), "error", "/rules/weights/b1:2", "weight of b1"},
		"set weight":               {intent(`"verb":"set_weight","customer":"t","host":"b1","weight":-1`), "error", "/weight:1", "weight of b1"},
		"name too long":            {intent(`"verb":"drain","host":"` + wide + `"`), "error", "/host:1", "200 bytes"},
		"unknown customer":         {intent(`"verb":"remove_customer","customer":"x"`), "error", "/customer:1", `no customer "x"`},
		"unknown team":             {intent(`"verb":"remove_team","customer":"t","team":"x"`), "error", "/team:1", `no team "x"`},
		"not drained":              {intent(`"verb":"undrain","host":"w1"`), "error", "/host:1", "not drained"},
		"zone in service":          {intent(`"verb":"readmit_zone","zone":"z1"`), "error", "/zone:1", "not evacuated"},
		"replaced entry":           {setRules("\"queue_limit\":3,\n\"Queue_Limit\":4"), "never_matches", "/rules/queue_limit:2", "line 3 sets the same entry"},
		"customer without servers": {intent(`"verb":"set_customer","customer":"x","rules":{}`), "never_matches", "/customer:1", "no usable backend server"},
		"unlisted backend":         {setRules(`"weights":{"b9":1}`), "never_matches", "/rules/weights/b9:2", "names no backend server"},
		"another's backend":        {intent(`"verb":"set_weight","customer":"t","host":"b2","weight":1`), "never_matches", "/host:1", `belongs to customer "v"`},
		"unlisted host":            {intent(`"verb":"drain","host":"w9"`), "never_matches", "/host:1", "does not name"},
		"unlisted zone":            {intent(`"verb":"evacuate_zone","zone":"z9"`), "never_matches", "/zone:1", "no host in zone"},
		"slots above capacity":     {setRules(`"teams":{"rigs":{"slots":5}}`), "limit", "/rules/teams:2", "10 slots over 2 entry hosts"},
		"cores above capacity":     {intent(`"verb":"set_team","customer":"t","team":"x","team_rules":{"cores":33}`), "limit", "/team_rules/cores:1", "33 cores"},
		"attempts of zero":         {setRules(`"eject":{"failures":0}`), "limit", "/rules/eject/failures:2", "default applies: 5"},
		"retries of zero":          {setRules(`"retry_ratio":0.0`), "limit", "/rules/retry_ratio:2", "default applies: 0.1"},
		"team's weight of zero":    {setRules(`"teams":{"rigs":{"weight":0}}`), "limit", "/rules/teams/rigs/weight:2", "default applies: 1"},
		"timeout below run time":   {setRules(`"deadline_ms":70`), "limit", "/rules/deadline_ms:2", "below the expected run time of 80 ms"},
		"horizon below timeout":    {setRules(`"horizon_ms":30000`), "limit", "/rules/horizon_ms:2", "below max_deadline_ms"},
		"timeout above horizon":    {setRules(`"max_deadline_ms":130000`), "limit", "/rules/max_deadline_ms:2", "horizon_ms is 120000"},
		"last server":              {intent(`"verb":"drain","host":"b1"`), "never_matches", "/host:1", "no usable backend server"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := mustCheck(t, Input{Document: []byte(c.document), InForce: testState, Hosts: testHosts, RunMs: 80})
			if c.kind == "" {
				require.Empty(t, r.Findings)
				require.Empty(t, r.Missing)
				return
			}
			requireFinding(t, r, c.kind, c.path, c.text)
		})
	}
}

// TestErrorsAreThoseOfThePlan checks that a document has an error exactly if an
// entry host would refuse to plan it, so that the check has no rules of its own.
func TestErrorsAreThoseOfThePlan(t *testing.T) {
	for _, verb := range []config.Verb{"", "x", config.SetCustomer, config.RemoveCustomer, config.SetTeam, config.RemoveTeam, config.SetWeight, config.Drain, config.Undrain, config.EvacuateZone, config.ReadmitZone} {
		for _, fields := range []string{`"customer":"t"`, `"customer":"x","team":"a"`, `"host":"w2"`, `"zone":"z1"`, `"customer":"t","team":"rigs","host":"b1","weight":5000,"rules":{"queue_limit":-1},"team_rules":{"slots":-1}`} {
			document := intent(fmt.Sprintf(`"verb":%q,%s`, verb, fields))
			var i config.Intent
			require.NoError(t, json.Unmarshal([]byte(document), &i))
			_, refused := config.MakePlan("p", testState, testHosts, i)
			r := mustCheck(t, Input{Document: []byte(document), InForce: testState, Hosts: testHosts})
			invalid := len(r.Findings) > 0 && r.Findings[0].Kind == Invalid
			require.Equal(t, refused != nil, invalid, document)
			if refused != nil {
				require.Contains(t, refused.Detail, r.Findings[0].Text)
			}
		}
	}
}

func TestDifferenceFromTheVersionInForce(t *testing.T) {
	cases := map[string]struct {
		document string
		changes  []string
	}{
		"rules": {setRules("\"queue_limit\":400,\n\"weights\":{\"b1\":2}"), []string{
			"changed /customers/t/queue_limit 200 400 at /rules/queue_limit:2", "removed /customers/t/teams/rigs/slots 2 <nil> at /rules/teams/rigs/slots:1",
		}},
		"default spelled out": {setRules(`"queue_limit":200,"retry_ratio":0.1,"teams":{"rigs":{"slots":2}},"weights":{"b1":2}`), nil},
		"team":                {intent(`"verb":"set_team","customer":"t","team":"a/b","team_rules":{}`), []string{"added /customers/t/teams/a~1b <nil> {} at /team_rules:1"}},
		"weight":              {intent(`"verb":"set_weight","customer":"t","host":"b1","weight":3`), []string{"changed /customers/t/weights/b1 2 3 at /weight:1"}},
		"undrain":             {intent(`"verb":"undrain","host":"w2"`), []string{"removed /drains/w2/operator patel <nil> at /host:1", "removed /drains/w2/reason fan <nil> at /host:1"}},
		"evacuation": {intent(`"reason":"","verb":"evacuate_zone","zone":"z2"`), []string{
			"added /evacuations/z2/operator <nil> wanjiru at /zone:1", "added /evacuations/z2/reason <nil>  at /zone:1",
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := mustCheck(t, Input{Document: []byte(c.document), InForce: testState})
			require.EqualValues(t, 7, *r.Base)
			var got []string
			for _, d := range r.Changes {
				got = append(got, fmt.Sprintf("%s %s %v %v at %s:%d", d.Action, d.Field, d.Old, d.New, d.Path, d.Line))
			}
			require.Equal(t, c.changes, got)
		})
	}
}

// TestRulesOfACustomer checks that a file with rules alone has paths without the
// intent around them, and that unknown rules, which planning drops, are found.
func TestRulesOfACustomer(t *testing.T) {
	r := mustCheck(t, Input{Document: []byte(`{"queue_limit":-1,"queue":3}`), Customer: "t", InForce: testState, Hosts: testHosts})
	require.Len(t, r.Findings, 2)
	require.Equal(t, []string{"error /queue_limit", "never_matches /queue"}, []string{
		string(r.Findings[0].Kind) + " " + r.Findings[0].Path, string(r.Findings[1].Kind) + " " + r.Findings[1].Path,
	})
	r = mustCheck(t, Input{Document: []byte(`{"queue_limit":3}`), Customer: "x", Hosts: testHosts})
	require.Equal(t, "", r.Findings[0].Path, "the customer is not an entry of the document")
}

func TestMissingSourcesAreNamedAndOtherChecksRun(t *testing.T) {
	r := mustCheck(t, Input{
		Document:       []byte(setRules(`"horizon_ms":9`)),
		InForceUnknown: "no answer", HostsUnknown: "no list", RunMs: 80,
	})
	require.Equal(t, []string{"the checks against the host list: no list", "the difference from the version in force: no answer"}, r.Missing)
	require.Len(t, r.Findings, 1)
	require.Nil(t, r.Base)
}

// TestReportIsSortedBoundedAndRepeatable guards against output that grows with
// the document or follows the iteration order of maps.
func TestReportIsSortedBoundedAndRepeatable(t *testing.T) {
	var weights, teams []string
	for n := range 300 {
		weights = append(weights, fmt.Sprintf(`"x%d":-1`, n))
		teams = append(teams, fmt.Sprintf(`"%s%d":{"slots":1}`, strings.Repeat("é", 1000), n))
	}
	in := Input{Document: []byte(setRules(`"weights":{` + strings.Join(weights, ",") + `}`)), InForce: testState, Hosts: testHosts}
	first := mustCheck(t, in)
	require.Len(t, first.Findings, maxFindings)
	require.Equal(t, 200, first.FindingsOmitted)
	require.Equal(t, Invalid, first.Findings[0].Kind)
	require.Equal(t, "/rules/weights/x0", first.Findings[0].Path)
	require.Equal(t, first, mustCheck(t, in))
	in.Document = []byte(setRules(`"teams":{` + strings.Join(teams, ",") + `}`))
	changes := mustCheck(t, in)
	require.Len(t, changes.Changes, maxChanges)
	require.Equal(t, changes, mustCheck(t, in))
	require.LessOrEqual(t, len(changes.Changes[0].Field), maxTextBytes+3)
	in.MaxBytes = 1000
	require.Contains(t, mustCheck(t, in).Findings[0].Text, "the maximum is 1000")
}
