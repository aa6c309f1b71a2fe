package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/internal/standin/taskworker"
)

// An owner that had stood still renewed the lease of a silent driver's runs before it
// closed the stream, and held them from then on, not from the end of the peer timeout. A
// next driver waits only for peerTimeout and a lease after the former one.
func TestStandstillOfAnOwnerDoesNotProlongRunsOfASilentDriver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 0)
		defer f.stopAll()
		f.addWorker("z", time.Minute)
		ended := make(chan time.Time, 1)
		f.workers[0].Observe(func(e taskworker.Event) {
			if e.Kind != taskworker.Started {
				ended <- time.Now()
			}
		})
		time.Sleep(2 * time.Second)
		driver := dialPeer(t, f)
		require.NoError(t, driver.Send(&dispatchv1.Frame{Offers: []*dispatchv1.Offer{{
			Job: "00000000000000a1", Service: "s", Size: &dispatchv1.Size{MilliCpu: 14000, MemoryMb: 64}, Stored: true,
			EstimateMs: 60000, StartInMs: 500, UsefulMs: 3600000, MaxAttempts: 3,
			Tasks: []*dispatchv1.OfferedTask{{NextRun: 1}},
		}}}))
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, driver.Send(&dispatchv1.Frame{}), "the last frame")
		lastFrame := time.Now()
		require.Equal(t, 1, f.workers[0].Running())
		// The standstill begins after the renewal at 0.46 and 0.92 s of the run, and ends
		// before its lease does.
		time.Sleep(peerTimeout - 2*time.Millisecond)
		f.hosts["host-0"].post(func(time.Time) { time.Sleep(950 * time.Millisecond) })
		bound := peerTimeout + fleet.WithMaxClockDrift(time.Second) + takeoverMargin
		assert.LessOrEqual(t, (<-ended).Sub(lastFrame), bound)
		require.NoError(t, driver.CloseRequest())
		require.NoError(t, driver.CloseResponse())
	})
}
