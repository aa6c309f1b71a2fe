package ownership

import (
	"fmt"
	"testing"

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
	tracker.Joined("a", 3, []int{0})
	first := fences(tracker.PopActions(), "w")
	require.Len(t, first, 1)

	tracker.Released("w")
	tracker.Joined("b", 1, []int{0})
	tracker.Joined("b", 2, []int{0})
	tracker.Joined("a", 3, []int{0})
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
	tracker.Joined("z0", 1, []int{3, 4})
	assert.NotEmpty(t, tracker.PopActions())
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			tracker.Joined("z0", 1, []int{3, 4})
		}
	})
	assert.Less(t, result.AllocedBytesPerOp(), int64(1100), "less than a byte a worker")
	assert.Empty(t, tracker.PopActions())
}

func TestReleasedWorkerIsAdoptedAgainWithTheNextJoin(t *testing.T) {
	tracker := New(1, 7)
	tracker.UpdateWorker(fleet.Worker{ID: "w", Zone: "a"})
	tracker.Joined("a", 3, []int{0})
	tracker.PopActions()
	tracker.Released("w")
	assert.Empty(t, tracker.PopActions())
	tracker.Joined("a", 3, []int{0})
	assert.Len(t, fences(tracker.PopActions(), "w"), 1)
}

// Guards against a host that adopts and drops a worker with each join while the
// store still lists it: it has crashed, and another one answers at its address.
func TestReplacedWorkerIsNotAdoptedAgain(t *testing.T) {
	tracker := New(1, 7)
	entry := fleet.Worker{ID: "w", Zone: "a", StartTime: 5, Heartbeat: 3}
	tracker.UpdateWorker(entry)
	tracker.Joined("a", 3, []int{0})
	require.Len(t, fences(tracker.PopActions(), "w"), 1)
	tracker.Replaced("w")
	tracker.Released("w")
	tracker.Joined("a", 3, []int{0})
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
