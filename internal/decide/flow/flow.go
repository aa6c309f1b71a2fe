// Package flow bounds the work that a host has in flight, so that a host whose
// link or processor is overloaded still completes what it can carry. It does no
// I/O: measured times go in, limits come out.
//
// A queue on the host's link delays every answer. The limiter compares the
// answer times of requests that workers answer at once with their long-term
// minimum: the difference is the delay that the host itself causes.
package flow

import (
	"slices"
	"time"
)

const (
	// DelayBound is the delay above which the host counts as saturated. A job with
	// a chain of 60 ms has 0.6 x 60 ms + 60 ms = 96 ms of slack, and three messages
	// in a row (offer, start, end) pass the link before its answer.
	DelayBound = 30 * time.Millisecond
	// clearBound is the delay below which saturation may end. The distance to
	// DelayBound keeps the state from changing with each sample.
	clearBound = DelayBound / 2
	// clearAfter is how long the delay must stay below clearBound, without a start
	// being held back, until saturation ends. It is longer than the gap between
	// two jobs at a host with ten jobs per second.
	clearAfter = 400 * time.Millisecond
	// maxSampleAge is how long a sample counts, and maxSaturatedAge during
	// saturation: there the delay changes within tens of milliseconds, and a delay
	// that is no longer present would keep new tasks from being sent.
	maxSampleAge    = 500 * time.Millisecond
	maxSaturatedAge = 200 * time.Millisecond
	// windowSize is the number of samples whose median is the delay.
	windowSize = 16
	// minSamples is the number of recent samples without which saturation does not
	// begin: fewer may all be of one slow worker.
	minSamples = 8
	// minAdjustInterval is the shortest time between two changes of the limit. A
	// change shows in the delay only after the requests in flight are answered.
	minAdjustInterval = 50 * time.Millisecond
	// minLimit is the number of unanswered starts that are always allowed, so that
	// the delay is measured at any time.
	minLimit = 2
	// maxLimit bounds the growth, in unanswered starts; a host without saturation
	// has fewer than a tenth of it.
	maxLimit = 1024
	// maxDecrease is the smallest factor by which one change reduces the limit.
	maxDecrease = 0.6
	// clearIncrease is the factor by which the limit grows while the delay is below
	// clearBound: from minLimit to 60 within half a second.
	clearIncrease = 1.5
	// minAnswerTime bounds the rate of starts that is expected while no answer time is
	// known.
	minAnswerTime = time.Millisecond
	// minWindow is the time that the long-term minimum covers, at least. Routes and
	// workers change within minutes.
	minWindow = time.Minute
)

// Limiter limits the unanswered starts of one host. A nil limiter never limits.
// It is not safe for concurrent use.
type Limiter struct {
	answers window
	ticks   window
	floor   floor

	saturated bool
	limit     float64
	delay     time.Duration
	// adjustedAt is when the limit last changed, clearSince since when the delay has
	// been below clearBound without a start held back, and since when saturation
	// began.
	adjustedAt, clearSince, since time.Time
	// held is set if a start was held back since the last change of the limit.
	held bool
	// started counts the starts accepted by workers; see StartRate.
	started rate
}

// Change reports that saturation began or ended, with the inputs.
type Change struct {
	Saturated bool
	// Delay is the measured delay: the larger of AnswerDelay and TickDelay.
	Delay, AnswerDelay, TickDelay time.Duration
	// Minimum is the long-term minimum of the answer time.
	Minimum    time.Duration
	Unanswered int
	Limit      int
	// Lasted is how long the saturation that ended has lasted.
	Lasted time.Duration
}

// Answered records the time from the order of a start or an immediate poll to its
// answer. The answer time of a long poll is no measure.
func (l *Limiter) Answered(now time.Time, took time.Duration) {
	if l == nil {
		return
	}
	l.floor.observe(now, took, l.saturated)
	l.answers.add(now, took)
}

// Late records that a worker which has answered other requests meanwhile has not
// answered one for the given time.
func (l *Limiter) Late(now time.Time, after time.Duration) {
	if l != nil {
		l.answers.add(now, after)
	}
}

