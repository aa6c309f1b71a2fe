package presence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	interval = 250 * time.Millisecond
	delay    = 3 * time.Millisecond
	// offset is the lead of the receiver's clock.
	offset = 17 * time.Minute
)

var epoch = time.Unix(1000, 0)

// stream is a stream whose frames are sent at a stamp of the sender's clock and read at a
// time of the receiver's.
type stream struct{ clock Clock }

// read returns how long before the frame was read it was sent, as estimated.
func (s *stream) read(stamp, at time.Duration) time.Duration {
	received := epoch.Add(offset + at)
	return received.Sub(s.clock.SentAt(received, stamp))
}

// calm reads n frames in time and returns the stamp of the next one.
func (s *stream) calm(from time.Duration, n int) time.Duration {
	for range n {
		s.read(from, from+delay)
		from += interval
	}
	return from
}

func TestFrameThatIsReadAtOnceWasSentNow(t *testing.T) {
	var s stream
	at := s.calm(0, 20)
	assert.Zero(t, s.read(at, at+delay))
	assert.Equal(t, 40*time.Millisecond, s.read(at+interval, at+interval+delay+40*time.Millisecond))
}

// A frame that had waited while the receiver stood still counted as a sign that its sender
// is there when it was read.
func TestFrameThatWaitedWasSentBefore(t *testing.T) {
	for _, standstill := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		var s stream
		begin := s.calm(0, 20)
		thaw := begin + standstill
		for at := begin; at < thaw && at < begin+time.Second; at += interval {
			assert.Equal(t, thaw-at-delay, s.read(at, thaw), "standstill %v", standstill)
		}
	}
}

// The steady clock of a host that was suspended stays behind. Its frames count as old for
// a few seconds only.
func TestSuspendedSenderIsBelievedAgain(t *testing.T) {
	const suspended = 500 * time.Millisecond
	var s stream
	at := s.calm(0, 20)
	assert.Equal(t, suspended, s.read(at, at+delay+suspended))
	var last time.Duration
	for range 2*int(delayMemory/interval) + 2 {
		at += interval
		last = s.read(at, at+delay+suspended)
	}
	assert.Zero(t, last)
}

func TestEstimateIsNeverLaterThanTheReading(t *testing.T) {
	var s stream
	assert.Zero(t, s.read(0, 400*time.Millisecond), "the first frame's delay is unknown")
	assert.Zero(t, s.read(interval, interval+delay), "a faster frame corrects it")
	assert.Equal(t, 397*time.Millisecond, s.read(2*interval, 2*interval+400*time.Millisecond))
}
