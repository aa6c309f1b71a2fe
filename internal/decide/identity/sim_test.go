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
	simHorizon = 30 * time.Second
	simHosts   = 5
	simLength  = 150 * time.Second
	// simSettled is the age of hosts at the start.
	simSettled = simHorizon
	askTimeout = 400 * time.Millisecond
)

var unresolved = Result{Err: errkind.New(errkind.DuplicateUnresolved, "no reply")}

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

// simHost is one incarnation.
type simHost struct {
	sim     *sim
	name    string
	inc     ids.Incarnation
	table   *Table
	dead    bool
	ready   bool
	loss    PeerLoss
	lostAt  time.Duration
	known   map[string]ids.Incarnation
	waiters map[string][]func(Result)
	queued  map[string]bool
}

// sim runs hosts against a network that delays, loses, repeats and reorders
// messages, cuts hosts off, and kills, replaces, adds and removes them.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	queue   events
	seq     int
	hosts   map[string]*simHost
	cut     map[string]bool
	starts  map[string]int
	lies    []string
	asked   int
	settled int
	// faults is the chance of a host fault every four seconds, in percent.
	faults int
}

// newSim returns hosts that have run for a horizon. A third of the seeds have
// no host faults, a third few, a third many.
func newSim(seed uint64) *sim {
	s := &sim{
		faults: int(seed%3) * 20,
		rng:    rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*simHost{}, cut: map[string]bool{}, starts: map[string]int{},
		now: simSettled,
	}
	for i := range simHosts {
		s.boot(fmt.Sprintf("entry-%d", i))
	}
	for _, h := range s.hosts {
		h.ready = true
		h.table.since = time.Time{}.Add(-simSettled)
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

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

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

// send delivers a message to the host's incarnation of that moment, or not.
func (s *sim) send(from *simHost, to string, do func(*simHost)) {
	copies := 1
	if s.chance(5) {
		copies = 2
	}
	for range copies {
		delay := s.upTo(5 * time.Millisecond)
		if s.chance(3) {
			delay = s.upTo(5 * time.Second)
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

// ping tells the others of this host and learns of their incarnations.
func (h *simHost) ping() {
	if h.dead {
		return
	}
	for _, p := range h.peers() {
		h.sim.send(h, p, func(to *simHost) {
			to.heard(h.name, h.inc)
			h.sim.send(to, h.name, func(back *simHost) {
				back.heard(to.name, to.inc)
				back.ready = true
			})
		})
	}
	h.sim.after(time.Second, h.ping)
}

func (h *simHost) heard(name string, inc ids.Incarnation) {
	if old, ok := h.known[name]; ok && old != "" && old != inc {
		h.lose()
	}
	h.known[name] = inc
}

func (h *simHost) lose() { h.loss.Ever, h.lostAt = true, h.sim.now }

func (h *simHost) losses() PeerLoss { return PeerLoss{Ever: h.loss.Ever, Ago: h.sim.now - h.lostAt} }

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

// arrive gives the host an arrival; done gets its result, if any.
func (h *simHost) arrive(a Arrival, done func(Result)) {
	h.waiters[a.ID] = append(h.waiters[a.ID], done)
	h.apply(a.ID, h.table.Arrive(h.sim.clock(), a, PeerView{Peers: h.peers(), LastLoss: h.losses()}))
}

func (h *simHost) apply(id string, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			h.queued[a.ID] = true
			h.sim.after(h.sim.upTo(300*time.Millisecond), func() { h.start(a.ID) })
		case SendFence:
			h.sim.asked++
			h.ask(a)
		case Forward:
			h.call(a, false)
		case Complete:
			h.sim.check(id, a.Result)
			h.relay([]Action{a})
		case Refuse:
			h.sim.check(id, Result{Err: a.Err})
			h.last(id)(Result{Err: a.Err, RedirectTo: a.RedirectTo})
		case Replay:
			h.sim.check(id, a.Result)
			h.last(id)(a.Result)
		}
	}
}

// relay ends the waiters of a request.
func (h *simHost) relay(actions []Action) {
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

// last takes the newest waiter of the id out.
func (h *simHost) last(id string) func(Result) {
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
	s.after(s.upTo(3*time.Second), func() {
		if !h.dead {
			h.apply(id, h.table.Finish(s.clock(), id, r))
		}
	})
}

func (h *simHost) ask(a SendFence) {
	for _, p := range a.Peers {
		h.sim.send(h, p, func(to *simHost) {
			to.heard(h.name, h.inc)
			reply, actions, err := to.table.Fence(h.sim.clock(), a.ID, h.inc)
			to.apply(a.ID, actions)
			if err != nil {
				return
			}
			reply.LastLoss, reply.KnownHosts = to.losses(), to.peers()
			h.sim.send(to, h.name, func(back *simHost) {
				if back == h {
					h.apply(a.ID, h.table.FenceReplied(h.sim.clock(), a.ID, a.Round, p, reply))
				}
			})
		})
		h.sim.after(askTimeout, func() {
			if !h.dead {
				h.apply(a.ID, h.table.FenceFailed(h.sim.clock(), a.ID, a.Round, p))
			}
		})
	}
}

func (h *simHost) call(c Forward, handOver bool) {
	once := false
	finish := func(r Result) {
		if !once && !h.dead {
			once = true
			h.relay(h.table.ForwardDone(h.sim.clock(), c.ID, r))
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
			back(unresolved)
		case handOver:
			to.waiters[c.ID] = append(to.waiters[c.ID], back)
			to.apply(c.ID, to.table.TakeOver(h.sim.clock(), a, h.inc))
		default:
			to.arrive(a, back)
		}
	})
	h.sim.after(5*time.Second, func() { finish(unresolved) })
}

// stop hands on what has not started and ends the host.
func (h *simHost) stop() {
	peers := h.peers()
	for _, id := range slices.Sorted(maps.Keys(h.queued)) {
		if len(peers) == 0 || h.sim.chance(50) {
			continue
		}
		to := h.known[peers[h.sim.rng.IntN(len(peers))]]
		for _, a := range h.table.HandOver(id, to) {
			if c, ok := a.(Forward); ok {
				h.call(c, true)
			}
		}
		delete(h.queued, id)
	}
	h.sim.after(5*time.Second, func() { h.dead = true })
}

// disturb brings about one fault.
func (s *sim) disturb() {
	name := fmt.Sprintf("entry-%d", s.rng.IntN(simHosts+2))
	h := s.hosts[name]
	switch s.rng.IntN(6) {
	case 0:
		s.cut[name] = true
		s.after(s.upTo(20*time.Second), func() { delete(s.cut, name) })
	case 1, 2:
		if h == nil || h.dead {
			s.boot(name)
			return
		}
		h.dead = true
		s.after(s.upTo(2*time.Second), func() {
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
			s.drop(name)
		}
	}
}

// drop takes a dead host off the host list; the others notice later.
func (s *sim) drop(name string) {
	delete(s.hosts, name)
	for _, other := range slices.Sorted(maps.Keys(s.hosts)) {
		p := s.hosts[other]
		s.after(s.upTo(5*time.Second), func() {
			if _, ok := p.known[name]; ok && s.hosts[name] == nil {
				delete(p.known, name)
				p.lose()
			}
		})
	}
}

// request sends an id's attempts. The first one stays with the process that
// the balancer connected to; later ones go anywhere and may be repeated.
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
		delay := s.upTo(spread * time.Duration(attempt))
		if s.chance(10) {
			delay = s.upTo(simHorizon / 2)
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
							s.settled++
						}
					})
				}
			})
		}
	}
}

