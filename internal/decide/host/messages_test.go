package host

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/coordinator"
	"github.com/parsleyhill/parsleyhill/internal/decide/workerpool"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

func (w *world) reconcile(h *simHost) {
	for _, a := range h.core.Reconcile(w.now) {
		w.execute(h, a)
	}
}

func (w *world) execute(h *simHost, a Action) {
	switch a := a.(type) {
	case workerpool.Start:
		sw, id := w.workerAt(a.Worker), a.Worker.ID
		w.note(a.Run.Task.Job, "%s orders %v on %s for %s", h.name, a.Run, id, a.Host)
		w.sendOrder(h, sw, a.Timeout, func(answered bool) func() {
			verdict, clock := fleet.StartUnknown, time.Duration(0)
			switch {
			case answered && sw.info.ID != id:
				verdict = fleet.StartWrongWorker
			case answered:
				verdict, clock = sw.start(a), sw.now()
			}
			return func() { h.core.Pool.StartAnswered(w.now, id, a.Run, a.Fence, verdict, clock) }
		}, func() {
			if sw.info.ID == id {
				sw.start(a)
			}
		})
	case workerpool.Stop:
		sw, id := w.workerAt(a.Worker), a.Worker.ID
		if w.stopsLost {
			w.after(a.Timeout, w.on(h, func() { h.core.Pool.StopAnswered(w.now, id, a.Run, false) }))
			return
		}
		w.note(a.Run.Task.Job, "%s orders the stop of %v on %s: %s", h.name, a.Run, id, a.Why)
		w.sendOrder(h, sw, a.Timeout, func(answered bool) func() {
			ok := answered && sw.info.ID == id && sw.stop(a)
			return func() { h.core.Pool.StopAnswered(w.now, id, a.Run, ok) }
		}, func() {
			if sw.info.ID == id {
				sw.stop(a)
			}
		})
	case workerpool.Poll:
		w.poll(h, a)
	case Send:
		w.send(h, a.Host, a.Message)
	case Broadcast:
		for _, o := range w.hosts {
			w.deliver(h, o, func() { o.core.Receive(w.now, h.name, a.Message) })
		}
	case RunClaimed:
		w.note(a.Run.Task.Job, "%s claims %v on %s from %s, was %+v", h.name, a.Run, a.Worker, a.Owner, a.Before)
	case Append:
		w.appendToLog(h, a, func() {})
	case coordinator.Answer:
		if !a.Stored {
			w.answer(h, a)
		}
	}
}

// sendOrder delivers an order to a worker. Its answer may be lost, and the order
// may be executed late. deliver executes the order if it is answered, and
// returns the host's handler of the answer; executeUnanswered only executes it.
func (w *world) sendOrder(h *simHost, sw *simWorker, timeout time.Duration, deliver func(answered bool) func(), executeUnanswered func()) {
	unanswered := func() { w.after(timeout, w.on(h, deliver(false))) }
	w.after(w.delay(), func() {
		switch {
		case sw.down || !w.linked(h.name, sw.info.Address):
			unanswered()
		case w.rng.Float64() < w.lateRate:
			startTime := sw.startTime
			w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(4*time.Second))), func() {
				if !sw.down && sw.startTime.Equal(startTime) {
					executeUnanswered()
				}
			})
			unanswered()
		case w.rng.Float64() < w.lossRate:
			executeUnanswered()
			unanswered()
		default:
			w.after(w.delay(), w.on(h, deliver(true)))
		}
	})
}

func (w *world) poll(h *simHost, a workerpool.Poll) {
	sw, id := w.workerAt(a.Worker), a.Worker.ID
	fail := func(after time.Duration, failure fleet.CallFailure) {
		w.after(after, w.on(h, func() { h.core.Pool.PollFailed(w.now, id, a.Number, failure) }))
	}
	failed := func(visible fleet.CallFailure) {
		if sw.down && !sw.silent && w.linked(h.name, sw.info.Address) {
			fail(w.delay(), visible)
			return
		}
		fail(a.Wait+a.Timeout, fleet.CallTimedOut)
	}
	w.after(w.delay(), func() {
		if sw.down || !w.linked(h.name, sw.info.Address) {
			failed(fleet.CallProcessEnded)
			return
		}
		if sw.info.ID != id {
			w.after(w.delay(), w.on(h, func() { h.core.Pool.WorkerReplaced(w.now, id) }))
			return
		}
		if a.LeaseUntil > 0 && a.Fence >= sw.fence {
			w.noteRenewal(h, sw, a.LeaseUntil)
		}
		if !sw.poll(a) {
			w.after(w.delay(), w.on(h, func() { h.core.Pool.Fenced(w.now, id, a.Number, a.Fence) }))
			return
		}
		answered := false
		reply := func() {
			if answered {
				return
			}
			answered = true
			if sw.down || sw.info.ID != id || !w.linked(h.name, sw.info.Address) {
				failed(fleet.CallClosed)
				return
			}
			l := sw.listing()
			w.after(w.delay(), w.on(h, func() { h.core.Pool.PollAnswered(w.now, id, a.Number, l) }))
		}
		if a.Wait == 0 || len(sw.ended) > 0 {
			reply()
			return
		}
		sw.waitingPolls = append(sw.waitingPolls, reply)
		w.after(a.Wait, reply)
	})
}

func (w *world) send(h *simHost, to string, m Message) {
	for _, o := range w.hosts {
		if o.name != to {
			continue
		}
		if !w.deliver(h, o, func() { o.core.Receive(w.now, h.name, m) }) {
			h.core.Coordinator.HostLost(w.now, to)
		}
	}
}
