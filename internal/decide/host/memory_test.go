package host

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/coordinator"
	"github.com/parsleyhill/parsleyhill/internal/decide/hostlimits"
	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/workerpool"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	waitingTasks = hostlimits.MaxJobTasks
	// smallestMemory is the memory of the smallest machine in bytes. A job gets a
	// thirty-second of it (docs/CAPACITY.md), also one of the log, which may have as many
	// tasks as on any machine. That is for all parts of a host together: it may be the
	// driver of a job and the owner of all workers.
	smallestMemory      = 144 << 20
	maxBytesWaitingTask = smallestMemory / 32 / waitingTasks
)

// waitingJob returns a job whose tasks no host can start yet: each needs all cores of a
// worker.
func waitingJob(bestEffort bool, steps ...fleet.Step) fleet.Job {
	for i := range steps {
		steps[i].Size, steps[i].Estimate = fleet.Size{MilliCPU: 16000, MemoryMB: 64}, 100*time.Millisecond
	}
	return fleet.Job{ID: "00000000000000a1", Spec: strings.Repeat("x", 4000), BestEffort: bestEffort, Steps: steps}
}

var waitingRoute = fleet.Route{Name: "r", Service: "s", Stretch: 1.6, LatencySlack: 24 * time.Hour, MaxAttempts: 3}

// memoryHost returns a single host whose workers are full. It drives the stored jobs if
// it is to.
func memoryHost(tb testing.TB, drives bool) (*Core, time.Time) {
	tb.Helper()
	c, now, _ := costHost(tb, 1)
	c.Ledger = ledger.New(ledger.Config{Host: "host-0", Nonce: 1, Shards: 1, MemberTTL: time.Hour, TakeoverDelay: time.Second, Retention: time.Minute})
	c.Ledger.LogRead(now)
	if drives {
		c.Ledger.Assigned(now, now, 1, []int{0})
		c.Ledger.LogRead(now.Add(time.Millisecond))
		for _, a := range c.Reconcile(now) {
			if a, ok := a.(Append); ok {
				c.Appended(now, a)
			}
		}
		c.Ledger.LogRead(now.Add(2 * time.Millisecond))
	}
	blocker := waitingJob(true, fleet.Step{Count: costOwnWorkers})
	blocker.ID = "00000000000000b1"
	require.True(tb, c.Coordinator.Submit(now, blocker, waitingRoute, time.Hour))
	started := 0
	for _, a := range c.Reconcile(now) {
		if s, ok := a.(workerpool.Start); ok {
			c.Pool.StartAnswered(now, s.Worker.ID, s.Run, s.Fence, fleet.StartAccepted, time.Minute)
			started++
		}
	}
	require.Equal(tb, costOwnWorkers, started)
	return c, now
}

// waits are the ways in which a host holds a job of so many tasks.
var waits = map[string]struct {
	drives bool
	add    func(tb testing.TB, c *Core, now time.Time, tasks int)
}{
	"job's host, later step": {false, func(tb testing.TB, c *Core, now time.Time, tasks int) {
		job := waitingJob(true, fleet.Step{Count: 1}, fleet.Step{Count: tasks - 1, After: []int{0}})
		require.True(tb, c.Coordinator.Submit(now, job, waitingRoute, time.Hour))
		c.Reconcile(now)
		require.Equal(tb, 1, c.Pool.QueueLength())
	}},
	"job's host and owner": {false, func(tb testing.TB, c *Core, now time.Time, tasks int) {
		require.True(tb, c.Coordinator.Submit(now, waitingJob(true, fleet.Step{Count: tasks}), waitingRoute, time.Hour))
		c.Reconcile(now)
		require.NotZero(tb, c.Pool.QueueLength())
	}},
	"owner": {false, func(tb testing.TB, c *Core, now time.Time, tasks int) {
		driver, _ := memoryHost(tb, false)
		require.True(tb, driver.Coordinator.Submit(now, waitingJob(true, fleet.Step{Count: tasks}), waitingRoute, time.Hour))
		for _, a := range driver.Coordinator.PopActions() {
			if o, ok := a.(coordinator.Offer); ok {
				c.Receive(now, "host-1", Offers{Tasks: o.Tasks})
			}
		}
		c.Reconcile(now)
		require.NotZero(tb, c.Pool.QueueLength())
	}},
	"driver and owner": {true, func(tb testing.TB, c *Core, now time.Time, tasks int) {
		c.Ledger.Apply(now, []ledger.Entry{ledger.Accepted{Job: waitingJob(false, fleet.Step{Count: tasks}), Route: waitingRoute}})
		c.Reconcile(now)
		require.NotZero(tb, c.Pool.QueueLength())
	}},
	"reader of the log": {false, func(tb testing.TB, c *Core, now time.Time, tasks int) {
		c.Ledger.Apply(now, []ledger.Entry{ledger.Accepted{Job: waitingJob(false, fleet.Step{Count: tasks}), Route: waitingRoute}})
		c.Reconcile(now)
		require.True(tb, c.Ledger.Contains("00000000000000a1"))
	}},
}

