package jobs

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	horizon     = 60 * time.Second
	callTimeout = time.Second
	// injectionEnd is when the simulation stops starting faults and submitting
	// jobs. Faults that have started may last up to 30 s longer.
	injectionEnd  = 60 * time.Second
	simulationEnd = 150 * time.Second
)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// callerReply is one answer or refusal that a caller received.
type callerReply struct {
	at      time.Duration
	key     Key
	answer  callerapi.JobAnswer
	refused *errkind.Error
}

// simulation is a simulated log, network, workers and entry hosts.
type simulation struct {
	rng        *rand.Rand
	epoch      time.Time
	elapsed    time.Duration
	queue      events
	seq        int
	log        []Record
	allRecords []Record
	first      int64
	logDown    bool
	loss       float64
	hosts      []*simHost
	workers    []*simWorker
	byName     map[string]*simWorker
	entries    []string
	policy     placement.Policy
	starts     map[string]int
	// runTimes are the fixed run times of tasks; other tasks run for a random
	// time.
	runTimes map[string]time.Duration
	messages int
	refused  int
	// instant makes every message arrive without delay or loss.
	instant     bool
	replies     []callerReply
	submissions map[Key]int
	taskCounts  map[Key]int
	// closedAt is when the log accepted the first close of each submission.
	closedAt map[Key]time.Duration
}

func newSimulation(seed uint64, hosts, workers int) *simulation {
	return newSizedSimulation(seed, hosts, workers, 8, placement.PolicyHome)
}

func newSizedSimulation(seed uint64, hosts, workers, cores int, policy placement.Policy) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), epoch: time.Unix(1_000_000, 0), first: 1,
		policy: policy, starts: map[string]int{}, runTimes: map[string]time.Duration{}, submissions: map[Key]int{}, taskCounts: map[Key]int{}, closedAt: map[Key]time.Duration{},
		byName: map[string]*simWorker{},
	}
	for i := range workers {
		s.workers = append(s.workers, &simWorker{sim: s, name: fmt.Sprintf("worker-%d", i), cores: cores})
		s.byName[s.workers[i].name] = s.workers[i]
		s.workers[i].restart()
	}
	for i := range hosts {
		s.entries = append(s.entries, fmt.Sprintf("entry-%d", i))
	}
	for i := range hosts {
		h := &simHost{sim: s, name: fmt.Sprintf("entry-%d", i)}
		s.hosts = append(s.hosts, h)
		h.start()
	}
	return s
}

func (s *simulation) now() time.Time { return s.epoch.Add(s.elapsed) }

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.elapsed + d, seq: s.seq, run: run})
}

func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.elapsed = e.at
		e.run()
	}
	s.elapsed = until
}

// randomDuration returns a uniformly distributed duration from lo to hi.
func (s *simulation) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)+1))
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

// sendMessage delivers a message over the network, unless it is lost. It may
// arrive very late.
func (s *simulation) sendMessage(run func()) {
	if s.instant {
		s.after(0, run)
		return
	}
	delay := s.randomDuration(0, 3*time.Millisecond)
	if s.chance(s.loss / 2) {
		delay = s.randomDuration(0, 12*time.Second)
	}
	if !s.chance(s.loss) {
		s.after(delay, run)
	}
}
