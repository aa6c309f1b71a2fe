//go:build e2e

package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/standin/backend"
	"github.com/parsleyhill/parsleyhill/internal/standin/network"
	standinplatform "github.com/parsleyhill/parsleyhill/internal/standin/platform"
)

const (
	requestsPerSecond = 60
	jobsPerSecond     = 3
	// faultDuration is how long each fault lasts.
	faultDuration = 2 * time.Second
)

// plan requests a plan for the intent from an entry host.
func (f *fleet) plan(e *entryHost, intent config.Intent) config.Plan {
	f.t.Helper()
	var p config.Plan
	status, body := f.postOperator(e, operator.PathPlans, intent)
	require.Equal(f.t, http.StatusOK, status, "%s", body)
	require.NoError(f.t, json.Unmarshal(body, &p))
	return p
}

// confirm confirms a plan. The error kind is empty if the plan was accepted.
func (f *fleet) confirm(e *entryHost, p config.Plan) (operator.PlanResult, errkind.Kind) {
	status, body := f.postOperator(e, operator.PathConfirms, p)
	if status == http.StatusOK {
		var c operator.PlanResult
		require.NoError(f.t, json.Unmarshal(body, &c))
		return c, ""
	}
	var doc errkind.Document
	require.NoError(f.t, json.Unmarshal(body, &doc), "%s", body)
	return operator.PlanResult{}, doc.Kind
}

func (f *fleet) postOperator(e *entryHost, path string, v any) (int, []byte) {
	data, err := json.Marshal(v)
	require.NoError(f.t, err)
	resp, err := http.Post("http://"+e.operators+path, "application/json", bytes.NewReader(data))
	require.NoError(f.t, err)
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(resp.Body)
	require.NoError(f.t, err)
	return resp.StatusCode, body.Bytes()
}

// configureCustomer configures customer tamarind with the policy, waits until
// every entry host applies it, and returns the configuration version.
func (f *fleet) configureCustomer(policy standing.Policy) int64 {
	p := f.plan(f.entries[0], config.Intent{
		Operator: "wanjiru", Reason: "open the matching service", Verb: config.SetCustomer, Customer: "tamarind",
		Rules: &standing.Customer{Policy: policy, QueueLimit: 200, HorizonMs: 20_000},
	})
	c, kind := f.confirm(f.entries[0], p)
	require.Empty(f.t, kind)
	f.waitInForce(c.Version)
	return c.Version
}

// policyForSeed returns the policy of one of the two example deployments: shares
// for odd seeds, least for even ones.
func policyForSeed(seed uint64) standing.Policy {
	if seed%2 == 0 {
		return standing.PolicyLeast
	}
	return standing.PolicyShares
}

// underLoad runs fault during a seeded load, then checks what callers were told
// against the ledgers of the stand-ins.
func underLoad(t *testing.T, seed uint64, fault func(ctx context.Context, f *fleet)) {
	f := newFleet(t, 2, 2, 2)
	f.configureCustomer(policyForSeed(seed))
	l := newLoad(f)
	monitor := &versionMonitor{seen: map[string]operator.Status{}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx, seed, requestsPerSecond, jobsPerSecond)
	}()
	go func() {
		for ctx.Err() == nil {
			monitor.observe(f)
			pause(ctx, 200*time.Millisecond)
		}
	}()
	pause(ctx, faultDuration)
	fault(ctx, f)
	pause(ctx, faultDuration)
	cancel()
	<-done
	l.compareWith(f.ledger())
}

func TestEntryHostsAreKilledAndReplaced(t *testing.T) {
	t.Parallel()
	underLoad(t, 1, func(ctx context.Context, f *fleet) {
		for _, i := range []int{0, 3} {
			f.replace(f.entries[i])
			pause(ctx, faultDuration)
		}
	})
}

func TestEntryHostIsSuspendedAndResumed(t *testing.T) {
	t.Parallel()
	underLoad(t, 2, func(ctx context.Context, f *fleet) {
		f.signal(f.entries[1], syscall.SIGSTOP)
		pause(ctx, 6*time.Second)
		f.signal(f.entries[1], syscall.SIGCONT)
		pause(ctx, faultDuration)
	})
}

func TestZoneIsPartitionedAndReconnected(t *testing.T) {
	t.Parallel()
	underLoad(t, 3, func(ctx context.Context, f *fleet) {
		f.cutZone("karen", true)
		pause(ctx, 2*faultDuration)
		f.cutZone("karen", false)
		pause(ctx, faultDuration)
	})
}

// cutZone cuts or restores all links between a zone, the other zones and the
// platform.
func (f *fleet) cutZone(zone string, cut bool) {
	url := f.platformURL() + network.PathLinks
	f.post(url, network.LinkState{From: zone, To: network.ToPlatform, Cut: cut})
	for _, other := range zoneNames {
		if other != zone {
			f.post(url, network.LinkState{From: zone, To: other, Cut: cut})
			f.post(url, network.LinkState{From: other, To: zone, Cut: cut})
		}
	}
}

