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
	inWorld(t, 3, func(w *world) {
		first := w.send("entry-1", "r", 1, 2000)
		synctest.Wait()
		second := w.send("entry-2", "r", 2, 2000)
		third := w.send("entry-1", "r", 3, 2000)
		synctest.Wait()
		first.hangUp()
		w.requireAnswer(second.wait(), "r")
		w.requireAnswer(third.wait(), "r")
		w.requireAnswer(w.send("entry-3", "r", 4, 2000).wait(), "r")
		require.Equal(t, 1, w.backend.Starts("r"))
	})
}

func TestLaterAttemptRunsOnlyWithProof(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.requireAnswer(w.send("entry-2", "never-seen", 2, 50).wait(), "never-seen")
		w.requireAnswer(w.send("entry-1", "never-seen", 1, 50).wait(), "never-seen")
		w.setCut("entry-3", true)
		w.requireUnresolved(w.send("entry-2", "cut", 2, 50).wait())
		w.requireAnswer(w.send("entry-3", "first-in-the-cut", 1, 50).wait(), "first-in-the-cut")
		w.setCut("entry-3", false)
		w.requireAnswer(w.send("entry-1", "cut", 3, 50).wait(), "cut")
		w.kill("entry-3")
		w.requireUnresolved(w.send("entry-2", "dead", 2, 50).wait())
		w.start("entry-3")
		<-time.After(testHorizon - 2*time.Second)
		w.requireUnresolved(w.send("entry-2", "replaced", 2, 50).wait())
		w.requireUnresolved(w.send("entry-3", "at-the-replaced", 2, 50).wait())
		<-time.After(3 * time.Second)
		w.requireAnswer(w.send("entry-2", "replaced", 3, 50).wait(), "replaced")
		for _, id := range []string{"never-seen", "cut", "replaced"} {
			require.Equal(t, 1, w.backend.Starts(id), id)
		}
		require.Zero(t, w.backend.Starts("dead")+w.backend.Starts("at-the-replaced"))
	})
}

func TestRacingAttemptsRunOnce(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		for i := range 20 {
			id := fmt.Sprint("race-", i)
			var all []*sent
			for n := range 8 {
				all = append(all, w.send(fmt.Sprintf("entry-%d", n%4+1), id, 2, 20))
			}
			for _, s := range all {
				w.requireAnswer(s.wait(), id)
			}
			require.Equal(t, 1, w.backend.Starts(id))
		}
	})
}

func TestMintedIDRunsOnceWhereverItArrives(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		minted := w.mint("entry-1", 2)
		var all []*sent
		for n := range 6 {
			all = append(all, w.send(fmt.Sprintf("entry-%d", n%3+1), minted[0], 1, 100))
		}
		for _, s := range all {
			w.requireAnswer(s.wait(), minted[0])
		}
		require.Equal(t, 1, w.backend.Starts(minted[0]))
		result := w.hosts["entry-1"].service.AcceptForwarded(w.ctx, requests.ForwardedRequest{
			Customer: customer, ID: "for-another", To: "entry-1~last", Timeout: time.Second,
		})
		require.NotNil(t, result.Err)
		require.Zero(t, w.backend.Starts("for-another"))
		w.kill("entry-1")
		w.start("entry-1")
		w.requireUnresolved(w.send("entry-1", minted[1], 1, 50).wait())
		w.requireUnresolved(w.send("entry-2", minted[1], 1, 50).wait())
		require.Zero(t, w.backend.Starts(minted[1]))
	})
}

func (w *world) mint(host string, count int) []string {
	url := fmt.Sprintf("http://%s%s?%s=%d", host, callerapi.PathIDs, callerapi.ParamCount, count)
	req, err := http.NewRequestWithContext(w.ctx, http.MethodPost, url, nil)
	require.NoError(w.t, err)
	req.Header.Set(callerapi.HeaderCustomer, customer)
	var minted callerapi.IDs
	require.NoError(w.t, json.Unmarshal([]byte(w.do(req).body), &minted))
	require.Len(w.t, minted.IDs, count)
	return minted.IDs
}

func TestAnotherBodyIsRefusedAtEveryHost(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.requireAnswer(w.send("entry-1", "r", 1, 50).wait(), "r")
		for _, host := range []string{"entry-1", "entry-2"} {
			r := w.send(host, "r", 2, 51).wait()
			require.Equal(t, errkind.RequestMismatch, r.doc.Kind, host)
		}
	})
}

// TestLateFirstAttemptAtReplacedHost restarts a host that had promised never
// to start a request, before the first attempt arrives there.
func TestLateFirstAttemptAtReplacedHost(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		w.requireAnswer(w.send("entry-1", "r", 2, 50).wait(), "r")
		w.kill("entry-2")
		h := w.start("entry-2")
		require.False(t, h.service.Ready())
		<-time.After(time.Second)
		require.True(t, h.service.Ready())
		w.requireAnswer(w.send("entry-2", "r", 1, 50).wait(), "r")
		require.Equal(t, 1, w.backend.Starts("r"))
	})
}

func TestHungUpCallerCancelsOnlyUnsentWork(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		running := []*sent{w.send("entry-1", "a", 1, 1000), w.send("entry-1", "b", 1, 1000)}
		synctest.Wait()
		queued := w.send("entry-1", "queued", 1, 50)
		shared := w.send("entry-1", "shared", 1, 50)
		synctest.Wait()
		joined := w.send("entry-1", "shared", 2, 50)
		synctest.Wait()
		queued.hangUp()
		shared.hangUp()
		running[0].hangUp()
		w.requireAnswer(running[1].wait(), "b")
		w.requireAnswer(joined.wait(), "shared")
		<-time.After(time.Second)
		require.Equal(t, 1, w.backend.Starts("a"))
		require.Zero(t, w.backend.Starts("queued"))
		w.requireAnswer(w.send("entry-1", "a", 2, 1000).wait(), "a")
	})
}

