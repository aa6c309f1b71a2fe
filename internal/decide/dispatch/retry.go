package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/retry"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// heldRequest waits out the delay before a retry.
type heldRequest struct {
	id string
	at time.Time
}

// again decides whether a failed request is sent again, and does so. It
// returns false if the request has ended.
func (c *Core) again(now time.Time, w *waiting, o Outcome) ([]Action, bool) {
	w.run = retry.CombineRunStates(w.run, o.Err.Run)
	v := c.retries.Decide(retry.Failure{
		ID: o.ID, Err: o.Err, Idempotent: w.req.Idempotent, Sends: w.sends, Remaining: w.req.Deadline.Sub(now),
	})
	why := fmt.Sprintf("%s: %s, %s, sent %d times", o.Backend, o.Err.Kind, o.Err.Run, w.sends)
	if !v.Retry {
		return []Action{c.note(decision.PartRetry, "give up", v.Rule, why, o.ID, o.Backend)}, false
	}
	w.skip(o.Backend)
	if v.Delay > 0 {
		c.held = append(c.held, heldRequest{id: o.ID, at: now.Add(v.Delay)})
	} else {
		c.queue.PushFront(w.item())
	}
	return []Action{c.note(decision.PartRetry, "retry", v.Rule, why, o.ID, o.Backend)}, true
}

// release puts held requests whose delay is over back into the queue.
func (c *Core) release(now time.Time) {
	c.held = slices.DeleteFunc(c.held, func(h heldRequest) bool {
		if now.Before(h.at) {
			return false
		}
		if w, ok := c.requests[h.id]; ok {
			// Servers that refused before may have room by now.
			w.tried = nil
			c.queue.PushFront(w.item())
		}
		return true
	})
}

// Withdraw takes a request out that waits for a slot or for its retry, and
// returns what is known of its run. It returns false, and changes nothing, for
// one that was sent and has no outcome.
func (c *Core) Withdraw(id string) (errkind.RunState, bool) {
	w, ok := c.requests[id]
	if !ok || w.backend != "" {
		return "", false
	}
	c.held = slices.DeleteFunc(c.held, func(h heldRequest) bool { return h.id == id })
	c.Cancel(id)
	return retry.CombineRunStates(w.run, errkind.NotRun), true
}

// known returns the error with what all sends of the request tell of its run.
func (w *waiting) known(err *errkind.Error) *errkind.Error {
	return err.WithRun(retry.CombineRunStates(w.run, err.Run))
}
