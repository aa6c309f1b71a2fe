package jobs

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// simHost is a simulated entry host with its Core. Each start of its process is
// a new generation; events and actions of earlier ones are dropped.
type simHost struct {
	sim          *simulation
	name         string
	incarnation  ids.Incarnation
	core         *Core
	read         int64
	generation   int
	alive        bool
	disconnected bool
	// peersDisconnected cuts the host off from its peers only.
	peersDisconnected bool
	frozenUntil       time.Duration
	opened            bool
}

func (h *simHost) start() {
	s := h.sim
	h.generation++
	h.incarnation = ids.Incarnation(fmt.Sprintf("%s~%d", h.name, h.generation))
	h.alive, h.opened, h.read = true, false, 0
	cfg := Config{Self: h.incarnation, Address: h.name, Horizon: horizon, Policy: s.policy, ReserveAfter: 50 * time.Millisecond}
	h.core = NewCore(s.now(), cfg, rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
	var infos []WorkerInfo
	for i, w := range s.workers {
		rack := fmt.Sprintf("rack-%d", i/8)
		infos = append(infos, WorkerInfo{Name: w.name, Rack: rack, Capacity: placement.Size{Cores: w.cores, MemoryMB: 1 << 20}, Live: true})
	}
	h.do(func(now time.Time) { h.core.UpdateWorkers(now, infos, s.entries) })
	h.repeat(h.generation, func() time.Duration { return 50 * time.Millisecond }, func(now time.Time) { h.core.Tick(now) })
	h.repeat(h.generation, func() time.Duration { return s.randomDuration(2*time.Millisecond, 100*time.Millisecond) }, h.readStream)
}

// do passes an event to the core once the host is not frozen.
func (h *simHost) do(run func(now time.Time)) { h.doInGeneration(h.generation, run) }

func (h *simHost) doInGeneration(generation int, run func(now time.Time)) {
	s := h.sim
	switch {
	case !h.alive || h.generation != generation:
	case s.elapsed < h.frozenUntil:
		s.after(h.frozenUntil-s.elapsed, func() { h.doInGeneration(generation, run) })
	default:
		run(s.now())
		for _, a := range h.core.PopActions(s.now()) {
			s.after(s.randomDuration(0, time.Millisecond), func() { h.execute(generation, a) })
		}
	}
}

func (h *simHost) repeat(generation int, delay func() time.Duration, run func(now time.Time)) {
	if h.generation != generation {
		return
	}
	h.doInGeneration(generation, run)
	h.sim.after(delay(), func() { h.repeat(generation, delay, run) })
}

// readStream reads the job stream as the daemon does.
func (h *simHost) readStream(now time.Time) {
	s := h.sim
	last := s.first + int64(len(s.log)) - 1
	if s.logDown || h.disconnected {
		return
	}
	if !h.opened || h.read+1 < s.first {
		h.opened = true
		h.read = max(h.read, s.first-1)
		h.core.StreamOpened(now, s.first, last)
	}
	for h.read < last {
		h.read++
		h.core.ApplyRecord(now, h.read, s.log[h.read-s.first])
	}
}

func (h *simHost) execute(generation int, a Action) {
	s := h.sim
	if !h.alive || h.generation != generation {
		return
	}
	if s.elapsed < h.frozenUntil {
		s.after(h.frozenUntil-s.elapsed, func() { h.execute(generation, a) })
		return
	}
	switch a := a.(type) {
	case Append:
		h.append(generation, a.Record)
	case Answer:
		if !a.NotAfter.IsZero() && !s.now().Before(a.NotAfter) {
			h.do(func(time.Time) { h.core.AnswerExpired(a.Key) })
			return
		}
		s.replies = append(s.replies, callerReply{at: s.elapsed, key: a.Key, answer: a.Answer})
	case Refused:
		s.replies = append(s.replies, callerReply{at: s.elapsed, key: a.Key, refused: a.Err})
	case RequestLease:
		h.requestLease(generation, a)
	case Start:
		h.sendStart(generation, a)
	case QueryTasks:
		h.queryOrStop(generation, a.Worker, a.Call, false)
	case StopTasks:
		h.queryOrStop(generation, a.Worker, a.Call, true)
	case WatchResults:
		h.watch(generation, s.worker(a.Worker), 0)
	}
}

func (h *simHost) append(generation int, r Record) {
	s := h.sim
	refuse := func() { h.doInGeneration(generation, func(now time.Time) { h.core.AppendRejected(now, r) }) }
	if s.logDown || h.disconnected {
		refuse()
		return
	}
	s.sendMessage(func() {
		if s.logDown {
			refuse()
			return
		}
		s.log = append(s.log, r)
		s.allRecords = append(s.allRecords, r)
		if _, ok := s.closedAt[r.Key]; !ok && r.Kind == KindClose {
			s.closedAt[r.Key] = s.elapsed
		}
		s.sendMessage(func() { h.doInGeneration(generation, func(now time.Time) { h.core.AppendSucceeded(now, r) }) })
	})
}

// call makes one call to a worker. It runs reply with false if no reply came in
// time.
func (h *simHost) call(generation int, w *simWorker, at func(), reply func(now time.Time, ok bool)) {
	s := h.sim
	s.messages++
	replied := false
	s.sendMessage(func() {
		if w.down {
			return
		}
		at()
		s.sendMessage(func() {
			if !replied {
				replied = true
				h.doInGeneration(generation, func(now time.Time) { reply(now, true) })
			}
		})
	})
	s.after(callTimeout, func() {
		if !replied {
			replied = true
			h.doInGeneration(generation, func(now time.Time) { reply(now, false) })
		}
	})
}

func (h *simHost) requestLease(generation int, a RequestLease) {
	requestedAt := h.sim.now()
	w := h.sim.worker(a.Worker)
	holder := string(h.incarnation)
	var lease workerapi.Lease
	h.call(generation, w, func() { lease = w.lease(holder, a.TTL, a.Reserve.Cores) }, func(now time.Time, ok bool) {
		if !ok {
			h.core.LeaseFailed(now, a.Worker)
			return
		}
		h.core.LeaseGranted(now, requestedAt, a.Worker, lease)
	})
}

func (h *simHost) sendStart(generation int, a Start) {
	s := h.sim
	w := s.worker(a.Worker)
	sent := s.now()
	switch {
	case !sent.Before(a.NotAfter):
		h.do(func(now time.Time) { h.core.StartNotSent(now, a.ID, false) })
		return
	case w.down:
		h.do(func(now time.Time) { h.core.StartNotSent(now, a.ID, true) })
		return
	}
	var reply workerapi.StartReply
	h.call(generation, w, func() { reply = w.start(a.Call) }, func(now time.Time, ok bool) {
		if !ok {
			h.core.StartReplyLost(now, a.ID)
			return
		}
		h.core.StartReplied(now, sent, a.ID, reply)
	})
}

func (h *simHost) queryOrStop(generation int, name string, call workerapi.StopCall, stop bool) {
	w := h.sim.worker(name)
	var states []workerapi.TaskState
	h.call(generation, w, func() { states = w.states(call, stop) }, func(now time.Time, ok bool) {
		switch {
		case ok && stop:
			h.core.TasksStopped(now, name, call, states)
		case ok:
			h.core.TasksQueried(now, name, call, states)
		case stop:
			h.core.TaskStopFailed(now, name, call)
		default:
			h.core.TaskQueryFailed(now, name, call)
		}
	})
}

// watch reads results as the daemon does: the worker delays the answer to a
// read until a task ends.
func (h *simHost) watch(generation int, w *simWorker, after int64) {
	s := h.sim
	s.messages++
	replied := false
	reply := func(now time.Time, page workerapi.Results, ok bool) {
		if ok {
			h.core.TasksEnded(now, w.name, page)
			for _, r := range page.Results {
				after = r.Seq
			}
		}
		if h.core.AwaitingResults(w.name) {
			s.after(0, func() { h.watch(generation, w, after) })
		}
	}
	s.sendMessage(func() {
		if w.down {
			return
		}
		w.waitForResults(string(h.incarnation), after, func(page workerapi.Results) {
			s.sendMessage(func() {
				if !replied {
					replied = true
					h.doInGeneration(generation, func(now time.Time) { reply(now, page, true) })
				}
			})
		})
	})
	s.after(callTimeout, func() {
		if !replied {
			replied = true
			h.doInGeneration(generation, func(now time.Time) { reply(now, workerapi.Results{}, false) })
		}
	})
}

// submit sends a job as a caller.
func (h *simHost) submit(spec callerapi.Job) {
	s := h.sim
	k := Key{Customer: spec.Customer, Submission: spec.Submission}
	s.submissions[k]++
	s.taskCounts[k] = len(spec.Tasks)
	h.do(func(now time.Time) {
		if err := h.core.Submit(now, spec, "digest"); err != nil {
			s.replies = append(s.replies, callerReply{at: s.elapsed, key: k, refused: err})
		}
	})
}

// lookup asks for a job as a caller. If another host owns the job, that host is
// asked instead.
func (h *simHost) lookup(k Key) {
	h.do(func(now time.Time) {
		view := h.core.Lookup(now, k)
		switch view.Status {
		case StatusClosed:
			h.sim.replies = append(h.sim.replies, callerReply{at: h.sim.elapsed, key: k, answer: view.Answer})
		case StatusRemote:
			h.askOwner(now, k, view.Owner)
		}
	})
}

func (h *simHost) askOwner(now time.Time, k Key, owner ids.Incarnation) {
	s := h.sim
	for _, o := range s.hosts {
		if o.name != owner.Host() {
			continue
		}
		reachable := o.alive && s.elapsed >= o.frozenUntil && !o.disconnected && !h.disconnected && !o.peersDisconnected && !h.peersDisconnected
		if reachable && o.incarnation == owner {
			if view := o.core.Lookup(now, k); view.Status == StatusClosed {
				s.replies = append(s.replies, callerReply{at: s.elapsed, key: k, answer: view.Answer})
			}
			return
		}
		if err := h.core.OwnerUnreachable(now, k, owner, reachable); err != nil {
			s.replies = append(s.replies, callerReply{at: s.elapsed, key: k, refused: err})
		}
	}
}
