package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
	"github.com/parsleyhill/parsleyhill/internal/decide/host"
	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/workerpool"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// ownerOfFoundRun returns a host that has found a run of a best-effort job on a worker.
func ownerOfFoundRun(t *testing.T, now time.Time, run fleet.RunID) *host.Core {
	t.Helper()
	core := host.New(host.Config{Name: "owner", Zone: "z", MaxLease: time.Second, Partitions: 1, Ledger: ledger.Config{Shards: 1, MemberTTL: time.Second}})
	core.Pool.Adopt(now, fleet.Worker{ID: "w", Address: "w:1", Zone: "z", Service: "s", Capacity: fleet.Size{MilliCPU: 8000}}, 7)
	found := fleet.PollResponse{Clock: time.Minute, StartTime: 1, Running: []fleet.RunProgress{{RunID: run}}}
	polls := 0
	for _, a := range core.Reconcile(now) {
		if poll, ok := a.(workerpool.Poll); ok {
			core.Pool.PollAnswered(now, "w", poll.Number, found)
			polls++
		}
	}
	require.Equal(t, 1, polls)
	core.Reconcile(now)
	return core
}

// A host that had stood still claimed a run and withdrew the job, whose caller had left, in
// one frame. The receiver handled the claim last, so that the run went on beside that of
// the caller's next request.
func TestWithdrawalAfterAClaimInOneFrameStopsTheRun(t *testing.T) {
	now := time.Unix(1000, 0)
	run := fleet.RunID{Task: fleet.TaskName{Job: "00000000000000a1"}, Run: 1}
	claim := offer.Claim{Worker: "w", Task: offer.Task{
		Host: "front", Name: run.Task, Service: "s", NextRun: run.Run + 1, StartBy: now, Deadline: now.Add(2 * time.Second),
	}}
	for name, withdrawal := range map[string]host.Message{
		"job": host.Withdrawal{Job: run.Task.Job}, "task": host.TaskWithdrawal{Task: run.Task},
	} {
		t.Run(name, func(t *testing.T) {
			core := ownerOfFoundRun(t, now, run)
			f := &dispatchv1.Frame{}
			addMessage(f, now, claim)
			addMessage(f, now, withdrawal)
			for _, m := range messagesFromProto(now, "owner", f) {
				core.Receive(now, "front", m)
			}
			stopped := false
			for _, after := range []time.Duration{0, time.Second} {
				core.Tick(now.Add(after))
				for _, a := range core.Reconcile(now.Add(after)) {
					_, ok := a.(workerpool.Stop)
					stopped = stopped || ok
				}
			}
			assert.True(t, stopped)
		})
	}
}
