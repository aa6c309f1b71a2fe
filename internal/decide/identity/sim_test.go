package identity

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

const (
	simHorizon  = 30 * time.Second
	simHosts    = 5
	simDuration = 150 * time.Second
	// simInitialUptime is how long the hosts have run at the start.
	simInitialUptime = simHorizon
	fenceTimeout     = 400 * time.Millisecond
)

var unresolvedResult = Result{Err: errkind.New(errkind.DuplicateUnresolved, "no reply")}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simHost is one incarnation of an entry host.
type simHost struct {
	sim     *sim
	name    string
	inc     ids.Incarnation
	table   *Table
	dead    bool
	ready   bool
	lost    PeerLoss
	lostAt  time.Duration
	known   map[string]ids.Incarnation
	waiters map[string][]func(Result)
	queued  map[string]bool
}

// sim simulates entry hosts on a network that delays, loses, duplicates and
// reorders messages and partitions hosts. It also kills, replaces, adds and
// removes hosts.
type sim struct {
	rng          *rand.Rand
	now          time.Duration
	queue        events
	seq          int
	hosts        map[string]*simHost
	cut          map[string]bool
	starts       map[string]int
	falseNotRuns []string
	claims       int
	answered     int
	// faults is the chance of a fault every four seconds, in percent.
	faults int
}

// newSim returns hosts that have run for one horizon. The seed modulo 3 selects
// a fault chance of 0, 20 or 40 percent.
func newSim(seed uint64) *sim {
	s := &sim{
		faults: int(seed%3) * 20,
		rng:    rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*simHost{}, cut: map[string]bool{}, starts: map[string]int{},
		now: simInitialUptime,
	}
	for i := range simHosts {
		s.boot(fmt.Sprintf("entry-%d", i))
	}
	for _, h := range s.hosts {
		h.ready = true
		h.table.memoryStart = time.Time{}.Add(-simInitialUptime)
		for _, p := range s.hosts {
			if p != h {
				h.known[p.name] = p.inc
			}
		}
	}
	return s
}

func (s *sim) clock() time.Time { return time.Time{}.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

func (s *sim) chance(percent int) bool { return s.rng.IntN(100) < percent }

func (s *sim) randomDelay(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *sim) boot(name string) *simHost {
	h := &simHost{
		sim: s, name: name, inc: ids.Incarnation(fmt.Sprintf("%s~%d", name, s.seq)),
		known: map[string]ids.Incarnation{}, waiters: map[string][]func(Result){}, queued: map[string]bool{},
	}
	h.table = NewTable(s.clock(), "tamarind", h.inc, simHorizon, Limits{MaxEntries: 1000, MaxAnswerBytes: 1000})
	s.hosts[name] = h
	for p := range s.hosts {
		if p != name {
			h.known[p] = ""
		}
	}
	s.after(0, h.ping)
	return h
}

// send delivers a message to the incarnation that the host has at the time of
// delivery. The message may be lost, delayed or duplicated.
func (s *sim) send(from *simHost, to string, do func(*simHost)) {
	copies := 1
	if s.chance(5) {
		copies = 2
	}
	for range copies {
		delay := s.randomDelay(5 * time.Millisecond)
		if s.chance(3) {
			delay = s.randomDelay(5 * time.Second)
		}
		if s.chance(3) || s.cut[from.name] != s.cut[to] {
			continue
		}
		s.after(delay, func() {
			if h, ok := s.hosts[to]; ok && !h.dead && s.cut[from.name] == s.cut[to] {
				do(h)
			}
		})
	}
}

// ping announces this host's incarnation to its peers every second and learns
// theirs from the replies.
func (h *simHost) ping() {
	if h.dead {
		return
	}
	for _, p := range h.peers() {
		h.sim.send(h, p, func(to *simHost) {
			to.recordIncarnation(h.name, h.inc)
			h.sim.send(to, h.name, func(back *simHost) {
				back.recordIncarnation(to.name, to.inc)
				back.ready = true
			})
		})
	}
	h.sim.after(time.Second, h.ping)
}

func (h *simHost) recordIncarnation(name string, inc ids.Incarnation) {
	if old, ok := h.known[name]; ok && old != "" && old != inc {
		h.recordLoss()
	}
	h.known[name] = inc
}

func (h *simHost) recordLoss() { h.lost.Ever, h.lostAt = true, h.sim.now }

func (h *simHost) lastLoss() PeerLoss { return PeerLoss{Ever: h.lost.Ever, Ago: h.sim.now - h.lostAt} }

func (h *simHost) peers() []string {
	var names []string
	for i := range 2 * simHosts {
		if name := fmt.Sprintf("entry-%d", i); name != h.name {
			if _, ok := h.known[name]; ok {
				names = append(names, name)
			}
		}
	}
	return names
}

// arrive passes an arrival to the host's table. done is called with the result,
// if there is one.
func (h *simHost) arrive(a Arrival, done func(Result)) {
	h.waiters[a.ID] = append(h.waiters[a.ID], done)
	h.apply(a.ID, h.table.Arrive(h.sim.clock(), a, PeerView{Peers: h.peers(), LastLoss: h.lastLoss()}))
}

func (h *simHost) apply(id string, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			h.queued[a.ID] = true
			h.sim.after(h.sim.randomDelay(300*time.Millisecond), func() { h.start(a.ID) })
		case SendFence:
			h.sim.claims++
			h.sendFence(a)
		case Forward:
			h.forward(a, false)
		case Complete:
			h.sim.check(id, a.Result)
			h.completeWaiters([]Action{a})
		case Refuse:
			h.sim.check(id, Result{Err: a.Err})
			h.popWaiter(id)(Result{Err: a.Err, RedirectTo: a.RedirectTo})
		case Replay:
			h.sim.check(id, a.Result)
			h.popWaiter(id)(a.Result)
		}
	}
}

