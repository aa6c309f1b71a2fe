package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// fences returns the fences of the adoptions of a worker among the actions.
func fences(actions []Action, worker string) []int64 {
	var list []int64
	for _, a := range actions {
		if adopt, ok := a.(Adopt); ok && adopt.Worker.ID == worker {
			list = append(list, adopt.Fence)
		}
	}
	return list
}

// A host owns workers in two zones, and the generation of one zone rises. A
// worker of the other zone that is adopted again must get a higher fence than
// before, or late orders of its first adoption still count.
func TestChangeInOneZoneKeepsTheFencesOfAnotherRising(t *testing.T) {
	tracker := New(1, 7)
	tracker.UpdateWorker(fleet.Worker{ID: "w", Zone: "a"})
	tracker.Joined(Seat{Zone: "a"}, 3, []int{0})
	first := fences(tracker.PopActions(), "w")
	require.Len(t, first, 1)

	tracker.Released("w")
	tracker.Joined(Seat{Zone: "b"}, 1, []int{0})
	tracker.Joined(Seat{Zone: "b"}, 2, []int{0})
	tracker.Joined(Seat{Zone: "a"}, 3, []int{0})
	second := fences(tracker.PopActions(), "w")
	require.Len(t, second, 1)
	assert.Greater(t, second[0], first[0])
}

// A host of a large deployment confirms its membership several times a second
// and nothing has changed: that must not cost more with more workers.
func TestConfirmedMembershipCostsNothingPerWorker(t *testing.T) {
	tracker := New(24, 7)
	for i := range 1100 {
		tracker.UpdateWorker(fleet.Worker{ID: fmt.Sprintf("w%d", i), Zone: fmt.Sprintf("z%d", i%5)})
	}
	tracker.Joined(Seat{Zone: "z0"}, 1, []int{3, 4})
	assert.NotEmpty(t, tracker.PopActions())
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			tracker.Joined(Seat{Zone: "z0"}, 1, []int{3, 4})
		}
	})
	assert.Less(t, result.AllocedBytesPerOp(), int64(1100), "less than a byte a worker")
	assert.Empty(t, tracker.PopActions())
}

func TestReleasedWorkerIsAdoptedAgainWithTheNextJoin(t *testing.T) {
	tracker := New(1, 7)
	tracker.UpdateWorker(fleet.Worker{ID: "w", Zone: "a"})
	tracker.Joined(Seat{Zone: "a"}, 3, []int{0})
	tracker.PopActions()
	tracker.Released("w")
	assert.Empty(t, tracker.PopActions())
	tracker.Joined(Seat{Zone: "a"}, 3, []int{0})
	assert.Len(t, fences(tracker.PopActions(), "w"), 1)
}

// Guards against a host that adopts and drops a worker with each join while the
// store still lists it: it has crashed, and another one answers at its address.
func TestReplacedWorkerIsNotAdoptedAgain(t *testing.T) {
	tracker := New(1, 7)
	entry := fleet.Worker{ID: "w", Zone: "a", StartTime: 5, Heartbeat: 3}
	tracker.UpdateWorker(entry)
	tracker.Joined(Seat{Zone: "a"}, 3, []int{0})
	require.Len(t, fences(tracker.PopActions(), "w"), 1)
	tracker.Replaced("w")
	tracker.Released("w")
	tracker.Joined(Seat{Zone: "a"}, 3, []int{0})
	tracker.UpdateWorker(entry)
	assert.Empty(t, fences(tracker.PopActions(), "w"))

	entry.Heartbeat++
	tracker.UpdateWorker(entry)
	assert.Len(t, fences(tracker.PopActions(), "w"), 1, "the worker lives")

	tracker.Replaced("w")
	tracker.Released("w")
	tracker.RemoveWorker("w")
	assert.Empty(t, tracker.replaced)
}

