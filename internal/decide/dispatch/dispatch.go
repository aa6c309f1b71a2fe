// Package dispatch decides for each request of one customer on one entry host
// whether it waits, is sent, is retried or is refused. It does no I/O: callers
// pass events and the current time and execute the returned actions.
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

// Request holds the properties of a request that decisions depend on.
type Request struct {
	ID         string
	Team       string
	Idempotent bool
	// Deadline is the latest time for the answer.
	Deadline time.Time
	// DeclaredRunTime is the run time that the caller declared, or 0.
	DeclaredRunTime time.Duration
}

// Action is something that the caller of Core must execute.
type Action interface{ action() }

// Send sends a request to a backend server once. The caller reports the outcome
// with Core.Done.
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

// LogEvent records a decision.
type LogEvent struct {
	Record decision.Record
}

func (Send) action()     {}
func (Finish) action()   {}
func (LogEvent) action() {}

// Outcome is the outcome of one send.
type Outcome struct {
	ID      string
	Backend string
	// Err is nil if the answer is complete.
	Err *errkind.Error
	// Load is the number of requests that the server held when it answered, the
	// answered one included, or 0 if the server did not report it.
	Load int
	// Leaving is set if the server reported that it is leaving service.
	Leaving bool
}

// activeRequest is a request that has not been answered.
type activeRequest struct {
	req     Request
	arrived time.Time
	backend string
	sent    time.Time
	tried   map[string]bool
	// cancelled prevents a request that was sent from being sent again.
	cancelled bool
	sends     int
	// run is the run state that the sends so far prove.
	run errkind.RunState
	// probe is set if the last send probed an ejected server. Such a send takes
	// no slot of the selector.
	probe bool
}

func (w *activeRequest) item() admit.Item {
	return admit.Item{
		ID: w.req.ID, Team: w.req.Team, Deadline: w.req.Deadline, DeclaredRunTime: w.req.DeclaredRunTime, Arrived: w.arrived,
	}
}

// Core holds the requests of one customer on one entry host and decides what
// happens to them. It is not safe for concurrent use.
type Core struct {
	customer    string
	rules       standing.Customer
	selector    route.Selector
	queue       *admit.Queue
	requests    map[string]*activeRequest
	retries     *retry.Policy
	delayed     []delayedRequest
	detector    *eject.Detector
	listed      []route.Backend
	listChanged bool
	// evacuatedZones holds the zones of all backend servers if all these zones are
	// evacuated.
	evacuatedZones []string
}

// New returns a core without requests or backend servers.
func New(customer string, rules standing.Customer, selector route.Selector) *Core {
	rules = rules.WithDefaults()
	return &Core{
		customer: customer,
		rules:    rules,
		selector: selector,
		queue:    admit.NewQueue(rules),
		requests: map[string]*activeRequest{},
		retries:  retry.New(rules.RetryRatio),
		detector: eject.New(customer, rules.Eject),
	}
}

// SetRules replaces the customer's rules. Fields that are not set get their
// defaults.
func (c *Core) SetRules(rules standing.Customer) {
	c.rules = rules.WithDefaults()
	c.queue.SetRules(c.rules)
	c.retries.SetRatio(c.rules.RetryRatio)
	c.detector.SetRules(c.rules.Eject)
}

// SetBackends replaces the backend servers that may get new requests.
func (c *Core) SetBackends(now time.Time, backends []route.Backend) []Action {
	c.setListed(now, backends)
	return c.advance(now, nil)
}

// Arrive queues a new request, and sends it if a slot is free.
func (c *Core) Arrive(now time.Time, r Request) []Action {
	w := &activeRequest{req: r, arrived: now}
	c.requests[r.ID] = w
	if len(c.evacuatedZones) > 0 {
		return c.refuseEvacuated(r.ID)
	}
	refused := c.queue.Push(now, w.item())
	return c.advance(now, c.refuse(refused))
}

// Done records the outcome of a send, frees its slot and retries a failed
// request if that is allowed. A success ends the request without an action for
// it, because the caller already has the answer.
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
		return c.advance(now, nil)
	}
	c.recordRunTime(now, w, o.Err)
	if o.Err == nil {
		c.retries.RecordSuccess()
	}
	if o.Err == nil || w.cancelled {
		delete(c.requests, o.ID)
		return c.advance(now, nil)
	}
	actions, retried := c.retryOrGiveUp(now, w, o)
	if !retried {
		delete(c.requests, o.ID)
		actions = append(actions, Finish{ID: o.ID, Err: w.withKnownRun(o.Err)})
	}
	return c.advance(now, actions)
}

// recordRunTime marks a request as no longer running and, after a success,
// updates the queue's estimate of run times.
func (c *Core) recordRunTime(now time.Time, w *activeRequest, err *errkind.Error) {
	var ran time.Duration
	if err == nil {
		ran = now.Sub(w.sent)
	}
	w.backend = ""
	c.queue.Finished(w.req.Team, w.req.DeclaredRunTime, ran)
}

func (w *activeRequest) markTried(backend string) {
	if w.tried == nil {
		w.tried = map[string]bool{}
	}
	w.tried[backend] = true
}

// Cancel abandons a request. It reports whether the request was still waiting
// in the queue; a request that was never sent is then certain not to have run.
// A request in flight keeps its slot until Done.
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

// Tick refuses requests that can no longer meet their deadlines, queues retries
// whose delay is over and checks the servers' health. Callers call it at
// regular intervals.
func (c *Core) Tick(now time.Time) []Action {
	c.detector.Tick(now)
	c.requeueDelayed(now)
	return c.advance(now, c.refuse(c.queue.Expire(now)))
}

// advance lends slots, sends queued requests and borrows slots as far as
// possible, and appends the resulting actions.
func (c *Core) advance(now time.Time, actions []Action) []Action {
	c.refresh(now)
	actions = append(actions, c.ejectionEvents()...)
	actions = c.lend(now, actions)
	refused := c.queue.Serve(now, func(it admit.Item) admit.Verdict {
		w := c.requests[it.ID]
		backend, rule, ok := c.acquire(now, w)
		switch {
		case !ok && len(w.tried) == 0:
			return admit.NoSlot
		case !ok:
			return admit.Skipped
		}
		w.backend, w.sent = backend, now
		w.sends++
		c.detector.RecordSend(now, backend, it.ID)
		why := fmt.Sprintf("%s, %d wait", c.selector.Rule(), c.queue.Len()-1)
		event := c.logEvent(decision.PartRoute, "send", rule, why, it.ID, backend)
		actions = append(actions, event, Send{ID: it.ID, Backend: backend})
		return admit.Started
	})
	actions = append(actions, c.refuse(refused)...)
	return c.borrow(now, c.lend(now, actions))
}

// refuse ends queued requests that the queue refused.
func (c *Core) refuse(refused []admit.Refusal) []Action {
	var actions []Action
	for _, r := range refused {
		err := c.requests[r.ID].withKnownRun(r.Err)
		delete(c.requests, r.ID)
		event := c.logEvent(decision.PartAdmit, "refuse", string(err.Kind), err.Detail, r.ID)
		actions = append(actions, event, Finish{ID: r.ID, Err: err, RetryAfter: r.RetryAfter})
	}
	return actions
}

func (c *Core) logEvent(part decision.Part, action, rule, why string, subjects ...string) LogEvent {
	return LogEvent{Record: decision.Record{
		Part: part, Action: action, Rule: rule, Why: why, Subjects: subjects, Customer: c.customer,
	}}
}
