package routebench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/dispatch"
	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// Strategy is a strategy for choosing backend servers. New returns the selector
// of one entry host.
type Strategy struct {
	Name   string
	Policy standing.Policy
	New    func(host, zone string, rng *rand.Rand) route.Selector
}

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0)

// tickInterval is the time between ticks of each host's dispatch core.
const tickInterval = 20 * time.Millisecond

// event is a function to run at a virtual time. Events at the same time run in
// the order of seq.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	return h[a].seq < h[b].seq
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// sentRequest is a request that was sent to a backend server. index is its
// position in the workload.
type sentRequest struct {
	index   int
	host    *host
	backend *backend
}

// backend is a backend server with a queue for requests beyond its slots.
type backend struct {
	name, zone string
	running    int
	queue      []sentRequest
}

// host is an entry host.
type host struct {
	name, zone string
	core       *dispatch.Core
}

// simulation is the state of one run of a scenario.
type simulation struct {
	Scenario
	now      time.Duration
	seq      int
	events   eventHeap
	requests []request
	hosts    map[string]*host
	order    []*host
	backends map[string]*backend
	result   Result
}

// Run runs the scenario with one strategy.
func (s Scenario) Run(strategy Strategy) Result {
	sim := &simulation{
		Scenario: s, requests: s.workload(), result: Result{Name: strategy.Name},
		hosts: map[string]*host{}, backends: map[string]*backend{},
	}
	sim.build(strategy)
	for i := range sim.requests {
		sim.schedule(sim.requests[i].arrivesAt, func() { sim.hostReceives(i) })
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	return sim.result
}

func (sim *simulation) build(strategy Strategy) {
	var listed []route.Backend
	for i := range sim.Backends {
		b := &backend{name: fmt.Sprintf("backend-%d", i), zone: sim.zone(i)}
		sim.backends[b.name] = b
		listed = append(listed, route.Backend{Name: b.name, Zone: b.zone, Slots: sim.Slots, Limit: sim.Limit, Weight: 1})
	}
	for i := range sim.Hosts {
		h := &host{name: fmt.Sprintf("entry-%d", i), zone: sim.zone(i)}
		rng := rand.New(rand.NewPCG(sim.Seed, uint64(100+i)))
		h.core = dispatch.New("customer", standing.Customer{Policy: strategy.Policy, QueueLimit: sim.QueueLimit}, strategy.New(h.name, h.zone, rng))
		sim.hosts[h.name] = h
		sim.order = append(sim.order, h)
	}
	var hosts []route.Host
	for _, h := range sim.order {
		hosts = append(hosts, route.Host{Name: h.name, Zone: h.zone})
	}
	for i, h := range sim.order {
		sim.apply(h, h.core.SetHosts(epoch, hosts))
		sim.apply(h, h.core.SetBackends(epoch, listed))
		// The hosts tick at different times, as real hosts do.
		sim.schedule(time.Duration(i)*tickInterval/time.Duration(sim.Hosts), func() { sim.tick(h) })
	}
}

func (sim *simulation) zone(i int) string { return "zone-" + strconv.Itoa(i%sim.Zones) }

func (sim *simulation) schedule(at time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: at, seq: sim.seq, run: run})
}

func (sim *simulation) time() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) isMeasured(req request) bool { return req.arrivesAt >= sim.Warmup }

func (sim *simulation) tick(h *host) {
	if sim.now > sim.Warmup+sim.Measure {
		if h.core.Waiting() == 0 {
			return
		}
	}
	sim.apply(h, h.core.Tick(sim.time()))
	sim.schedule(sim.now+tickInterval, func() { sim.tick(h) })
}

func (sim *simulation) hostReceives(i int) {
	arriving := sim.requests[i]
	h := sim.order[arriving.host]
	req := dispatch.Request{ID: strconv.Itoa(i), Deadline: sim.time().Add(sim.Deadline)}
	sim.apply(h, h.core.Arrive(sim.time(), req))
}

func (sim *simulation) apply(h *host, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			i, _ := strconv.Atoi(a.ID)
			sent := sentRequest{index: i, host: h, backend: sim.backends[a.Backend]}
			sim.schedule(sim.now+sim.delay(h.zone, sent.backend.zone), func() { sim.backendReceives(sent) })
		case dispatch.Borrow:
			sim.countMessage()
			to := sim.hosts[a.Request.To]
			sim.schedule(sim.now+sim.delay(h.zone, to.zone), func() { sim.apply(to, to.core.BorrowRequested(sim.time(), a.Request)) })
		case dispatch.Lend:
			sim.countMessage()
			to := sim.hosts[a.Offer.To]
			sim.schedule(sim.now+sim.delay(h.zone, to.zone), func() { sim.apply(to, to.core.OfferReceived(sim.time(), a.Offer)) })
		case dispatch.Finish:
			i, _ := strconv.Atoi(a.ID)
			if sim.isMeasured(sim.requests[i]) {
				sim.result.Refused++
			}
		}
	}
}

// countMessage counts a message between entry hosts if it is sent in the
// measured time.
func (sim *simulation) countMessage() {
	if sim.now >= sim.Warmup && sim.now < sim.Warmup+sim.Measure {
		sim.result.Messages++
	}
}

func (sim *simulation) delay(a, b string) time.Duration {
	if a == b {
		return sim.LocalDelay
	}
	return sim.ZoneDelay
}

// backendReceives starts a request that arrives at a server or queues it there.
func (sim *simulation) backendReceives(sent sentRequest) {
	if sent.backend.running >= sim.Slots {
		sent.backend.queue = append(sent.backend.queue, sent)
		sim.result.Queued++
		return
	}
	sim.startRun(sent)
}

func (sim *simulation) startRun(sent sentRequest) {
	sent.backend.running++
	sim.schedule(sim.now+sim.requests[sent.index].runTime, func() { sim.finishRun(sent) })
}

func (sim *simulation) finishRun(sent sentRequest) {
	b := sent.backend
	load := b.running + len(b.queue)
	b.running--
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		sim.startRun(next)
	}
	sim.schedule(sim.now+sim.delay(b.zone, sent.host.zone), func() { sim.hostReceivesAnswer(sent, load) })
}

func (sim *simulation) hostReceivesAnswer(sent sentRequest, load int) {
	req := sim.requests[sent.index]
	response := sim.now - req.arrivesAt
	late := response > sim.Deadline
	if !late && sim.now >= sim.Warmup && sim.now < sim.Warmup+sim.Measure {
		sim.result.UsefulSlotSeconds += req.runTime.Seconds()
	}
	if sim.isMeasured(req) {
		sim.result.add(sim.slowdown(req, response))
		if late {
			sim.result.Late++
		}
	}
	outcome := dispatch.Outcome{ID: strconv.Itoa(sent.index), Backend: sent.backend.name, Load: load}
	sim.apply(sent.host, sent.host.core.Done(sim.time(), outcome))
}