// heapBytes returns the size of all live objects.
func heapBytes() int64 {
	var stats runtime.MemStats
	// The first collection may have begun before the last objects were dropped.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// jobBytes returns the memory that a host takes for a job.
func jobBytes(tb testing.TB, wait string, tasks int) int64 {
	w := waits[wait]
	c, now := memoryHost(tb, w.drives)
	before := heapBytes()
	w.add(tb, c, now, tasks)
	after := heapBytes()
	runtime.KeepAlive(c)
	return after - before
}

// Guards against a job within the limits whose waiting tasks take more than its part of
// the smallest machine's memory.
func TestWaitingTasksFitTheSmallestMachine(t *testing.T) {
	for wait := range waits {
		bytes := jobBytes(t, wait, waitingTasks)
		t.Logf("%s: %.1f bytes a task, of %d", wait, float64(bytes)/waitingTasks, maxBytesWaitingTask)
		assert.LessOrEqual(t, bytes, int64(maxBytesWaitingTask*waitingTasks), wait)
	}
}

// Guards against a job whose memory follows the number of its tasks, and not those that
// can start soon.
func TestMemoryOfAJobDoesNotFollowItsTasks(t *testing.T) {
	const manyTasks = 1 << 20
	for wait := range waits {
		bytes := jobBytes(t, wait, manyTasks)
		t.Logf("%s: %d bytes for %d tasks", wait, bytes, manyTasks)
		assert.LessOrEqual(t, bytes, int64(maxBytesWaitingTask*waitingTasks), wait)
	}
}

// BenchmarkWaitingTask reports the memory of a waiting task in bytes.
func BenchmarkWaitingTask(b *testing.B) {
	for wait := range waits {
		b.Run(wait, func(b *testing.B) {
			bytes := int64(0)
			for b.Loop() {
				bytes = jobBytes(b, wait, waitingTasks)
			}
			b.ReportMetric(float64(bytes)/waitingTasks, "B/task")
		})
	}
}

// BenchmarkEndedTask reports the memory in bytes that a task of an open job takes in the
// ledger of a host that reads the log, once its end is recorded.
func BenchmarkEndedTask(b *testing.B) {
	bytes := int64(0)
	for b.Loop() {
		c, now := memoryHost(b, false)
		job := waitingJob(false, fleet.Step{Count: waitingTasks + 1})
		before := heapBytes()
		c.Ledger.Apply(now, []ledger.Entry{ledger.Accepted{Job: job, Route: waitingRoute}})
		for i := range waitingTasks {
			run := fleet.RunID{Task: fleet.TaskName{Job: job.ID, Index: i}, Run: 1}
			c.Ledger.Apply(now, []ledger.Entry{ledger.RunEnded{RunID: run, Reason: fleet.EndedDone}})
		}
		bytes = heapBytes() - before
		runtime.KeepAlive(c)
	}
	b.ReportMetric(float64(bytes)/waitingTasks, "B/task")
}
