package workerpool

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	simDelay = time.Millisecond
	simTick  = 10 * time.Millisecond
)

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if c := e[i].at.Compare(e[j].at); c != 0 {
		return c < 0
	}
	return e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simWorker is a worker of a simulated pool that executes each task at its speed;
// a speed of zero makes its runs stand still.
type simWorker struct {
	info    fleet.Worker
	speed   float64
	runs    map[fleet.RunID]time.Time
	ended   []fleet.RunEnd
	seq     int64
	waiting int64
}

// poolSim plays one pool and its workers in virtual time. Tasks that come back
// are offered again.
type poolSim struct {
	pool    *Pool
	now     time.Time
	seq     int
	events  simEvents
	workers map[string]*simWorker
	// nominal is the run time of each task on a worker of speed 1.
	nominal map[fleet.TaskName]time.Duration
	tasks   map[fleet.TaskName]offer.Task
	done    map[fleet.TaskName]time.Time
	// ranOn holds the worker of the last start of each task.
	ranOn map[fleet.TaskName]string
	stops []fleet.RunID
	slow  []SlowRun
	// stoppedAt and probations are the times of stops, and of workers' probations.
	stoppedAt, probations []time.Time
	// onDone is called when a task is done; it may be nil.
	onDone func(fleet.TaskName)
	// keep reports whether the job's host offers a returned task again; nil means that
	// it always does.
	keep func(offer.Task) bool
}

func newPoolSim(pool *Pool, cores int, speeds ...float64) *poolSim {
	s := &poolSim{
		pool: pool, now: epoch, workers: map[string]*simWorker{},
		nominal: map[fleet.TaskName]time.Duration{}, tasks: map[fleet.TaskName]offer.Task{}, done: map[fleet.TaskName]time.Time{},
		ranOn: map[fleet.TaskName]string{},
	}
	for i, speed := range speeds {
		w := &simWorker{info: testWorker(fmt.Sprintf("w%03d", i), cores), speed: speed, runs: map[fleet.RunID]time.Time{}}
		w.info.Labels = []string{fmt.Sprintf("kind-%.1f", speed)}
		s.workers[w.info.ID] = w
		pool.Adopt(s.now, w.info, 7)
	}
	s.after(simTick, s.tick)
	s.pump()
	return s
}

func (s *poolSim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

func (s *poolSim) tick() {
	s.pool.Tick(s.now)
	s.after(simTick, s.tick)
}

// run plays the pool for a time.
func (s *poolSim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
		s.pump()
	}
	s.now = end
}

// offer offers a task whose run time on a worker of speed 1 is nominal.
func (s *poolSim) offer(t offer.Task, nominal time.Duration) {
	s.nominal[t.Name], s.tasks[t.Name] = nominal, t
	s.pool.Offer(s.now, t)
	s.pump()
}

func (s *poolSim) runTime(w *simWorker, name fleet.TaskName) time.Duration {
	if w.speed == 0 {
		return time.Hour
	}
	return time.Duration(float64(s.nominal[name]) / w.speed)
}

func (s *poolSim) listing(w *simWorker) fleet.PollResponse {
	l := fleet.PollResponse{Clock: time.Minute + s.now.Sub(epoch), StartTime: 1, Ended: slices.Clone(w.ended)}
	for id, started := range w.runs {
		l.Running = append(l.Running, fleet.RunProgress{RunID: id, Percent: int(100 * s.now.Sub(started) / s.runTime(w, id.Task))})
	}
	slices.SortFunc(l.Running, func(a, b fleet.RunProgress) int { return a.Compare(b.RunID) })
	return l
}

func (s *poolSim) end(w *simWorker, id fleet.RunID, reason fleet.EndReason) {
	if _, ok := w.runs[id]; !ok {
		return
	}
	delete(w.runs, id)
	w.seq++
	w.ended = append(w.ended, fleet.RunEnd{Seq: w.seq, RunID: id, Reason: reason})
	s.answerPoll(w, w.waiting)
}

func (s *poolSim) answerPoll(w *simWorker, number int64) {
	if number == 0 {
		return
	}
	if number == w.waiting {
		w.waiting = 0
	}
	l := s.listing(w)
	s.after(simDelay, func() {
		s.pool.PollAnswered(s.now, w.info.ID, number, l)
		// No worker has had an owner before.
		settle(s.pool)
	})
}

// pump executes the pool's actions until there are none.
func (s *poolSim) pump() {
	for actions := s.pool.PopActions(s.now); len(actions) > 0; actions = s.pool.PopActions(s.now) {
		for _, a := range actions {
			s.execute(a)
		}
	}
}

func (s *poolSim) execute(a Action) {
	switch a := a.(type) {
	case Start:
		w := s.workers[a.Worker.ID]
		s.ranOn[a.Run.Task] = a.Worker.ID
		s.after(simDelay, func() {
			w.runs[a.Run] = s.now
			s.after(s.runTime(w, a.Run.Task), func() { s.end(w, a.Run, fleet.EndedDone) })
			s.pool.StartAnswered(s.now, w.info.ID, a.Run, a.Fence, fleet.StartAccepted, time.Minute+s.now.Sub(epoch))
		})
	case Stop:
		w := s.workers[a.Worker.ID]
		s.stops, s.stoppedAt = append(s.stops, a.Run), append(s.stoppedAt, s.now)
		s.after(simDelay, func() {
			s.end(w, a.Run, fleet.EndedStopped)
			s.pool.StopAnswered(s.now, w.info.ID, a.Run, true)
		})
	case Poll:
		w := s.workers[a.Worker.ID]
		s.after(simDelay, func() {
			w.ended = slices.DeleteFunc(w.ended, func(e fleet.RunEnd) bool { return e.Seq <= a.Acknowledged })
			if a.Wait == 0 || len(w.ended) > 0 {
				s.answerPoll(w, a.Number)
				return
			}
			w.waiting = a.Number
			s.after(a.Wait, func() {
				if w.waiting == a.Number {
					s.answerPoll(w, a.Number)
				}
			})
		})
	case SendOutcome:
		s.outcome(a.Outcome)
	case SlowRun:
		s.slow = append(s.slow, a)
	case LogEvent:
		if a.Message == "probation" {
			s.probations = append(s.probations, s.now)
		}
	}
}

func (s *poolSim) outcome(o offer.Outcome) {
	switch o.Result {
	case offer.Done:
		if _, ok := s.done[o.Task]; !ok {
			s.done[o.Task] = s.now
			if s.onDone != nil {
				s.onDone(o.Task)
			}
		}
	case offer.Returned:
		t := s.tasks[o.Task]
		if s.keep != nil && !s.keep(t) {
			return
		}
		t.NextRun, t.Avoid = o.Run+1, o.Worker
		s.pool.Offer(s.now, t)
	}
}
