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
	horizon    = 60 * time.Second
	callWait   = time.Second
	troubleEnd = 60 * time.Second
	worldEnd   = 150 * time.Second
)

// event is one thing that happens in the world at a time.
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

// given is one answer or refusal that a caller received.
type given struct {
	at      time.Duration
	key     Key
	answer  callerapi.JobAnswer
	refused *errkind.Error
}

// world is a modelled log, workers, a network and entry hosts.
type world struct {
	rng     *rand.Rand
	epoch   time.Time
	at      time.Duration
	queue   events
	seq     int
	log     []Record
	all     []Record
	first   int64
	logDown bool
	loss    float64
	hosts   []*host
	workers []*model
	byName  map[string]*model
	entries []string
	policy  placement.Policy
	starts  map[string]int
	// runs are the run times of tasks that have a fixed one.
	runs     map[string]time.Duration
	messages int
	refused  int
	// instant has every message arrive at once.
	instant bool
	given   []given
	arrived map[Key]int
	sizes   map[Key]int
	// closedAt is when the log took the first close.
	closedAt map[Key]time.Duration
}

func newWorld(seed uint64, hosts, workers int) *world {
	return newSizedWorld(seed, hosts, workers, 8, placement.PolicyHome)
}

func newSizedWorld(seed uint64, hosts, workers, cores int, policy placement.Policy) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), epoch: time.Unix(1_000_000, 0), first: 1,
		policy: policy, starts: map[string]int{}, runs: map[string]time.Duration{}, arrived: map[Key]int{}, sizes: map[Key]int{}, closedAt: map[Key]time.Duration{},
		byName: map[string]*model{},
	}
	for i := range workers {
		w.workers = append(w.workers, &model{world: w, name: fmt.Sprintf("worker-%d", i), cores: cores})
		w.byName[w.workers[i].name] = w.workers[i]
		w.workers[i].restart()
	}
	for i := range hosts {
		w.entries = append(w.entries, fmt.Sprintf("entry-%d", i))
	}
	for i := range hosts {
		h := &host{world: w, name: fmt.Sprintf("entry-%d", i)}
		w.hosts = append(w.hosts, h)
		h.start()
	}
	return w
}

func (w *world) now() time.Time { return w.epoch.Add(w.at) }

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.at + d, seq: w.seq, run: run})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.at = e.at
		e.run()
	}
	w.at = until
}

// between draws a duration.
func (w *world) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// message carries a request over the network. It may be lost, or come very
// late.
func (w *world) message(run func()) {
	if w.instant {
		w.after(0, run)
		return
	}
	delay := w.between(0, 3*time.Millisecond)
	if w.chance(w.loss / 2) {
		delay = w.between(0, 12*time.Second)
	}
	if !w.chance(w.loss) {
		w.after(delay, run)
	}
}
