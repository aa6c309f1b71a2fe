package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
)

// A frame that had waited in a socket showed, when it was read, that its sender is there.
func TestFrameCountsAsHeardWhenItWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.stopAll()
		stream := dialPeer(t, f)
		const stamp = 1000
		require.NoError(t, stream.Send(&dispatchv1.Frame{SentMs: stamp}))
		time.Sleep(700 * time.Millisecond)
		require.NoError(t, stream.Send(&dispatchv1.Frame{SentMs: stamp + 10, Offers: []*dispatchv1.Offer{{
			Job: "00000000000000a1", Service: "s", Size: &dispatchv1.Size{MilliCpu: 14000, MemoryMb: 64},
			EstimateMs: int32(taskTime.Milliseconds()), StartInMs: 500, UsefulMs: 2000, MaxAttempts: 3,
			Tasks: []*dispatchv1.OfferedTask{{NextRun: 1}},
		}}}))
		time.Sleep(100 * time.Millisecond)
		assert.Zero(t, f.workers[0].Running(), "the offer was sent 0.7 s ago")

		require.NoError(t, stream.Send(&dispatchv1.Frame{SentMs: stamp + 800}))
		time.Sleep(tickInterval)
		assert.Equal(t, 1, f.workers[0].Running())
		require.NoError(t, stream.CloseRequest())
		require.NoError(t, stream.CloseResponse())
	})
}

func TestFramesAreStamped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.stopAll()
		stream := dialPeer(t, f)
		last, opened := int64(0), time.Now()
		for time.Since(opened) < time.Second {
			frame, err := stream.Receive()
			require.NoError(t, err)
			assert.Greater(t, frame.GetSentMs(), last)
			last = frame.GetSentMs()
			require.NoError(t, stream.Send(&dispatchv1.Frame{}), "heartbeat")
		}
		require.NoError(t, stream.CloseRequest())
		require.NoError(t, stream.CloseResponse())
	})
}

// The first frames of a stream, which had waited while the receiver stood still, counted as
// sent when they were read, although the sender had closed the stream meanwhile.
func TestFirstFramesThatWaitedWereNotSentNow(t *testing.T) {
	opened := time.Unix(1000, 0)
	const (
		// stamp is that of the first frame, which is sent just after the stream opens.
		stamp      = 17 * time.Minute
		standstill = 1500 * time.Millisecond
	)
	l := &link{lastContact: opened}
	read := opened.Add(standstill)
	var heard time.Time
	for _, sent := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond} {
		heard = l.sentAt(read, &dispatchv1.Frame{SentMs: (stamp + sent).Milliseconds()})
	}
	assert.LessOrEqual(t, heard.Sub(opened), peerTimeout, "the last frame was sent after 500 ms")
}
