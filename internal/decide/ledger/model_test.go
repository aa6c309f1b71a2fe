package ledger

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

var orders = flag.Int("orders", 400, "number of seeds of the model of drivers")

// The durations of the model. A run whose driver has released it goes on for up to
// releasedRunTime, one that was handed over and is not claimed for up to handedRunTime.
const (
	modelTick       = 20 * time.Millisecond
	modelJoin       = 150 * time.Millisecond
	modelRead       = 50 * time.Millisecond
	modelRetry      = 100 * time.Millisecond
	releasedRunTime = takeoverDelay - memberTTL - 100*time.Millisecond
	handedRunTime   = 950 * time.Millisecond
)

// modelEvent is a callback that is due at a virtual time.
type modelEvent struct {
	at  time.Time
	seq int
	do  func()
}

type modelEvents []modelEvent

func (q modelEvents) Len() int { return len(q) }
func (q modelEvents) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q modelEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelEvents) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// modelRun is a run of the job's only task.
type modelRun struct {
	id     fleet.RunID
	driver *modelHost
	// endsAt is when the run ends without a driver; zero while it has one.
	endsAt time.Time
}

// modelHost is a host with one ledger.
type modelHost struct {
	name       string
	nonce      int64
	l          *Ledger
	up         bool
	generation int64
	position   int
	queue      [][]Entry
	run        *modelRun
}

// model is a fleet of ledgers with one shard and one job, whose only task always runs. The
// store loses answers, carries out calls late, and reassigns the shard at any time.
type model struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Time
	seq    int
	events modelEvents
	hosts  []*modelHost
	// log holds the entries of the job log, and generation, target, holder and joined the
	// state of the group.
	log            []Entry
	generation     int64
	target, holder string
	joined         map[string]time.Time
	joinedAt       map[string]int64
	// lossRate and lateRate are the shares of calls whose answer is lost, and that are
	// carried out late.
	lossRate, lateRate float64
	runs               []*modelRun
	trace              []string
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{m.now.Add(d), m.seq, do})
}

// on returns a callback for a process that still runs then.
func (m *model) on(h *modelHost, do func()) func() {
	nonce := h.nonce
	return func() {
		if h.up && h.nonce == nonce {
			do()
			m.react(h)
		}
	}
}

func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)))
}

func (m *model) note(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%8.3f ", m.now.Sub(testEpoch).Seconds())+fmt.Sprintf(format, args...))
}

// boot starts a process of a host. It reads the newest record of each key of the log.
func (m *model) boot(h *modelHost) {
	m.seq++
	h.nonce, h.up, h.generation, h.queue, h.run = int64(m.seq), true, 0, nil, nil
	h.l = New(Config{Host: h.name, Nonce: h.nonce, Shards: 1, MemberTTL: memberTTL, TakeoverDelay: takeoverDelay, Retention: retention})
	h.position = len(m.log)
	h.l.Apply(m.now, newestEntries(m.log))
	m.note("%s starts as %d", h.name, h.nonce)
	m.tick(h)
	m.read(h)
	m.join(h)
}

// newestEntries returns the entries of which the keyed topic of the log holds the records.
func newestEntries(log []Entry) []Entry {
	var keys []string
	newest := map[string]Entry{}
	for _, e := range log {
		key := "accepted"
		switch e := e.(type) {
		case HandoverAdopted:
			for part := range e.Parts {
				delete(newest, fmt.Sprint("handed over ", e.Host, part))
			}
			continue
		case TakenOver:
			key = "taken over " + e.Host
		case HandedOver:
			key = fmt.Sprint("handed over ", e.Host, e.Part)
		}
		if newest[key] == nil {
			keys = append(keys, key)
		}
		newest[key] = e
	}
	slices.Sort(keys)
	keys = slices.Compact(keys)
	var entries []Entry
	for _, k := range keys {
		if newest[k] != nil {
			entries = append(entries, newest[k])
		}
	}
	return entries
}

