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

// faultyLog is the log with faults of its appends.
type faultyLog struct {
	*standinplatform.Log
	// drop loses appends before they take effect, hang holds them.
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

// readOnly keeps a follower from publishing snapshots.
type readOnly struct{ platform.Log }

func (readOnly) Append(context.Context, platform.Stream, [][]byte) (int64, error) {
	return 0, platform.ErrUnavailable
}

type recorder struct{ records []decision.Record }

func (r *recorder) Record(d decision.Record) { r.records = append(r.records, d) }

// desk is one entry host as an operator meets it.
type desk struct {
	t        *testing.T
	mux      *http.ServeMux
	follower *follower.Config
	recorder *recorder
}

func newDesk(t *testing.T, name string, l *faultyLog) *desk {
	d := &desk{t: t, mux: http.NewServeMux(), recorder: &recorder{}}
	d.follower = follower.NewConfig(name, readOnly{l.Log}, log.New(io.Discard))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = d.follower.Run(ctx) }()
	site := func(context.Context) config.ListedHosts {
		return config.ListedHosts{Backends: []config.Backend{{Name: "b1", Customer: "tamarind"}}, EntryHosts: []string{"e1"}}
	}
	New(d.follower, l, d.recorder, nil, site, func() Status { return Status{} }).Routes(d.mux)
	<-time.After(10 * time.Second)
	return d
}

func (d *desk) call(method, path string, in, out any) errkind.Document {
	body, err := json.Marshal(in)
	require.NoError(d.t, err)
	w := httptest.NewRecorder()
	d.mux.ServeHTTP(w, httptest.NewRequestWithContext(d.t.Context(), method, path, bytes.NewReader(body)))
	var failed errkind.Document
	if w.Code != http.StatusOK {
		require.NoError(d.t, json.Unmarshal(w.Body.Bytes(), &failed))
		return failed
	}
	require.NoError(d.t, json.Unmarshal(w.Body.Bytes(), out))
	return failed
}

func (d *desk) plan(queue int) config.Plan {
	var p config.Plan
	intent := config.Intent{Operator: "wanjiru", Verb: config.SetCustomer, Customer: "tamarind", Rules: &standing.Customer{QueueLimit: queue}}
	require.Empty(d.t, d.call(http.MethodPost, PathPlans, intent, &p).Kind)
	return p
}

func (d *desk) confirm(p config.Plan) (PlanResult, errkind.Document) {
	var c PlanResult
	failed := d.call(http.MethodPost, PathConfirms, p, &c)
	return c, failed
}

func (d *desk) lookUp(id string) PlanResult {
	var c PlanResult
	require.Empty(d.t, d.call(http.MethodGet, PathPlans+"/"+id, nil, &c).Kind)
	return c
}

// TestConfirmUnderFaults checks the answer and what is in force after it.
func TestConfirmUnderFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault func(l *faultyLog)
		kind  errkind.Kind
		run   errkind.RunState
		// later is what a look-up says after the faults are over, and records
		// how many records the log holds then.
		later   Result
		records int
	}{
		{"no fault", func(*faultyLog) {}, "", "", ResultAccepted, 1},
		{"down", func(l *faultyLog) { l.SetFaults(standinplatform.Faults{Down: true}) }, errkind.LogUnavailable, errkind.NotRun, ResultUnknown, 0},
		{"reply lost", func(l *faultyLog) { l.SetFaults(standinplatform.Faults{LoseReplies: 1}) }, "", "", ResultAccepted, 1},
		{"lost before it took effect", func(l *faultyLog) { l.drop = 2 }, "", "", ResultAccepted, 1},
		{"hanging", func(l *faultyLog) { l.hang = true }, errkind.LogUnknown, errkind.Unknown, ResultUnknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &faultyLog{Log: standinplatform.NewLog()}
				d := newDesk(t, "e1", l)
				p := d.plan(7)
				require.Zero(t, l.Appends(), "nothing happens before the confirmation")
				c.fault(l)
				began := time.Now()
				confirmed, failed := d.confirm(p)
				require.LessOrEqual(t, time.Since(began), confirmWait+time.Second)
				require.Equal(t, c.kind, failed.Kind, failed.Detail)
				require.Equal(t, c.run, failed.Run)
				if c.kind == "" {
					require.Equal(t, ResultAccepted, confirmed.Result)
					require.Equal(t, 7, d.follower.State().Customers["tamarind"].QueueLimit, "read your writes")
				}
				l.hang = false
				l.SetFaults(standinplatform.Faults{})
				<-time.After(2 * time.Second)
				require.Equal(t, c.later, d.lookUp(p.ID).Result)
				require.Equal(t, c.records, l.Appends())
				again, failed := d.confirm(p)
				require.Empty(t, failed.Kind, failed.Detail)
				require.Equal(t, ResultAccepted, again.Result, "confirmed again")
				require.Equal(t, 1, l.Appends(), "a plan that is known is not appended again")
				require.NotEmpty(t, d.recorder.records)
			})
		})
	}
}

