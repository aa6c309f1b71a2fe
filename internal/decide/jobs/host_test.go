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

// host is one entry host's process with its core.
type host struct {
	world *world
	name  string
	inc   ids.Incarnation
	core  *Core
	read  int64
	life  int
	alive bool
	cut   bool
	// alone cuts the host off from its peers only.
	alone  bool
	frozen time.Duration
	opened bool
}

func (h *host) start() {
	w := h.world
	h.life++
	h.inc = ids.Incarnation(fmt.Sprintf("%s~%d", h.name, h.life))
	h.alive, h.opened, h.read = true, false, 0
	cfg := Config{Self: h.inc, Address: h.name, Horizon: horizon, Policy: w.policy, ReserveAfter: 50 * time.Millisecond}
	h.core = NewCore(w.now(), cfg, rand.New(rand.NewPCG(w.rng.Uint64(), 1)))
	var infos []WorkerInfo
	for i, m := range w.workers {
		rack := fmt.Sprintf("rack-%d", i/8)
		infos = append(infos, WorkerInfo{Name: m.name, Rack: rack, Capacity: placement.Size{Cores: m.cores, MemoryMB: 1 << 20}, Live: true})
	}
	h.do(func(now time.Time) { h.core.UpdateWorkers(now, infos, w.entries) })
	h.repeat(h.life, func() time.Duration { return 50 * time.Millisecond }, func(now time.Time) { h.core.Tick(now) })
	h.repeat(h.life, func() time.Duration { return w.between(2*time.Millisecond, 100*time.Millisecond) }, h.follow)
}

// do gives the core an event, once the host is not frozen.
func (h *host) do(run func(now time.Time)) { h.doLife(h.life, run) }

func (h *host) doLife(life int, run func(now time.Time)) {
	w := h.world
	switch {
	case !h.alive || h.life != life:
	case w.at < h.frozen:
		w.after(h.frozen-w.at, func() { h.doLife(life, run) })
	default:
		run(w.now())
		for _, a := range h.core.PopActions(w.now()) {
			w.after(w.between(0, time.Millisecond), func() { h.carry(life, a) })
		}
	}
}

func (h *host) repeat(life int, delay func() time.Duration, run func(now time.Time)) {
	if h.life != life {
		return
	}
	h.doLife(life, run)
	h.world.after(delay(), func() { h.repeat(life, delay, run) })
}

// follow reads the job stream as the shell does.
func (h *host) follow(now time.Time) {
	w := h.world
	last := w.first + int64(len(w.log)) - 1
	if w.logDown || h.cut {
		return
	}
	if !h.opened || h.read+1 < w.first {
		h.opened = true
		h.read = max(h.read, w.first-1)
		h.core.StreamOpened(now, w.first, last)
	}
	for h.read < last {
		h.read++
		h.core.ApplyRecord(now, h.read, w.log[h.read-w.first])
	}
}

func (h *host) carry(life int, a Action) {
	w := h.world
	if !h.alive || h.life != life {
		return
	}
	if w.at < h.frozen {
		w.after(h.frozen-w.at, func() { h.carry(life, a) })
		return
	}
	switch a := a.(type) {
	case Append:
		h.append(life, a.Record)
	case Answer:
		if !a.NotAfter.IsZero() && !w.now().Before(a.NotAfter) {
			h.do(func(time.Time) { h.core.AnswerExpired(a.Key) })
			return
		}
		w.given = append(w.given, given{at: w.at, key: a.Key, answer: a.Answer})
	case Refused:
		w.given = append(w.given, given{at: w.at, key: a.Key, refused: a.Err})
	case RequestLease:
		h.askLease(life, a)
	case Start:
		h.send(life, a)
	case QueryTasks:
		h.askTasks(life, a.Worker, a.Call, false)
	case StopTasks:
		h.askTasks(life, a.Worker, a.Call, true)
	case WatchResults:
		h.watch(life, w.worker(a.Worker), 0)
	}
}

func (h *host) append(life int, r Record) {
	w := h.world
	refuse := func() { h.doLife(life, func(now time.Time) { h.core.AppendRejected(now, r) }) }
	if w.logDown || h.cut {
		refuse()
		return
	}
	w.message(func() {
		if w.logDown {
			refuse()
			return
		}
		w.log = append(w.log, r)
		w.all = append(w.all, r)
		if _, ok := w.closedAt[r.Key]; !ok && r.Kind == KindClose {
			w.closedAt[r.Key] = w.at
		}
		w.message(func() { h.doLife(life, func(now time.Time) { h.core.AppendSucceeded(now, r) }) })
	})
}

