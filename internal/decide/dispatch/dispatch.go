// Package dispatch decides what becomes of each request of one customer on
// one entry host: wait, send, retry or refuse. It is pure: events and the
// time go in, actions come out.
package dispatch

import (
	"fmt"
	"time"

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
	Declared time.Duration
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
type Note struct {
	Record decision.Record
}

func (Send) action()   {}
func (Finish) action() {}
func (Note) action()   {}

// Outcome is the end of one send.
type Outcome struct {
	ID      string
	Backend string
	// Err is nil after a whole answer.
	Err *errkind.Error
}

// waiting is a request that has not been answered.
type waiting struct {
	req     Request
	backend string
	tried   map[string]bool
}

// Core holds the requests of one customer on one entry host. It is not safe
// for concurrent use.
type Core struct {
	customer string
	rules    standing.Customer
	selector route.Selector
	queue    []string
	requests map[string]*waiting
}

// New returns an empty core.
func New(customer string, rules standing.Customer, selector route.Selector) *Core {
	return &Core{
		customer: customer,
		rules:    rules.WithDefaults(),
		selector: selector,
		requests: map[string]*waiting{},
	}
}

// SetRules replaces the customer's rules.
func (c *Core) SetRules(rules standing.Customer) { c.rules = rules.WithDefaults() }

// SetBackends replaces the servers that may get new work.
func (c *Core) SetBackends(now time.Time, backends []route.Backend) []Action {
	c.selector.SetBackends(now, backends)
	return c.pump(now, nil)
}

// Arrive takes a new request.
func (c *Core) Arrive(now time.Time, r Request) []Action {
	if len(c.queue) >= c.rules.QueueLimit {
		return c.refuse(r.ID, errkind.New(errkind.Overloaded, "%d requests wait, the limit", len(c.queue)))
	}
	c.requests[r.ID] = &waiting{req: r, tried: map[string]bool{}}
	c.queue = append(c.queue, r.ID)
	return c.pump(now, nil)
}

// Done takes the outcome of a send. A success ends the request without an
// action for it: the caller has the answer.
func (c *Core) Done(now time.Time, o Outcome) []Action {
	c.selector.Release(now, o.Backend)
	w, ok := c.requests[o.ID]
	if !ok {
		return c.pump(now, nil)
	}
	w.backend = ""
	switch {
	case o.Err == nil:
		delete(c.requests, o.ID)
		return c.pump(now, nil)
	case c.mayRetry(now, w, o.Err):
		w.tried[o.Backend] = true
		c.queue = append([]string{o.ID}, c.queue...)
		note := c.note(decision.PartRetry, "retry", "not-run", fmt.Sprintf("%s: %s", o.Backend, o.Err.Kind), o.ID, o.Backend)
		return c.pump(now, []Action{note})
	}
	delete(c.requests, o.ID)
	return c.pump(now, []Action{Finish{ID: o.ID, Err: o.Err}})
}

// mayRetry allows another send only with proof that the last one did not run.
func (c *Core) mayRetry(now time.Time, w *waiting, err *errkind.Error) bool {
	return err.Run == errkind.NotRun && now.Before(w.req.Deadline)
}

// Cancel gives up a request. It returns whether the request was still
// waiting, which proves that it did not run.
func (c *Core) Cancel(id string) bool {
	w, ok := c.requests[id]
	if !ok {
		return false
	}
	delete(c.requests, id)
	if w.backend != "" {
		return false
	}
	c.drop(id)
	return true
}

func (c *Core) drop(id string) {
	for i, other := range c.queue {
		if other == id {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

// Tick refuses requests whose deadline passed while they waited.
func (c *Core) Tick(now time.Time) []Action {
	return c.pump(now, nil)
}

// pump sends what can be sent and adds to actions.
func (c *Core) pump(now time.Time, actions []Action) []Action {
	var rest []string
	for i, id := range c.queue {
		w := c.requests[id]
		if !now.Before(w.req.Deadline) {
			delete(c.requests, id)
			actions = append(actions, c.refuse(id, errkind.New(errkind.DeadlinePassed, "waited until the deadline"))...)
			continue
		}
		backend, ok := c.selector.Acquire(now, func(name string) bool { return w.tried[name] })
		if !ok && len(w.tried) == 0 {
			rest = append(rest, c.queue[i:]...)
			break
		}
		if !ok {
			rest = append(rest, id)
			continue
		}
		w.backend = backend
		why := fmt.Sprintf("least loaded by local counts, %d wait", len(c.queue)-i-1)
		actions = append(actions, c.note(decision.PartRoute, "send", "least", why, id, backend), Send{ID: id, Backend: backend})
	}
	c.queue = rest
	return actions
}

func (c *Core) refuse(id string, err *errkind.Error) []Action {
	note := c.note(decision.PartAdmit, "refuse", string(err.Kind), err.Detail, id)
	return []Action{note, Finish{ID: id, Err: err, RetryAfter: time.Second}}
}

func (c *Core) note(part decision.Part, action, rule, why string, subjects ...string) Note {
	return Note{Record: decision.Record{
		Part: part, Action: action, Rule: rule, Why: why, Subjects: subjects, Customer: c.customer,
	}}
}
