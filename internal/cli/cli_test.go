package cli

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	callersAddr   = "127.0.0.1:7101"
	operatorsAddr = "127.0.0.1:7201"
)

// leafCommands returns the commands without subcommands by their full names.
func leafCommands(c *ffcli.Command, path []string) map[string]*ffcli.Command {
	found := map[string]*ffcli.Command{}
	for _, sub := range c.Subcommands {
		name := append(path[:len(path):len(path)], sub.Name)
		if len(sub.Subcommands) == 0 {
			found[strings.Join(name, " ")] = sub
		}
		for k, v := range leafCommands(sub, name) {
			found[k] = v
		}
	}
	return found
}

func TestEveryCommandHasHelpAndJSON(t *testing.T) {
	tool := Tool{Out: os.Stdout, Err: os.Stderr}
	all := leafCommands(tool.root(), nil)
	for _, name := range []string{"request", "job submit", "job status", "job cancel", "plan drain", "confirm", "explain", "status", "load"} {
		require.Contains(t, all, name)
	}
	for name, c := range all {
		require.NotNil(t, c.FlagSet.Lookup("json"), name)
		require.NotEmpty(t, c.ShortHelp, name)
		got := run(t, nil, "", append(strings.Fields(name), "-help")...)
		require.Equal(t, exitOK, got.status, name)
		require.Contains(t, got.err, "parsleyhill "+name, name)
		require.Contains(t, got.err, "-json", name)
	}
	require.Contains(t, run(t, nil, "", "-help").err, "Exit status")
}

func TestWrongArgumentsExitWithUsage(t *testing.T) {
	cases := map[string]string{
		"":                            "USAGE",
		"requst":                      `unknown command "requst"`,
		"job":                         "a command is missing",
		"job stop":                    `unknown command "stop"`,
		"request -customer t":         "<body> is missing",
		"request {}":                  "-customer is missing",
		"request -customer t {} more": `unexpected argument "more"`,
		"request -url entry-1 {}":     "not an http or https URL",
		"request -colour red {}":      "-colour",
		"job status batch-1":          "-customer is missing",
		"job submit nowhere.json":     "nowhere.json",
		"plan drain backend-3":        "-operator is missing",
		"plan set-weight t b-1 heavy": `"heavy" is not a number`,
		"explain":                     "<id> is missing",
		"status now":                  `unexpected argument "now"`,
	}
	for line, want := range cases {
		args := strings.Fields(line)
		if strings.HasPrefix(line, "plan set-weight") {
			args = append(args, "-operator", "wanjiru")
		}
		got := run(t, nil, "", args...)
		require.Equal(t, exitUsage, got.status, line)
		require.Contains(t, got.err, want, line)
		require.Empty(t, got.out, line)
	}
}

func TestRequestHeadersAndDocument(t *testing.T) {
	host := &fakeHost{handler: writePairAnswer}
	got := run(t, fakeHosts{callersAddr: host}, "curve", "request", "-customer", "tamarind", "-team", "rigs", "-id", "pair-1",
		"-attempt", "2", "-deadline-ms", "900", "-declared-ms", "80", "-", "-json")
	require.Equal(t, exitOK, got.status, got.err)
	h := host.calls[0].header
	for name, want := range map[string]string{
		callerapi.HeaderCustomer: "tamarind", callerapi.HeaderTeam: "rigs", callerapi.HeaderRequestID: "pair-1",
		callerapi.HeaderAttempt: "2", callerapi.HeaderDeadline: "900", callerapi.HeaderDeclaredRunTime: "80", callerapi.HeaderIdempotent: "false",
	} {
		require.Equal(t, want, h.Get(name), name)
	}
	require.Equal(t, "curve", host.calls[0].body)
	var doc requestAnswer
	require.NoError(t, json.Unmarshal([]byte(got.out), &doc))
	require.Equal(t, "paired\n", string(doc.Body))
	require.EqualValues(t, 2, doc.ExtraMessages)
}

