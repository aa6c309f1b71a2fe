package fences

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/daemon/requests"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

func TestLaterAttemptJoinsTheFirst(t *testing.T) {
	withFleet(t, 3, func(f *testFleet) {
		first := f.send("entry-1", "r", 1, 2000)
		synctest.Wait()
		second := f.send("entry-2", "r", 2, 2000)
		third := f.send("entry-1", "r", 3, 2000)
		synctest.Wait()
		first.disconnect()
		f.requireAnswer(second.wait(), "r")
		f.requireAnswer(third.wait(), "r")
		f.requireAnswer(f.send("entry-3", "r", 4, 2000).wait(), "r")
		require.Equal(t, 1, f.backend.Starts("r"))
	})
}

func TestLaterAttemptRunsOnlyWithProof(t *testing.T) {
	withFleet(t, 3, func(f *testFleet) {
		f.requireAnswer(f.send("entry-2", "never-seen", 2, 50).wait(), "never-seen")
		f.requireAnswer(f.send("entry-1", "never-seen", 1, 50).wait(), "never-seen")
		f.setPartitioned("entry-3", true)
		f.requireUnresolved(f.send("entry-2", "cut", 2, 50).wait())
		f.requireAnswer(f.send("entry-3", "first-in-the-cut", 1, 50).wait(), "first-in-the-cut")
		f.setPartitioned("entry-3", false)
		f.requireAnswer(f.send("entry-1", "cut", 3, 50).wait(), "cut")
		f.kill("entry-3")
		f.requireUnresolved(f.send("entry-2", "dead", 2, 50).wait())
		f.start("entry-3")
		<-time.After(testHorizon - 2*time.Second)
		f.requireUnresolved(f.send("entry-2", "replaced", 2, 50).wait())
		f.requireUnresolved(f.send("entry-3", "at-the-replaced", 2, 50).wait())
		<-time.After(3 * time.Second)
		f.requireAnswer(f.send("entry-2", "replaced", 3, 50).wait(), "replaced")
		for _, id := range []string{"never-seen", "cut", "replaced"} {
			require.Equal(t, 1, f.backend.Starts(id), id)
		}
		require.Zero(t, f.backend.Starts("dead")+f.backend.Starts("at-the-replaced"))
	})
}

func TestRacingAttemptsRunOnce(t *testing.T) {
	withFleet(t, 4, func(f *testFleet) {
		for i := range 20 {
			id := fmt.Sprint("race-", i)
			var all []*pendingReply
			for n := range 8 {
				all = append(all, f.send(fmt.Sprintf("entry-%d", n%4+1), id, 2, 20))
			}
			for _, s := range all {
				f.requireAnswer(s.wait(), id)
			}
			require.Equal(t, 1, f.backend.Starts(id))
		}
	})
}

func TestMintedIDRunsOnceWhereverItArrives(t *testing.T) {
	withFleet(t, 3, func(f *testFleet) {
		minted := f.mint("entry-1", 2)
		var all []*pendingReply
		for n := range 6 {
			all = append(all, f.send(fmt.Sprintf("entry-%d", n%3+1), minted[0], 1, 100))
		}
		for _, s := range all {
			f.requireAnswer(s.wait(), minted[0])
		}
		require.Equal(t, 1, f.backend.Starts(minted[0]))
		result := f.hosts["entry-1"].service.AcceptForwarded(f.ctx, requests.ForwardedRequest{
			Customer: customer, ID: "for-another", To: "entry-1~last", Timeout: time.Second,
		})
		require.NotNil(t, result.Err)
		require.Zero(t, f.backend.Starts("for-another"))
		f.kill("entry-1")
		f.start("entry-1")
		f.requireUnresolved(f.send("entry-1", minted[1], 1, 50).wait())
		f.requireUnresolved(f.send("entry-2", minted[1], 1, 50).wait())
		require.Zero(t, f.backend.Starts(minted[1]))
	})
}

