package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// A worker's capacity shrinks under its runs: they go on, and nothing starts
// until what runs fits again.
func TestNothingStartsOverShrunkCapacity(t *testing.T) {
	p := newAdoptedPool(t, 32, idleResponse())
	for i := range 3 {
		p.Offer(epoch, testTask(1+i, 0, 14, epoch))
	}
	started := startAll(p, epoch)
	require.Len(t, started, 2)
	p.Update(testWorker("w", 16))
	assert.Empty(t, startAll(p, epoch))

	later := epoch.Add(100 * time.Millisecond)
	endRuns(p, later, map[fleet.RunID]string{runID(1, 0, 1): "w"}, runID(2, 0, 1))
	assert.Empty(t, startAll(p, later), "the other run fills the worker")
	report := p.Report(later)
	require.Len(t, report.Workers, 1)
	assert.Equal(t, 2000, report.Workers[0].Free.MilliCPU)

	p.Update(testWorker("w", 32))
	assert.Len(t, startAll(p, later), 1, "the capacity has grown again")
}

// Guards against starts on a restarted worker by the capacity of its former
// incarnation: a worker may return as one of another kind.
func TestRestartedWorkerWaitsForItsRegistration(t *testing.T) {
	p := newAdoptedPool(t, 48, idleResponse())
	p.Tick(epoch)
	for _, poll := range actionsOf[Poll](p.PopActions(epoch)) {
		p.PollAnswered(epoch, "w", poll.Number, fleet.PollResponse{Clock: time.Second, StartTime: 2})
	}
	p.Offer(epoch, testTask(1, 0, 40, epoch))
	assert.Empty(t, startAll(p, epoch))

	restarted := testWorker("w", 32)
	restarted.StartTime = 2
	p.Update(restarted)
	assert.Empty(t, startAll(p, epoch), "the task does not fit the new incarnation")
	p.Offer(epoch, testTask(2, 0, 30, epoch))
	assert.Len(t, startAll(p, epoch), 1)
}