// The partitions of a host's seats are its own together, and a worker that moves from
// one seat to the other must get a higher fence, whichever seat's answer is older.
func TestSeatsOfAHostAddUp(t *testing.T) {
	tracker := New(2, 7)
	ids := map[int]string{}
	for i := 0; len(ids) < 2; i++ {
		id := fmt.Sprintf("w%d", i)
		ids[tracker.Partition(id)] = id
	}
	for _, id := range ids {
		tracker.UpdateWorker(fleet.Worker{ID: id, Zone: "a"})
	}
	first, second := Seat{Zone: "a"}, Seat{Zone: "a", Number: 1}
	tracker.Joined(first, 4, []int{0})
	tracker.Joined(second, 5, []int{1})
	actions := tracker.PopActions()
	before := fences(actions, ids[0])
	require.Len(t, before, 1)
	require.Len(t, fences(actions, ids[1]), 1)

	tracker.Joined(first, 6, nil)
	assert.Equal(t, []Action{Release{Worker: ids[0], Why: "assigned to another host"}}, tracker.PopActions())
	tracker.Joined(second, 6, []int{0, 1})
	after := fences(tracker.PopActions(), ids[0])
	require.Len(t, after, 1)
	assert.Greater(t, after[0], before[0])

	tracker.Left(second)
	assert.Len(t, tracker.PopActions(), 2)
	tracker.Joined(first, 3, []int{0})
	late := fences(tracker.PopActions(), ids[0])
	require.Len(t, late, 1)
	assert.Greater(t, late[0], after[0], "an answer that was delayed")
}

// A registration that was removed and is back gave its worker the fence of the first
// adoption again, so that late orders of that one counted.
func TestWorkerThatRegistersAgainGetsAHigherFence(t *testing.T) {
	tracker := New(1, 7)
	tracker.Joined(Seat{Zone: "a"}, 3, []int{0})
	tracker.UpdateWorker(fleet.Worker{ID: "w", Zone: "a"})
	first := fences(tracker.PopActions(), "w")
	require.Len(t, first, 1)
	tracker.RemoveWorker("w")
	tracker.UpdateWorker(fleet.Worker{ID: "w", Zone: "a"})
	second := fences(tracker.PopActions(), "w")
	require.Len(t, second, 1)
	assert.Greater(t, second[0], first[0])

	tracker.RemoveWorker("w")
	tracker.Joined(Seat{Zone: "a"}, 4, []int{0})
	assert.Empty(t, tracker.adoptions, "a later adoption has a higher generation")
}

// An owner took the worker to have been its own all the time although another host may have
// owned it in a generation of the group that the owner had not heard of.
func TestWorkerIsHeldOnlyWithoutAGapInTheGenerations(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	tracker := New(1, 7)
	seat := Seat{Zone: "a"}
	join := func(generation int64, partitions []int, sent, answered int) {
		tracker.Joined(seat, generation, partitions)
		tracker.Confirmed(seat, at(sent), at(answered))
	}
	requireHeld := func(wantFrom, wantTo time.Time) {
		t.Helper()
		from, to := tracker.Held("w")
		require.Equal(t, wantFrom, from)
		require.Equal(t, wantTo, to)
	}
	requireHeld(time.Time{}, time.Time{})
	tracker.UpdateWorker(fleet.Worker{ID: "w", Zone: "a"})
	join(3, []int{0}, 0, 10)
	requireHeld(at(10), at(0))
	join(3, []int{0}, 300, 310)
	requireHeld(at(10), at(300))
	join(4, []int{0}, 600, 610)
	requireHeld(at(10), at(600))
	join(6, []int{0}, 900, 910)
	requireHeld(at(910), at(900))
	join(7, nil, 1200, 1210)
	requireHeld(time.Time{}, time.Time{})
	join(8, []int{0}, 1500, 1510)
	requireHeld(at(1510), at(1500))
	tracker.Left(seat)
	join(9, []int{0}, 1800, 1810)
	requireHeld(at(1810), at(1800))
}
