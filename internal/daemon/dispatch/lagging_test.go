package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
	"github.com/parsleyhill/parsleyhill/internal/decide/host"
	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
)

// A host that stands still again and again stamps each frame by an earlier time. The
// receiver took the constant lag for the delay of the stream, and after some seconds such
// frames said that the host knew of its callers when they were read.
func TestLagOfAStampIsNotTakenForTheDelayOfTheStream(t *testing.T) {
	const (
		standstill = 400 * time.Millisecond
		awake      = 20 * time.Millisecond
		delay      = 3 * time.Millisecond
	)
	sender := host.New(host.Config{Name: "sender", Zone: "z", MaxLease: time.Second, Partitions: 1, Ledger: ledger.Config{Shards: 1, MemberTTL: time.Second}})
	created := time.Unix(1000, 0)
	stamp := func(at time.Time) int64 { return at.Sub(created).Milliseconds() }
	now := created.Add(time.Minute)
	sender.Tick(now)
	receiver := &link{lastContact: now}
	receiver.clock.Start(now, time.Duration(stamp(now))*time.Millisecond)
	for range 20 {
		now = now.Add(standstill)
		sender.StoodStill(now, standstill)
		sender.Tick(now)
		present := sender.PresentAt(now)
		frame := &dispatchv1.Frame{SentMs: stamp(now), PresentMs: stamp(present)}
		known := receiver.sentAt(now.Add(delay), frame).Add(-presenceLag(frame))
		assert.LessOrEqual(t, known.Sub(present), 2*delay, "%v after the stream opened", now.Sub(receiver.lastContact))
		now = now.Add(awake)
	}
}
