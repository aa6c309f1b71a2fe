package speed

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// start is later than the zero time by more than any interval.
var start = time.Unix(1_700_000_000, 0)

const estimate = 100 * time.Millisecond

func modelOf(workers int) *Model {
	m := New()
	for i := range workers {
		m.Register(start, fleet.Worker{ID: fmt.Sprint(i), Service: "s", Zone: "z"})
	}
	return m
}

// Guards against a worker that counts as slow because of a few long tasks.
func TestModelIgnoresRareLongTasks(t *testing.T) {
	m := modelOf(1)
	for i := range window {
		took := estimate
		if i%11 == 0 {
			took = 7 * estimate
		}
		m.Observe(start, "0", took, estimate)
	}
	m.Refresh(start)
	assert.InDelta(t, 1, m.Relative("0"), 0.05)
}

// Guards against a new owner that takes all workers for equal.
func TestNewOwnerStartsFromReportedSpeeds(t *testing.T) {
	m := modelOf(2)
	m.Receive(start, "0", "s", 0.6, window)
	m.Receive(start, "1", "s", 1.4, window)
	m.Refresh(start)
	assert.InDelta(t, 0.6, m.Relative("0"), 0.06)
	assert.InDelta(t, 1.4, m.Relative("1"), 0.14)
}

// Guards against long tasks on underestimated slow workers while fast ones are idle,
// and against short tasks on fast ones.
func TestIdleFastWorkersTakeLongTasks(t *testing.T) {
	slow, fast := Place{Relative: 1.25}, Place{Relative: 0.6}
	long := Need{Estimate: estimate, Left: 168 * estimate / 100, Middle: 0.95, FastFree: 0.9}
	assert.Positive(t, long.Compare(slow, fast))
	long.FastFree = 0.1
	assert.Negative(t, long.Compare(slow, fast))
	short := Need{Estimate: estimate, Left: 278 * estimate / 100, Middle: 0.95, FastFree: 0.9}
	assert.Negative(t, short.Compare(slow, fast))
}
