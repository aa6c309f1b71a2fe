// Package identity keeps a non-idempotent request from running twice: on one
// entry host, on several, and when hosts die or zones are cut. It is pure:
// events and the time go in, actions come out.
//
// Safety rests on promises. A host starts a later attempt only after every
// other host has promised never to start that request, and a host that ran it
// or may run it gives no promise. Two hosts that both start would each need
// the other's promise, and a host that has promised does not start.
package identity

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Arrival is one arrival of a request at this host.
type Arrival struct {
	ID string
	// First is set on the first send of the id.
	FirstAttempt bool
	// Forwarded is set if another entry host sent the arrival here. It is not
	// forwarded again.
	Forwarded bool
	// Idempotent requests need no promise of the peers.
	Idempotent bool
	// Fingerprint tells requests with the same id apart.
	Fingerprint string
	// Minter is the incarnation that minted the id, or empty for a caller's id.
	Minter ids.Incarnation
	// MintedAgo is the age of a minted id on this host's clock.
	IDAge time.Duration
}

// unproven returns the error of an arrival that was refused before anything
// was found out: only of a first attempt is it known that it did not run.
func (a Arrival) unproven(err *errkind.Error) *errkind.Error {
	if a.FirstAttempt {
		return err
	}
	return err.WithRun(errkind.Unknown)
}

// Fleet is what this host knows about the others when a request arrives.
type PeerView struct {
	// Peers names every other entry host, reachable or not.
	Peers []string
	// Losses is this host's count of time since it lost sight of a peer's
	// incarnation.
	LastLoss PeerLoss
}

// Loss says when a host last lost sight of a peer's incarnation.
type PeerLoss struct {
	// Ever is false if no peer was lost.
	Ever bool
	// Ago is the time since the last loss.
	Ago time.Duration
}

// within returns whether a loss happened in the last d.
func (l PeerLoss) within(d time.Duration) bool { return l.Ever && l.Ago < d }

// Seen is a peer's answer about a request.
type Seen int

// The answers.
const (
	// SeenNever promises never to start the request.
	SeenNever Seen = iota
	// SeenOwned says that the peer runs it or has its outcome.
	SeenOwned
	// SeenFenced names another claimant. It is a promise too, unless the
	// claimant is the peer itself.
	SeenFenced
)

// Reply is a peer's whole reply to a fence.
type FenceReply struct {
	Seen Seen
	// Claimant is set with SeenFenced.
	Claimant ids.Incarnation
	// From is the incarnation that replied.
	From ids.Incarnation
	// Remembers is how far back the peer's memory reaches.
	MemorySpan time.Duration
	// Losses is when the peer last lost sight of another host.
	LastLoss PeerLoss
	// Known names the other entry hosts that the peer knows.
	KnownHosts []string
}

// Answer is a whole answer to a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Backend is the backend server that answered.
	Backend string
}

// Result is how a request ended.
type Result struct {
	Answer Answer
	// Err is nil after a whole answer.
	Err *errkind.Error
	// RetryAfter is when a refused request may be sent again, or 0.
	RetryAfter time.Duration
	// Messages counts the messages spent on the result beyond the request to
	// the backend server and its reply.
	ExtraMessages int
	// LeftTo is set with an error if the peer that was called has left the
	// request to another incarnation.
	RedirectTo ids.Incarnation
}

// Action is something that the caller of Table has to do. An arrival that
// leads to no Reply waits for the Reply of its id.
type Action interface{ action() }

// Run asks to run the request here.
type Run struct{ ID string }

// Ask asks to send a fence to peers and report each reply of the round.
type SendFence struct {
	ID    string
	Round int
	Peers []string
}

// Call asks to forward the request to the incarnation that may run it, and to
// report the result.
type Forward struct {
	ID string
	To ids.Incarnation
}

// Return ends all arrivals that wait for the id.
type Complete struct {
	ID     string
	Result Result
}

// Refuse ends only the arrival that was just given.
type Refuse struct {
	Err *errkind.Error
	// LeftTo is set if a forwarded arrival has to go to another incarnation.
	RedirectTo ids.Incarnation
}

// Replay ends only the arrival that was just given, with a stored result.
type Replay struct{ Result Result }

// Note asks to record a decision.
type LogEvent struct{ Record decision.Record }

func (Run) action()       {}
func (SendFence) action() {}
func (Forward) action()   {}
func (Complete) action()  {}
func (Refuse) action()    {}
func (Replay) action()    {}
func (LogEvent) action()  {}
