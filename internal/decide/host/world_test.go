package host

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/coordinator"
	"github.com/parsleyhill/parsleyhill/internal/decide/workerpool"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	testLease     = time.Second
	memberTTL     = time.Second
	joinEvery     = 200 * time.Millisecond
	tickEvery     = 20 * time.Millisecond
	silence       = 600 * time.Millisecond
	resendDelay   = 1300 * time.Millisecond
	zonePartition = 6
)

// event is something that happens in the world.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if c := q[i].at.Compare(q[j].at); c != 0 {
		return c < 0
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simHost is an entry host of the world.
type simHost struct {
	name, zone string
	core       *Core
	// life numbers the starts of the host; what belongs to an earlier one is
	// dropped.
	life       int
	up         bool
	generation int64
	storeless  bool
	// jobsGeneration and readTo are the host's place in the group of the stored
	// jobs and in their log.
	jobsGeneration int64
	readTo         int
}

// world is a fleet of hosts and workers in virtual time.
type world struct {
	rng     *rand.Rand
	now     time.Time
	seq     int
	queue   eventQueue
	hosts   []*simHost
	workers []*simWorker
	groups  map[string]*simGroup
	jobs    map[string]*simJob
	log     *simLog
	// cut counts the cuts between two names.
	cut      map[string]int
	lost     float64
	late     float64
	problems []string
}

var (
	testEpoch = time.Unix(1_700_000_000, 0)
	testRoute = fleet.Route{Name: "r", Service: "s", LatencySlack: 60 * time.Millisecond, Stretch: 1.6, MaxAttempts: 4}
)

func newWorld(seed uint64, zones, hostsPerZone, workersPerZone int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: testEpoch, groups: map[string]*simGroup{},
		jobs: map[string]*simJob{}, cut: map[string]int{},
		log: &simLog{group: newGroup(testShards), accepted: map[string]bool{}},
	}
	for z := range zones {
		zone := fmt.Sprintf("z%d", z)
		w.groups[zone] = newGroup(zonePartition)
		for i := range workersPerZone {
			sw := &simWorker{world: w, rate: 0.985 + 0.03*w.rng.Float64(), slowness: 1, info: fleet.Worker{
				ID: fmt.Sprintf("w-%s-%d", zone, i), Zone: zone, Service: "s",
				Capacity: fleet.Size{MilliCPU: 32000, MemoryMB: 1 << 17},
			}}
			sw.boot(w.now)
			w.workers = append(w.workers, sw)
		}
	}
	for z := range zones {
		for i := range hostsPerZone {
			h := &simHost{name: fmt.Sprintf("h-z%d-%d", z, i), zone: fmt.Sprintf("z%d", z)}
			w.hosts = append(w.hosts, h)
			w.boot(h)
		}
	}
	w.after(tickEvery, w.tick)
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, do: do})
}

// run plays the world for a time.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) fail(format string, args ...any) {
	w.problems = append(w.problems, w.now.Sub(testEpoch).String()+": "+fmt.Sprintf(format, args...))
}

// boot starts a host's process.
func (w *world) boot(h *simHost) {
	h.life++
	h.up, h.generation, h.jobsGeneration, h.readTo = true, 0, 0, 0
	h.core = New(Config{
		Name: h.name, Zone: h.zone, MaxLease: testLease, Partitions: zonePartition, Nonce: w.rng.Int64(), Ledger: testLedger(),
	})
	for _, sw := range w.workers {
		h.core.UpdateWorker(sw.info)
	}
	w.read(h)
	w.join(h)
	w.joinJobs(h)
}

// kill ends a host's process; its callers send their jobs again.
func (w *world) kill(h *simHost, down time.Duration) {
	if !h.up {
		return
	}
	h.up = false
	for _, o := range w.hosts {
		if o.up && o != h {
			w.after(time.Millisecond, w.on(o, func() { o.core.HostLost(w.now, h.name) }))
		}
	}
	for _, j := range w.sortedJobs() {
		if j.host == h && j.outcome == "" {
			w.resend(j)
		}
	}
	w.after(down, func() { w.boot(h) })
}

func (w *world) sortedJobs() []*simJob {
	list := make([]*simJob, 0, len(w.jobs))
	for _, j := range w.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *simJob) int { return cmp.Compare(a.id, b.id) })
	return list
}

// on returns an event of a host's present life.
func (w *world) on(h *simHost, do func()) func() {
	life := h.life
	return func() {
		if h.up && h.life == life {
			do()
			w.settle(h)
		}
	}
}

func (w *world) tick() {
	for _, sw := range w.workers {
		if !sw.down {
			sw.advance()
		}
	}
	for _, h := range w.hosts {
		if !h.up {
			continue
		}
		h.core.Tick(w.now)
		w.settle(h)
		for _, o := range w.hosts {
			if o != h && o.up && w.linked(h.name, o.name) {
				report := h.core.Report(w.now)
				w.after(w.delay(), w.on(o, func() { o.core.UpdateHost(w.now, h.name, h.zone, report) }))
			}
		}
	}
	w.after(tickEvery, w.tick)
}

func (w *world) join(h *simHost) {
	w.on(h, func() {
		if !h.storeless && h.core.Ledger.Loaded() {
			generation, parts := w.groups[h.zone].join(w.now, h.name, h.generation)
			h.generation = generation
			h.core.Ownership.Joined(h.zone, generation, parts)
		}
		w.after(joinEvery, func() { w.join(h) })
	})()
}

func pair(a, b string) string { return min(a, b) + "|" + max(a, b) }

func (w *world) linked(a, b string) bool { return w.cut[pair(a, b)] == 0 }