// check notes a result that says "not run" after a start, when it is made. One
// that is late on its way may be overtaken by a later attempt.
func (s *sim) check(id string, r Result) {
	if r.Err != nil && r.Err.Run == errkind.NotRun && s.starts[id] > 0 {
		s.lies = append(s.lies, id)
	}
}

func (s *sim) run() {
	for t := time.Duration(0); t < simLength; t += 100 * time.Millisecond {
		s.after(t, func() { s.request(fmt.Sprint("r", s.seq)) })
	}
	for t := 20 * time.Second; t < simLength; t += 4 * time.Second {
		s.after(t+s.upTo(4*time.Second), func() {
			if s.chance(s.faults) {
				s.disturb()
			}
		})
	}
	for s.queue.Len() > 0 && s.now < simSettled+simLength {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// TestNoRequestStartsTwice counts starts over random histories.
func TestNoRequestStartsTwice(t *testing.T) {
	var started, asked, settled int
	for seed := range uint64(9) {
		s := newSim(seed)
		s.run()
		for id, n := range s.starts {
			require.LessOrEqual(t, n, 1, "seed %d: %s started %d times", seed, id, n)
		}
		require.Empty(t, s.lies, "seed %d: told not run after a start", seed)
		started += len(s.starts)
		asked += s.asked
		settled += s.settled
	}
	// The histories are of use only if requests start and claims are made.
	require.Greater(t, started, 8_000)
	require.Greater(t, asked, 8_000)
	require.Greater(t, settled, 8_000)
	t.Logf("%d ids started, %d claims, %d answers", started, asked, settled)
}
