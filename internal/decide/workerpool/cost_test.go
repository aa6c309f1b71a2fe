package workerpool

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/flow"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	costWorkers = 12
	costQueue   = 300
)

// longQueue returns a pool with a queue of costQueue tasks at costWorkers workers of
// 16 cores, on a host that is saturated if limited is set.
func longQueue(tb testing.TB, limited bool) (*Pool, time.Time) {
	tb.Helper()
	cfg := DefaultConfig(testLease)
	cfg.Flow = &flow.Limiter{}
	p := NewPool(cfg)
	for i := range costWorkers {
		p.Adopt(epoch, testWorker(fmt.Sprintf("w%03d", i), 16), 7)
	}
	for _, a := range p.PopActions(epoch) {
		poll := a.(Poll)
		p.PollAnswered(epoch, poll.Worker.ID, poll.Number, fleet.PollResponse{Clock: time.Minute, StartTime: 1})
	}
	settle(p)
	now := epoch.Add(time.Millisecond)
	if limited {
		for range 16 {
			cfg.Flow.Answered(now, 100*time.Millisecond)
		}
		p.Tick(now)
		require.True(tb, cfg.Flow.Saturated())
	}
	for i := range costQueue {
		task := testTask(i, 0, 8, now)
		task.JobStarted, task.Deadline = true, now.Add(time.Minute)
		p.Offer(now, task)
	}
	p.PopActions(now)
	return p, now
}

// A host whose limit on starts was reached, or whose workers were full, compared each
// waiting task with each worker after every event. With 300 waiting tasks that took
// all of its processor time, so that it answered nothing else and stayed saturated.
func TestLongQueueIsNotSearchedAtEachEvent(t *testing.T) {
	for _, limited := range []bool{false, true} {
		p, now := longQueue(t, limited)
		require.Greater(t, p.QueueLength(), costQueue/2)
		before := p.Considered()
		const events = 100
		for i := range events {
			p.TaskStarted("front", fmt.Sprintf("%016x", i))
			p.PopActions(now.Add(time.Duration(i) * 100 * time.Microsecond))
		}
		assert.LessOrEqual(t, p.Considered()-before, events*costWorkers, "workers considered in %d events, limited: %v", events, limited)
	}
}

// A task that no worker of another host can hold was compared with all of them, at
// each tick.
func TestLongQueueIsNotComparedWithFullWorkersOfOtherHosts(t *testing.T) {
	p, now := longQueue(t, false)
	others := make([]offer.WorkerCapacity, 350)
	for i := range others {
		others[i] = offer.WorkerCapacity{ID: fmt.Sprintf("o%03d", i), Service: "s", Free: fleet.Size{MilliCPU: 4000, MemoryMB: 1 << 16}}
	}
	before := p.Considered()
	p.HandOff(now.Add(handOffAfter), others)
	assert.LessOrEqual(t, p.Considered()-before, len(others), "workers considered in one tick")
}

func BenchmarkEventWithLongQueue(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprintf("limited=%v", limited), func(b *testing.B) {
			p, now := longQueue(b, limited)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.PopActions(now.Add(time.Duration(i) * time.Millisecond))
			}
		})
	}
}
