package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1_000_000, 0)

func fleetOf(n int) *Fleet {
	f := NewFleet(PolicyHome, rand.New(rand.NewPCG(1, 1)))
	for i := range n {
		f.Put(Worker{
			Name: fmt.Sprintf("worker-%d", i), Rack: fmt.Sprintf("rack-%d", i/8),
			Capacity: Size{Cores: 32, MemoryMB: 128 << 10}, Home: i%8 == 0,
		}, true)
	}
	return f
}

// BenchmarkStart measures one start and its end: a pick, a take and a give.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{50, 220, 880} {
		b.Run(fmt.Sprintf("%d-workers", workers), func(b *testing.B) {
			f := fleetOf(workers)
			racks := TasksByRack{}
			size := Size{Cores: 1, MemoryMB: 1024}
			var taken []string
			for range workers * 16 {
				name, _ := f.Pick(size, racks)
				f.Allocate(name, size)
				taken = append(taken, name)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				f.Deallocate(taken[i], size)
				name, _ := f.Pick(size, racks)
				f.Allocate(name, size)
				taken[i] = name
				i = (i + 1) % len(taken)
			}
		})
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	f := fleetOf(880)
	racks := TasksByRack{}
	size := Size{Cores: 1}
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		name, ok := f.Pick(size, racks)
		require.True(t, ok)
		f.Allocate(name, size)
		f.Deallocate(name, size)
	}))
}

// TestRandomUseNeverOverfills takes and gives at random and checks that a pick
// always fits and that room is found whenever there is some.
func TestRandomUseNeverOverfills(t *testing.T) {
	for _, policy := range []Policy{PolicyHome, PolicyMostFree, PolicyRandom} {
		rng := rand.New(rand.NewPCG(5, 5))
		f := fleetOf(20)
		f.policy = policy
		type taken struct {
			name string
			size Size
		}
		var held []taken
		for range 20_000 {
			if len(held) > 0 && rng.IntN(5) < 2 {
				i := rng.IntN(len(held))
				f.Deallocate(held[i].name, held[i].size)
				held[i] = held[len(held)-1]
				held = held[:len(held)-1]
				continue
			}
			size := Size{Cores: 1 + rng.IntN(32), MemoryMB: rng.IntN(64 << 10)}
			name, ok := f.Pick(size, TasksByRack{})
			room := false
			for _, n := range f.list {
				room = room || size.Fits(n.free())
			}
			require.Equal(t, room, ok, "%s: room for %+v", policy, size)
			if ok {
				require.True(t, size.Fits(f.nodes[name].free()))
				f.Allocate(name, size)
				held = append(held, taken{name, size})
			}
		}
	}
}

func TestTasksOfAJobSpreadOverRacks(t *testing.T) {
	f := fleetOf(64)
	f.policy = PolicyMostFree
	racks := TasksByRack{}
	for range 64 {
		name, _ := f.Pick(Size{Cores: 1}, racks)
		f.Allocate(name, Size{Cores: 1})
		racks[f.Rack(name)]++
	}
	for i := range 8 {
		require.InDelta(t, 8, racks[fmt.Sprintf("rack-%d", i)], 4)
	}
}

func TestWorkerThatFailsEverythingIsToldFromTasksThatFailEverywhere(t *testing.T) {
	t.Run("worker", func(t *testing.T) {
		f := fleetOf(20)
		stats := NewLearner().Stats(Class{})
		failures := 0
		for out := false; !out; failures++ {
			for i := 1; i < 4; i++ {
				f.RecordSuccess(fmt.Sprintf("worker-%d", i), stats)
			}
			_, out = f.RecordFailure(now, "worker-0", stats)
		}
		require.Equal(t, failStreak, failures)
		require.Nil(t, f.nodes["worker-0"].set, "in no bucket")
		f.Refresh(now.Add(quarantineBase))
		require.NotNil(t, f.nodes["worker-0"].set, "on probation")
		f.Allocate("worker-0", Size{Cores: 1})
		require.Nil(t, f.nodes["worker-0"].set, "one task at a time")
	})
	t.Run("tasks", func(t *testing.T) {
		f := fleetOf(20)
		stats := NewLearner().Stats(Class{})
		for i := range 200 {
			_, out := f.RecordFailure(now, fmt.Sprintf("worker-%d", i%20), stats)
			require.False(t, out)
		}
	})
	t.Run("ceiling", func(t *testing.T) {
		f := fleetOf(20)
		stats := NewLearner().Stats(Class{})
		out := 0
		for i := range 20 {
			for range failStreak {
				stats.rate = 1
				if _, now := f.RecordFailure(now, fmt.Sprintf("worker-%d", i), stats); now {
					out++
				}
			}
		}
		require.Equal(t, 6, out)
	})
}

func TestLearnedSizeReplacesTheDeclaredOne(t *testing.T) {
	stats := NewLearner().Stats(Class{})
	declared := Size{Cores: 16, MemoryMB: 1024}
	for range learnAfter - 1 {
		stats.Observe(Size{Cores: 2, MemoryMB: 4096}, time.Second)
	}
	require.Equal(t, declared, stats.Size(declared))
	stats.Observe(Size{Cores: 2, MemoryMB: 4096}, time.Second)
	require.Equal(t, Size{Cores: 2, MemoryMB: 4096}, stats.Size(declared))
}

func TestReservedWorkerDrainsForALargeTask(t *testing.T) {
	f := fleetOf(2)
	for i := range 64 {
		f.Allocate(fmt.Sprintf("worker-%d", i%2), Size{Cores: 1})
	}
	name, ok := f.Reserve(Size{Cores: 32})
	require.True(t, ok)
	for range 32 {
		f.Deallocate(name, Size{Cores: 1})
		_, taken := f.Pick(Size{Cores: 1}, TasksByRack{})
		require.False(t, taken, "small tasks pass by")
	}
	require.True(t, f.ReservedFits(name, Size{Cores: 32}))
}
