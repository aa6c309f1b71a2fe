package host

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var callerHistories = flag.Int("caller-histories", 40, "number of seeds to simulate with callers that leave and return")

// newLongJob returns a best-effort job of one task of the given time, which its caller
// does not wait for to the end.
func (w *world) newLongJob(length time.Duration) *simJob {
	j := w.newJob()
	j.spec.Steps[0].Count, j.spec.Steps[0].Estimate, j.spec.Steps[0].Size.MilliCPU = 1, 900*time.Millisecond, 4000
	j.workTimes = []time.Duration{length}
	return j
}

// loadLong submits such jobs as a Poisson process until a time.
func (w *world) loadLong(perSecond float64, until time.Time) {
	gap := time.Duration(w.rng.ExpFloat64() / perSecond * float64(time.Second))
	w.after(gap, func() {
		if w.now.Before(until) {
			w.submit(w.newLongJob(2*time.Second), w.hosts[w.rng.IntN(len(w.hosts))])
			w.loadLong(perSecond, until)
		}
	})
}

// addEntryZone adds a zone of hosts without workers.
func (w *world) addEntryZone(hosts int) {
	zone := fmt.Sprintf("z%d", len(w.groups))
	w.groups[zone] = newGroup(zonePartitions)
	for i := range hosts {
		h := &simHost{name: fmt.Sprintf("h-%s-%d", zone, i), zone: zone, seats: 1}
		w.hosts = append(w.hosts, h)
		w.boot(h)
	}
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

// standstills makes one to three hosts at a time stand still, in overlapping series.
func (w *world) standstills(until time.Time) {
	w.after(w.between(100*time.Millisecond, 1200*time.Millisecond), func() {
		if w.now.After(until) {
			return
		}
		for _, i := range w.rng.Perm(len(w.hosts))[:1+w.rng.IntN(3)] {
			w.after(w.between(0, 700*time.Millisecond), func() {
				w.freeze(w.hosts[i], w.between(100*time.Millisecond, 2*time.Second))
			})
		}
		w.standstills(until)
	})
}

// scheduleHostFault schedules a fault of one host, or of the stream between two.
func (w *world) scheduleHostFault(in time.Duration) {
	kind, order := w.rng.IntN(6), w.rng.Perm(len(w.hosts))
	h, o := w.hosts[order[0]], w.hosts[order[1]]
	down := w.between(300*time.Millisecond, 2*time.Second)
	w.after(in, func() {
		switch kind {
		case 0:
			w.kill(h, down)
		case 1:
			w.losePower(h, down)
		case 2:
			w.endStream(h, o, true)
		case 3:
			w.endStream(h, o, false)
		case 4:
			w.partition(h, o, down)
		case 5:
			w.groups[h.zone].reassign(w.rng.IntN(zonePartitions))
		}
	})
}

// Guards against a second run of a best-effort job beside the first, whose caller has
// left its host and sent the job again: hosts stand still, die and lose their streams, so
// that the first run is stopped late.
func TestCallersReturnAfterStandstills(t *testing.T) {
	for seed := range uint64(*callerHistories) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 2, 2, 6)
			w.addEntryZone(2)
			w.callerTimeout = callerTimeout
			w.run(2 * time.Second)
			w.lossRate, w.lateRate = 0.02, 0.02
			until := w.now.Add(10 * time.Second)
			w.loadLong(15, until)
			w.load(3, 10*time.Second)
			w.standstills(until)
			for range 8 {
				w.scheduleHostFault(w.between(0, 10*time.Second))
			}
			w.run(18 * time.Second)
			w.requireNoProblems(t)
		})
	}
}

// requireNoProblems fails a test with the trace of the first job that has a problem.
func (w *world) requireNoProblems(t *testing.T) {
	t.Helper()
	if w.suspected != nil {
		t.Logf("job %s:\n%s", w.suspected.id, w.trace(w.suspected.id, w.suspectedAt.Add(100*time.Millisecond)))
	}
	require.Empty(t, w.problems)
}