func TestJobAnswers(t *testing.T) {
	complete := callerapi.JobAnswer{Submission: "b/1", State: callerapi.JobComplete, Owner: "entry-2", Results: []callerapi.TaskResult{{Name: "a", Worker: "w1"}, {Name: "b", Worker: "w1"}}}
	failed := callerapi.JobAnswer{Submission: "b/1", State: callerapi.JobFailed, ErrorKind: "task_failed", Run: "ran", Reason: "task a ended failed"}
	cases := []struct {
		args   string
		answer callerapi.JobAnswer
		call   string
		status int
		out    string
		err    string
	}{
		{"job submit -", complete, "POST /v1/jobs", exitOK, "2 results from 1 workers", ""},
		{"job submit -", failed, "POST /v1/jobs", errkind.Lookup(errkind.TaskFailed).Exit, "b/1 is failed", "task_failed: task a ended failed"},
		{"job status -customer t -wait 2s b/1", complete, "GET /v1/jobs/t/b%2F1?wait_ms=2000", exitOK, "owned by entry-2", ""},
		{"job cancel -customer t b/1", failed, "POST /v1/jobs/t/b%2F1/cancel", exitOK, "b/1 is failed", ""},
	}
	for _, c := range cases {
		host := &fakeHost{handler: respondWith(c.answer)}
		got := run(t, fakeHosts{callersAddr: host}, `{"submission": "b/1",} // a comment`, strings.Fields(c.args)...)
		require.Equal(t, c.status, got.status, c.args)
		require.Equal(t, c.call, host.calls[0].method+" "+host.calls[0].path)
		require.Contains(t, got.out, c.out, c.args)
		require.Contains(t, got.err, c.err, c.args)
		if host.calls[0].path == callerapi.PathJobs {
			require.JSONEq(t, `{"submission": "b/1"}`, host.calls[0].body)
		}
	}
}

// TestJobFailsOverOnlyIfSubmissionIsDeduplicated loses the first reply. The job
// may be sent to the next entry host only if its submission id lets that host
// recognize it.
func TestJobFailsOverOnlyIfSubmissionIsDeduplicated(t *testing.T) {
	cases := map[string]int{
		`{"submission": "b"}`:               1,
		`{"submission": "b", "attempt": 2}`: 1,
		`{"submission": "b", "attempt": 1}`: 0,
		`{"tasks": []}`:                     0,
	}
	for job, sends := range cases {
		f := fakeHosts{"a:1": {loseReply: true}, "b:1": {handler: respondWith(callerapi.JobAnswer{})}}
		run(t, f, job, "job", "submit", "-url", "http://a:1,http://b:1", "-")
		require.Len(t, f["b:1"].calls, sends, job)
	}
}

func TestPlanCommandsSendIntents(t *testing.T) {
	rules := filepath.Join(t.TempDir(), "rules.json")
	require.NoError(t, os.WriteFile(rules, []byte(`{"queue_limit": 7} // few`), 0o600))
	cases := map[string]string{
		"plan drain backend-3":            `"verb":"drain","host":"backend-3"`,
		"plan undrain backend-3":          `"verb":"undrain","host":"backend-3"`,
		"plan evacuate-zone karen":        `"verb":"evacuate_zone","zone":"karen"`,
		"plan readmit-zone karen":         `"verb":"readmit_zone","zone":"karen"`,
		"plan set-weight t backend-3 0.5": `"verb":"set_weight","customer":"t","host":"backend-3","weight":0.5`,
		"plan remove-customer t":          `"verb":"remove_customer","customer":"t"`,
		"plan set-team t rigs -slots 4":   `"verb":"set_team","customer":"t","team":"rigs","team_rules":{"weight":1,"slots":4}`,
		"plan remove-team t rigs":         `"verb":"remove_team","customer":"t","team":"rigs"`,
		"plan set-customer t " + rules:    `"verb":"set_customer","customer":"t","rules":{"queue_limit":7}`,
	}
	plan := config.Plan{ID: "plan-1", Intent: config.Intent{Operator: "wanjiru"}, Base: 4, Effects: []string{"sends no new work"}}
	for line, want := range cases {
		host := &fakeHost{handler: respondWith(plan)}
		out := filepath.Join(t.TempDir(), "plan.json")
		args := append(strings.Fields(line), "-operator", "wanjiru", "-reason", "bad rig", "-out", out)
		got := run(t, fakeHosts{operatorsAddr: host}, "", args...)
		require.Equal(t, exitOK, got.status, got.err)
		var sent, wanted config.Intent
		require.NoError(t, json.Unmarshal([]byte(host.calls[0].body), &sent))
		require.NoError(t, json.Unmarshal([]byte(`{"operator":"wanjiru","reason":"bad rig",`+want+`}`), &wanted))
		require.Equal(t, wanted, sent, line)
		require.Contains(t, got.out, "sends no new work")
		require.FileExists(t, out)
	}
}