// LoopDelayed records how much later than planned the event loop handled a tick.
func (l *Limiter) LoopDelayed(now time.Time, late time.Duration) {
	if l != nil {
		l.ticks.add(now, max(0, late))
	}
}

// Started records that a worker has accepted a start.
func (l *Limiter) Started(now time.Time) {
	if l != nil {
		l.started.add(now)
	}
}

// Saturated reports whether the host is saturated.
func (l *Limiter) Saturated() bool { return l != nil && l.saturated }

// Delay returns the measured delay while the host is saturated, otherwise zero.
func (l *Limiter) Delay() time.Duration {
	if !l.Saturated() {
		return 0
	}
	return l.delay
}

// Limit returns the number of unanswered starts that are allowed; zero means that
// there is no limit.
func (l *Limiter) Limit() int {
	if !l.Saturated() {
		return 0
	}
	return int(l.limit)
}

// MayStart reports whether a start may be sent while others are unanswered.
func (l *Limiter) MayStart(unanswered int) bool {
	if !l.Saturated() || unanswered < int(l.limit) {
		return true
	}
	l.held = true
	return false
}

// StartRate returns the starts accepted per second.
func (l *Limiter) StartRate(now time.Time) float64 { return l.started.perSecond(now) }

// Tick adjusts the limit to the measured delay. It returns a change if saturation
// began or ended.
func (l *Limiter) Tick(now time.Time, unanswered int) *Change {
	if l == nil {
		return nil
	}
	age := maxSampleAge
	if l.saturated {
		age = maxSaturatedAge
	}
	answers, n := l.answers.median(now, age)
	answers = max(0, answers-l.floor.minimum())
	ticks, tickCount := l.ticks.median(now, maxSampleAge)
	switch delay := max(answers, ticks); {
	case n == 0 && unanswered > 0:
		// Nothing was answered lately although requests are pending.
		l.delay = max(l.delay, ticks)
	default:
		l.delay = delay
	}
	if !l.saturated {
		if answers > DelayBound && n >= minSamples || ticks > DelayBound && tickCount >= minSamples {
			l.saturated, l.since, l.adjustedAt, l.held = true, now, now, false
			l.clearSince = time.Time{}
			l.limit = max(minLimit, float64(unanswered)*l.decrease())
			return l.change(now, answers, ticks, unanswered)
		}
		return nil
	}
	if l.delay > clearBound || l.held {
		l.clearSince = now
	}
	if l.clearSince.IsZero() {
		l.clearSince = now
	}
	if now.Sub(l.adjustedAt) >= max(minAdjustInterval, min(l.delay, maxSampleAge)) {
		l.adjust(now)
	}
	if now.Sub(l.clearSince) < clearAfter {
		return nil
	}
	l.saturated = false
	return l.change(now, answers, ticks, unanswered)
}

func (l *Limiter) decrease() float64 {
	return max(maxDecrease, min(1, float64(DelayBound)/float64(max(l.delay, 1))))
}

func (l *Limiter) adjust(now time.Time) {
	switch {
	case l.delay > DelayBound:
		l.limit *= l.decrease()
	case !l.held:
	case l.delay <= clearBound:
		l.limit *= clearIncrease
	default:
		l.limit++
	}
	l.limit = min(max(l.limit, minLimit), maxLimit)
	l.adjustedAt, l.held = now, false
}

func (l *Limiter) change(now time.Time, answers, ticks time.Duration, unanswered int) *Change {
	c := &Change{
		Saturated: l.saturated, Delay: l.delay, AnswerDelay: answers, TickDelay: ticks,
		Minimum: l.floor.minimum(), Unanswered: unanswered, Limit: int(l.limit),
	}
	if !l.saturated {
		c.Lasted = now.Sub(l.since)
	}
	return c
}

// window holds the last samples.
type window struct {
	values [windowSize]time.Duration
	times  [windowSize]time.Time
	next   int
}

func (w *window) add(now time.Time, v time.Duration) {
	w.values[w.next], w.times[w.next] = v, now
	w.next = (w.next + 1) % windowSize
}