// TestUnknownIsNotForgotten checks that a log that goes down after an unknown
// confirmation does not turn it into "not run".
func TestUnknownOutcomeStaysUnknownWhenLogGoesDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &faultyLog{Log: standinplatform.NewLog()}
		d := newDesk(t, "e1", l)
		p := d.plan(7)
		l.hang = true
		_, failed := d.confirm(p)
		require.Equal(t, errkind.LogUnknown, failed.Kind)
		l.hang = false
		l.SetFaults(standinplatform.Faults{Down: true})
		_, failed = d.confirm(p)
		require.Equal(t, errkind.Unknown, failed.Run)
	})
}

// TestRacingOperators confirms two plans on one version at two entry hosts.
func TestConflictingPlansOnTwoHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &faultyLog{Log: standinplatform.NewLog()}
		a, b := newDesk(t, "e1", l), newDesk(t, "e2", l)
		one, two := a.plan(1), b.plan(2)
		require.Equal(t, one.Base, two.Base)
		type result struct {
			confirmed PlanResult
			failed    errkind.Document
		}
		results := make(chan result, 2)
		go func() { c, f := a.confirm(one); results <- result{c, f} }()
		go func() { c, f := b.confirm(two); results <- result{c, f} }()
		var won, lost result
		for range 2 {
			if r := <-results; r.failed.Kind == "" {
				won = r
			} else {
				lost = r
			}
		}
		require.Equal(t, ResultAccepted, won.confirmed.Result)
		require.Equal(t, errkind.PlanStale, lost.failed.Kind)
		require.Equal(t, errkind.NotRun, lost.failed.Run)
		require.Contains(t, lost.failed.Detail, "customer/tamarind moved at version 1 by wanjiru with intent-")
		<-time.After(time.Second)
		for _, d := range []*desk{a, b} {
			for _, p := range []config.Plan{one, two} {
				c := d.lookUp(p.ID)
				require.Equal(t, p.ID == won.confirmed.Plan, c.Result == ResultAccepted, "the same on every host")
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
		d := newDesk(t, "e1", l)
		_, failed := d.confirm(d.plan(7))
		require.Empty(t, failed.Kind)
		intent := config.Intent{Operator: "wanjiru", Verb: config.Drain, Host: "b1"}
		var p config.Plan
		require.Empty(t, d.call(http.MethodPost, PathPlans, intent, &p).Kind)
		require.Contains(t, p.Warnings, "customer tamarind has no usable backend server")
		_, failed = d.confirm(p)
		require.Equal(t, errkind.PlanRejected, failed.Kind)
		require.Equal(t, 1, l.Appends())
		intent.Force = true
		require.Empty(t, d.call(http.MethodPost, PathPlans, intent, &p).Kind)
		_, failed = d.confirm(p)
		require.Empty(t, failed.Kind, failed.Detail)
		require.Contains(t, d.follower.State().Drains, "b1")
	})
}
