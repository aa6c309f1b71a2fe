package identity

import (
	"container/list"
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Limits bounds a table's memory.
type Limits struct {
	// Entries is the largest number of ids held.
	MaxEntries int
	// Bytes is the largest sum of stored answers' bodies.
	MaxAnswerBytes int
}

// maxHops bounds the claimants that are called one after the other.
const maxHops = 3

type state int

const (
	// asking: this host claims the request and waits for promises.
	asking state = iota
	// running: this host runs the request or is about to.
	running
	// ended: this host has the request's result.
	ended
	// fenced: this host has promised never to start the request.
	fenced
)

type entry struct {
	id          string
	state       state
	fingerprint string
	// claimant is who may start a fenced request.
	claimant ids.Incarnation
	// calling is set while the claimant is being asked for the result.
	calling bool
	// hops counts the claimants called for one result.
	hops int
	// transient entries are dropped after their call.
	transient bool
	claim     claim
	result    Result
	// started is set when an ended request may have run here.
	started bool
	// dropped is set when the answer's body was given up for memory.
	dropped bool
	expires time.Time
	place   *list.Element
	shelf   *list.List
}

// open returns whether the request ended here without having been started.
func (e *entry) open() bool { return e.state == ended && !e.started }

// Table is the memory of one customer's request ids on one entry host. It is
// not safe for concurrent use.
type Table struct {
	customer string
	self     ids.Incarnation
	limits   Limits
	horizon  time.Duration
	// since is the start of what the table remembers.
	since   time.Time
	entries map[string]*entry
	// kept holds entries that must live to their expiry, oldest first.
	kept *list.List
	// weak holds entries of requests that were refused and never started.
	weak  *list.List
	bytes int
	round int
}

// NewTable returns an empty table of the host's incarnation, which remembers
// from now on.
func NewTable(now time.Time, customer string, self ids.Incarnation, horizon time.Duration, limits Limits) *Table {
	return &Table{
		customer: customer, self: self, limits: limits, horizon: horizon, since: now,
		entries: map[string]*entry{}, kept: list.New(), weak: list.New(),
	}
}

// SetHorizon changes how long results and promises are kept. After a raise,
// the table remembers no further back than it did.
func (t *Table) SetHorizon(now time.Time, horizon time.Duration) {
	if horizon > t.horizon {
		t.since = now.Add(-t.MemorySpan(now))
	}
	t.horizon = horizon
}

// Remembers returns how far back the table's memory reaches, at most the
// horizon.
func (t *Table) MemorySpan(now time.Time) time.Duration {
	return min(t.horizon, now.Sub(t.since))
}

// Len returns the number of ids held.
func (t *Table) Len() int { return len(t.entries) }

// Busy returns whether a result of the id is still to come.
func (t *Table) InProgress(id string) bool {
	e, ok := t.entries[id]
	return ok && (e.state == asking || e.state == running || e.calling)
}

// Settled returns whether an arrival of the id starts nothing: a result is to
// come or held.
func (t *Table) Deduplicates(id string) bool {
	e, ok := t.entries[id]
	return ok && (t.InProgress(id) || e.state == ended && e.started)
}

// Arrive takes an arrival of a request.
func (t *Table) Arrive(now time.Time, a Arrival, fleet PeerView) []Action {
	t.expire(now)
	e, ok := t.entries[a.ID]
	switch {
	case ok && e.fingerprint != "" && e.fingerprint != a.Fingerprint:
		return t.refuse(a.ID, "mismatch", errkind.New(errkind.RequestMismatch, "id %s was used for another request", a.ID))
	case !ok:
		return t.arriveNew(now, a, fleet)
	}
	return t.arriveAgain(now, e, a, fleet)
}

// arriveNew takes an arrival of an id that is not held.
func (t *Table) arriveNew(now time.Time, a Arrival, fleet PeerView) []Action {
	minted := a.Minter != ""
	gone := minted && a.Minter != t.self && (a.Forwarded || a.Minter.Host() == t.self.Host())
	switch {
	case gone:
		return t.refuse(a.ID, "minter-lost", errkind.New(errkind.DuplicateUnresolved, "the id belongs to %s, which is gone", a.Minter))
	case minted && a.Minter == t.self && a.IDAge > t.MemorySpan(now):
		return t.refuse(a.ID, "minted-expired", errkind.New(errkind.DuplicateUnresolved, "the id is older than what this host remembers"))
	}
	e, err := t.add(now, a.ID)
	if err != nil {
		return t.refuse(a.ID, "memory", a.unproven(err))
	}
	e.fingerprint = a.Fingerprint
	switch {
	case minted && a.Minter != t.self:
		e.state, e.claimant, e.transient = fenced, a.Minter, true
		return t.call(e, "minted", "the id names its host")
	case minted || a.FirstAttempt || a.Idempotent:
		e.state = running
		return []Action{Run{ID: a.ID}}
	}
	return t.ask(now, e, fleet)
}

// arriveAgain takes another arrival of an id that is held.
func (t *Table) arriveAgain(now time.Time, e *entry, a Arrival, fleet PeerView) []Action {
	e.fingerprint = a.Fingerprint
	switch {
	case e.state == asking, e.state == running, e.calling:
		return []Action{t.note("join", "in-progress", "an earlier arrival is in progress here", e.id)}
	case e.state == fenced && a.Forwarded:
		err := errkind.New(errkind.DuplicateUnresolved, "the request was left to %s", e.claimant)
		return []Action{t.note("refuse", "fenced", err.Detail, e.id), Refuse{Err: err, RedirectTo: e.claimant}}
	case e.state == fenced:
		return t.call(e, "fenced", "left to the claimant before")
	case a.Idempotent && e.result.Err != nil, a.Minter != "" && !a.FirstAttempt && e.open():
		t.unshelve(e)
		e.state = running
		return []Action{Run{ID: e.id}}
	case e.open() && !a.FirstAttempt:
		t.unshelve(e)
		return t.ask(now, e, fleet)
	case e.dropped:
		err := errkind.New(errkind.DuplicateUnresolved, "answered before, the answer is no longer held").WithRun(errkind.Ran)
		return t.refuse(e.id, "answered", err)
	}
	return []Action{t.note("replay", "answered", "the result is held here", e.id), Replay{Result: e.result}}
}

// Finish takes the result of a request that ran here.
func (t *Table) Finish(now time.Time, id string, r Result) []Action {
	e, ok := t.entries[id]
	if !ok || e.state != running {
		return nil
	}
	t.end(now, e, r)
	return []Action{Complete{ID: id, Result: r}}
}

// Called takes the claimant's result for a request that was left to it.
func (t *Table) ForwardDone(now time.Time, id string, r Result) []Action {
	e, ok := t.entries[id]
	if !ok || !e.calling {
		return nil
	}
	e.calling = false
	if r.RedirectTo != "" && r.RedirectTo != t.self && e.hops < maxHops {
		e.claimant = r.RedirectTo
		e.hops++
		return t.call(e, "left", "the last claimant left it to another")
	}
	e.hops = 0
	if e.transient {
		t.remove(e)
	} else {
		t.shelve(now, e, t.kept)
	}
	return []Action{Complete{ID: id, Result: r}}
}

// HandOver leaves a request to another host. It must be proven that it never
// started here.
func (t *Table) HandOver(id string, to ids.Incarnation) []Action {
	e, ok := t.entries[id]
	if !ok || e.state != running {
		return nil
	}
	e.state, e.claimant = fenced, to
	return t.call(e, "hand-over", "this host stops")
}

// TakeOver takes a request that its owner leaves to this host.
func (t *Table) TakeOver(now time.Time, a Arrival, from ids.Incarnation) []Action {
	t.expire(now)
	e, ok := t.entries[a.ID]
	switch {
	case ok && (e.state == running || e.state == ended && e.started):
		return t.arriveAgain(now, e, a, PeerView{})
	case ok:
		return []Action{Refuse{Err: errkind.New(errkind.Stopping, "%s stops and %s may not start it", from, t.self)}}
	}
	e, err := t.add(now, a.ID)
	if err != nil {
		return []Action{Refuse{Err: err}}
	}
	e.state, e.fingerprint = running, a.Fingerprint
	return []Action{t.note("take over", "hand-over", fmt.Sprintf("%s stops", from), a.ID), Run{ID: a.ID}}
}

// end stores a result.
func (t *Table) end(now time.Time, e *entry, r Result) {
	e.state, e.result, e.dropped = ended, r, false
	e.started = r.Err == nil || r.Err.Run != errkind.NotRun
	t.bytes += len(r.Answer.Body)
	shelf := t.kept
	if !e.started {
		shelf = t.weak
	}
	t.shelve(now, e, shelf)
	t.trim()
}

func (t *Table) call(e *entry, rule, why string) []Action {
	t.unshelve(e)
	e.calling = true
	return []Action{
		t.note("forward", rule, why, e.id, string(e.claimant), e.claimant.Host()),
		Forward{ID: e.id, To: e.claimant},
	}
}

func (t *Table) refuse(id, rule string, err *errkind.Error) []Action {
	return []Action{t.note("refuse", rule, err.Detail, id), Refuse{Err: err}}
}

func (t *Table) note(action, rule, why string, subjects ...string) LogEvent {
	return LogEvent{Record: decision.Record{
		Part: decision.PartIdentity, Action: action, Rule: rule, Why: why, Subjects: subjects, Customer: t.customer,
	}}
}