func TestPlanWithWarningsRequiresForce(t *testing.T) {
	plan := config.Plan{ID: "plan-1", Warnings: []string{"customer t has no usable backend server"}}
	host := &fakeHost{handler: func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewDecoder(r.Body).Decode(&plan.Intent)
		respondWith(plan)(w, r)
	}}
	args := []string{"plan", "drain", "b-1", "-operator", "wanjiru", "-out", filepath.Join(t.TempDir(), "p.json")}
	got := run(t, fakeHosts{operatorsAddr: host}, "", args...)
	require.Contains(t, got.out, "WARNING: customer t has no usable backend server")
	require.Contains(t, got.out, "cannot be confirmed")
	got = run(t, fakeHosts{operatorsAddr: host}, "", append(args, "-force")...)
	require.Contains(t, got.out, "WARNING: customer t has no usable backend server")
	require.Contains(t, got.out, "confirm ")
	require.NotContains(t, got.out, "cannot be confirmed")
}

func TestPlanOutcomeAndIDs(t *testing.T) {
	rejected := operator.PlanResult{Plan: "plan-1", Result: operator.ResultRejected, Reason: "host/b-1 moved", Version: 9}
	host := &fakeHost{handler: respondWith(rejected)}
	got := run(t, fakeHosts{operatorsAddr: host}, "", "plan", "outcome", "plan-1")
	require.Equal(t, exitOK, got.status, got.err)
	require.Equal(t, "/v1/plans/plan-1", host.calls[0].path)
	require.Contains(t, got.out, "plan-1 is rejected")
	require.Contains(t, got.out, "host/b-1 moved")

	host = &fakeHost{handler: respondWith(callerapi.IDs{IDs: []string{"ph.a", "ph.b"}})}
	got = run(t, fakeHosts{callersAddr: host}, "", "ids", "-customer", "tamarind", "-count", "2")
	require.Equal(t, "ph.a\nph.b\n", got.out)
	require.Equal(t, "/v1/ids?count=2", host.calls[0].path)
	require.Equal(t, "tamarind", host.calls[0].header.Get(callerapi.HeaderCustomer))
}

func TestConfirmIsSentOnceWhenItsReplyIsLost(t *testing.T) {
	f := fakeHosts{"a:1": {loseReply: true}, "b:1": {handler: respondWith(operator.PlanResult{})}}
	got := run(t, f, `{"id": "plan-1"}`, "confirm", "-url", "http://a:1,http://b:1", "-")
	require.Empty(t, f["b:1"].calls)
	require.Equal(t, errkind.Lookup(errkind.PeerUnreachable).Exit, got.status)
	require.Contains(t, got.err, "id: plan-1")
}

