// Package dispatch decides what becomes of each request of one customer on
// one entry host: wait, send, retry or refuse. It is pure: events and the
// time go in, actions come out.
package dispatch

import (
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/admit"
	"github.com/parsleyhill/parsleyhill/internal/decide/eject"
	"github.com/parsleyhill/parsleyhill/internal/decide/retry"
	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// Request is what a decision needs to know about a request.
type Request struct {
	ID         string
	Team       string
	Idempotent bool
	// Deadline is the latest time for the answer.
	Deadline time.Time
	// Declared is the declared run time, or 0.
	DeclaredRunTime time.Duration
}

// Action is something that the caller of Core has to do.
type Action interface{ action() }

// Send asks to send a request to a backend server once.
type Send struct {
	ID      string
	Backend string
}

// Finish ends a request with an error.
type Finish struct {
	ID         string
	Err        *errkind.Error
	RetryAfter time.Duration
}

// Note asks to record a decision.
type LogEvent struct {
	Record decision.Record
}

func (Send) action()     {}
func (Finish) action()   {}
func (LogEvent) action() {}

// Outcome is the end of one send.
type Outcome struct {
	ID      string
	Backend string
	// Err is nil after a whole answer.
	Err *errkind.Error
	// Load is how many requests the server held when it answered, the answered
	// one included, or 0 if it did not say.
	Load int
	// Leaving is set if the server said that it leaves.
	Leaving bool
}

// waiting is a request that has not been answered.
type waiting struct {
	req     Request
	arrived time.Time
	backend string
	sent    time.Time
	tried   map[string]bool
	// cancelled keeps a request that was sent from being sent again.
	cancelled bool
	sends     int
	// run is what the sends so far tell of the request's run.
	run errkind.RunState
	// probe is set if the last send took no slot of the selector.
	probe bool
}

func (w *waiting) item() admit.Item {
	return admit.Item{
		ID: w.req.ID, Team: w.req.Team, Deadline: w.req.Deadline, Declared: w.req.DeclaredRunTime, Arrived: w.arrived,
	}
}

// Core holds the requests of one customer on one entry host. It is not safe
// for concurrent use.
type Core struct {
	customer string
	rules    standing.Customer
	selector route.Selector
	queue    *admit.Queue
	requests map[string]*waiting
	retries  *retry.Policy
	held     []heldRequest
	watch    *eject.Watch
	listed   []route.Backend
	relisted bool
}

// New returns an empty core.
func New(customer string, rules standing.Customer, selector route.Selector) *Core {
	rules = rules.WithDefaults()
	return &Core{
		customer: customer,
		rules:    rules,
		selector: selector,
		queue:    admit.NewQueue(rules),
		requests: map[string]*waiting{},
		retries:  retry.New(rules.RetryRatio),
		watch:    eject.New(customer, rules.Eject),
	}
}

// SetRules replaces the customer's rules.
func (c *Core) SetRules(rules standing.Customer) {
	c.rules = rules.WithDefaults()
	c.queue.SetRules(c.rules)
	c.retries.SetRatio(c.rules.RetryRatio)
	c.watch.SetRules(c.rules.Eject)
}

// SetBackends replaces the servers that may get new work.
func (c *Core) SetBackends(now time.Time, backends []route.Backend) []Action {
	c.list(now, backends)
	return c.pump(now, nil)
}

// Arrive takes a new request.
func (c *Core) Arrive(now time.Time, r Request) []Action {
	w := &waiting{req: r, arrived: now}
	c.requests[r.ID] = w
	refused := c.queue.Push(now, w.item())
	return c.pump(now, c.refuse(refused))
}

// Done takes the outcome of a send. A success ends the request without an
// action for it: the caller has the answer.
func (c *Core) Done(now time.Time, o Outcome) []Action {
	w, ok := c.requests[o.ID]
	if !ok || !w.probe {
		c.selector.Release(now, o.Backend)
	}
	c.observe(now, o)
	if observer, ok := c.selector.(route.Observer); ok && o.Load > 0 {
		observer.Observe(now, o.Backend, o.Load)
	}
	if !ok {
		return c.pump(now, nil)
	}
	c.finished(now, w, o.Err)
	if o.Err == nil {
		c.retries.RecordSuccess()
	}
	if o.Err == nil || w.cancelled {
		delete(c.requests, o.ID)
		return c.pump(now, nil)
	}
	actions, again := c.again(now, w, o)
	if !again {
		delete(c.requests, o.ID)
		actions = append(actions, Finish{ID: o.ID, Err: w.known(o.Err)})
	}
	return c.pump(now, actions)
}

// finished takes a request off the running ones and learns its run time.
func (c *Core) finished(now time.Time, w *waiting, err *errkind.Error) {
	var ran time.Duration
	if err == nil {
		ran = now.Sub(w.sent)
	}
	w.backend = ""
	c.queue.Finished(w.req.Team, w.req.DeclaredRunTime, ran)
}

func (w *waiting) skip(backend string) {
	if w.tried == nil {
		w.tried = map[string]bool{}
	}
	w.tried[backend] = true
}

// Cancel gives up a request. It returns whether the request was still
// waiting, which proves that it did not run. A request that was sent keeps its
// slot until Done.
func (c *Core) Cancel(id string) bool {
	w, ok := c.requests[id]
	if !ok {
		return false
	}
	if w.backend != "" {
		w.cancelled = true
		return false
	}
	delete(c.requests, id)
	return c.queue.Remove(id, w.req.Team)
}

// Waiting returns the number of requests that wait for a slot.
func (c *Core) Waiting() int { return c.queue.Len() }

// Tick refuses requests that can no longer meet their deadlines.
func (c *Core) Tick(now time.Time) []Action {
	c.watch.Tick(now)
	c.release(now)
	return c.pump(now, c.refuse(c.queue.Expire(now)))
}

// pump lends, sends and borrows what can be and adds to actions.
func (c *Core) pump(now time.Time, actions []Action) []Action {
	c.refresh(now)
	actions = append(actions, c.explain()...)
	actions = c.lend(now, actions)
	refused := c.queue.Serve(now, func(it admit.Item) admit.Verdict {
		w := c.requests[it.ID]
		backend, rule, ok := c.acquire(now, w)
		switch {
		case !ok && len(w.tried) == 0:
			return admit.Stopped
		case !ok:
			return admit.Skipped
		}
		w.backend, w.sent = backend, now
		w.sends++
		c.watch.Sent(now, backend, it.ID)
		why := fmt.Sprintf("%s, %d wait", c.selector.Rule(), c.queue.Len()-1)
		note := c.note(decision.PartRoute, "send", rule, why, it.ID, backend)
		actions = append(actions, note, Send{ID: it.ID, Backend: backend})
		return admit.Taken
	})
	actions = append(actions, c.refuse(refused)...)
	return c.borrow(now, c.lend(now, actions))
}

// refuse ends requests that wait.
func (c *Core) refuse(refused []admit.Refusal) []Action {
	var actions []Action
	for _, r := range refused {
		err := c.requests[r.ID].known(r.Err)
		delete(c.requests, r.ID)
		note := c.note(decision.PartAdmit, "refuse", string(err.Kind), err.Detail, r.ID)
		actions = append(actions, note, Finish{ID: r.ID, Err: err, RetryAfter: r.RetryAfter})
	}
	return actions
}

func (c *Core) note(part decision.Part, action, rule, why string, subjects ...string) LogEvent {
	return LogEvent{Record: decision.Record{
		Part: part, Action: action, Rule: rule, Why: why, Subjects: subjects, Customer: c.customer,
	}}
}
