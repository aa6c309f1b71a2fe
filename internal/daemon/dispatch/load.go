package dispatch

import (
	"fmt"
	runtimemetrics "runtime/metrics"
	"syscall"
	"time"
)

// loadInterval is the time between two reports of the host's load.
const loadInterval = time.Second

// loadSample counts what the event loop did since the last report. It is accessed
// only by the loop.
type loadSample struct {
	since time.Time
	// processor is the processor time of the process at since.
	processor time.Duration
	gcCycles  uint64
	// events counts the events that were handled, rounds the times that the actions
	// were executed.
	events, rounds int
	// busy is the time spent in the loop, longest that of its longest round, and
	// late the longest time by which a tick was handled later than planned.
	busy, longest, late   time.Duration
	framesIn, framesOut   int
	reportsIn, reportsOut int
	offersIn              int
}

// round records one round of the loop.
func (s *loadSample) round(took time.Duration) {
	s.rounds++
	s.busy += took
	s.longest = max(s.longest, took)
}

// reportLoad logs and counts the load of this host once in loadInterval, so that
// lack of processor time can be told from a slow link and from slow workers.
func (d *Dispatcher) reportLoad(now time.Time) {
	s := &d.load
	elapsed := now.Sub(s.since)
	if elapsed < loadInterval {
		return
	}
	processor, err := processorTime()
	if err != nil {
		d.logger.Warn("processor time is unknown", "error", err)
	}
	cycles := gcCycles()
	if !s.since.IsZero() {
		used := max(0, processor-s.processor)
		d.metrics.processor.Add(used.Seconds())
		d.metrics.loopBusy.Add(s.busy.Seconds())
		d.logger.Info("host load", "seconds", elapsed.Seconds(), "processor", used, "gc_cycles", cycles-s.gcCycles,
			"events", s.events, "rounds", s.rounds, "busy", s.busy, "longest_round", s.longest, "tick_late", s.late,
			"frames_in", s.framesIn, "frames_out", s.framesOut, "reports_in", s.reportsIn, "reports_out", s.reportsOut,
			"offers_in", s.offersIn, "queue", d.core.Pool.QueueLength(), "jobs", d.core.Coordinator.Len())
	}
	*s = loadSample{since: now, processor: processor, gcCycles: cycles}
}

// longRound is the duration from which on a round of the event loop counts as a standstill.
// Shorter rounds are work, beside which connections are read; a saturated host has had rounds
// of 0.13 s.
const longRound = 500 * time.Millisecond

// round is a round of the event loop.
type round struct{ began, ended time.Time }

// idleUntil returns how long the loop did nothing before a new round.
func (r round) idleUntil(now time.Time) time.Duration {
	switch {
	case r.ended.IsZero():
		return 0
	case r.ended.Sub(r.began) >= longRound:
		return now.Sub(r.began)
	}
	return now.Sub(r.ended)
}

// longStandstill is the time between two rounds of the event loop from which on it is
// logged. Ticks make a round each tickInterval.
const longStandstill = 200 * time.Millisecond

// reportStandstill logs and counts a time for which the event loop did nothing, because
// the process did not run, and tells the decisions.
func (d *Dispatcher) reportStandstill(now time.Time, lasted time.Duration) {
	d.core.StoodStill(now, lasted)
	if lasted < longStandstill {
		return
	}
	d.metrics.standstills.Observe(lasted.Seconds())
	d.logger.Warn("host stood still", "for", lasted, "events_waiting", len(d.events))
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("read the processor time of the process: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// gcCycles returns the number of completed cycles of the garbage collector.
func gcCycles() uint64 {
	sample := []runtimemetrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	runtimemetrics.Read(sample)
	return sample[0].Value.Uint64()
}