func TestPlatformIsDownThenSlowThenLosesReplies(t *testing.T) {
	t.Parallel()
	underLoad(t, 4, func(ctx context.Context, f *fleet) {
		for _, faults := range []standinplatform.Faults{
			{Down: true, HostsDown: true},
			{HostsEmpty: true},
			{SlowMs: 400},
			{LoseReplies: 6},
			{},
		} {
			f.setPlatform(faults)
			pause(ctx, faultDuration)
		}
	})
}

func TestBackendServersFailFreezeAndLeave(t *testing.T) {
	t.Parallel()
	underLoad(t, 5, func(ctx context.Context, f *fleet) {
		for name, faults := range map[string]backend.Faults{
			"backend-westlands-1": {FailAll: true},
			"backend-embakasi-1":  {Frozen: true},
			"backend-karen-1":     {Leaving: true},
			"backend-karen-2":     {Truncate: true},
			"backend-westlands-2": {WrongID: true},
		} {
			f.post("http://"+f.host(name).Address+"/v1/faults", faults)
		}
		pause(ctx, 8*time.Second)
		assert.Zero(f.t, f.ledger().afterLeaving, "a backend server received work more than 5 s after it began to leave")
		f.assertExplained("backend-karen-1", decision.PartEject)
		f.assertExplained("backend-westlands-1", decision.PartEject)
		for _, name := range []string{"backend-westlands-1", "backend-embakasi-1", "backend-karen-2", "backend-westlands-2"} {
			f.post("http://"+f.host(name).Address+"/v1/faults", backend.Faults{})
		}
	})
}

// assertExplained checks that a decision record of the part about the subject
// names its rule, its reason and the operator's intent it is based on.
func (f *fleet) assertExplained(subject string, part decision.Part) {
	data, err := get("http://" + f.entries[0].operators + operator.PathExplain + "/" + subject)
	require.NoError(f.t, err)
	var e operator.Explanation
	require.NoError(f.t, json.Unmarshal(data, &e))
	assert.Empty(f.t, e.Unreached)
	found := slices.ContainsFunc(e.Records, func(r decision.Record) bool {
		return r.Part == part && r.Rule != "" && r.Why != "" && r.Version > 0 && r.Intent != ""
	})
	assert.True(f.t, found, "no decision record explains what was done about %s: %+v", subject, e.Records)
}

func TestPlannedStopFinishesWorkInFlight(t *testing.T) {
	t.Parallel()
	underLoad(t, 6, func(ctx context.Context, f *fleet) {
		e := f.entries[2]
		inFlight := newLoad(f)
		for i := range 10 {
			inFlight.wg.Go(func() {
				o := outcome{id: "stop-" + string(rune('a'+i))}
				inFlight.attempt(&o, e, `{"run_ms": 900}`, 1)
				assert.True(f.t, o.answered, "request %s was interrupted: %s %s", o.id, o.kind, o.run)
			})
		}
		inFlight.wg.Go(func() {
			job := callerapi.Job{Submission: "stop-job", Customer: "tamarind", DeadlineMs: jobDeadline.Milliseconds()}
			for i := range 4 {
				job.Tasks = append(job.Tasks, callerapi.Task{Name: strconv.Itoa(i), Cores: 1, MemoryMB: 64, Payload: []byte(`{"run_ms": 4500}`)})
			}
			answer, ok := inFlight.submit(e, job)
			assert.True(f.t, ok && answer.State == callerapi.JobComplete, "the job was interrupted: %+v", answer)
		})
		pause(ctx, 300*time.Millisecond)
		f.signal(e, syscall.SIGTERM)
		inFlight.wg.Wait()
		require.NoError(f.t, e.cmd.Wait(), "a planned stop exits with status 0")
		f.start(e)
		f.waitReady(e)
	})
}

// TestConcurrentConfirmationsAcceptOnePlan checks that of two conflicting plans
// that are confirmed at the same time on different hosts, one is accepted and
// the other is rejected as stale.
func TestConcurrentConfirmationsAcceptOnePlan(t *testing.T) {
	t.Parallel()
	underLoad(t, 7, func(_ context.Context, f *fleet) {
		intent := func(operator string, queue int) config.Intent {
			rules := standing.Customer{Policy: standing.PolicyLeast, QueueLimit: queue, HorizonMs: 20_000}
			return config.Intent{Operator: operator, Verb: config.SetCustomer, Customer: "tamarind", Rules: &rules}
		}
		for round := range 5 {
			a := f.plan(f.entries[0], intent("wanjiru", 200+round))
			b := f.plan(f.entries[4], intent("odhiambo", 300+round))
			kinds := make(chan errkind.Kind, 2)
			versions := make(chan int64, 2)
			for e, p := range map[*entryHost]config.Plan{f.entries[1]: a, f.entries[5]: b} {
				go func() {
					c, kind := f.confirm(e, p)
					versions <- c.Version
					kinds <- kind
				}()
			}
			first, second := <-kinds, <-kinds
			assert.ElementsMatch(f.t, []errkind.Kind{"", errkind.PlanStale}, []errkind.Kind{first, second})
			f.waitInForce(max(<-versions, <-versions))
		}
	})
}