// median returns the median of the samples up to an age, and their number.
func (w *window) median(now time.Time, maxAge time.Duration) (time.Duration, int) {
	recent := make([]time.Duration, 0, windowSize)
	for i, at := range w.times {
		if !at.IsZero() && now.Sub(at) <= maxAge {
			recent = append(recent, w.values[i])
		}
	}
	if len(recent) == 0 {
		return 0, 0
	}
	slices.Sort(recent)
	return recent[len(recent)/2], len(recent)
}

// floor is the minimum over the present and the former window of minWindow.
type floor struct {
	current, former time.Duration
	since           time.Time
}

// observe records an answer time. During saturation no value is forgotten, since
// all present ones are too long.
func (f *floor) observe(now time.Time, v time.Duration, keep bool) {
	v = max(v, 1)
	if f.since.IsZero() {
		f.since = now
	}
	if !keep && now.Sub(f.since) >= minWindow {
		f.former, f.current, f.since = f.current, 0, now
	}
	if f.current == 0 || v < f.current {
		f.current = v
	}
}

func (f *floor) minimum() time.Duration {
	if f.former == 0 {
		return f.current
	}
	return min(f.former, f.current)
}

const (
	// rateSlot and rateSlots give a mean over half to one second, which holds
	// several jobs but follows a change within the callers' slack.
	rateSlot  = 250 * time.Millisecond
	rateSlots = 4
)

// rate counts events in the last slots of time.
type rate struct {
	counts [rateSlots]int
	slot   int64
	begun  time.Time
}

func (r *rate) advance(now time.Time) {
	slot := now.UnixNano() / int64(rateSlot)
	if r.begun.IsZero() {
		r.begun, r.slot = now, slot
	}
	if slot-r.slot >= rateSlots {
		clear(r.counts[:])
		r.slot = slot
	}
	for ; r.slot < slot; r.slot++ {
		r.counts[(r.slot+1)%rateSlots] = 0
	}
}

func (r *rate) add(now time.Time) {
	r.advance(now)
	r.counts[r.slot%rateSlots]++
}

// perSecond returns the events per second in the covered time.
func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	sum := 0
	for _, n := range r.counts {
		sum += n
	}
	covered := (rateSlots-1)*rateSlot + time.Duration(now.UnixNano()%int64(rateSlot))
	covered = min(covered, max(rateSlot, now.Sub(r.begun)))
	return float64(sum) / covered.Seconds()
}

const (
	// minBackoff and maxBackoff bound the time between two attempts of a stop.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Backoff returns the delay after the given number of unanswered attempts.
func Backoff(attempts int) time.Duration {
	return min(minBackoff<<min(max(attempts-1, 0), 10), maxBackoff)
}

// StartWait estimates how long a new task waits until its start is answered, with
// the given number of admitted tasks ahead whose start is not answered. Without
// tasks ahead it is zero, so that the rate is measured at any time.
func (l *Limiter) StartWait(now time.Time, ahead int) time.Duration {
	if !l.Saturated() || ahead == 0 {
		return 0
	}
	// With few starts lately, the allowed ones are answered after the present answer
	// time.
	answerTime := max(l.floor.minimum(), minAnswerTime) + l.delay
	perSecond := max(l.StartRate(now), l.limit/answerTime.Seconds())
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

const (
	// reportBytesPerSecond is the budget of a saturated host for its capacity
	// reports to all peers: a tenth of a link of 2 Mbit/s.
	reportBytesPerSecond = 25_000
	// reportOverhead is the size of a report's frame and packet headers, in bytes.
	reportOverhead = 80
	// reportDelays is the time between two reports to a peer in measured delays, so
	// that the queue on the link never holds two of them.
	reportDelays = 2
	// maxReportInterval bounds the age of a report. A job is refused or recalled by
	// reports, which callers notice after about a second.
	maxReportInterval = time.Second
)

// ReportInterval returns the shortest time between two capacity reports, of a
// size in bytes, to each of the peers; zero while the host is not saturated.
func (l *Limiter) ReportInterval(peers, bytes int) time.Duration {
	if !l.Saturated() {
		return 0
	}
	perRound := time.Duration(peers*(bytes+reportOverhead)) * time.Second / reportBytesPerSecond
	return min(max(perRound, reportDelays*l.delay), maxReportInterval)
}
