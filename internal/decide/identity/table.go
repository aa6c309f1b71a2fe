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
	// MaxEntries is the maximum number of stored ids.
	MaxEntries int
	// MaxAnswerBytes is the largest total size of the stored answers' bodies.
	MaxAnswerBytes int
}

// maxForwardHops bounds how many times one request follows a redirect to
// another claimant.
const maxForwardHops = 3

type state int

const (
	// claiming: this host claims the request and waits for promises.
	claiming state = iota
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
	// claimant is the incarnation that may start a fenced request.
	claimant ids.Incarnation
	// forwarding is set while the request is forwarded to the claimant and has
	// no result.
	forwarding bool
	// hops counts the redirects followed for one result.
	hops int
	// transient is set if the entry is removed once its forwarded request has a
	// result.
	transient bool
	claim     claim
	result    Result
	// started is set if an ended request may have run here.
	started bool
	// bodyEvicted is set if the answer's body was deleted to free memory.
	bodyEvicted   bool
	expires       time.Time
	expiryElement *list.Element
	expiryList    *list.List
}

// neverStarted reports whether the request ended here without having started.
func (e *entry) neverStarted() bool { return e.state == ended && !e.started }

// Table remembers the request ids of one customer on one entry host, with
// their results and the promises given for them. It is not safe for concurrent
// use.
type Table struct {
	customer string
	self     ids.Incarnation
	limits   Limits
	// horizon is how long results and promises are kept.
	horizon time.Duration
	// memoryStart is the time from which on the table remembers every request.
	memoryStart time.Time
	entries     map[string]*entry
	// retained holds entries that must stay until they expire, oldest first.
	retained *list.List
	// evictable holds entries of requests that were refused and never started,
	// oldest first.
	evictable   *list.List
	answerBytes int
	lastRound   int
}

// NewTable returns an empty table for the incarnation self. Its memory starts
// at now, and it keeps results and promises for the horizon.
func NewTable(now time.Time, customer string, self ids.Incarnation, horizon time.Duration, limits Limits) *Table {
	return &Table{
		customer: customer, self: self, limits: limits, horizon: horizon, memoryStart: now,
		entries: map[string]*entry{}, retained: list.New(), evictable: list.New(),
	}
}

// SetHorizon changes how long results and promises are kept. A longer horizon
// does not restore entries that have expired: MemorySpan grows from its present
// value as time passes.
func (t *Table) SetHorizon(now time.Time, horizon time.Duration) {
	if horizon > t.horizon {
		t.memoryStart = now.Add(-t.MemorySpan(now))
	}
	t.horizon = horizon
}

// MemorySpan returns how far back the table remembers every request, at most
// the horizon.
func (t *Table) MemorySpan(now time.Time) time.Duration {
	return min(t.horizon, now.Sub(t.memoryStart))
}

// Len returns the number of stored ids.
func (t *Table) Len() int { return len(t.entries) }

// InProgress reports whether the id is still waiting for a result.
func (t *Table) InProgress(id string) bool {
	e, ok := t.entries[id]
	return ok && (e.state == claiming || e.state == running || e.forwarding)
}

// Deduplicates reports whether another arrival of the id would start nothing,
// because its result is stored or the id is in progress.
func (t *Table) Deduplicates(id string) bool {
	e, ok := t.entries[id]
	return ok && (t.InProgress(id) || e.state == ended && e.started)
}

// Arrive decides on an arrival of a request: to run, replay, forward or refuse
// it, to join an earlier arrival or to claim the request.
func (t *Table) Arrive(now time.Time, a Arrival, view PeerView) []Action {
	t.expire(now)
	e, ok := t.entries[a.ID]
	switch {
	case ok && e.fingerprint != "" && e.fingerprint != a.Fingerprint:
		return t.refuse(a.ID, "mismatch", errkind.New(errkind.RequestMismatch, "id %s was used for a different request", a.ID))
	case !ok:
		return t.arriveUnknown(now, a, view)
	}
	return t.arriveKnown(now, e, a, view)
}

// arriveUnknown decides on an arrival whose id is not in the table.
func (t *Table) arriveUnknown(now time.Time, a Arrival, view PeerView) []Action {
	minted := a.Minter != ""
	minterLost := minted && a.Minter != t.self && (a.Forwarded || a.Minter.Host() == t.self.Host())
	switch {
	case minterLost:
		return t.refuse(a.ID, "minter-lost", errkind.New(errkind.DuplicateUnresolved, "the id was minted by %s, which no longer runs", a.Minter))
	case minted && a.Minter == t.self && a.IDAge > t.MemorySpan(now):
		return t.refuse(a.ID, "minted-expired", errkind.New(errkind.DuplicateUnresolved, "the id is older than what this host still remembers"))
	}
	e, err := t.addEntry(now, a.ID)
	if err != nil {
		return t.refuse(a.ID, "memory", a.refusalError(err))
	}
	e.fingerprint = a.Fingerprint
	switch {
	case minted && a.Minter != t.self:
		e.state, e.claimant, e.transient = fenced, a.Minter, true
		return t.forward(e, "minted", "the id names the host that minted it")
	case minted || a.FirstAttempt || a.Idempotent:
		e.state = running
		return []Action{Run{ID: a.ID}}
	}
	return t.startClaim(now, e, view)
}

