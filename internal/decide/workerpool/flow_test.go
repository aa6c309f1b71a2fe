package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/flow"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// saturatedPool returns a pool with one idle worker of 64 cores, on a host whose
// answers take 100 ms longer than usual.
func saturatedPool(t *testing.T) (*Pool, time.Time) {
	t.Helper()
	cfg := DefaultConfig(testLease)
	cfg.Flow = &flow.Limiter{}
	p := NewPool(cfg)
	p.Adopt(epoch, testWorker("w000", 64), 7)
	for _, a := range p.PopActions(epoch) {
		p.PollAnswered(epoch, "w000", a.(Poll).Number, fleet.PollResponse{Clock: time.Minute, StartTime: 1})
	}
	settle(p)
	now := epoch.Add(time.Millisecond)
	for range 16 {
		cfg.Flow.Answered(now, 100*time.Millisecond)
	}
	p.Tick(now)
	require.True(t, cfg.Flow.Saturated())
	p.PopActions(now)
	return p, now
}

func offerTasks(p *Pool, now time.Time, count int) {
	for i := range count {
		task := testTask(1, i, 8, now)
		task.StartBy, task.Deadline = now.Add(300*time.Millisecond), now.Add(time.Minute)
		p.Offer(now, task)
	}
}

// Stops that are not answered fill the link if they are repeated every 50 ms.
func TestStopsAreRepeatedWithBackoff(t *testing.T) {
	p, now := saturatedPool(t)
	offerTasks(p, now, 1)
	starts := actionsOf[Start](p.PopActions(now))
	require.Len(t, starts, 1)
	p.StartAnswered(now, "w000", starts[0].Run, 7, fleet.StartUnknown, 0)
	var stops []time.Duration
	for at := time.Duration(0); at < 900*time.Millisecond; at += time.Millisecond {
		for _, s := range actionsOf[Stop](p.PopActions(now.Add(at))) {
			stops = append(stops, at)
			p.StopAnswered(now.Add(at), "w000", s.Run, false)
		}
		p.tickWorker(now.Add(at), p.workers["w000"])
		for range 16 {
			p.cfg.Flow.Answered(now.Add(at), 100*time.Millisecond)
		}
	}
	// The former pool sends 18.
	require.Len(t, stops, 5, "%v", stops)
	for i := 2; i < len(stops); i++ {
		assert.GreaterOrEqual(t, stops[i]-stops[i-1], 3*(stops[i-1]-stops[i-2])/2)
	}
	assert.Len(t, p.workers["w000"].runs, 1, "the run must occupy capacity until a stop is confirmed")
}

// Each start beyond the limit lengthens the queue on the link for all others.
func TestStartsBeyondLimitWaitAndReturnBeforeTheyAreLate(t *testing.T) {
	p, now := saturatedPool(t)
	offerTasks(p, now, 6)
	limit := p.cfg.Flow.Limit()
	require.Less(t, limit, 6)
	assert.Len(t, actionsOf[Start](p.PopActions(now)), limit)
	assert.Equal(t, 6-limit, p.QueueLength())
	// One of the tasks started, so that the job's others are not given up.
	for _, q := range p.queue {
		q.JobStarted = false
	}
	late := now.Add(250 * time.Millisecond)
	p.cfg.Flow.Answered(late, 100*time.Millisecond)
	p.tickFlow(late)
	returned := actionsOf[SendOutcome](p.PopActions(late))
	require.Len(t, returned, 6-limit)
	assert.Equal(t, offer.Returned, returned[0].Outcome.Result)
	assert.False(t, returned[0].Outcome.MayHaveRun)
}

// A start that is queued on the link is not lost. It is looked up, not stopped,
// and the list of the worker counts as its answer.
func TestLateStartIsLookedUpBeforeItIsStopped(t *testing.T) {
	p, now := saturatedPool(t)
	offerTasks(p, now, 1)
	start := actionsOf[Start](p.PopActions(now))[0]
	assert.Greater(t, start.GiveUp, start.Timeout)
	assert.LessOrEqual(t, start.GiveUp, testLease)
	now = now.Add(start.Timeout)
	p.StartLate(now, "w000", start.Run)
	actions := p.PopActions(now)
	assert.Empty(t, actionsOf[Stop](actions))
	polls := actionsOf[Poll](actions)
	require.Len(t, polls, 1)
	now = now.Add(10 * time.Millisecond)
	p.PollAnswered(now, "w000", polls[0].Number, fleet.PollResponse{
		Clock: time.Minute + now.Sub(epoch), StartTime: 1, Running: []fleet.RunProgress{{RunID: start.Run}},
	})
	outcomes := actionsOf[SendOutcome](p.PopActions(now))
	require.Len(t, outcomes, 1)
	assert.Equal(t, offer.Started, outcomes[0].Outcome.Result)
	p.StartAnswered(now, "w000", start.Run, 7, fleet.StartUnknown, 0)
	assert.Empty(t, actionsOf[Stop](p.PopActions(now)), "a run that the worker lists was stopped")
}

// The answer to a late start may come before that of the look-up.
func TestLateAnswerOfStartIsUsed(t *testing.T) {
	p, now := saturatedPool(t)
	offerTasks(p, now, 1)
	start := actionsOf[Start](p.PopActions(now))[0]
	now = now.Add(start.Timeout)
	p.StartLate(now, "w000", start.Run)
	p.PopActions(now)
	p.StartAnswered(now.Add(100*time.Millisecond), "w000", start.Run, 7, fleet.StartAccepted, time.Minute+now.Sub(epoch))
	actions := p.PopActions(now)
	assert.Empty(t, actionsOf[Stop](actions))
	require.Len(t, actionsOf[SendOutcome](actions), 1)
	assert.Equal(t, offer.Started, actionsOf[SendOutcome](actions)[0].Outcome.Result)
}

// A worker that does not list a late start may still receive it: the run occupies
// its capacity until it is stopped.
func TestLateStartThatIsNotListedOccupiesCapacity(t *testing.T) {
	p, now := saturatedPool(t)
	offerTasks(p, now, 1)
	start := actionsOf[Start](p.PopActions(now))[0]
	now = now.Add(start.Timeout)
	p.StartLate(now, "w000", start.Run)
	poll := actionsOf[Poll](p.PopActions(now))[0]
	p.PollAnswered(now, "w000", poll.Number, fleet.PollResponse{Clock: time.Minute + now.Sub(epoch), StartTime: 1})
	assert.Empty(t, actionsOf[SendOutcome](p.PopActions(now)))
	assert.Equal(t, 8000, p.workers["w000"].used.MilliCPU)
	p.StartAnswered(now, "w000", start.Run, 7, fleet.StartUnknown, 0)
	assert.Len(t, actionsOf[Stop](p.PopActions(now)), 1)
}
