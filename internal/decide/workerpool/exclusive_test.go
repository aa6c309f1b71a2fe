package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// poolOf returns a pool that owns idle workers with the given IDs.
func poolOf(t *testing.T, ids ...string) *Pool {
	t.Helper()
	p := NewPool(DefaultConfig(testLease))
	for _, id := range ids {
		p.Adopt(epoch, testWorker(id, 32), 7)
		for _, poll := range actionsOf[Poll](p.PopActions(epoch)) {
			p.PollAnswered(epoch, id, poll.Number, idleResponse())
		}
	}
	settle(p)
	return p
}

// offerExclusive offers a task that must run alone.
func offerExclusive(p *Pool, job int, now time.Time) {
	task := testTask(job, 0, 14, now)
	task.Exclusive = true
	p.Offer(now, task)
}

// startAll starts what can start, and confirms it.
func startAll(p *Pool, now time.Time) map[fleet.RunID]string {
	started := map[fleet.RunID]string{}
	for _, s := range actionsOf[Start](p.PopActions(now)) {
		p.StartAnswered(now, s.Worker.ID, s.Run, 7, fleet.StartAccepted, time.Minute+now.Sub(epoch))
		started[s.Run] = s.Worker.ID
	}
	return started
}

// endRuns ends the given runs, which are on the given workers, while others go
// on.
func endRuns(p *Pool, now time.Time, runs map[fleet.RunID]string, others ...fleet.RunID) {
	p.Tick(now)
	for _, poll := range actionsOf[Poll](p.PopActions(now)) {
		response := fleet.PollResponse{Clock: time.Minute + now.Sub(epoch), StartTime: 1, Running: runningList(others...)}
		for run, worker := range runs {
			if worker == poll.Worker.ID {
				response.Ended = append(response.Ended, fleet.RunEnd{Seq: int64(len(response.Ended) + 1), RunID: run, Reason: fleet.EndedDone})
			}
		}
		p.PollAnswered(now, poll.Worker.ID, poll.Number, response)
	}
}

func TestExclusiveTaskRunsAlone(t *testing.T) {
	p := poolOf(t, "w")
	offerExclusive(p, 1, epoch)
	for i := range 2 {
		p.Offer(epoch, testTask(2+i, 0, 5, epoch))
	}
	started := startAll(p, epoch)
	require.Contains(t, started, runID(1, 0, 1))
	assert.Len(t, started, 1, "nothing starts beside it, though there is room")
	report := p.Report(epoch)
	assert.Empty(t, report.Workers)
	assert.Equal(t, 1, report.Exclusive)

	later := epoch.Add(60 * time.Millisecond)
	endRuns(p, later, started)
	assert.Len(t, startAll(p, later), 2)
}

// Under load no worker is idle by itself, so that a worker must be kept free for
// a suspect; the others go on.
func TestWorkerIsReservedUnderLoad(t *testing.T) {
	p := poolOf(t, "v", "w")
	for i := range 4 {
		p.Offer(epoch, testTask(1+i, 0, 14, epoch))
	}
	busy := startAll(p, epoch)
	require.Len(t, busy, 4)
	offerExclusive(p, 9, epoch)
	for i := range 8 {
		p.Offer(epoch, testTask(20+i, 0, 14, epoch))
	}
	assert.Empty(t, startAll(p, epoch))
	now := epoch.Add(50 * time.Millisecond)
	endRuns(p, now, busy)
	started := startAll(p, now)
	suspect := runID(9, 0, 1)
	require.Contains(t, started, suspect)
	others := 0
	for run, worker := range started {
		if run == suspect {
			continue
		}
		others++
		assert.NotEqual(t, started[suspect], worker)
	}
	assert.Equal(t, 2, others, "the other worker is used fully")
}

// loseWorker ends the process of a worker.
func loseWorker(p *Pool, now time.Time, worker string) {
	p.Tick(now)
	for _, poll := range actionsOf[Poll](p.PopActions(now)) {
		if poll.Worker.ID == worker {
			p.PollFailed(now, worker, poll.Number, fleet.CallProcessEnded)
		}
	}
}

// Under load a host risks one worker at a time on tasks that may crash it.
func TestOneWorkerIsRiskedAtATime(t *testing.T) {
	p := poolOf(t, "v", "w", "x")
	p.Offer(epoch, testTask(7, 0, 30, epoch))
	require.Len(t, startAll(p, epoch), 1)
	offerExclusive(p, 1, epoch)
	offerExclusive(p, 2, epoch)
	started := startAll(p, epoch)
	require.Len(t, started, 1)
	worker := started[runID(1, 0, 1)]
	loseWorker(p, epoch, worker)
	assert.Empty(t, startAll(p, epoch), "the worker has not returned")
	assert.Equal(t, 2, p.Report(epoch).Exclusive)

	p.WorkerReplaced(epoch, worker)
	assert.Len(t, startAll(p, epoch), 1)
}

// Guards against accepted jobs that wait for minutes behind suspects which crash
// their workers, while most of the workers are idle.
func TestIdleWorkersAreRiskedTogether(t *testing.T) {
	p := poolOf(t, "s", "t", "u", "v", "w", "x")
	for job := range 6 {
		offerExclusive(p, 1+job, epoch)
	}
	p.Tick(epoch)
	crashed, polls := 0, map[string]int64{}
	for range 6 {
		actions := p.PopActions(epoch)
		for _, poll := range actionsOf[Poll](actions) {
			polls[poll.Worker.ID] = poll.Number
		}
		for _, s := range actionsOf[Start](actions) {
			p.StartAnswered(epoch, s.Worker.ID, s.Run, 7, fleet.StartAccepted, time.Minute)
			p.PollFailed(epoch, s.Worker.ID, polls[s.Worker.ID], fleet.CallProcessEnded)
			crashed++
		}
	}
	assert.Equal(t, 4, crashed, "a third of the workers remain for other tasks")
}

func TestExclusiveTaskIsNotHandedOff(t *testing.T) {
	p := poolOf(t, "w")
	p.Offer(epoch, testTask(1, 0, 14, epoch))
	startAll(p, epoch)
	offerExclusive(p, 2, epoch)
	later := epoch.Add(time.Second)
	p.HandOff(later, p.Report(epoch).Workers)
	assert.Equal(t, 1, p.QueueLength())
}
