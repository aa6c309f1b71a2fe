package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/daemon/follower"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	standinplatform "github.com/parsleyhill/parsleyhill/internal/standin/platform"
)

// faultyLog is a log with injected faults of its appends.
type faultyLog struct {
	*standinplatform.Log
	// drop is the number of appends to lose before they take effect. While hang
	// is set, appends block until their context ends.
	drop int
	hang bool
}

func (l *faultyLog) Append(ctx context.Context, s platform.Stream, records [][]byte) (int64, error) {
	if l.hang {
		<-ctx.Done()
		return 0, platform.ErrUnknown
	}
	if l.drop > 0 {
		l.drop--
		return 0, platform.ErrUnknown
	}
	return l.Log.Append(ctx, s, records)
}

// readOnly refuses appends, so that a follower publishes no snapshots.
type readOnly struct{ platform.Log }

func (readOnly) Append(context.Context, platform.Stream, [][]byte) (int64, error) {
	return 0, platform.ErrUnavailable
}

type recorder struct{ records []decision.Record }

func (r *recorder) Record(d decision.Record) { r.records = append(r.records, d) }

// testHost is one entry host with the operators' interface.
type testHost struct {
	t        *testing.T
	mux      *http.ServeMux
	follower *follower.Config
	recorder *recorder
}

func newTestHost(t *testing.T, name string, l *faultyLog) *testHost {
	host := &testHost{t: t, mux: http.NewServeMux(), recorder: &recorder{}}
	host.follower = follower.NewConfig(name, readOnly{l.Log}, log.New(io.Discard))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = host.follower.Run(ctx) }()
	listedHosts := func(context.Context) config.ListedHosts {
		return config.ListedHosts{Backends: []config.Backend{{Name: "b1", Customer: "tamarind"}}, EntryHosts: []string{"e1"}}
	}
	New(host.follower, l, host.recorder, nil, listedHosts, func() Status { return Status{} }).Routes(host.mux)
	<-time.After(10 * time.Second)
	return host
}

func (host *testHost) call(method, path string, in, out any) errkind.Document {
	body, err := json.Marshal(in)
	require.NoError(host.t, err)
	w := httptest.NewRecorder()
	host.mux.ServeHTTP(w, httptest.NewRequestWithContext(host.t.Context(), method, path, bytes.NewReader(body)))
	var failure errkind.Document
	if w.Code != http.StatusOK {
		require.NoError(host.t, json.Unmarshal(w.Body.Bytes(), &failure))
		return failure
	}
	require.NoError(host.t, json.Unmarshal(w.Body.Bytes(), out))
	return failure
}

func (host *testHost) plan(queue int) config.Plan {
	var p config.Plan
	intent := config.Intent{Operator: "wanjiru", Verb: config.SetCustomer, Customer: "tamarind", Rules: &standing.Customer{QueueLimit: queue}}
	require.Empty(host.t, host.call(http.MethodPost, PathPlans, intent, &p).Kind)
	return p
}

func (host *testHost) confirm(p config.Plan) (PlanResult, errkind.Document) {
	var c PlanResult
	failure := host.call(http.MethodPost, PathConfirms, p, &c)
	return c, failure
}

func (host *testHost) lookUp(id string) PlanResult {
	var c PlanResult
	require.Empty(host.t, host.call(http.MethodGet, PathPlans+"/"+id, nil, &c).Kind)
	return c
}

// TestConfirmUnderFaults checks the answer to a confirmation while the log has a
// fault, the configuration in force after it, and a second confirmation once the
// fault is gone.
func TestConfirmUnderFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(l *faultyLog)
		kind  errkind.Kind
		run   errkind.RunState
		// later is the result of a lookup after the fault is gone, and records
		// the number of records in the log at that time.
		later   Result
		records int
	}{
		{"no fault", func(*faultyLog) {}, "", "", ResultAccepted, 1},
		{"down", func(l *faultyLog) { l.SetFaults(standinplatform.Faults{Down: true}) }, errkind.LogUnavailable, errkind.NotRun, ResultUnknown, 0},
		{"reply lost", func(l *faultyLog) { l.SetFaults(standinplatform.Faults{LoseReplies: 1}) }, "", "", ResultAccepted, 1},
		{"append lost before it took effect", func(l *faultyLog) { l.drop = 2 }, "", "", ResultAccepted, 1},
		{"append hangs", func(l *faultyLog) { l.hang = true }, errkind.LogUnknown, errkind.Unknown, ResultUnknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &faultyLog{Log: standinplatform.NewLog()}
				host := newTestHost(t, "e1", l)
				p := host.plan(7)
				require.Zero(t, l.Appends(), "nothing happens before the confirmation")
				c.fault(l)
				began := time.Now()
				confirmed, failure := host.confirm(p)
				require.LessOrEqual(t, time.Since(began), confirmTimeout+time.Second)
				require.Equal(t, c.kind, failure.Kind, failure.Detail)
				require.Equal(t, c.run, failure.Run)
				if c.kind == "" {
					require.Equal(t, ResultAccepted, confirmed.Result)
					require.Equal(t, 7, host.follower.State().Customers["tamarind"].QueueLimit, "the host that answers reads its own write")
				}
				l.hang = false
				l.SetFaults(standinplatform.Faults{})
				<-time.After(2 * time.Second)
				require.Equal(t, c.later, host.lookUp(p.ID).Result)
				require.Equal(t, c.records, l.Appends())
				again, failure := host.confirm(p)
				require.Empty(t, failure.Kind, failure.Detail)
				require.Equal(t, ResultAccepted, again.Result, "confirmed again")
				require.Equal(t, 1, l.Appends(), "a plan with a known outcome is not appended again")
				require.NotEmpty(t, host.recorder.records)
			})
		})
	}
}

