package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against stored jobs that are shown as failed although their tasks have attempts
// left: after a change of the driver or of the worker's owner, a failed run was counted again.
func TestStoredHistoriesWithFailingTasks(t *testing.T) {
	for seed := range uint64(*histories) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 2, 2, 6)
			w.failRate, w.route.MaxAttempts = 0.25, 2
			w.run(2 * time.Second)
			w.lossRate, w.lateRate = 0.02, 0.02
			w.loadStored(15, w.now.Add(8*time.Second))
			for i := range 8 {
				w.after(time.Duration(i)*time.Second+w.between(0, time.Second), func() {
					w.log.group.reassign(w.rng.IntN(testShards))
					w.groups[w.hosts[0].zone].reassign(w.rng.IntN(zonePartitions))
				})
			}
			w.run(10 * time.Second)
			w.lossRate, w.lateRate = 0, 0
			w.run(20 * time.Second)
			w.checkFailedJobs(w.hosts[0])
			require.Empty(t, w.problems)
			require.NotEmpty(t, w.log.accepted)
			for _, h := range w.hosts {
				assert.Empty(t, w.openJobs(h), "%s", h.name)
			}
		})
	}
}
