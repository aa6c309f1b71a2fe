package requests

import (
	"context"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/dispatch"
	"github.com/parsleyhill/parsleyhill/internal/decide/identity"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// deadlineGrace is how long an arrival waits beyond its deadline for a result
// that states whether the request ran.
const deadlineGrace = 100 * time.Millisecond

// request is one arrival of a request, with its payload.
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

// waiter is an arrival that waits for its result.
type waiter struct {
	done chan identity.Result
}

// activeRequest is a request in progress on this host, with the arrivals that
// wait for its result.
type activeRequest struct {
	req     *request
	waiters map[*waiter]bool
	// deadline is the latest deadline of the arrivals.
	deadline time.Time
	messages int
	sends    int
}

// do passes an arrival to the identity table and waits for its result.
func (s *Service) do(ctx context.Context, req *request) identity.Result {
	w := &waiter{done: make(chan identity.Result, 1)}
	if err := s.arrive(req, w); err != nil {
		return identity.Result{Err: req.preIdentityError(err)}
	}
	timer := time.NewTimer(time.Until(req.Deadline) + deadlineGrace)
	defer timer.Stop()
	select {
	case result := <-w.done:
		if req.handOver {
			return result
		}
		return req.arrival.ResultFor(result)
	case <-ctx.Done():
		s.abandon(req, w)
		return identity.Result{Err: errkind.New(errkind.Cancelled, "the caller disconnected")}
	case <-timer.C:
		s.abandon(req, w)
		return identity.Result{Err: errkind.New(errkind.Timeout, "no answer before the deadline")}
	}
}

// preIdentityError returns an error that occurred before the identity table
// decided on the request. For a later attempt its run state is unknown, since an
// earlier attempt may have run.
func (r *request) preIdentityError(err *errkind.Error) *errkind.Error {
	if r.arrival.FirstAttempt || r.handOver {
		return err
	}
	return err.WithRun(errkind.Unknown)
}

// arrive adds the arrival to the active request with its id, which it creates
// if there is none, and executes the decisions of the identity table.
func (s *Service) arrive(req *request, w *waiter) *errkind.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, err := s.lookupCustomer(req.customer)
	if err != nil {
		return err
	}
	if s.stopping && !c.table.Deduplicates(req.ID) {
		return errkind.New(errkind.Stopping, "the entry host is stopping")
	}
	active, ok := c.active[req.ID]
	if !ok {
		active = &activeRequest{req: req, waiters: map[*waiter]bool{}}
		c.active[req.ID] = active
	}
	active.waiters[w] = true
	if req.Deadline.After(active.deadline) {
		active.deadline = req.Deadline
	}
	for _, a := range s.decideIdentity(c, req) {
		switch a := a.(type) {
		case identity.Refuse:
			s.deliver(c, active, w, identity.Result{Err: a.Err, RedirectTo: a.RedirectTo})
		case identity.Replay:
			s.deliver(c, active, w, a.Result)
		default:
			s.applyIdentity(c, req.ID, []identity.Action{a})
		}
	}
	if s.interrupted {
		s.interrupt(c, active)
	}
	return nil
}

func (s *Service) decideIdentity(c *customer, req *request) []identity.Action {
	now := time.Now()
	if req.handOver {
		return c.table.TakeOver(now, req.arrival, req.from)
	}
	if req.arrival.FirstAttempt || req.arrival.Idempotent {
		return c.table.Arrive(now, req.arrival, identity.PeerView{})
	}
	return c.table.Arrive(now, req.arrival, s.deps.Peers.View())
}

// deliver passes the result to one arrival. The lock is held.
func (s *Service) deliver(c *customer, active *activeRequest, w *waiter, r identity.Result) {
	delete(active.waiters, w)
	w.done <- r
	if len(active.waiters) == 0 && !c.table.InProgress(active.req.ID) {
		delete(c.active, active.req.ID)
	}
}

// deliverAll passes the result to all arrivals of the id. The lock is held.
func (s *Service) deliverAll(c *customer, id string, r identity.Result) {
	active, ok := c.active[id]
	if !ok {
		return
	}
	r.ExtraMessages = active.messages + c.slotMessages
	c.slotMessages = 0
	for w := range active.waiters {
		w.done <- r
	}
	delete(c.active, id)
}

// abandon removes an arrival whose caller no longer waits. A request that no
// caller waits for is cancelled if it still waits for a slot or for a retry.
func (s *Service) abandon(req *request, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.customers[req.customer]
	active, ok := c.active[req.ID]
	if !ok || !active.waiters[w] {
		return
	}
	delete(active.waiters, w)
	if len(active.waiters) > 0 {
		return
	}
	if run, ok := c.core.Withdraw(req.ID); ok {
		s.finish(c, req.ID, cancelled(run))
	}
}

func cancelled(run errkind.RunState) identity.Result {
	return identity.Result{Err: errkind.New(errkind.Cancelled, "all callers disconnected").WithRun(run)}
}

// applyIdentity executes actions of the identity table. The lock is held.
func (s *Service) applyIdentity(c *customer, id string, actions []identity.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case identity.Run:
			s.run(c, a.ID)
		case identity.SendFence:
			s.sendFences(c, a)
		case identity.Forward:
			s.startForward(c, a)
		case identity.Complete:
			s.deliverAll(c, id, a.Result)
		case identity.LogEvent:
			s.deps.Recorder.Record(a.Record)
		}
	}
}

// run passes a request to the dispatch core, or cancels it if no caller waits
// for it. The lock is held.
func (s *Service) run(c *customer, id string) {
	active, ok := c.active[id]
	if !ok || len(active.waiters) == 0 {
		s.finish(c, id, cancelled(errkind.NotRun))
		return
	}
	s.applyDispatch(c, c.core.Arrive(time.Now(), active.req.Request))
}

func (s *Service) startForward(c *customer, a identity.Forward) {
	active, ok := c.active[a.ID]
	if !ok {
		s.applyIdentity(c, a.ID, c.table.ForwardDone(time.Now(), a.ID, cancelled(errkind.Unknown)))
		return
	}
	go s.forward(c, active, a.To, false)
}

// finish passes to the identity table the result of a request that the table had
// this host run, even if the request did not run. The lock is held.
func (s *Service) finish(c *customer, id string, r identity.Result) {
	s.applyIdentity(c, id, c.table.Finish(time.Now(), id, r))
}
