package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// rejectAppends makes the store reject a host's appends for a time, while it
// answers the host's reads and joins.
func (w *world) rejectAppends(h *simHost, d time.Duration) {
	h.appendsRejected = true
	w.after(d, func() { h.appendsRejected = false })
}

// Workers change their owner several times within the seconds in which no owner
// can record the ends listed there, and the owners are cut off from the hosts of
// the jobs, which start the tasks again. The end of a former run must not be
// acknowledged under a lease that each owner in turn has renewed.
func TestEndsThatOutliveSeveralOwners(t *testing.T) {
	for seed := range uint64(*histories) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 2, 3, 6)
			w.run(2 * time.Second)
			w.loadStored(12, w.now.Add(8*time.Second))
			w.load(25, 9*time.Second)
			for round := range 2 {
				begin := time.Duration(2+4*round) * time.Second
				w.after(begin, func() {
					for _, owner := range w.hosts[:3] {
						w.rejectAppends(owner, 3200*time.Millisecond+time.Duration(w.rng.Int64N(int64(time.Second))))
						for _, other := range w.hosts[3:] {
							w.partition(owner, other, 3*time.Second)
						}
					}
				})
				for step := range 6 {
					w.after(begin+time.Duration(step)*700*time.Millisecond+time.Duration(w.rng.Int64N(int64(200*time.Millisecond))), func() {
						w.groups[w.hosts[0].zone].reassign(w.rng.IntN(zonePartitions))
					})
				}
			}
			w.run(12 * time.Second)
			w.run(15 * time.Second)
			require.Empty(t, w.problems)
			require.NotEmpty(t, w.log.accepted)
			for _, h := range w.hosts {
				assert.Empty(t, w.openJobs(h), "%s", h.name)
			}
		})
	}
}
