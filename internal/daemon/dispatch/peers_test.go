package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
	"github.com/parsleyhill/parsleyhill/gen/dispatch/v1/dispatchv1connect"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/topology"
)

// dialPeer opens a stream to host-0 as another host. This client offers gzip, as
// clients of this protocol do by default.
func dialPeer(t *testing.T, f *testFleet) *connect.BidiStreamForClient[dispatchv1.Frame, dispatchv1.Frame] {
	transport := &http.Transport{DialContext: f.net.Dial, Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	client := dispatchv1connect.NewDispatchServiceClient(&http.Client{Transport: transport}, "http://host-0:3")
	stream := client.Exchange(t.Context())
	require.NoError(t, stream.Send(&dispatchv1.Frame{Hello: &dispatchv1.Hello{Host: "host-9", Zone: "z"}}))
	_, err := stream.Receive()
	require.NoError(t, err)
	t.Cleanup(transport.CloseIdleConnections)
	return stream
}

// A host sends some hundred frames of a few hundred bytes each second. Resetting a
// compressor for each costs more processor time than encoding and sending it.
func TestFramesAreNotCompressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.stopAll()
		stream := dialPeer(t, f)
		assert.Empty(t, stream.ResponseHeader().Get("Connect-Content-Encoding"))
		assert.Empty(t, stream.ResponseHeader().Get("Connect-Accept-Encoding"))
		require.NoError(t, stream.CloseRequest())
		require.NoError(t, stream.CloseResponse())
	})
}

// countFrames receives frames for a time and returns how many there were, and
// how many of them carried a capacity report.
func countFrames(t *testing.T, stream *connect.BidiStreamForClient[dispatchv1.Frame, dispatchv1.Frame], d time.Duration) (frames, reports int) {
	for end := time.Now().Add(d); time.Now().Before(end); frames++ {
		frame, err := stream.Receive()
		require.NoError(t, err)
		if frame.GetRoom() != nil {
			reports++
		}
		require.NoError(t, stream.Send(&dispatchv1.Frame{}), "heartbeat")
	}
	return frames, reports
}

// An idle fleet: heartbeats go on, but a report whose content the peer already
// has is not sent again. A peer that offers a task gets a report even if nothing
// has changed, because it charged the task to the capacity that it knew.
func TestIdleHostSendsHeartbeatsWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.stopAll()
		stream := dialPeer(t, f)
		frames, reports := countFrames(t, stream, 3*time.Second)
		assert.Greater(t, frames, int(3*time.Second/peerTimeout), "a frame in each peer timeout")
		assert.Equal(t, 1, reports)

		require.NoError(t, stream.Send(&dispatchv1.Frame{Recalls: []string{"00000000000000a1"}}))
		_, reports = countFrames(t, stream, peerTimeout)
		assert.Equal(t, 1, reports)
		require.NoError(t, stream.CloseRequest())
		require.NoError(t, stream.CloseResponse())
	})
}

// An idle host sent an empty frame to each peer whenever a report would have been
// due: 150 a second in a fleet of 29 hosts, where 52 keep the streams alive. Each
// costs a send, a reception and two wake-ups on hosts with a fifth of a core.
func TestIdleHostSendsOneFrameAHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.stopAll()
		stream := dialPeer(t, f)
		const interval = 3 * time.Second
		frames, _ := countFrames(t, stream, interval)
		assert.LessOrEqual(t, frames, int(interval/topology.HeartbeatInterval)+2, "and the greeting's report")
		require.NoError(t, stream.CloseRequest())
		require.NoError(t, stream.CloseResponse())
	})
}

// The start of each task was reported to the job's host in a frame of its own, which
// cost a send, a reception and a wake-up on both hosts.
func TestStartsOfTasksShareAFrame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 4)
		defer f.stopAll()
		stream := dialPeer(t, f)
		const tasks = 8
		go func() {
			for i := range tasks {
				assert.NoError(t, stream.Send(&dispatchv1.Frame{Offers: []*dispatchv1.Offer{{
					Job: "00000000000000a1", Service: "s", Size: &dispatchv1.Size{MilliCpu: 14000, MemoryMb: 64},
					EstimateMs: int32(taskTime.Milliseconds()), StartInMs: 500, UsefulMs: 2000, MaxAttempts: 3,
					Tasks: []*dispatchv1.OfferedTask{{Index: int32(i), NextRun: 1}},
				}}}))
				time.Sleep(time.Millisecond)
			}
		}()
		offered := time.Now()
		started, frames := 0, 0
		for started < tasks {
			frame, err := stream.Receive()
			require.NoError(t, err)
			n := 0
			for _, o := range frame.GetOutcomes() {
				if offer.Result(o.GetResult()) == offer.Started {
					n++
				}
			}
			started += n
			frames += min(n, 1)
		}
		assert.LessOrEqual(t, time.Since(offered), tasks*time.Millisecond+tickInterval+time.Millisecond)
		assert.LessOrEqual(t, frames, 2)
		require.NoError(t, stream.CloseRequest())
		require.NoError(t, stream.CloseResponse())
	})
}

// A host that stopped sent its last frames and ended the stream. The other end noticed
// the end when it sent, and dropped frames that it had received or was receiving.
func TestFramesSentBeforeTheEndOfAStreamCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.stopAll()
		d := f.hosts["host-0"]
		frames, sent := make(chan *dispatchv1.Frame), make(chan struct{}, 1)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			hello := &dispatchv1.Frame{Hello: &dispatchv1.Hello{Host: "host-9", Zone: "z"}}
			ended <- d.peers.serve(ctx, cancel, time.Now(), hello, func(*dispatchv1.Frame) error {
				sent <- struct{}{}
				return io.EOF
			}, func() (*dispatchv1.Frame, error) {
				if frame, ok := <-frames; ok {
					return frame, nil
				}
				return nil, io.EOF
			})
		}()
		<-sent
		synctest.Wait()
		frames <- &dispatchv1.Frame{Evacuations: []*dispatchv1.Evacuation{{Zone: "z", Offset: 1 << 40, Active: true}}}
		close(frames)
		require.ErrorIs(t, <-ended, io.EOF)
		evacuated := false
		d.postAndWait(func(time.Time) { evacuated = d.core.Evacuations.Active("z") })
		assert.True(t, evacuated, "the last frame has been handled")
		lost := false
		d.postAndWait(func(time.Time) { _, open := d.peers.links["host-9"]; lost = !open })
		assert.True(t, lost, "the stream counts as ended")
	})
}

// Guards against an end that is never noticed because the stream is silent: a send failed,
// and nothing more arrives.
func TestEndOfAStreamThatStaysSilentIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.stopAll()
		d := f.hosts["host-0"]
		ctx, cancel := context.WithCancel(t.Context())
		hello := &dispatchv1.Frame{Hello: &dispatchv1.Hello{Host: "host-9", Zone: "z"}}
		opened := time.Now()
		silent := make(chan struct{})
		defer close(silent)
		err := d.peers.serve(ctx, cancel, opened, hello, func(*dispatchv1.Frame) error { return io.EOF },
			func() (*dispatchv1.Frame, error) { <-silent; return nil, io.EOF })
		require.ErrorIs(t, err, io.EOF)
		assert.LessOrEqual(t, time.Since(opened), tickInterval+lastFramesTimeout)
	})
}