// partition cuts two hosts off from each other for a time. A shorter one than
// the streams' silence only delays their bytes and is not played.
func (w *world) partition(a, b *simHost, d time.Duration) {
	d = max(d, silence+tickEvery)
	w.cut[pair(a.name, b.name)]++
	w.after(silence, func() {
		if w.linked(a.name, b.name) {
			return
		}
		if a.up {
			w.on(a, func() { a.core.HostLost(w.now, b.name) })()
		}
		if b.up {
			w.on(b, func() { b.core.HostLost(w.now, a.name) })()
		}
	})
	w.after(d, func() { w.cut[pair(a.name, b.name)]-- })
}

// cutOff cuts a host off from all others and the store. It reaches workers.
func (w *world) cutOff(h *simHost, d time.Duration) {
	h.storeless = true
	w.after(d, func() { h.storeless = false })
	for _, o := range w.hosts {
		if o != h {
			w.partition(h, o, d)
		}
	}
}

// isolate cuts a worker off from a host for a time.
func (w *world) isolate(h *simHost, sw *simWorker, d time.Duration) {
	w.cut[pair(h.name, sw.info.ID)]++
	w.after(d, func() { w.cut[pair(h.name, sw.info.ID)]-- })
}

func (w *world) delay() time.Duration {
	return 200*time.Microsecond + time.Duration(w.rng.Int64N(int64(1500*time.Microsecond)))
}

// crash ends a worker; it starts again with everything forgotten.
func (w *world) crash(sw *simWorker, down time.Duration) {
	if sw.down {
		return
	}
	sw.down = true
	clear(sw.runs)
	w.after(down, func() {
		sw.boot(w.now)
		for _, h := range w.hosts {
			if h.up {
				w.on(h, func() { h.core.UpdateWorker(sw.info) })()
			}
		}
	})
}

func (w *world) worker(id string) *simWorker {
	for _, sw := range w.workers {
		if sw.info.ID == id {
			return sw
		}
	}
	return nil
}

func (w *world) settle(h *simHost) {
	for _, a := range h.core.Reconcile(w.now) {
		w.carry(h, a)
	}
}

func (w *world) carry(h *simHost, a Action) {
	switch a := a.(type) {
	case workerpool.Start:
		sw := w.worker(a.Worker.ID)
		w.order(h, sw, a.Timeout, func(answered bool) func() {
			verdict, clock := fleet.StartUnknown, time.Duration(0)
			if answered {
				verdict, clock = sw.start(a), sw.now()
			}
			return func() { h.core.Pool.StartAnswered(w.now, sw.info.ID, a.Run, a.Fence, verdict, clock) }
		}, func() { sw.start(a) })
	case workerpool.Stop:
		sw := w.worker(a.Worker.ID)
		w.order(h, sw, a.Timeout, func(answered bool) func() {
			ok := answered && sw.stop(a)
			return func() { h.core.Pool.StopAnswered(w.now, sw.info.ID, a.Run, ok) }
		}, func() { sw.stop(a) })
	case workerpool.Poll:
		w.look(h, a)
	case Send:
		w.send(h, a.Host, a.Message)
	case Broadcast:
		for _, o := range w.hosts {
			if o != h {
				w.send(h, o.name, a.Message)
			}
		}
	case Append:
		w.append(h, a, func() {})
	case coordinator.Answer:
		if !a.Stored {
			w.answer(h, a)
		}
	}
}

// order carries an order to a worker. Its answer may be lost, and it may be
// carried out late.
func (w *world) order(h *simHost, sw *simWorker, timeout time.Duration, carry func(answered bool) func(), late func()) {
	unanswered := func() { w.after(timeout, w.on(h, carry(false))) }
	w.after(w.delay(), func() {
		switch {
		case sw.down || !w.linked(h.name, sw.info.ID):
			unanswered()
		case w.rng.Float64() < w.late:
			born := sw.born
			w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(4*time.Second))), func() {
				if !sw.down && sw.born.Equal(born) {
					late()
				}
			})
			unanswered()
		case w.rng.Float64() < w.lost:
			late()
			unanswered()
		default:
			w.after(w.delay(), w.on(h, carry(true)))
		}
	})
}

func (w *world) look(h *simHost, a workerpool.Poll) {
	sw := w.worker(a.Worker.ID)
	id := sw.info.ID
	failed := func() {
		w.after(a.Wait+a.Timeout, w.on(h, func() { h.core.Pool.PollFailed(w.now, id, a.Number) }))
	}
	w.after(w.delay(), func() {
		if sw.down || !w.linked(h.name, id) {
			failed()
			return
		}
		if !sw.look(a) {
			w.after(w.delay(), w.on(h, func() { h.core.Pool.Fenced(w.now, id, a.Number, a.Fence) }))
			return
		}
		answered := false
		reply := func() {
			if answered {
				return
			}
			answered = true
			if sw.down || !w.linked(h.name, id) {
				failed()
				return
			}
			l := sw.listing()
			w.after(w.delay(), w.on(h, func() { h.core.Pool.PollAnswered(w.now, id, a.Number, l) }))
		}
		if a.Wait == 0 || len(sw.ended) > 0 {
			reply()
			return
		}
		sw.looks = append(sw.looks, reply)
		w.after(a.Wait, reply)
	})
}

func (w *world) send(h *simHost, to string, m Message) {
	for _, o := range w.hosts {
		if o.name != to {
			continue
		}
		if !o.up {
			w.after(time.Millisecond, w.on(h, func() { h.core.Coordinator.HostLost(w.now, to) }))
			return
		}
		if w.linked(h.name, to) {
			w.after(w.delay(), w.on(o, func() { o.core.Receive(w.now, h.name, m) }))
		}
	}
}