// TestPlannedStopCutsOffNothing stops a host that runs and queues requests.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
	}{{"queued requests are handed on", 3}, {"no peer: queued requests are refused", 1}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, tt.hosts, func(w *world) {
				var all []*sent
				for i := range 8 {
					all = append(all, w.send("entry-1", fmt.Sprint("r", i), 1, 500))
					synctest.Wait()
				}
				stopped := make(chan error, 1)
				go func() { stopped <- w.hosts["entry-1"].service.Stop(context.Background()) }()
				synctest.Wait()
				late := w.send("entry-1", "late", 1, 50).wait()
				require.Equal(t, errkind.Stopping, late.doc.Kind)
				require.Equal(t, errkind.NotRun, late.doc.Run)
				late = w.send("entry-1", "late", 2, 50).wait()
				require.Equal(t, errkind.Unknown, late.doc.Run, "an earlier attempt may have run elsewhere")
				joined := w.send("entry-1", "r0", 2, 500)
				starts := 0
				for i, s := range all {
					r, id := s.wait(), fmt.Sprint("r", i)
					starts += w.backend.Starts(id)
					if r.doc.Kind == errkind.Stopping && tt.hosts == 1 {
						require.Equal(t, errkind.NotRun, r.doc.Run)
						require.Zero(t, w.backend.Starts(id))
						continue
					}
					w.requireAnswer(r, id)
				}
				w.requireAnswer(joined.wait(), "r0")
				require.NoError(t, <-stopped)
				require.Equal(t, map[int]int{3: 8, 1: 2}[tt.hosts], starts)
			})
		})
	}
}

func TestFleetNoticesLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{hosts: map[string]*host{"entry-1": {}, "entry-2": {inc: "entry-2~a"}, "entry-3": {inc: "entry-3~a"}}}
		fleet := NewPeerWatcher(directory{w: w, self: "entry-1"})
		steps := []struct {
			host *host
			lost bool
		}{
			{&host{inc: "entry-2~a"}, false},
			{&host{}, false},
			{&host{inc: "entry-2~a"}, false},
			{&host{inc: "entry-2~b"}, true},
			{nil, true},
		}
		for i, step := range steps {
			<-time.After(time.Second)
			w.hosts["entry-2"] = step.host
			if step.host == nil {
				delete(w.hosts, "entry-2")
			}
			losses := fleet.View().LastLoss
			require.Equal(t, step.lost, losses.Ever && losses.Ago == 0, "step %d", i)
		}
	})
}

// TestMessagesOfEachWay counts the messages beyond a request and its answer.
func TestMessagesOfEachWay(t *testing.T) {
	const hosts = 8
	inWorld(t, hosts, func(w *world) {
		minted := w.mint("entry-1", 2)
		require.Zero(t, w.send("entry-1", "first", 1, 50).wait().messages)
		require.Equal(t, 2*(hosts-1), w.send("entry-1", "later", 2, 50).wait().messages)
		require.Equal(t, 2*(hosts-1)+2, w.send("entry-2", "first", 2, 50).wait().messages)
		require.Zero(t, w.send("entry-1", minted[0], 1, 50).wait().messages)
		require.Equal(t, 2, w.send("entry-2", minted[1], 1, 50).wait().messages)
	})
}

func TestAsksForSlotsAreCounted(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.setPolicy(standing.PolicyShares)
		<-time.After(time.Second)
		first, second := w.send("entry-1", "a", 1, 300), w.send("entry-1", "b", 1, 300)
		counted := first.wait().messages + second.wait().messages + w.send("entry-1", "c", 1, 50).wait().messages
		require.NotZero(t, w.asks.Load(), "the second request waits for a slot of the other host")
		require.EqualValues(t, 2*w.asks.Load(), counted)
	})
}

func TestQueueOfRemovedCustomerIsRefusedInTime(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		const deadline = 3 * time.Second
		running := []*sent{w.send("entry-1", "a", 1, 20_000), w.send("entry-1", "b", 1, 20_000)}
		<-time.After(time.Second)
		waiting := w.sendDeadline("entry-1", "c", 50, deadline)
		begun := time.Now()
		<-time.After(time.Second)
		w.removeCustomer()
		r := waiting.wait()
		require.Equal(t, errkind.DeadlinePassed, r.doc.Kind, r.body)
		require.Equal(t, errkind.NotRun, r.doc.Run)
		require.LessOrEqual(t, time.Since(begun), deadline)
		require.Equal(t, errkind.UnknownCustomer, w.send("entry-1", "d", 1, 50).wait().doc.Kind)
		for _, s := range running {
			require.Equal(t, errkind.Unknown, s.wait().doc.Run)
		}
	})
}

func TestSlotsOfSilentHostAreShared(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		w.setPolicy(standing.PolicyShares)
		w.kill("entry-2")
		<-time.After(2 * lostAfter)
		first, second := w.send("entry-1", "a", 1, 300), w.send("entry-1", "b", 1, 300)
		w.requireAnswer(first.wait(), "a")
		w.requireAnswer(second.wait(), "b")
		require.Zero(t, w.asks.Load(), "the host list still names the dead host")
	})
}
