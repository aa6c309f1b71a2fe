package host

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/ownership"
	"github.com/parsleyhill/parsleyhill/internal/decide/topology"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	testLease    = time.Second
	memberTTL    = time.Second
	joinInterval = 200 * time.Millisecond
	tickInterval = 20 * time.Millisecond
	peerTimeout  = 3 * topology.HeartbeatInterval
	// thawTime is how long a host takes to handle what has waited during a standstill. One
	// round of decisions covers all of it.
	thawTime       = 10 * time.Millisecond
	resubmitDelay  = 1300 * time.Millisecond
	callerTimeout  = 1500 * time.Millisecond
	zonePartitions = 6
	// heartbeatInterval and registrationTTL are those of the platform.
	heartbeatInterval = 1500 * time.Millisecond
	registrationTTL   = 3 * heartbeatInterval
)

// event is a callback that is due at a virtual time; seq orders events of the
// same time.
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

// simHost is a simulated entry host.
type simHost struct {
	name, zone string
	core       *Core
	// incarnation counts the starts of the host. Events of an earlier incarnation
	// are dropped.
	incarnation int
	up          bool
	// seats is the number of the host's memberships in its zone's group, and generations
	// holds the generation that each has joined last.
	seats            int
	generations      map[int]int64
	storeUnreachable bool
	appendsRejected  bool
	// leaving is set during a planned stop, left and leftShards once its memberships have
	// ended, and frozenUntil is the end of a standstill.
	leaving     bool
	left        bool
	leftShards  bool
	frozenUntil time.Time
	// stoodStill is how long the host stood still before what it handles next.
	stoodStill time.Duration
	// backlog holds when what waited during the last standstill is handled, by source.
	backlog map[string]time.Time
	// links holds the host's ends of streams, and redialAt when it may open one again, by
	// the name of the other host.
	links    map[string]*simLink
	redialAt map[string]time.Time
	// callers holds the attempt whose caller waits for a job.
	callers map[string]int
	// shardGeneration is the generation that the host last joined in the group of
	// the shards, and logPosition how far it has read the log of stored jobs.
	shardGeneration int64
	logPosition     int
}

// world simulates a fleet of hosts and workers in virtual time.
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
	// cuts is the number of present network cuts by pair of names.
	cuts map[string]int
	// callerTimeout is after what time callers leave; zero means that they stay.
	callerTimeout time.Duration
	streams       int
	sources       int
	lossRate      float64
	lateRate      float64
	problems      []string
	// racks holds the racks and the tasks' places if jobs name racks.
	racks rackLoad
	// stoppedRuns counts the runs of stored jobs that ended by a stop or a lapse, and
	// longestIdle is the longest time from such an end to the task's next start.
	stoppedRuns int
	longestIdle time.Duration
	// route is the queue of the jobs, and failRate the share of runs that fail.
	route    fleet.Route
	failRate float64
	// stopsLost makes workers receive no stops.
	stopsLost bool
	// endsPerPoll bounds the ends in a worker's answer to a poll; zero means no bound.
	endsPerPoll int
	// suspected is the job of the first problem of a job, found at suspectedAt.
	suspected   *simJob
	suspectedAt time.Time
	// notes is what happened, for the trace of a job.
	notes []note
}

var (
	testEpoch = time.Unix(1_700_000_000, 0)
	testRoute = fleet.Route{Name: "r", Service: "s", LatencySlack: 60 * time.Millisecond, Stretch: 1.6, MaxAttempts: 4}
)

func newWorld(seed uint64, zones, hostsPerZone, workersPerZone int) *world {
	return newWorldWithRacks(seed, zones, hostsPerZone, workersPerZone, rackLoad{})
}

