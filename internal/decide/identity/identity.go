// Package identity deduplicates requests by their ids, so that a
// non-idempotent request never runs twice: not on one entry host, not on
// several, and not when hosts crash or zones are partitioned. It does no I/O:
// callers pass events and the current time and execute the returned actions.
//
// Safety rests on promises. A host starts a retried request (a later attempt)
// only after every other host has promised never to start that request. A
// host that ran the request or may still run it does not promise. Two hosts
// that both start a request would each need the other's promise, and a host
// that has promised does not start it.
package identity

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Arrival describes one arrival of a request at this host.
type Arrival struct {
	ID string
	// FirstAttempt is set if the id is sent for the first time.
	FirstAttempt bool
	// Forwarded is set if another entry host forwarded the arrival here. It is
	// not forwarded again.
	Forwarded bool
	// Idempotent is set if the request may run more than once. It then needs no
	// promises from peers.
	Idempotent bool
	// Fingerprint distinguishes different requests that reuse an id.
	Fingerprint string
	// Minter is the incarnation that minted the id. It is empty if the caller
	// chose the id.
	Minter ids.Incarnation
	// IDAge is the age of a minted id by this host's clock.
	IDAge time.Duration
}

// refusalError returns the error of an arrival that is refused before its id
// was looked up. Only a first attempt is known not to have run: before a later
// one, an earlier attempt may have run.
func (a Arrival) refusalError(err *errkind.Error) *errkind.Error {
	if a.FirstAttempt {
		return err
	}
	return err.WithRun(errkind.Unknown)
}

// ResultFor returns a result of this host as it holds for the arrival. A later attempt of
// an idempotent request runs without asking the other hosts, so that what this host has not
// run may have run at the host of an earlier attempt.
func (a Arrival) ResultFor(r Result) Result {
	if r.Err != nil && r.Err.Run == errkind.NotRun && a.Idempotent && !a.FirstAttempt {
		r.Err = r.Err.WithRun(errkind.Unknown)
	}
	return r
}

// PeerView is what this host knows about its peers when a request arrives.
type PeerView struct {
	// Peers names every other entry host, reachable or not.
	Peers []string
	// LastLoss is when this host last lost contact with a peer's incarnation.
	LastLoss PeerLoss
}

// PeerLoss describes when a host last lost contact with a peer's incarnation. A
// lost incarnation may have run requests that no other host knows of.
type PeerLoss struct {
	// Ever is false if the host has lost no peer.
	Ever bool
	// Ago is the time since the last loss, if there was one.
	Ago time.Duration
}

// within reports whether the last loss was less than d ago.
func (l PeerLoss) within(d time.Duration) bool { return l.Ever && l.Ago < d }

// Seen is the state of a request as known to a peer.
type Seen int

// The values of Seen.
const (
	// SeenNever means that the peer has not started the request and promises
	// never to start it.
	SeenNever Seen = iota
	// SeenOwned means that the peer runs the request or has its outcome.
	SeenOwned
	// SeenFenced means that another incarnation has claimed the request. It is
	// a promise too, unless the claimant is the peer itself.
	SeenFenced
)

// FenceReply is a peer's reply to a fence, the demand never to start a request.
type FenceReply struct {
	Seen Seen
	// Claimant is the incarnation that claimed the request, set with SeenFenced.
	Claimant ids.Incarnation
	// From is the incarnation that replied.
	From ids.Incarnation
	// MemorySpan is how far back the peer remembers requests.
	MemorySpan time.Duration
	// LastLoss is when the peer last lost contact with another host.
	LastLoss PeerLoss
	// KnownHosts names the other entry hosts that the peer knows.
	KnownHosts []string
}

// Answer is a complete answer to a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Backend is the name of the backend server that answered.
	Backend string
}

// Result is the outcome of a request.
type Result struct {
	Answer Answer
	// Err is nil if the answer is complete.
	Err *errkind.Error
	// RetryAfter is how long the caller should wait before it sends a refused
	// request again, or 0.
	RetryAfter time.Duration
	// ExtraMessages counts the messages spent on the result beyond the request
	// to the backend server and its reply.
	ExtraMessages int
	// RedirectTo is set together with Err if the peer that the request was
	// forwarded to has ceded it to another incarnation.
	RedirectTo ids.Incarnation
}

// Action is something that the caller of Table must execute. An arrival that
// gets neither Refuse nor Replay waits for the Complete action of its id.
type Action interface{ action() }

// Run runs the request on this host.
type Run struct{ ID string }

// SendFence sends a fence to the peers. The caller reports each reply with
// FenceReplied and each failure with FenceFailed, under the same round.
type SendFence struct {
	ID    string
	Round int
	Peers []string
}

// Forward forwards the request to the incarnation that may run it. The caller
// reports the result with ForwardDone.
type Forward struct {
	ID string
	To ids.Incarnation
}

// Complete ends all arrivals that wait for the id.
type Complete struct {
	ID     string
	Result Result
}

// Refuse ends only the arrival that was just passed in, with an error.
type Refuse struct {
	Err *errkind.Error
	// RedirectTo is set if a forwarded arrival must go to another incarnation.
	RedirectTo ids.Incarnation
}

// Replay ends only the arrival that was just passed in, with a stored result.
type Replay struct{ Result Result }

// LogEvent records a decision.
type LogEvent struct{ Record decision.Record }

func (Run) action()       {}
func (SendFence) action() {}
func (Forward) action()   {}
func (Complete) action()  {}
func (Refuse) action()    {}
func (Replay) action()    {}
func (LogEvent) action()  {}
