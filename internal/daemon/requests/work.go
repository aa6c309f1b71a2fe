package requests

import (
	"context"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/dispatch"
	"github.com/parsleyhill/parsleyhill/internal/decide/identity"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// deadlineGrace is how long an arrival waits beyond its deadline for the
// result that says what became of the request.
const deadlineGrace = 100 * time.Millisecond

// request is one arrival of a request with its payload.
type request struct {
	dispatch.Request
	customer    string
	contentType string
	body        []byte
	arrival     identity.Arrival
	// from is the entry host that forwarded the arrival, or empty.
	from     ids.Incarnation
	handOver bool
}

// waiter is one arrival that waits for a result.
type waiter struct {
	done chan identity.Result
}

// work is a request in progress here: its payload and who waits for it.
type work struct {
	req     *request
	waiters map[*waiter]bool
	// deadline is the latest deadline of the arrivals.
	deadline time.Time
	messages int
	sends    int
}

// do gives an arrival to the identity table and waits for its result.
func (s *Service) do(ctx context.Context, req *request) identity.Result {
	me := &waiter{done: make(chan identity.Result, 1)}
	if err := s.arrive(req, me); err != nil {
		return identity.Result{Err: req.unproven(err)}
	}
	timer := time.NewTimer(time.Until(req.Deadline) + deadlineGrace)
	defer timer.Stop()
	select {
	case result := <-me.done:
		return result
	case <-ctx.Done():
		s.abandon(req, me)
		return identity.Result{Err: errkind.New(errkind.Cancelled, "the caller has gone")}
	case <-timer.C:
		s.abandon(req, me)
		return identity.Result{Err: errkind.New(errkind.Timeout, "no answer at the deadline")}
	}
}

// unproven returns an error from before the request's identity was settled.
// Of a later attempt it is not known whether an earlier one ran.
func (r *request) unproven(err *errkind.Error) *errkind.Error {
	if r.arrival.FirstAttempt || r.handOver {
		return err
	}
	return err.WithRun(errkind.Unknown)
}

// arrive adds the arrival to the work of its id.
func (s *Service) arrive(req *request, me *waiter) *errkind.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, err := s.known(req.customer)
	if err != nil {
		return err
	}
	if s.stopping && !c.table.Deduplicates(req.ID) {
		return errkind.New(errkind.Stopping, "the entry host is stopping")
	}
	w, ok := c.work[req.ID]
	if !ok {
		w = &work{req: req, waiters: map[*waiter]bool{}}
		c.work[req.ID] = w
	}
	w.waiters[me] = true
	if req.Deadline.After(w.deadline) {
		w.deadline = req.Deadline
	}
	for _, a := range s.decide(c, req) {
		switch a := a.(type) {
		case identity.Refuse:
			s.deliver(c, w, me, identity.Result{Err: a.Err, RedirectTo: a.RedirectTo})
		case identity.Replay:
			s.deliver(c, w, me, a.Result)
		default:
			s.applyIdentity(c, req.ID, []identity.Action{a})
		}
	}
	return nil
}

func (s *Service) decide(c *customer, req *request) []identity.Action {
	now := time.Now()
	if req.handOver {
		return c.table.TakeOver(now, req.arrival, req.from)
	}
	if req.arrival.FirstAttempt || req.arrival.Idempotent {
		return c.table.Arrive(now, req.arrival, identity.PeerView{})
	}
	return c.table.Arrive(now, req.arrival, s.deps.Peers.View())
}

// deliver gives one arrival its result. The lock is held.
func (s *Service) deliver(c *customer, w *work, me *waiter, r identity.Result) {
	delete(w.waiters, me)
	me.done <- r
	if len(w.waiters) == 0 && !c.table.InProgress(w.req.ID) {
		delete(c.work, w.req.ID)
	}
}

// deliverAll gives every arrival of the id its result. The lock is held.
func (s *Service) deliverAll(c *customer, id string, r identity.Result) {
	w, ok := c.work[id]
	if !ok {
		return
	}
	r.ExtraMessages = w.messages + c.askMessages
	c.askMessages = 0
	for me := range w.waiters {
		me.done <- r
	}
	delete(c.work, id)
}

// abandon takes an arrival out whose caller waits no longer. Work that nobody
// waits for is cancelled if it was not sent.
func (s *Service) abandon(req *request, me *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.customers[req.customer]
	w, ok := c.work[req.ID]
	if !ok || !w.waiters[me] {
		return
	}
	delete(w.waiters, me)
	if len(w.waiters) > 0 {
		return
	}
	if run, ok := c.core.Withdraw(req.ID); ok {
		s.finish(c, req.ID, cancelled(run))
	}
}

func cancelled(run errkind.RunState) identity.Result {
	return identity.Result{Err: errkind.New(errkind.Cancelled, "every caller has gone").WithRun(run)}
}

// applyIdentity carries out actions of the identity table. The lock is held.
func (s *Service) applyIdentity(c *customer, id string, actions []identity.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case identity.Run:
			s.run(c, a.ID)
		case identity.SendFence:
			s.ask(c, a)
		case identity.Forward:
			s.call(c, a)
		case identity.Complete:
			s.deliverAll(c, id, a.Result)
		case identity.LogEvent:
			s.deps.Recorder.Record(a.Record)
		}
	}
}

// run gives a request to the dispatch core, unless nobody waits for it.
func (s *Service) run(c *customer, id string) {
	w, ok := c.work[id]
	if !ok || len(w.waiters) == 0 {
		s.finish(c, id, cancelled(errkind.NotRun))
		return
	}
	s.apply(c, c.core.Arrive(time.Now(), w.req.Request))
}

func (s *Service) call(c *customer, a identity.Forward) {
	w, ok := c.work[a.ID]
	if !ok {
		s.applyIdentity(c, a.ID, c.table.ForwardDone(time.Now(), a.ID, cancelled(errkind.Unknown)))
		return
	}
	go s.forward(c, w, a.To, false)
}

// finish ends a request that ran here. The lock is held.
func (s *Service) finish(c *customer, id string, r identity.Result) {
	s.applyIdentity(c, id, c.table.Finish(time.Now(), id, r))
}