// call does one call to a worker; reply is told false when none came in time.
func (h *host) call(life int, m *model, at func(), reply func(now time.Time, ok bool)) {
	w := h.world
	w.messages++
	replied := false
	w.message(func() {
		if m.down {
			return
		}
		at()
		w.message(func() {
			if !replied {
				replied = true
				h.doLife(life, func(now time.Time) { reply(now, true) })
			}
		})
	})
	w.after(callWait, func() {
		if !replied {
			replied = true
			h.doLife(life, func(now time.Time) { reply(now, false) })
		}
	})
}

func (h *host) askLease(life int, a RequestLease) {
	asked := h.world.now()
	m := h.world.worker(a.Worker)
	holder := string(h.inc)
	var lease workerapi.Lease
	h.call(life, m, func() { lease = m.lease(holder, a.TTL, a.Reserve.Cores) }, func(now time.Time, ok bool) {
		if !ok {
			h.core.LeaseFailed(now, a.Worker)
			return
		}
		h.core.LeaseGranted(now, asked, a.Worker, lease)
	})
}

func (h *host) send(life int, a Start) {
	w := h.world
	m := w.worker(a.Worker)
	sent := w.now()
	switch {
	case !sent.Before(a.NotAfter):
		h.do(func(now time.Time) { h.core.StartNotSent(now, a.ID, false) })
		return
	case m.down:
		h.do(func(now time.Time) { h.core.StartNotSent(now, a.ID, true) })
		return
	}
	var reply workerapi.StartReply
	h.call(life, m, func() { reply = m.start(a.Call) }, func(now time.Time, ok bool) {
		if !ok {
			h.core.StartReplyLost(now, a.ID)
			return
		}
		h.core.StartReplied(now, sent, a.ID, reply)
	})
}

func (h *host) askTasks(life int, name string, call workerapi.StopCall, stop bool) {
	m := h.world.worker(name)
	var states []workerapi.TaskState
	h.call(life, m, func() { states = m.states(call, stop) }, func(now time.Time, ok bool) {
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

// watch reads results as the shell does: the worker holds a reading open until
// a task ends.
func (h *host) watch(life int, m *model, after int64) {
	w := h.world
	w.messages++
	replied := false
	reply := func(now time.Time, page workerapi.Results, ok bool) {
		if ok {
			h.core.TasksEnded(now, m.name, page)
			for _, r := range page.Results {
				after = r.Seq
			}
		}
		if h.core.AwaitingResults(m.name) {
			w.after(0, func() { h.watch(life, m, after) })
		}
	}
	w.message(func() {
		if m.down {
			return
		}
		m.whenEnded(string(h.inc), after, func(page workerapi.Results) {
			w.message(func() {
				if !replied {
					replied = true
					h.doLife(life, func(now time.Time) { reply(now, page, true) })
				}
			})
		})
	})
	w.after(callWait, func() {
		if !replied {
			replied = true
			h.doLife(life, func(now time.Time) { reply(now, workerapi.Results{}, false) })
		}
	})
}

// submit has a caller send a job.
func (h *host) submit(spec callerapi.Job) {
	w := h.world
	k := Key{Customer: spec.Customer, Submission: spec.Submission}
	w.arrived[k]++
	w.sizes[k] = len(spec.Tasks)
	h.do(func(now time.Time) {
		if err := h.core.Submit(now, spec, "digest"); err != nil {
			w.given = append(w.given, given{at: w.at, key: k, refused: err})
		}
	})
}

// ask has a caller ask for a job; the owner is asked in its place.
func (h *host) ask(k Key) {
	h.do(func(now time.Time) {
		view := h.core.Lookup(now, k)
		switch view.Status {
		case StatusClosed:
			h.world.given = append(h.world.given, given{at: h.world.at, key: k, answer: view.Answer})
		case StatusRemote:
			h.askOwner(now, k, view.Owner)
		}
	})
}

func (h *host) askOwner(now time.Time, k Key, owner ids.Incarnation) {
	w := h.world
	for _, o := range w.hosts {
		if o.name != owner.Host() {
			continue
		}
		reachable := o.alive && w.at >= o.frozen && !o.cut && !h.cut && !o.alone && !h.alone
		if reachable && o.inc == owner {
			if view := o.core.Lookup(now, k); view.Status == StatusClosed {
				w.given = append(w.given, given{at: w.at, key: k, answer: view.Answer})
			}
			return
		}
		if err := h.core.OwnerUnreachable(now, k, owner, reachable); err != nil {
			w.given = append(w.given, given{at: w.at, key: k, refused: err})
		}
	}
}
