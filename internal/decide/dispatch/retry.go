package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/retry"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// delayedRequest is a request that waits for the delay before its retry.
type delayedRequest struct {
	id string
	at time.Time
}

// retryOrGiveUp decides whether a failed request is sent again, and if so
// queues it, at once or after the delay. It returns false if the request has
// ended.
func (c *Core) retryOrGiveUp(now time.Time, w *activeRequest, o Outcome) ([]Action, bool) {
	w.run = retry.CombineRunStates(w.run, o.Err.Run)
	v := c.retries.Decide(retry.Failure{
		ID: o.ID, Err: o.Err, Idempotent: w.req.Idempotent, Sends: w.sends, Remaining: w.req.Deadline.Sub(now),
	})
	why := fmt.Sprintf("%s: %s, %s, sent %d times", o.Backend, o.Err.Kind, o.Err.Run, w.sends)
	if !v.Retry {
		return []Action{c.logEvent(decision.PartRetry, "give up", v.Rule, why, o.ID, o.Backend)}, false
	}
	w.markTried(o.Backend)
	if v.Delay > 0 {
		c.delayed = append(c.delayed, delayedRequest{id: o.ID, at: now.Add(v.Delay)})
	} else {
		c.queue.PushFront(w.item())
	}
	return []Action{c.logEvent(decision.PartRetry, "retry", v.Rule, why, o.ID, o.Backend)}, true
}

// requeueDelayed puts requests whose retry delay is over back into the queue.
func (c *Core) requeueDelayed(now time.Time) {
	c.delayed = slices.DeleteFunc(c.delayed, func(d delayedRequest) bool {
		if now.Before(d.at) {
			return false
		}
		if w, ok := c.requests[d.id]; ok {
			// Servers that refused earlier may have free capacity by now.
			w.tried = nil
			c.queue.PushFront(w.item())
		}
		return true
	})
}

// Withdraw removes a request that waits for a slot or for its retry, and returns
// whether the request ran, as far as is known from its earlier sends: NotRun if
// it was never sent. For a request in flight or an unknown id it returns false
// and changes nothing.
func (c *Core) Withdraw(id string) (errkind.RunState, bool) {
	w, ok := c.requests[id]
	if !ok || w.backend != "" {
		return "", false
	}
	c.delayed = slices.DeleteFunc(c.delayed, func(d delayedRequest) bool { return d.id == id })
	c.Cancel(id)
	return retry.CombineRunStates(w.run, errkind.NotRun), true
}

// withKnownRun returns err with the run state that follows from all sends
// of the request.
func (w *activeRequest) withKnownRun(err *errkind.Error) *errkind.Error {
	return err.WithRun(retry.CombineRunStates(w.run, err.Run))
}