func newWorldWithRacks(seed uint64, zones, hostsPerZone, workersPerZone int, racks rackLoad) *world {
	w := &world{
		racks: racks, route: testRoute, failRate: 0.005,
		rng: rand.New(rand.NewPCG(seed, 1)), now: testEpoch, groups: map[string]*simGroup{},
		jobs: map[string]*simJob{}, cuts: map[string]int{},
		log: &simLog{group: newGroup(testShards), accepted: map[string]bool{}},
	}
	for z := range zones {
		zone := fmt.Sprintf("z%d", z)
		w.groups[zone] = newGroup(zonePartitions)
		for i := range workersPerZone {
			sw := &simWorker{world: w, rate: 0.985 + 0.03*w.rng.Float64(), slowdown: 1, info: fleet.Worker{
				ID: fmt.Sprintf("w-%s-%d", zone, i), Address: fmt.Sprintf("a-%s-%d", zone, i), Zone: zone, Service: "s",
				Capacity: fleet.Size{MilliCPU: 32000, MemoryMB: 1 << 17},
			}}
			sw.hidesStopping = i%2 == 1
			sw.info.Labels = racks.labels(len(w.workers), zones*workersPerZone)
			sw.boot(w.now)
			w.workers = append(w.workers, sw)
		}
	}
	for z := range zones {
		for i := range hostsPerZone {
			h := &simHost{name: fmt.Sprintf("h-z%d-%d", z, i), zone: fmt.Sprintf("z%d", z), seats: 1}
			w.hosts = append(w.hosts, h)
			w.boot(h)
		}
	}
	w.after(tickInterval, w.tick)
	w.after(heartbeatInterval, w.heartbeat)
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, do: do})
}

// run advances the simulation by a duration.
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
	h.incarnation++
	h.up, h.generations, h.shardGeneration, h.logPosition = true, map[int]int64{}, 0, 0
	h.left, h.leftShards = false, false
	h.leaving, h.frozenUntil, h.stoodStill, h.backlog = false, time.Time{}, 0, map[string]time.Time{}
	h.links, h.redialAt, h.callers = map[string]*simLink{}, map[string]time.Time{}, map[string]int{}
	h.core = New(Config{
		Name: h.name, Zone: h.zone, MaxLease: testLease, Partitions: zonePartitions, Nonce: w.rng.Int64(), Ledger: testLedger(),
		RemoteSlowdown: w.racks.slowdown,
	})
	for _, sw := range w.workers {
		h.core.UpdateWorker(w.now, sw.info)
	}
	w.readLog(h)
	w.join(h)
	w.joinShardGroup(h)
}

// kill ends a host's process for a time. The other hosts and the callers see the end of
// their connections.
func (w *world) kill(h *simHost, down time.Duration) {
	if !h.up {
		return
	}
	h.up = false
	w.note("", "%s is killed for %v", h.name, down)
	for _, o := range w.hosts {
		if l := h.links[o.name]; l != nil {
			w.notifyEnd(h, o, l.stream)
		}
	}
	for _, j := range w.sortedJobs() {
		if j.host == h && j.outcome == "" {
			w.resubmit(j)
		}
	}
	w.after(down, func() { w.boot(h) })
}

