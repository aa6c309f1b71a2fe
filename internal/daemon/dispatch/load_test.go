package dispatch

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// On a host with one core, each answer of a worker and each frame of a peer was
// followed by a round of its own, although the goroutines that had read the next ones
// were ready to run.
func TestEventsOfReadyGoroutinesShareARound(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.stopAll()
		d := f.hosts["host-0"]
		rounds := func() (n int) {
			d.postAndWait(func(time.Time) { n = d.load.rounds })
			return n
		}
		before := rounds()
		const events = 64
		var posted sync.WaitGroup
		for range events {
			posted.Go(func() { d.post(func(time.Time) {}) })
		}
		posted.Wait()
		assert.LessOrEqual(t, rounds()-before, events/8)
	})
}
