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
	// allocsPerStart bounds the allocations of one task's whole way through the
	// core, its decision records included.
	allocsPerStart = 25
)

// mill puts whole jobs through one core, with workers that do at once what they
// are told.
type mill struct {
	rig
	jobs int
}

func newMill(workers int) *mill {
	m := &mill{rig: rig{core: NewCore(epoch, Config{Self: self}, rand.New(rand.NewPCG(1, 1))), now: epoch}}
	m.core.StreamOpened(epoch, 1, 0)
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
	m.core.UpdateWorkers(epoch, infos, entries)
	return m
}

// job runs one job from its submission to its closing record.
func (m *mill) job() {
	m.jobs++
	m.now = m.now.Add(20 * time.Millisecond)
	spec := callerapi.Job{Submission: fmt.Sprintf("job-%d", m.jobs), Customer: "tamarind", DeadlineMs: 10_000}
	for i := range tasksPerJob {
		spec.Tasks = append(spec.Tasks, callerapi.Task{Name: fmt.Sprintf("task-%d", i), Cores: 1})
	}
	m.core.Tick(m.now)
	_ = m.core.Submit(m.now, spec, "d")
	for actions := m.core.PopActions(m.now); len(actions) > 0; actions = m.core.PopActions(m.now) {
		for _, a := range actions {
			m.carry(a)
		}
	}
}

func (m *mill) carry(a Action) {
	switch a := a.(type) {
	case Append:
		m.fold(a.Record)
	case RequestLease:
		m.core.LeaseGranted(m.now, m.now, a.Worker, workerapi.Lease{Instance: a.Worker, Epoch: 1, TTLMs: a.TTL.Milliseconds()})
	case Start:
		page := workerapi.Results{Instance: a.Worker}
		reply := workerapi.StartReply{}
		for _, t := range a.Call.Tasks {
			reply.Verdicts = append(reply.Verdicts, workerapi.Started)
			page.Results = append(page.Results, workerapi.Result{Submission: t.Submission, Task: t.Task, State: workerapi.TaskDone})
		}
		m.core.StartReplied(m.now, m.now, a.ID, reply)
		m.core.TasksEnded(m.now, a.Worker, page)
		m.core.AwaitingResults(a.Worker)
	}
}

// BenchmarkCoreStart measures one task's way through the core.
func BenchmarkCoreStart(b *testing.B) {
	for _, workers := range []int{50, 220, 880} {
		b.Run(fmt.Sprintf("%d-workers", workers), func(b *testing.B) {
			m := newMill(workers)
			for b.Loop() {
				m.job()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(m.jobs*tasksPerJob), "ns/start")
		})
	}
}

func TestAllocationsPerStartAreBounded(t *testing.T) {
	for _, workers := range []int{50, 880} {
		m := newMill(workers)
		perJob := testing.AllocsPerRun(50, m.job)
		require.True(t, m.core.Idle())
		require.Less(t, perJob/tasksPerJob, float64(allocsPerStart), "%d workers", workers)
	}
}
