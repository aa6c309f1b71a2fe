package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/coordinator"
	"github.com/parsleyhill/parsleyhill/internal/decide/evacuation"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// evacuateBound is the time within which the operator expects an evacuation to be
	// in force on every host.
	evacuateBound  = 5 * time.Second
	followInterval = 40 * time.Millisecond
)

// evacuationWorld adds the operator's topic, which hosts follow, to a world.
type evacuationWorld struct {
	*world
	records []evacuation.Change
	// active and since hold the zones that are evacuated, and when they were.
	active map[string]bool
	since  map[string]time.Time
	// positions and linkedPairs hold how far each incarnation of a host has read, and
	// the streams whose ends have exchanged their sets.
	positions   map[string]int
	linkedPairs map[string]bool
}

func newEvacuationWorld(seed uint64) *evacuationWorld {
	w := &evacuationWorld{
		world: newWorld(seed, 2, 2, 8), active: map[string]bool{}, since: map[string]time.Time{},
		positions: map[string]int{}, linkedPairs: map[string]bool{},
	}
	w.follow()
	return w
}

// operate appends a record that evacuates or readmits a zone.
func (w *evacuationWorld) operate(zone string, active bool) {
	w.records = append(w.records, evacuation.Change{Zone: zone, Offset: int64(len(w.records)), Active: active})
	if active && !w.active[zone] {
		w.since[zone] = w.now
	}
	w.active[zone] = active
}

func (w *evacuationWorld) incarnationOf(h *simHost) string {
	return fmt.Sprint(h.name, "~", h.incarnation)
}

// follow makes the hosts read the operator's records, exchange their sets when they
// are linked, and checks the starts in evacuated zones. Reads may lag, and a
// history may be trimmed, so that the next read is a full one.
func (w *evacuationWorld) follow() {
	for _, h := range w.hosts {
		if !h.up {
			continue
		}
		w.read(h)
		for _, o := range w.hosts {
			l := h.links[o.name]
			if l == nil {
				continue
			}
			key := fmt.Sprint(h.name, " ", l.stream.number)
			if !w.linkedPairs[key] {
				w.send(h, o.name, Evacuations{Changes: h.core.Evacuations.Changes()})
			}
			w.linkedPairs[key] = true
		}
	}
	for _, sw := range w.workers {
		from := w.since[sw.info.Zone].Add(evacuateBound)
		for id, r := range sw.runs {
			if w.active[sw.info.Zone] && r.started.After(from) {
				w.fail("run %v started on %s %v after its zone was evacuated", id, sw.info.ID, r.started.Sub(w.since[sw.info.Zone]))
			}
		}
	}
	w.after(followInterval, w.follow)
}

func (w *evacuationWorld) read(h *simHost) {
	key := w.incarnationOf(h)
	position, listed := w.positions[key]
	if h.storeUnreachable || w.rng.IntN(4) == 0 {
		return
	}
	records := w.records[position:]
	w.positions[key] = len(w.records)
	if !listed || w.rng.IntN(10) == 0 {
		zones := map[string]bool{}
		for _, c := range w.records {
			if c.Active {
				zones[c.Zone] = true
			} else {
				delete(zones, c.Zone)
			}
		}
		w.on(h, func() { h.core.ListEvacuations(w.now, zones, int64(len(w.records)-1)) })()
		return
	}
	for _, c := range records {
		w.on(h, func() { h.core.ChangeEvacuations(w.now, "", []evacuation.Change{c}) })()
	}
	if len(w.records) > 0 && w.rng.IntN(5) == 0 {
		again := w.records[w.rng.IntN(len(w.records))]
		w.on(h, func() { h.core.ChangeEvacuations(w.now, "", []evacuation.Change{again}) })()
	}
}

// Guards against starts in an evacuated zone under lost, repeated and reordered
// records, full reads, cuts and restarts, and against a set that differs between
// hosts, or jobs that are not served, after the faults.
func TestEvacuationHistories(t *testing.T) {
	for seed := range uint64((*histories + 1) / 2) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newEvacuationWorld(seed)
			w.run(2 * time.Second)
			w.lossRate, w.lateRate = 0.02, 0
			w.load(20, 22*time.Second)
			for range 5 {
				zone := fmt.Sprintf("z%d", w.rng.IntN(2))
				at := time.Duration(w.rng.Int64N(int64(14 * time.Second)))
				w.after(at, func() { w.operate(zone, !w.active[zone]) })
			}
			for range 6 {
				w.scheduleFault(time.Duration(w.rng.Int64N(int64(14 * time.Second))))
			}
			w.run(26 * time.Second)
			w.lossRate = 0
			require.Empty(t, w.problems)
			assert.Zero(t, w.outcomes()["open"], "every job is answered")
			for _, zone := range []string{"z0", "z1"} {
				for _, h := range w.hosts {
					assert.Equal(t, w.active[zone], h.core.Evacuations.Active(zone), "zone %s at %s", zone, h.name)
				}
				w.operate(zone, false)
			}
			w.run(2 * time.Second)
			before := w.outcomes()
			w.load(6, 4*time.Second)
			w.run(8 * time.Second)
			require.Empty(t, w.problems)
			after := w.outcomes()
			assert.Equal(t, before["not run"]+before["lost"], after["not run"]+after["lost"], "before %v, after %v", before, after)
		})
	}
}