func (m *model) tick(h *modelHost) {
	m.on(h, func() {
		h.l.Tick(m.now)
		h.l.Handovers(m.now, func([]string) ([]HandedRun, []fleet.TaskName) {
			if h.run == nil {
				return nil, nil
			}
			return []HandedRun{{RunID: h.run.id, Owner: "o", Worker: "w", Fence: 1}}, nil
		})
		m.after(modelTick, func() { m.tick(h) })
	})()
}

func (m *model) read(h *modelHost) {
	m.on(h, func() {
		sent := m.now
		m.after(m.between(time.Millisecond, 5*time.Millisecond), m.on(h, func() {
			if m.rng.Float64() >= m.lossRate {
				h.l.Apply(m.now, m.log[h.position:])
				h.position = len(m.log)
				h.l.LogRead(sent)
			}
		}))
		m.after(m.between(modelRead/2, modelRead), func() { m.read(h) })
	})()
}

func (m *model) join(h *modelHost) {
	m.on(h, func() {
		sent := m.now
		answered := m.on(h, func() {
			listed := m.carryOutJoin(h.name, h.generation)
			if m.rng.Float64() < m.lossRate {
				return
			}
			generation := m.generation
			m.after(m.between(time.Millisecond, 5*time.Millisecond), m.on(h, func() {
				h.generation = generation
				h.l.Assigned(m.now, sent, generation, listed)
			}))
		})
		if m.rng.Float64() < m.lateRate {
			generation := h.generation
			m.after(m.between(time.Second, 6*time.Second), func() {
				if h.up {
					m.carryOutJoin(h.name, generation)
				}
			})
		} else {
			m.after(m.between(time.Millisecond, 5*time.Millisecond), answered)
		}
		m.after(m.between(modelJoin/3, modelJoin), func() { m.join(h) })
	})()
}

// carryOutJoin lets a member join the group and returns its shards.
func (m *model) carryOutJoin(name string, generation int64) []int {
	if _, ok := m.joined[name]; !ok {
		m.generation++
	}
	m.joined[name], m.joinedAt[name] = m.now, generation
	for member, at := range m.joined {
		if m.now.Sub(at) > memberTTL {
			delete(m.joined, member)
			m.generation++
		}
	}
	if _, ok := m.joined[m.target]; !ok {
		m.generation++
		m.target = name
	}
	if _, ok := m.joined[m.holder]; !ok || m.joinedAt[m.holder] >= m.generation {
		m.holder = m.target
	}
	if m.holder == name && m.target == name {
		return []int{0}
	}
	return nil
}

// reassign gives the shard to another member, at once or once its holder has joined with the
// new generation.
func (m *model) reassign() {
	var members []string
	for name := range m.joined {
		members = append(members, name)
	}
	slices.Sort(members)
	if len(members) == 0 {
		return
	}
	m.generation++
	m.target = members[m.rng.IntN(len(members))]
	if m.rng.IntN(2) == 0 {
		m.holder = m.target
	}
	m.note("the shard is reassigned to %s, generation %d", m.target, m.generation)
}

// append sends the first waiting append of a host, again and again until it is answered.
func (m *model) append(h *modelHost) {
	entries := h.queue[0]
	write := func() {
		m.note("in the log, from %s: %+v", h.name, entries)
		m.log = append(m.log, entries...)
	}
	again := m.on(h, func() { m.append(h) })
	switch {
	case m.rng.Float64() < m.lateRate:
		m.after(m.between(time.Second, 6*time.Second), write)
		m.after(modelRetry, again)
	case m.rng.Float64() < m.lossRate:
		write()
		m.after(modelRetry, again)
	default:
		write()
		m.after(m.between(time.Millisecond, 5*time.Millisecond), m.on(h, func() {
			h.l.Apply(m.now, entries)
			for _, o := range m.hosts {
				if o != h && m.rng.IntN(4) > 0 {
					m.after(m.between(time.Millisecond, 5*time.Millisecond), m.on(o, func() { o.l.Apply(m.now, entries) }))
				}
			}
			h.queue = h.queue[1:]
			if len(h.queue) > 0 {
				m.append(h)
			}
		}))
	}
}

