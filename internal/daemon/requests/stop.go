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

// Stop refuses new requests, hands on those that wait for a slot, and waits
// until the rest are answered or ctx ends. Arrivals of requests in flight still
// join them.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.handOn()
	s.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if left := s.inProgress(); left == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d requests in flight: %w", s.inProgress(), ctx.Err())
		}
	}
}

func (s *Service) inProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for _, c := range s.customers {
		left += len(c.work)
	}
	return left
}

// handOn hands queued requests to peers in turn, or refuses them if no peer
// can take them. The lock is held.
func (s *Service) handOn() {
	takers := s.deps.Peers.HandOverTargets()
	next := 0
	for _, c := range s.customers {
		for id, w := range c.work {
			run, ok := c.core.Withdraw(id)
			switch {
			case !ok:
			case len(takers) == 0 || run != errkind.NotRun:
				s.refuseStopping(c, id, run)
			default:
				s.handOver(c, w, takers[next%len(takers)])
				next++
			}
		}
	}
}

func (s *Service) refuseStopping(c *customer, id string, run errkind.RunState) {
	err := errkind.New(errkind.Stopping, "the entry host stops and no peer can take the request").WithRun(run)
	s.deps.Recorder.Record(decision.Record{
		Part: decision.PartStop, Action: "refuse", Rule: "planned-stop", Why: err.Detail,
		Subjects: []string{id}, Customer: c.name,
	})
	s.finish(c, id, identity.Result{Err: err, RetryAfter: time.Second})
}

func (s *Service) handOver(c *customer, w *work, to ids.Incarnation) {
	for _, a := range c.table.HandOver(w.req.ID, to) {
		if _, ok := a.(identity.Forward); ok {
			go s.forward(c, w, to, true)
			continue
		}
		s.applyIdentity(c, w.req.ID, []identity.Action{a})
	}
}