// TestUnknownOutcomeStaysUnknownWhenLogGoesDown checks that a plan whose first
// confirmation has an unknown outcome is not reported as not run when the log is
// down at the second confirmation: the first append may have taken effect.
func TestUnknownOutcomeStaysUnknownWhenLogGoesDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &faultyLog{Log: standinplatform.NewLog()}
		host := newTestHost(t, "e1", l)
		p := host.plan(7)
		l.hang = true
		_, failure := host.confirm(p)
		require.Equal(t, errkind.LogUnknown, failure.Kind)
		l.hang = false
		l.SetFaults(standinplatform.Faults{Down: true})
		_, failure = host.confirm(p)
		require.Equal(t, errkind.Unknown, failure.Run)
	})
}

// TestConflictingPlansOnTwoHosts confirms two plans based on the same version at
// two entry hosts at once: one is accepted, the other is stale on both hosts.
func TestConflictingPlansOnTwoHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &faultyLog{Log: standinplatform.NewLog()}
		a, b := newTestHost(t, "e1", l), newTestHost(t, "e2", l)
		one, two := a.plan(1), b.plan(2)
		require.Equal(t, one.Base, two.Base)
		type result struct {
			confirmed PlanResult
			failure   errkind.Document
		}
		results := make(chan result, 2)
		go func() { c, f := a.confirm(one); results <- result{c, f} }()
		go func() { c, f := b.confirm(two); results <- result{c, f} }()
		var won, lost result
		for range 2 {
			if r := <-results; r.failure.Kind == "" {
				won = r
			} else {
				lost = r
			}
		}
		require.Equal(t, ResultAccepted, won.confirmed.Result)
		require.Equal(t, errkind.PlanStale, lost.failure.Kind)
		require.Equal(t, errkind.NotRun, lost.failure.Run)
		require.Contains(t, lost.failure.Detail, "customer/tamarind moved at version 1 by wanjiru with intent-")
		<-time.After(time.Second)
		for _, host := range []*testHost{a, b} {
			for _, p := range []config.Plan{one, two} {
				c := host.lookUp(p.ID)
				require.Equal(t, p.ID == won.confirmed.Plan, c.Result == ResultAccepted, "both hosts give the same result")
				if c.Result == ResultRejected {
					require.Equal(t, "customer/tamarind", c.Conflict.Key)
				}
			}
		}
	})
}

func TestPlanWithWarningsNeedsForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &faultyLog{Log: standinplatform.NewLog()}
		host := newTestHost(t, "e1", l)
		_, failure := host.confirm(host.plan(7))
		require.Empty(t, failure.Kind)
		intent := config.Intent{Operator: "wanjiru", Verb: config.Drain, Host: "b1"}
		var p config.Plan
		require.Empty(t, host.call(http.MethodPost, PathPlans, intent, &p).Kind)
		require.Contains(t, p.Warnings, "customer tamarind has no usable backend server")
		_, failure = host.confirm(p)
		require.Equal(t, errkind.PlanRejected, failure.Kind)
		require.Equal(t, 1, l.Appends())
		intent.Force = true
		require.Empty(t, host.call(http.MethodPost, PathPlans, intent, &p).Kind)
		_, failure = host.confirm(p)
		require.Empty(t, failure.Kind, failure.Detail)
		require.Contains(t, host.follower.State().Drains, "b1")
	})
}

// TestHostsAreThoseThatPlansAreCheckedAgainst reads the host list that a check
// outside the entry host uses.
func TestHostsAreThoseThatPlansAreCheckedAgainst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := newTestHost(t, "e1", &faultyLog{Log: standinplatform.NewLog()})
		var got config.ListedHosts
		require.Empty(t, host.call(http.MethodGet, PathHosts, nil, &got).Kind)
		require.Equal(t, config.ListedHosts{Backends: []config.Backend{{Name: "b1", Customer: "tamarind"}}, EntryHosts: []string{"e1"}}, got)
	})
}