// Guards against a host, cut off from the store, that goes on starting tasks in an
// evacuated zone although a linked host knows of the evacuation.
func TestHostWithoutTheStoreLearnsTheEvacuationFromOthers(t *testing.T) {
	w := newEvacuationWorld(1)
	w.run(2 * time.Second)
	for _, h := range w.hosts[:3] {
		h.storeUnreachable = true
	}
	w.operate("z0", true)
	w.run(time.Second)
	for _, h := range w.hosts {
		assert.True(t, h.core.Evacuations.Active("z0"), h.name)
		if h.zone == "z0" {
			assert.Zero(t, h.core.Report(w.now).Capacity, h.name)
		}
	}
	w.operate("z0", false)
	w.run(time.Second)
	for _, h := range w.hosts {
		assert.False(t, h.core.Evacuations.Active("z0"), h.name)
	}
	require.Empty(t, w.problems)
}

// Guards against a host that starts, or comes out of a cut, while a zone is evacuated,
// and starts tasks there before it knows.
func TestHostThatReturnsWhileAZoneIsEvacuated(t *testing.T) {
	for name, fault := range map[string]func(w *evacuationWorld, h *simHost){
		"restart": func(w *evacuationWorld, h *simHost) { w.kill(h, 7*time.Second) },
		"cut":     func(w *evacuationWorld, h *simHost) { w.isolateHost(h, 4*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newEvacuationWorld(2)
			w.run(2 * time.Second)
			w.load(20, 18*time.Second)
			w.after(time.Second, func() { fault(w, w.hosts[0]) })
			w.after(2*time.Second, func() { w.operate("z0", true) })
			w.run(20 * time.Second)
			require.Empty(t, w.problems)
			assert.True(t, w.hosts[0].core.Evacuations.Active("z0"))
			assert.NotEmpty(t, w.hosts[0].core.Pool.WorkerIDs(), "the workers of the zone stay owned")
		})
	}
}

// Guards against stored jobs that stay open because their driver is in an evacuated
// zone: their tasks run on workers of the other zone.
func TestStoredJobsContinueOutsideAnEvacuatedZone(t *testing.T) {
	w := newEvacuationWorld(3)
	w.run(3 * time.Second)
	w.loadStored(8, w.now.Add(8*time.Second))
	w.after(4*time.Second, func() { w.operate("z0", true) })
	w.run(14 * time.Second)
	require.Empty(t, w.problems)
	assert.Greater(t, len(w.log.accepted), 30)
	for _, h := range w.hosts {
		assert.Empty(t, w.openJobs(h), "%s", h.name)
	}
}

// Guards against jobs that wait, or count as run, while all zones are evacuated, and
// against runs under way that are stopped by it.
func TestAllZonesEvacuatedRefusesEveryJobAndLetsRunsFinish(t *testing.T) {
	w := newEvacuationWorld(4)
	w.run(2 * time.Second)
	h := w.hosts[0]
	size := fleet.Size{MilliCPU: 1000}
	submit := func(id string) []coordinator.Answer {
		job := fleet.Job{ID: id, BestEffort: true, Steps: []fleet.Step{{Count: 1, Size: size, Estimate: 50 * time.Millisecond}}}
		h.core.Coordinator.Submit(w.now, job, testRoute, 2*time.Second)
		var answers []coordinator.Answer
		for _, a := range h.core.Reconcile(w.now) {
			if answer, ok := a.(coordinator.Answer); ok {
				answers = append(answers, answer)
			} else {
				w.execute(h, a)
			}
		}
		return answers
	}
	w.load(20, 300*time.Millisecond)
	running := func() (runs int) {
		for _, sw := range w.workers {
			runs += len(sw.runs)
		}
		return runs
	}
	for i := 0; i < 30 && (i < 20 || running() == 0); i++ {
		w.run(10 * time.Millisecond)
	}
	require.Positive(t, running(), "the zones are evacuated under runs in progress")
	w.operate("z0", true)
	w.operate("z1", true)
	w.run(4 * time.Second)
	assert.Zero(t, w.outcomes()["lost"], "%v", w.outcomes())
	answers := submit("00000000000000ff")
	require.Len(t, answers, 1)
	assert.Equal(t, errkind.NotRun, answers[0].Err.Run)
	assert.Contains(t, answers[0].Err.Detail, "evacuated zones: z0, z1")
	assert.Positive(t, answers[0].RetryAfter)
	require.Empty(t, w.problems)
}

// Guards against an evacuation without a zone that is dropped without a log line.
func TestEvacuationWithoutAZoneIsLogged(t *testing.T) {
	c := New(Config{Name: "h", Zone: "z", MaxLease: testLease, Partitions: zonePartitions, Ledger: testLedger()})
	c.Receive(testEpoch, "other", Evacuations{Changes: []evacuation.Change{{Offset: 3, Active: true}}})
	actions := c.Reconcile(testEpoch)
	require.Len(t, actions, 1)
	assert.Contains(t, actions[0].(LogEvent).Why, `host "other"`)
}
