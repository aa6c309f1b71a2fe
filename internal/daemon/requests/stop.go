package requests

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/identity"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Stop refuses new requests, hands over those that wait for a slot to peers, and
// waits until the rest are answered or ctx ends. Retries of requests in flight
// still join them.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.handOverQueued()
	s.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if left := s.activeCount(); left == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d requests in flight: %w", s.activeCount(), ctx.Err())
		}
	}
}

func (s *Service) activeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for _, c := range s.customers {
		left += len(c.active)
	}
	return left
}

// handOverQueued hands queued requests over to the peers in turn, or refuses
// them if no peer can accept them. Requests that may already have run are
// refused too. The lock is held.
func (s *Service) handOverQueued() {
	targets := s.deps.Peers.HandOverTargets()
	next := 0
	for _, c := range s.customers {
		for id, active := range c.active {
			run, ok := c.core.Withdraw(id)
			switch {
			case !ok:
			case len(targets) == 0 || run != errkind.NotRun:
				s.refuseStopping(c, id, run)
			default:
				s.handOver(c, active, targets[next%len(targets)])
				next++
			}
		}
	}
}

// Interrupt answers all arrivals that still wait, and those that follow, before the
// ports close under them. A request that was never sent has not run; whether another
// one runs is unknown.
func (s *Service) Interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = true
	for _, c := range s.customers {
		for _, active := range c.active {
			s.interrupt(c, active)
		}
	}
}

// interrupt answers the arrivals that wait for a request. The lock is held.
func (s *Service) interrupt(c *customer, active *activeRequest) {
	if len(active.waiters) == 0 {
		return
	}
	id := active.req.ID
	if run, ok := c.core.Withdraw(id); ok {
		s.refuseStopping(c, id, run)
		return
	}
	err := errkind.New(errkind.Stopping, "the entry host stops before the request has ended").WithRun(errkind.Unknown)
	s.deps.Recorder.Record(decision.Record{
		Part: decision.PartStop, Action: "interrupt", Rule: "planned-stop", Why: err.Detail,
		Subjects: []string{id}, Customer: c.name,
	})
	for w := range active.waiters {
		w.done <- identity.Result{Err: err}
	}
	clear(active.waiters)
}

func (s *Service) refuseStopping(c *customer, id string, run errkind.RunState) {
	err := errkind.New(errkind.Stopping, "the entry host is stopping and no peer can accept the request").WithRun(run)
	s.deps.Recorder.Record(decision.Record{
		Part: decision.PartStop, Action: "refuse", Rule: "planned-stop", Why: err.Detail,
		Subjects: []string{id}, Customer: c.name,
	})
	s.finish(c, id, identity.Result{Err: err, RetryAfter: time.Second})
}

func (s *Service) handOver(c *customer, active *activeRequest, to ids.Incarnation) {
	for _, a := range c.table.HandOver(active.req.ID, to) {
		if _, ok := a.(identity.Forward); ok {
			go s.forward(c, active, to, true)
			continue
		}
		s.applyIdentity(c, active.req.ID, []identity.Action{a})
	}
}
