package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_700_000_000, 0)

const step = time.Millisecond

// link is a first-in-first-out queue of bytes in front of a link.
type link struct {
	bytesPerSecond float64
	freeAt         time.Time
}

// send returns when the message has passed the link.
func (l *link) send(now time.Time, bytes int) time.Time {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt
}

// load is a host whose tasks arrive at a rate, and are of use only if they start
// within slack.
type load struct {
	limiter *Limiter
	link    link
	// timeout is after what time an unanswered start is stopped; zero means never.
	timeout time.Duration
	waiting []time.Time
	sent    []sentStart
	arrived float64
	// good is the number of starts answered within slack of their arrival.
	good int
}

type sentStart struct{ arrived, sent, answered time.Time }

const (
	// startBytes is a spec of 1.2 KB and the headers.
	startBytes = 1600
	stopBytes  = 400
	slack      = 96 * time.Millisecond
	roundTrip  = 2 * time.Millisecond
)

// run plays the load from a time for a duration.
func (l *load) run(from time.Time, length time.Duration, perSecond float64) time.Time {
	end := from.Add(length)
	for now := from; now.Before(end); now = now.Add(step) {
		for l.arrived += perSecond * step.Seconds(); l.arrived >= 1; l.arrived-- {
			if l.limiter.StartWait(now, len(l.waiting)+len(l.sent)) <= slack {
				l.waiting = append(l.waiting, now)
			}
		}
		pending := l.sent[:0]
		for _, s := range l.sent {
			switch {
			case !s.answered.After(now):
				l.limiter.Answered(now, now.Sub(s.sent))
				l.limiter.Started(now)
				if now.Sub(s.arrived) <= slack {
					l.good++
				}
			case l.timeout > 0 && now.Sub(s.sent) > l.timeout:
				l.link.send(now, stopBytes)
				l.waiting = append(l.waiting, s.arrived)
			default:
				pending = append(pending, s)
			}
		}
		l.sent = pending
		for len(l.waiting) > 0 && l.limiter.MayStart(len(l.sent)) {
			arrived := l.waiting[0]
			l.waiting = l.waiting[1:]
			if l.limiter.Saturated() && now.Add(l.limiter.Delay()).After(arrived.Add(slack)) {
				continue
			}
			l.sent = append(l.sent, sentStart{arrived, now, l.link.send(now, startBytes).Add(roundTrip)})
		}
		if now.Sub(epoch)%(20*time.Millisecond) == 0 {
			l.limiter.Tick(now, len(l.sent))
		}
	}
	return end
}

// Twice as many tasks arrive as the link of 2 Mbit/s carries. Without a limit the
// queue on the link grows, all starts are late, and the repeated ones fill it.
func TestNarrowLinkKeepsGoodput(t *testing.T) {
	const rate, narrow, wide = 312, 250e3, 25e6 / 8
	former := &load{link: link{bytesPerSecond: narrow}, timeout: 250 * time.Millisecond}
	former.run(former.run(epoch, 2*time.Second, rate), 8*time.Second, rate)
	wideLoad := &load{link: link{bytesPerSecond: wide}, limiter: &Limiter{}}
	wideLoad.run(epoch, 10*time.Second, rate)
	l := &load{link: link{bytesPerSecond: narrow}, limiter: &Limiter{}}
	at := l.run(epoch, 2*time.Second, rate)
	early := l.good
	l.run(at, 8*time.Second, rate)

	require.InDelta(t, 10*rate, wideLoad.good, 5, "the reference is limited")
	assert.False(t, wideLoad.limiter.Saturated())
	// The link carries half of the load.
	assert.GreaterOrEqual(t, l.good, 10*rate/2/2, "goodput per unit of capacity")
	assert.GreaterOrEqual(t, (l.good-early)/4, early/2, "goodput collapses")
	assert.Greater(t, l.good, 4*former.good, "the former behavior")
}