// losePower is kill without a sign on any connection.
func (w *world) losePower(h *simHost, down time.Duration) {
	if !h.up {
		return
	}
	h.up = false
	w.note("", "%s loses power for %v", h.name, down)
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

// on returns a callback that runs do and reconciles the host, unless the host
// has stopped or restarted by then. While the host stands still, the callback waits.
func (w *world) on(h *simHost, do func()) func() {
	w.sources++
	return w.onFrom(h, fmt.Sprint("#", w.sources), do)
}

// onFrom is on for an event of a source. Those of one source keep their order; after a
// standstill those of different sources, and the first tick, come in any order.
func (w *world) onFrom(h *simHost, source string, do func()) func() {
	incarnation := h.incarnation
	var run func()
	run = func() {
		if !h.up || h.incarnation != incarnation {
			return
		}
		if at := w.readyAt(h, source); w.now.Before(at) {
			w.after(at.Sub(w.now), run)
			return
		}
		h.resume(w.now)
		do()
		if !w.now.Before(h.frozenUntil.Add(thawTime)) {
			w.reconcile(h)
		}
	}
	return run
}

// resume tells the host how long it stood still, before the first event after that.
func (h *simHost) resume(now time.Time) {
	if h.stoodStill > 0 {
		h.core.StoodStill(now, h.stoodStill)
		h.stoodStill = 0
	}
}

// readyAt returns when a host handles an event of a source that is there now.
func (w *world) readyAt(h *simHost, source string) time.Time {
	if w.now.Before(h.frozenUntil) && h.backlog[source].Before(h.frozenUntil) {
		h.backlog[source] = h.frozenUntil.Add(time.Duration(w.rng.Int64N(int64(thawTime))))
	}
	return h.backlog[source]
}

func (w *world) tick() {
	for _, sw := range w.workers {
		if !sw.down {
			sw.advance()
		}
	}
	for _, h := range w.hosts {
		w.tickHost(h)
	}
	w.after(tickInterval, w.tick)
}

func (w *world) tickHost(h *simHost) {
	if !h.up || w.now.Before(h.frozenUntil) {
		return
	}
	h.resume(w.now)
	h.core.Tick(w.now)
	w.endMemberships(h)
	w.closeSilent(h)
	w.reconcile(h)
	w.dial(h)
	report := h.core.Report(w.now)
	for _, o := range w.hosts {
		if o != h {
			w.deliver(h, o, func() { o.core.UpdateHost(w.now, h.name, h.zone, report) })
		}
	}
}

func (w *world) join(h *simHost) {
	w.on(h, func() {
		if _, workers := h.core.HandsOver(); !workers && !h.storeUnreachable && h.core.Ledger.Loaded() {
			for number := range h.seats {
				generation, parts := w.groups[h.zone].join(w.now, seatName(h, number), h.generations[number])
				h.generations[number] = generation
				h.core.Joined(w.now, w.now, ownership.Seat{Zone: h.zone, Number: number}, generation, parts)
			}
		}
		w.after(joinInterval, func() { w.join(h) })
	})()
}

// seatName returns the name of a host as a member of its zone's group.
func seatName(h *simHost, number int) string { return fmt.Sprintf("%s~%d", h.name, number) }

func pair(a, b string) string { return min(a, b) + "|" + max(a, b) }

func (w *world) linked(a, b string) bool { return w.cuts[pair(a, b)] == 0 }

// partition cuts the link between two hosts for a time, at least for longer than
// the peer timeout: a shorter cut would only delay the streams' bytes.
func (w *world) partition(a, b *simHost, d time.Duration) {
	d = max(d, peerTimeout+2*tickInterval)
	w.cuts[pair(a.name, b.name)]++
	w.after(d, func() { w.cuts[pair(a.name, b.name)]-- })
}

// isolateHost cuts a host off from all other hosts and the store for a time. It
// still reaches workers.
func (w *world) isolateHost(h *simHost, d time.Duration) {
	h.storeUnreachable = true
	w.after(d, func() { h.storeUnreachable = false })
	for _, o := range w.hosts {
		if o != h {
			w.partition(h, o, d)
		}
	}
}

// isolateWorker cuts the link between a host and a worker for a time.
func (w *world) isolateWorker(h *simHost, sw *simWorker, d time.Duration) {
	w.cuts[pair(h.name, sw.info.Address)]++
	w.after(d, func() { w.cuts[pair(h.name, sw.info.Address)]-- })
}

func (w *world) delay() time.Duration {
	return 200*time.Microsecond + time.Duration(w.rng.Int64N(int64(1500*time.Microsecond)))
}

// crash ends a worker's process for a time. It restarts without any state. A
// crash that is not silent closes the worker's connections and refuses new ones.
func (w *world) crash(sw *simWorker, down time.Duration, silent bool) {
	if sw.down {
		return
	}
	sw.down, sw.silent = true, silent
	for id := range sw.runs {
		w.jobs[id.Task.Job].crashes[id.Task]++
	}
	clear(sw.runs)
	polls := sw.waitingPolls
	sw.waitingPolls = nil
	for _, reply := range polls {
		reply()
	}
	w.after(down, func() {
		sw.boot(w.now)
		w.announce(sw.info)
	})
}

// crashForNewID is crash, after which the worker returns under a new ID at its
// address. Its former registration is removed later.
func (w *world) crashForNewID(sw *simWorker, down time.Duration) {
	if sw.down {
		return
	}
	w.crash(sw, down, false)
	former := sw.info.ID
	sw.crashes++
	sw.info.ID = fmt.Sprintf("w-%s-%d", sw.info.Address, sw.crashes)
	w.after(registrationTTL, func() {
		for _, h := range w.hosts {
			if h.up {
				w.on(h, func() { h.core.RemoveWorker(former) })()
			}
		}
	})
}

// announce tells all hosts of a worker's registration.
func (w *world) announce(info fleet.Worker) {
	for _, h := range w.hosts {
		if h.up {
			w.on(h, func() { h.core.UpdateWorker(w.now, info) })()
		}
	}
}

// heartbeat makes the workers write their registrations periodically.
func (w *world) heartbeat() {
	for _, sw := range w.workers {
		if !sw.down {
			w.announce(sw.info)
		}
	}
	w.after(heartbeatInterval, w.heartbeat)
}

// workerAt returns the worker at the address of a registration.
func (w *world) workerAt(info fleet.Worker) *simWorker {
	for _, sw := range w.workers {
		if sw.info.Address == info.Address {
			return sw
		}
	}
	return nil
}