// completeWaiters passes the result to every waiter of the request.
func (h *simHost) completeWaiters(actions []Action) {
	for _, a := range actions {
		if r, ok := a.(Complete); ok {
			waiters := h.waiters[r.ID]
			delete(h.waiters, r.ID)
			for _, done := range waiters {
				done(r.Result)
			}
		}
	}
}

// popWaiter removes and returns the newest waiter of the id.
func (h *simHost) popWaiter(id string) func(Result) {
	w := h.waiters[id]
	h.waiters[id] = w[:len(w)-1]
	return w[len(w)-1]
}

func (h *simHost) start(id string) {
	if h.dead || !h.queued[id] {
		return
	}
	delete(h.queued, id)
	s := h.sim
	if s.chance(20) {
		h.apply(id, h.table.Finish(s.clock(), id, Result{Err: errkind.New(errkind.Overloaded, "")}))
		return
	}
	s.starts[id]++
	r := Result{Answer: Answer{Body: []byte(id)}}
	if s.chance(20) {
		r = Result{Err: errkind.New(errkind.Timeout, "")}
	}
	s.after(s.randomDelay(3*time.Second), func() {
		if !h.dead {
			h.apply(id, h.table.Finish(s.clock(), id, r))
		}
	})
}

func (h *simHost) sendFence(a SendFence) {
	for _, p := range a.Peers {
		h.sim.send(h, p, func(to *simHost) {
			to.recordIncarnation(h.name, h.inc)
			reply, actions, err := to.table.Fence(h.sim.clock(), a.ID, h.inc)
			to.apply(a.ID, actions)
			if err != nil {
				return
			}
			reply.LastLoss, reply.KnownHosts = to.lastLoss(), to.peers()
			h.sim.send(to, h.name, func(back *simHost) {
				if back == h {
					h.apply(a.ID, h.table.FenceReplied(h.sim.clock(), a.ID, a.Round, p, reply))
				}
			})
		})
		h.sim.after(fenceTimeout, func() {
			if !h.dead {
				h.apply(a.ID, h.table.FenceFailed(h.sim.clock(), a.ID, a.Round, p))
			}
		})
	}
}

func (h *simHost) forward(c Forward, handOver bool) {
	once := false
	finish := func(r Result) {
		if !once && !h.dead {
			once = true
			h.completeWaiters(h.table.ForwardDone(h.sim.clock(), c.ID, r))
		}
	}
	h.sim.send(h, c.To.Host(), func(to *simHost) {
		back := func(r Result) {
			h.sim.send(to, h.name, func(b *simHost) {
				if b == h {
					finish(r)
				}
			})
		}
		a := Arrival{ID: c.ID, Forwarded: true}
		switch {
		case to.inc != c.To:
			back(unresolvedResult)
		case handOver:
			to.waiters[c.ID] = append(to.waiters[c.ID], back)
			to.apply(c.ID, to.table.TakeOver(h.sim.clock(), a, h.inc))
		default:
			to.arrive(a, back)
		}
	})
	h.sim.after(5*time.Second, func() { finish(unresolvedResult) })
}

