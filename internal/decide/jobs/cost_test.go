package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

const (
	tasksPerJob = 100
	// allocsPerStart bounds the allocations in Core for one task, from its
	// submission to its result, including decision records.
	allocsPerStart = 25
)

// throughputFixture runs whole jobs through one Core, with workers that start
// and complete every task at once.
type throughputFixture struct {
	fixture
	jobs int
}

func newThroughputFixture(workers int) *throughputFixture {
	f := &throughputFixture{fixture: fixture{core: NewCore(epoch, Config{Self: self}, rand.New(rand.NewPCG(1, 1))), now: epoch}}
	f.core.StreamOpened(epoch, 1, 0)
	var infos []WorkerInfo
	for i := range workers {
		infos = append(infos, WorkerInfo{
			Name: fmt.Sprintf("worker-%d", i), Rack: fmt.Sprintf("rack-%d", i/8),
			Capacity: placement.Size{Cores: 48, MemoryMB: 1 << 17}, Live: true,
		})
	}
	entries := make([]string, 8)
	for i := range entries {
		entries[i] = fmt.Sprintf("entry-%d", i)
	}
	f.core.UpdateWorkers(epoch, infos, entries)
	return f
}

// runJob runs one job from its submission to its close record.
func (f *throughputFixture) runJob() {
	f.jobs++
	f.now = f.now.Add(20 * time.Millisecond)
	spec := callerapi.Job{Submission: fmt.Sprintf("job-%d", f.jobs), Customer: "tamarind", DeadlineMs: 10_000}
	for i := range tasksPerJob {
		spec.Tasks = append(spec.Tasks, callerapi.Task{Name: fmt.Sprintf("task-%d", i), Cores: 1})
	}
	f.core.Tick(f.now)
	_ = f.core.Submit(f.now, spec, "d")
	for actions := f.core.PopActions(f.now); len(actions) > 0; actions = f.core.PopActions(f.now) {
		for _, a := range actions {
			f.execute(a)
		}
	}
}

func (f *throughputFixture) execute(a Action) {
	switch a := a.(type) {
	case Append:
		f.applyRecord(a.Record)
	case RequestLease:
		f.core.LeaseGranted(f.now, f.now, a.Worker, workerapi.Lease{Instance: a.Worker, Epoch: 1, TTLMs: a.TTL.Milliseconds()})
	case Start:
		page := workerapi.Results{Instance: a.Worker}
		reply := workerapi.StartReply{}
		for _, t := range a.Call.Tasks {
			reply.Verdicts = append(reply.Verdicts, workerapi.Started)
			page.Results = append(page.Results, workerapi.Result{Submission: t.Submission, Task: t.Task, State: workerapi.TaskDone})
		}
		f.core.StartReplied(f.now, f.now, a.ID, reply)
		f.core.TasksEnded(f.now, a.Worker, page)
		f.core.AwaitingResults(a.Worker)
	}
}

// BenchmarkCoreStart measures the time in Core for one task, from its
// submission to its result.
func BenchmarkCoreStart(b *testing.B) {
	for _, workers := range []int{50, 220, 880} {
		b.Run(fmt.Sprintf("%d-workers", workers), func(b *testing.B) {
			f := newThroughputFixture(workers)
			for b.Loop() {
				f.runJob()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(f.jobs*tasksPerJob), "ns/start")
		})
	}
}

func TestAllocationsPerStartAreBounded(t *testing.T) {
	for _, workers := range []int{50, 880} {
		f := newThroughputFixture(workers)
		perJob := testing.AllocsPerRun(50, f.runJob)
		require.True(t, f.core.Idle())
		require.Less(t, perJob/tasksPerJob, float64(allocsPerStart), "%d workers", workers)
	}
}