func (f *testFleet) mint(host string, count int) []string {
	url := fmt.Sprintf("http://%s%s?%s=%d", host, callerapi.PathIDs, callerapi.ParamCount, count)
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, url, nil)
	require.NoError(f.t, err)
	req.Header.Set(callerapi.HeaderCustomer, customer)
	var minted callerapi.IDs
	require.NoError(f.t, json.Unmarshal([]byte(f.do(req).body), &minted))
	require.Len(f.t, minted.IDs, count)
	return minted.IDs
}

func TestAnotherBodyIsRefusedAtEveryHost(t *testing.T) {
	withFleet(t, 3, func(f *testFleet) {
		f.requireAnswer(f.send("entry-1", "r", 1, 50).wait(), "r")
		for _, host := range []string{"entry-1", "entry-2"} {
			r := f.send(host, "r", 2, 51).wait()
			require.Equal(t, errkind.RequestMismatch, r.doc.Kind, host)
		}
	})
}

// TestLateFirstAttemptAtReplacedHost guards against a second run when a host
// forgets its promises in a restart: the host has promised never to start a
// request, restarts, and then receives the request's first attempt.
func TestLateFirstAttemptAtReplacedHost(t *testing.T) {
	withFleet(t, 3, func(f *testFleet) {
		f.requireAnswer(f.send("entry-1", "r", 2, 50).wait(), "r")
		f.kill("entry-2")
		h := f.start("entry-2")
		require.False(t, h.service.Ready())
		<-time.After(time.Second)
		require.True(t, h.service.Ready())
		f.requireAnswer(f.send("entry-2", "r", 1, 50).wait(), "r")
		require.Equal(t, 1, f.backend.Starts("r"))
	})
}

func TestDisconnectedCallerCancelsOnlyUnsentRequests(t *testing.T) {
	withFleet(t, 1, func(f *testFleet) {
		running := []*pendingReply{f.send("entry-1", "a", 1, 1000), f.send("entry-1", "b", 1, 1000)}
		synctest.Wait()
		queued := f.send("entry-1", "queued", 1, 50)
		shared := f.send("entry-1", "shared", 1, 50)
		synctest.Wait()
		joined := f.send("entry-1", "shared", 2, 50)
		synctest.Wait()
		queued.disconnect()
		shared.disconnect()
		running[0].disconnect()
		f.requireAnswer(running[1].wait(), "b")
		f.requireAnswer(joined.wait(), "shared")
		<-time.After(time.Second)
		require.Equal(t, 1, f.backend.Starts("a"))
		require.Zero(t, f.backend.Starts("queued"))
		f.requireAnswer(f.send("entry-1", "a", 2, 1000).wait(), "a")
	})
}

// TestPlannedStopLosesNoRequest stops a host that has requests both running and
// queued. Each must be answered, or be refused as not run if there is no peer.
func TestPlannedStopLosesNoRequest(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
	}{{"queued requests are handed over", 3}, {"no peer: queued requests are refused", 1}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withFleet(t, tt.hosts, func(f *testFleet) {
				var all []*pendingReply
				for i := range 8 {
					all = append(all, f.send("entry-1", fmt.Sprint("r", i), 1, 500))
					synctest.Wait()
				}
				stopped := make(chan error, 1)
				go func() { stopped <- f.hosts["entry-1"].service.Stop(context.Background()) }()
				synctest.Wait()
				late := f.send("entry-1", "late", 1, 50).wait()
				require.Equal(t, errkind.Stopping, late.doc.Kind)
				require.Equal(t, errkind.NotRun, late.doc.Run)
				late = f.send("entry-1", "late", 2, 50).wait()
				require.Equal(t, errkind.Unknown, late.doc.Run, "an earlier attempt may have run elsewhere")
				joined := f.send("entry-1", "r0", 2, 500)
				starts := 0
				for i, s := range all {
					r, id := s.wait(), fmt.Sprint("r", i)
					starts += f.backend.Starts(id)
					if r.doc.Kind == errkind.Stopping && tt.hosts == 1 {
						require.Equal(t, errkind.NotRun, r.doc.Run)
						require.Zero(t, f.backend.Starts(id))
						continue
					}
					f.requireAnswer(r, id)
				}
				f.requireAnswer(joined.wait(), "r0")
				require.NoError(t, <-stopped)
				require.Equal(t, map[int]int{3: 8, 1: 2}[tt.hosts], starts)
			})
		})
	}
}

func TestPeerWatcherDetectsLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{hosts: map[string]*host{"entry-1": {}, "entry-2": {incarnation: "entry-2~a"}, "entry-3": {incarnation: "entry-3~a"}}}
		watcher := NewPeerWatcher(directory{fleet: f, self: "entry-1"})
		steps := []struct {
			host *host
			lost bool
		}{
			{&host{incarnation: "entry-2~a"}, false},
			{&host{}, false},
			{&host{incarnation: "entry-2~a"}, false},
			{&host{incarnation: "entry-2~b"}, true},
			{nil, true},
		}
		for i, step := range steps {
			<-time.After(time.Second)
			f.hosts["entry-2"] = step.host
			if step.host == nil {
				delete(f.hosts, "entry-2")
			}
			loss := watcher.View().LastLoss
			require.Equal(t, step.lost, loss.Ever && loss.Ago == 0, "step %d", i)
		}
	})
}

// TestExtraMessageCounts checks how many messages are sent beyond a request and
// its answer, for each path that a request can take.
func TestExtraMessageCounts(t *testing.T) {
	const hosts = 8
	withFleet(t, hosts, func(f *testFleet) {
		minted := f.mint("entry-1", 2)
		require.Zero(t, f.send("entry-1", "first", 1, 50).wait().messages)
		require.Equal(t, 2*(hosts-1), f.send("entry-1", "later", 2, 50).wait().messages)
		require.Equal(t, 2*(hosts-1)+2, f.send("entry-2", "first", 2, 50).wait().messages)
		require.Zero(t, f.send("entry-1", minted[0], 1, 50).wait().messages)
		require.Equal(t, 2, f.send("entry-2", minted[1], 1, 50).wait().messages)
	})
}

func TestSlotRequestsCountAsMessages(t *testing.T) {
	withFleet(t, 2, func(f *testFleet) {
		f.setPolicy(standing.PolicyShares)
		<-time.After(time.Second)
		first, second := f.send("entry-1", "a", 1, 300), f.send("entry-1", "b", 1, 300)
		counted := first.wait().messages + second.wait().messages + f.send("entry-1", "c", 1, 50).wait().messages
		require.NotZero(t, f.slotRequests.Load(), "the second request waits for a slot from the other host")
		require.EqualValues(t, 2*f.slotRequests.Load(), counted)
	})
}

func TestQueueOfRemovedCustomerIsRefusedInTime(t *testing.T) {
	withFleet(t, 1, func(f *testFleet) {
		const deadline = 3 * time.Second
		running := []*pendingReply{f.send("entry-1", "a", 1, 20_000), f.send("entry-1", "b", 1, 20_000)}
		<-time.After(time.Second)
		waiting := f.sendDeadline("entry-1", "c", 50, deadline)
		start := time.Now()
		<-time.After(time.Second)
		f.removeCustomer()
		r := waiting.wait()
		require.Equal(t, errkind.DeadlinePassed, r.doc.Kind, r.body)
		require.Equal(t, errkind.NotRun, r.doc.Run)
		require.LessOrEqual(t, time.Since(start), deadline)
		require.Equal(t, errkind.UnknownCustomer, f.send("entry-1", "d", 1, 50).wait().doc.Kind)
		for _, s := range running {
			require.Equal(t, errkind.Unknown, s.wait().doc.Run)
		}
	})
}

func TestSlotsOfSilentHostAreShared(t *testing.T) {
	withFleet(t, 2, func(f *testFleet) {
		f.setPolicy(standing.PolicyShares)
		f.kill("entry-2")
		<-time.After(2 * lostAfter)
		first, second := f.send("entry-1", "a", 1, 300), f.send("entry-1", "b", 1, 300)
		f.requireAnswer(first.wait(), "a")
		f.requireAnswer(second.wait(), "b")
		require.Zero(t, f.slotRequests.Load(), "the host list still names the dead host")
	})
}