// react carries out the actions of a ledger and checks that no driver starts the task while
// a run of it goes on that it does not know.
func (m *model) react(h *modelHost) {
	for _, a := range h.l.PopActions() {
		switch a := a.(type) {
		case AppendEntries:
			h.queue = append(h.queue, a.Entries)
			if len(h.queue) == 1 {
				m.append(h)
			}
		case Drive:
			m.note("%s drives, from run %d, with %v", h.name, a.FirstRun, a.Running)
			m.drive(h, a)
		case Release:
			m.note("%s releases", h.name)
			m.endLater(h, releasedRunTime)
		case LetGo:
			m.note("%s lets go", h.name)
			m.endLater(h, handedRunTime)
		case LogEvent:
			m.note("%s: %s, %s", h.name, a.Message, a.Why)
		}
	}
}

func (m *model) drive(h *modelHost, d Drive) {
	m.runs = slices.DeleteFunc(m.runs, func(r *modelRun) bool { return !r.endsAt.IsZero() && !m.now.Before(r.endsAt) })
	for _, r := range m.runs {
		if !slices.ContainsFunc(d.Running, func(o HandedRun) bool { return o.RunID == r.id }) {
			m.t.Errorf("%s drives while run %d of %s goes on\n%s", h.name, r.id.Run, r.driver.name, m.lastNotes())
		}
	}
	run := &modelRun{id: fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: d.FirstRun}, driver: h}
	for _, handed := range d.Running {
		run.id = handed.RunID
	}
	for _, r := range m.runs {
		if r.driver.run == r {
			r.driver.run = nil
		}
	}
	h.run, m.runs = run, []*modelRun{run}
}

func (m *model) lastNotes() string {
	text := ""
	for _, n := range m.trace[max(0, len(m.trace)-80):] {
		text += n + "\n"
	}
	return text
}

// endLater ends the run of a host that does not drive any more.
func (m *model) endLater(h *modelHost, most time.Duration) {
	if h.run != nil {
		h.run.endsAt = m.now.Add(m.between(0, most))
		h.run = nil
	}
}

func (m *model) run(d time.Duration) {
	end := m.now.Add(d)
	for len(m.events) > 0 && !m.events[0].at.After(end) {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
	m.now = end
}

// Guards against two drivers of a shard at the same time: appends and joins that the store
// carries out late or without an answer, and shards that go back and forth, let a host take
// the record of one host for the handover of another.
func TestOneDriverInEveryOrderOfTheLog(t *testing.T) {
	for seed := range uint64(*orders) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			m := &model{
				t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: testEpoch, joined: map[string]time.Time{}, joinedAt: map[string]int64{},
				log: []Entry{Accepted{Route: testRoute, Job: fleet.Job{ID: testJob, Steps: []fleet.Step{{Count: 1}}}}},
			}
			for i := range 3 {
				h := &modelHost{name: string(rune('a' + i))}
				m.hosts = append(m.hosts, h)
				m.boot(h)
			}
			m.run(5 * time.Second)
			for range 4 {
				m.lossRate, m.lateRate = 0.35*m.rng.Float64(), 0.35*m.rng.Float64()
				for range 4 {
					m.after(m.between(0, 3*time.Second), m.reassign)
				}
				if m.rng.IntN(3) == 0 {
					h := m.hosts[m.rng.IntN(len(m.hosts))]
					m.after(m.between(0, 3*time.Second), func() { m.restart(h) })
				}
				m.run(2500 * time.Millisecond)
				m.lossRate, m.lateRate = 0, 0
				m.run(m.between(time.Second, 4*time.Second))
			}
			m.run(12 * time.Second)
			require.True(t, slices.ContainsFunc(m.hosts, func(h *modelHost) bool { return h.run != nil }), "the shard has a driver\n%s", m.lastNotes())
		})
	}
}

// restart ends the process of a host and starts another.
func (m *model) restart(h *modelHost) {
	m.note("%s ends", h.name)
	h.up = false
	m.endLater(h, releasedRunTime)
	m.after(m.between(100*time.Millisecond, 2*time.Second), func() { m.boot(h) })
}