func TestExplainAndStatusText(t *testing.T) {
	record := decision.Record{Host: "entry-1", Part: decision.PartRoute, Action: "send", Rule: "least", Why: "2 of 8 slots", Subjects: []string{"pair/1", "backend-3"}, Version: 9, Intent: "intent-1"}
	explanation := operator.Explanation{Subject: "pair/1", Records: []decision.Record{record, record}, Hosts: []string{"entry-1"}, Unreached: []string{"entry-3"}}
	host := &fakeHost{handler: respondWith(explanation)}
	got := run(t, fakeHosts{operatorsAddr: host}, "", "explain", "-last", "1", "pair/1")
	require.Equal(t, "/v1/explain/pair%2F1", host.calls[0].path)
	for _, want := range []string{"2 decisions", "1 earlier", "by rule least", "2 of 8 slots", "backend-3", "version 9, intent intent-1", "entry-3"} {
		require.Contains(t, got.out, want)
	}
	status := operator.Status{
		Host: "entry-1", Zone: "westlands", Version: 9, LogAgeMs: 12,
		State: &standing.State{
			Drains:      map[string]standing.Drain{"backend-3": {Since: 9, Operator: "wanjiru", Reason: "bad rig"}},
			Evacuations: map[string]standing.Evacuation{"karen": {Since: 8, Operator: "patel", Reason: "power"}},
		},
		Peers:      []operator.PeerStatus{{Host: "entry-2", Zone: "karen", Reachable: true, Version: 9}, {Host: "entry-3", Zone: "embakasi", Version: 7}},
		Conditions: []decision.Record{{Part: decision.PartEject, Action: "eject", Why: "5 failures in a row"}},
	}
	got = run(t, fakeHosts{operatorsAddr: {handler: respondWith(status)}}, "", "status")
	require.Equal(t, exitOK, got.status, got.err)
	for _, want := range []string{"version 9", "drained: backend-3", "wanjiru (bad rig)", "evacuated: zone karen since version 8 by patel (power)", "entry-3 in zone embakasi: not reachable", "5 failures in a row"} {
		require.Contains(t, got.out, want)
	}
}

// TestStatusWaitsUntilAVersionIsInForceEverywhere covers a version that reaches
// one peer after two seconds, and one that never reaches it.
func TestStatusWaitsUntilAVersionIsInForceEverywhere(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			handler := func(w http.ResponseWriter, r *http.Request) {
				peer := operator.PeerStatus{Host: "entry-2", Reachable: true, Version: 4}
				if arrives && time.Since(started) >= 2*time.Second {
					peer.Version = 5
				}
				respondWith(operator.Status{Host: "entry-1", Version: 5, Peers: []operator.PeerStatus{peer}})(w, r)
			}
			got := run(t, fakeHosts{operatorsAddr: {handler: handler}}, "", "status", "-wait-version", "5", "-wait-hosts", "2", "-timeout", "5s")
			if arrives {
				require.Equal(t, exitOK, got.status)
				require.Equal(t, 2*time.Second, time.Since(started))
				return
			}
			require.Equal(t, errkind.Lookup(errkind.NotReady).Exit, got.status)
			require.Contains(t, got.err, "version 5 is in force on 1 of 2 entry hosts")
		})
	}
}

func TestReadyFailsIfAnyHostIsNotReady(t *testing.T) {
	f := fakeHosts{"a:1": {handler: respondWith("ready")}, "b:1": {handler: respondWithError(errkind.New(errkind.NotReady, "stopping"))}}
	require.Equal(t, exitOK, run(t, f, "", "ready", "-url", "http://a:1").status)
	require.Equal(t, errkind.Lookup(errkind.NotReady).Exit, run(t, f, "", "ready", "-url", "http://a:1,http://b:1").status)
}

func TestKindsAreListedByExitStatus(t *testing.T) {
	got := run(t, nil, "", "kinds", "-json")
	var rows []kindRow
	require.NoError(t, json.Unmarshal([]byte(got.out), &rows))
	require.Len(t, rows, len(errkind.All()))
	require.Equal(t, errkind.BadRequest, rows[0].Kind)
}