// arriveKnown decides on another arrival of an id that is in the table.
func (t *Table) arriveKnown(now time.Time, e *entry, a Arrival, view PeerView) []Action {
	e.fingerprint = a.Fingerprint
	switch {
	case e.state == claiming, e.state == running, e.forwarding:
		return []Action{t.logEvent("join", "in-progress", "an earlier arrival is in progress here", e.id)}
	case e.state == fenced && a.Forwarded:
		err := errkind.New(errkind.DuplicateUnresolved, "the request was left to %s", e.claimant)
		return []Action{t.logEvent("refuse", "fenced", err.Detail, e.id), Refuse{Err: err, RedirectTo: e.claimant}}
	case e.state == fenced:
		return t.forward(e, "fenced", "the request was left to the claimant earlier")
	case a.Idempotent && e.result.Err != nil, a.Minter != "" && !a.FirstAttempt && e.neverStarted():
		t.cancelExpiry(e)
		e.state = running
		return []Action{Run{ID: e.id}}
	case e.neverStarted() && !a.FirstAttempt:
		t.cancelExpiry(e)
		return t.startClaim(now, e, view)
	case e.bodyEvicted:
		err := errkind.New(errkind.DuplicateUnresolved, "the request was answered, but the answer is no longer held").WithRun(errkind.Ran)
		return t.refuse(e.id, "answered", err)
	}
	return []Action{t.logEvent("replay", "answered", "the result is held here", e.id), Replay{Result: e.result}}
}

// Finish stores the result of a request that ran here and completes its
// arrivals.
func (t *Table) Finish(now time.Time, id string, r Result) []Action {
	e, ok := t.entries[id]
	if !ok || e.state != running {
		return nil
	}
	t.storeResult(now, e, r)
	return []Action{Complete{ID: id, Result: r}}
}

// ForwardDone completes the arrivals of a forwarded request with the claimant's
// result, or forwards the request again if the result redirects it.
func (t *Table) ForwardDone(now time.Time, id string, r Result) []Action {
	e, ok := t.entries[id]
	if !ok || !e.forwarding {
		return nil
	}
	e.forwarding = false
	if r.RedirectTo != "" && r.RedirectTo != t.self && e.hops < maxForwardHops {
		e.claimant = r.RedirectTo
		e.hops++
		return t.forward(e, "left", "the last claimant left the request to another")
	}
	e.hops = 0
	if e.transient {
		t.remove(e)
	} else {
		t.scheduleExpiry(now, e, t.retained)
	}
	return []Action{Complete{ID: id, Result: r}}
}

// HandOver fences a request on this host, which is stopping, and forwards it to
// another host. The caller must be certain that the request never started here.
func (t *Table) HandOver(id string, to ids.Incarnation) []Action {
	e, ok := t.entries[id]
	if !ok || e.state != running {
		return nil
	}
	e.state, e.claimant = fenced, to
	return t.forward(e, "hand-over", "this host is stopping")
}

// TakeOver runs a request that the stopping incarnation from hands over to this
// host. It refuses the request if this host has an entry for the id but has not
// started the request, for example because it promised never to start it.
func (t *Table) TakeOver(now time.Time, a Arrival, from ids.Incarnation) []Action {
	t.expire(now)
	e, ok := t.entries[a.ID]
	switch {
	case ok && (e.state == running || e.state == ended && e.started):
		return t.arriveKnown(now, e, a, PeerView{})
	case ok:
		return []Action{Refuse{Err: errkind.New(errkind.Stopping, "%s is stopping and %s may not start the request", from, t.self)}}
	}
	e, err := t.addEntry(now, a.ID)
	if err != nil {
		return []Action{Refuse{Err: err}}
	}
	e.state, e.fingerprint = running, a.Fingerprint
	return []Action{t.logEvent("take over", "hand-over", fmt.Sprintf("%s is stopping", from), a.ID), Run{ID: a.ID}}
}

// storeResult stores the result of a request that ran here and schedules its
// expiry. A request that never started may be evicted earlier.
func (t *Table) storeResult(now time.Time, e *entry, r Result) {
	e.state, e.result, e.bodyEvicted = ended, r, false
	e.started = r.Err == nil || r.Err.Run != errkind.NotRun
	t.answerBytes += len(r.Answer.Body)
	expiryList := t.retained
	if !e.started {
		expiryList = t.evictable
	}
	t.scheduleExpiry(now, e, expiryList)
	t.evictBodies()
}

func (t *Table) forward(e *entry, rule, why string) []Action {
	t.cancelExpiry(e)
	e.forwarding = true
	return []Action{
		t.logEvent("forward", rule, why, e.id, string(e.claimant), e.claimant.Host()),
		Forward{ID: e.id, To: e.claimant},
	}
}

func (t *Table) refuse(id, rule string, err *errkind.Error) []Action {
	return []Action{t.logEvent("refuse", rule, err.Detail, id), Refuse{Err: err}}
}

func (t *Table) logEvent(action, rule, why string, subjects ...string) LogEvent {
	return LogEvent{Record: decision.Record{
		Part: decision.PartIdentity, Action: action, Rule: rule, Why: why, Subjects: subjects, Customer: t.customer,
	}}
}