// No operator is needed: once the load falls, all tasks are served within 2 s.
func TestLimiterLeavesSaturationByItself(t *testing.T) {
	l := &load{link: link{bytesPerSecond: 250e3}, limiter: &Limiter{}}
	at := l.run(epoch, 4*time.Second, 400)
	require.True(t, l.limiter.Saturated())
	at = l.run(at, 2*time.Second, 70)
	assert.False(t, l.limiter.Saturated())
	good := l.good
	l.run(at, 2*time.Second, 70)
	assert.InDelta(t, 140, l.good-good, 3)
}

// The limiters of hosts are independent: one host on a narrow link limits itself
// and no other.
func TestOneNarrowHostAmongWideOnes(t *testing.T) {
	narrow := &load{link: link{bytesPerSecond: 250e3}, limiter: &Limiter{}}
	wide := &load{link: link{bytesPerSecond: 25e6 / 8}, limiter: &Limiter{}}
	narrow.run(epoch, 4*time.Second, 300)
	wide.run(epoch, 4*time.Second, 300)
	assert.True(t, narrow.limiter.Saturated())
	assert.False(t, wide.limiter.Saturated())
	assert.InDelta(t, 1200, wide.good, 5)
}

// One worker that answers slowly is not a queue on the host's own link.
func TestSlowAnswersOfOneWorkerAreNoSaturation(t *testing.T) {
	l := &Limiter{}
	for i := range 200 {
		took := 2 * time.Millisecond
		if i%4 == 0 {
			took = 200 * time.Millisecond
		}
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		l.Answered(now, took)
		assert.Nil(t, l.Tick(now, 1))
	}
}

// A host with a small part of a core handles its ticks late, although links are
// idle.
func TestLateTicksOfStarvedProcessorAreSaturation(t *testing.T) {
	l := &Limiter{}
	for i := range 20 {
		now := epoch.Add(time.Duration(i) * 60 * time.Millisecond)
		l.LoopDelayed(now, 40*time.Millisecond)
		l.Tick(now, 0)
	}
	assert.True(t, l.Saturated())
	for i := range 60 {
		now := epoch.Add(2*time.Second + time.Duration(i)*20*time.Millisecond)
		l.LoopDelayed(now, 0)
		l.Tick(now, 0)
	}
	assert.False(t, l.Saturated())
}

// A limiter that is off neither limits nor measures.
func TestNilLimiterNeverLimits(t *testing.T) {
	var l *Limiter
	l.Answered(epoch, time.Second)
	l.Late(epoch, time.Second)
	assert.Nil(t, l.Tick(epoch, 1000))
	assert.True(t, l.MayStart(1000))
	assert.Zero(t, l.Delay())
}

// The answer to a stop is queued behind the stop's own repetitions if they are
// sent every 50 ms.
func TestBackoffGrowsUpToOneSecond(t *testing.T) {
	assert.Equal(t, 50*time.Millisecond, Backoff(1))
	assert.Equal(t, 200*time.Millisecond, Backoff(3))
	assert.Equal(t, time.Second, Backoff(40))
}

// A host whose delay had passed after a burst of starts refused jobs for half a second:
// it expected the starts that its limit allows to be answered after 60 ms, whatever
// their answers took.
func TestExpectedWaitFollowsAnswersAfterABurst(t *testing.T) {
	l := &Limiter{}
	now := time.Unix(1000, 0)
	l.Answered(now, 3*time.Millisecond)
	for range windowSize {
		l.Answered(now, 40*time.Millisecond)
	}
	l.Tick(now, 0)
	require.True(t, l.Saturated())
	require.Equal(t, minLimit, l.Limit())
	now = now.Add(100 * time.Millisecond)
	for range windowSize {
		l.Answered(now, 5*time.Millisecond)
	}
	l.Tick(now, 0)
	require.True(t, l.Saturated())
	// The slack of a job of 60 ms, see DelayBound.
	assert.LessOrEqual(t, l.StartWait(now, 12), 96*time.Millisecond)
}
