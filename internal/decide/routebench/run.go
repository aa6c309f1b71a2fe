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

// Way makes the selector of one entry host.
type Strategy struct {
	Name   string
	Policy standing.Policy
	New    func(host, zone string, rng *rand.Rand) route.Selector
}

// epoch is the start of virtual time.
var epoch = time.Unix(0, 0)

// tickInterval is the time between ticks of each core.
const tickInterval = 20 * time.Millisecond

// event is something that happens at a time. Events of one time keep their
// order.
type event struct {
	at  time.Duration
	seq int
	do  func()
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

// job is a request on its way to and on a backend server.
type job struct {
	request int
	host    *host
	backend *backend
}

// backend is a server with slots and a queue of its own.
type backend struct {
	name, zone string
	running    int
	queue      []job
}

// host is an entry host.
type host struct {
	name, zone string
	core       *dispatch.Core
}

// runner is one run of a scenario.
type runner struct {
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

// Run runs the scenario with one way.
func (s Scenario) Run(w Strategy) Result {
	r := &runner{
		Scenario: s, requests: s.workload(), result: Result{Name: w.Name},
		hosts: map[string]*host{}, backends: map[string]*backend{},
	}
	r.build(w)
	for i := range r.requests {
		r.schedule(r.requests[i].arrives, func() { r.arrive(i) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r.result
}

func (r *runner) build(w Strategy) {
	var listed []route.Backend
	for i := range r.Backends {
		b := &backend{name: fmt.Sprintf("backend-%d", i), zone: r.zone(i)}
		r.backends[b.name] = b
		listed = append(listed, route.Backend{Name: b.name, Zone: b.zone, Slots: r.Slots, Limit: r.Limit, Weight: 1})
	}
	for i := range r.Hosts {
		h := &host{name: fmt.Sprintf("entry-%d", i), zone: r.zone(i)}
		rng := rand.New(rand.NewPCG(r.Seed, uint64(100+i)))
		h.core = dispatch.New("customer", standing.Customer{Policy: w.Policy, QueueLimit: r.QueueLimit}, w.New(h.name, h.zone, rng))
		r.hosts[h.name] = h
		r.order = append(r.order, h)
	}
	var hosts []route.Host
	for _, h := range r.order {
		hosts = append(hosts, route.Host{Name: h.name, Zone: h.zone})
	}
	for i, h := range r.order {
		r.apply(h, h.core.SetHosts(epoch, hosts))
		r.apply(h, h.core.SetBackends(epoch, listed))
		// The hosts' clocks are not in step.
		r.schedule(time.Duration(i)*tickInterval/time.Duration(r.Hosts), func() { r.tick(h) })
	}
}

func (r *runner) zone(i int) string { return "zone-" + strconv.Itoa(i%r.Zones) }

func (r *runner) schedule(at time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: at, seq: r.seq, do: do})
}

func (r *runner) time() time.Time { return epoch.Add(r.now) }

func (r *runner) measured(q request) bool { return q.arrives >= r.Warmup }

func (r *runner) tick(h *host) {
	if r.now > r.Warmup+r.Measure {
		if h.core.Waiting() == 0 {
			return
		}
	}
	r.apply(h, h.core.Tick(r.time()))
	r.schedule(r.now+tickInterval, func() { r.tick(h) })
}

func (r *runner) arrive(i int) {
	q := r.requests[i]
	h := r.order[q.host]
	req := dispatch.Request{ID: strconv.Itoa(i), Deadline: r.time().Add(r.Deadline)}
	r.apply(h, h.core.Arrive(r.time(), req))
}

func (r *runner) apply(h *host, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			i, _ := strconv.Atoi(a.ID)
			j := job{request: i, host: h, backend: r.backends[a.Backend]}
			r.schedule(r.now+r.delay(h.zone, j.backend.zone), func() { r.reach(j) })
		case dispatch.Borrow:
			r.message()
			to := r.hosts[a.Ask.To]
			r.schedule(r.now+r.delay(h.zone, to.zone), func() { r.apply(to, to.core.BorrowRequested(r.time(), a.Ask)) })
		case dispatch.Lend:
			r.message()
			to := r.hosts[a.Offer.To]
			r.schedule(r.now+r.delay(h.zone, to.zone), func() { r.apply(to, to.core.OfferReceived(r.time(), a.Offer)) })
		case dispatch.Finish:
			i, _ := strconv.Atoi(a.ID)
			if r.measured(r.requests[i]) {
				r.result.Refused++
			}
		}
	}
}

// message counts a message between entry hosts.
func (r *runner) message() {
	if r.now >= r.Warmup && r.now < r.Warmup+r.Measure {
		r.result.Messages++
	}
}

func (r *runner) delay(a, b string) time.Duration {
	if a == b {
		return r.LocalDelay
	}
	return r.ZoneDelay
}

// reach is the arrival of a request at a server.
func (r *runner) reach(j job) {
	if j.backend.running >= r.Slots {
		j.backend.queue = append(j.backend.queue, j)
		r.result.Queued++
		return
	}
	r.begin(j)
}

func (r *runner) begin(j job) {
	j.backend.running++
	r.schedule(r.now+r.requests[j.request].run, func() { r.end(j) })
}

func (r *runner) end(j job) {
	b := j.backend
	load := b.running + len(b.queue)
	b.running--
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		r.begin(next)
	}
	r.schedule(r.now+r.delay(b.zone, j.host.zone), func() { r.answer(j, load) })
}

func (r *runner) answer(j job, load int) {
	q := r.requests[j.request]
	response := r.now - q.arrives
	late := response > r.Deadline
	if !late && r.now >= r.Warmup && r.now < r.Warmup+r.Measure {
		r.result.UsefulSlotSeconds += q.run.Seconds()
	}
	if r.measured(q) {
		r.result.add(r.slowdown(q, response))
		if late {
			r.result.Late++
		}
	}
	out := dispatch.Outcome{ID: strconv.Itoa(j.request), Backend: j.backend.name, Load: load}
	r.apply(j.host, j.host.core.Done(r.time(), out))
}