// stop hands over half of the requests that have not started and ends the host
// five seconds later.
func (h *simHost) stop() {
	peers := h.peers()
	for _, id := range slices.Sorted(maps.Keys(h.queued)) {
		if len(peers) == 0 || h.sim.chance(50) {
			continue
		}
		to := h.known[peers[h.sim.rng.IntN(len(peers))]]
		for _, a := range h.table.HandOver(id, to) {
			if c, ok := a.(Forward); ok {
				h.forward(c, true)
			}
		}
		delete(h.queued, id)
	}
	h.sim.after(5*time.Second, func() { h.dead = true })
}

// injectFault partitions, kills, replaces, stops or removes a random host, or
// does nothing.
func (s *sim) injectFault() {
	name := fmt.Sprintf("entry-%d", s.rng.IntN(simHosts+2))
	h := s.hosts[name]
	switch s.rng.IntN(6) {
	case 0:
		s.cut[name] = true
		s.after(s.randomDelay(20*time.Second), func() { delete(s.cut, name) })
	case 1, 2:
		if h == nil || h.dead {
			s.boot(name)
			return
		}
		h.dead = true
		s.after(s.randomDelay(2*time.Second), func() {
			if h.dead && s.hosts[name] == h {
				s.boot(name)
			}
		})
	case 3:
		if h != nil && !h.dead {
			h.stop()
		}
	case 4:
		if h != nil && h.dead {
			s.removeHost(name)
		}
	}
}

// removeHost removes a dead host from the host list. The other hosts learn of
// it up to five seconds later.
func (s *sim) removeHost(name string) {
	delete(s.hosts, name)
	for _, other := range slices.Sorted(maps.Keys(s.hosts)) {
		p := s.hosts[other]
		s.after(s.randomDelay(5*time.Second), func() {
			if _, ok := p.known[name]; ok && s.hosts[name] == nil {
				delete(p.known, name)
				p.recordLoss()
			}
		})
	}
}

// request sends up to four attempts of an id, each to a random host that is
// ready. Later attempts may be duplicated; the first may not, because it stays
// on the connection that the load balancer opened.
func (s *sim) request(id string) {
	spread := 3 * time.Second
	if s.chance(50) {
		spread = 3 * time.Millisecond
	}
	for attempt := 1; attempt <= 4; attempt++ {
		h := s.hosts[fmt.Sprintf("entry-%d", s.rng.IntN(simHosts))]
		if h == nil || h.dead || !h.ready {
			continue
		}
		first := attempt == 1
		delay := s.randomDelay(spread * time.Duration(attempt))
		if s.chance(10) {
			delay = s.randomDelay(simHorizon / 2)
		}
		copies := 1
		if !first && s.chance(10) {
			copies = 2
		}
		for range copies {
			s.after(delay, func() {
				if !h.dead {
					h.arrive(Arrival{ID: id, FirstAttempt: first}, func(r Result) {
						if r.Err == nil {
							s.answered++
						}
					})
				}
			})
		}
	}
}

// check records results that claim "not run" although the request has started.
// It runs when a result is made, not when it is received: a later attempt may
// start while the result is on its way.
func (s *sim) check(id string, r Result) {
	if r.Err != nil && r.Err.Run == errkind.NotRun && s.starts[id] > 0 {
		s.falseNotRuns = append(s.falseNotRuns, id)
	}
}

func (s *sim) run() {
	for t := time.Duration(0); t < simDuration; t += 100 * time.Millisecond {
		s.after(t, func() { s.request(fmt.Sprint("r", s.seq)) })
	}
	for t := 20 * time.Second; t < simDuration; t += 4 * time.Second {
		s.after(t+s.randomDelay(4*time.Second), func() {
			if s.chance(s.faults) {
				s.injectFault()
			}
		})
	}
	for s.queue.Len() > 0 && s.now < simInitialUptime+simDuration {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// TestNoRequestStartsTwice guards against a second start of a request, and
// against the result "not run" for one that started, over random histories of
// network and host faults.
func TestNoRequestStartsTwice(t *testing.T) {
	var started, claims, answered int
	for seed := range uint64(9) {
		s := newSim(seed)
		s.run()
		for id, n := range s.starts {
			require.LessOrEqual(t, n, 1, "seed %d: %s started %d times", seed, id, n)
		}
		require.Empty(t, s.falseNotRuns, "seed %d: results say not run after a start", seed)
		started += len(s.starts)
		claims += s.claims
		answered += s.answered
	}
	// The histories test something only if many requests start and many claims
	// are made.
	require.Greater(t, started, 8_000)
	require.Greater(t, claims, 8_000)
	require.Greater(t, answered, 8_000)
	t.Logf("%d ids started, %d claims, %d answers", started, claims, answered)
}
