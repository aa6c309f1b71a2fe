package identity

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// claim is this host's attempt to win the right to start a request.
type claim struct {
	round int
	// waiting names the peers that have not replied.
	waiting map[string]bool
	// asked names all hosts that the claim counts with, this one too.
	asked map[string]bool
	// replied holds the incarnations that have promised.
	replied map[ids.Incarnation]bool
	// rivals are other claimants named by peers.
	rivals []ids.Incarnation
	// doubts say why the promises do not prove that the request never ran.
	doubts []string
}

func (c *claim) doubt(format string, args ...any) {
	c.doubts = append(c.doubts, fmt.Sprintf(format, args...))
}

// ask begins a claim.
func (t *Table) ask(now time.Time, e *entry, fleet PeerView) []Action {
	t.round++
	e.state = asking
	e.claim = claim{
		round: t.round, waiting: map[string]bool{}, replied: map[ids.Incarnation]bool{},
		asked: map[string]bool{t.self.Host(): true},
	}
	c := &e.claim
	for _, p := range fleet.Peers {
		c.waiting[p] = true
		c.asked[p] = true
	}
	if t.MemorySpan(now) < t.horizon {
		c.doubt("this host remembers %s of %s", t.MemorySpan(now), t.horizon)
	}
	if fleet.LastLoss.within(t.horizon) {
		c.doubt("this host lost a peer %s ago", fleet.LastLoss.Ago)
	}
	note := t.note("ask", "later-attempt", fmt.Sprintf("%d peers to ask", len(fleet.Peers)), e.id)
	if len(fleet.Peers) == 0 {
		return append([]Action{note}, t.settle(now, e)...)
	}
	return []Action{note, SendFence{ID: e.id, Round: c.round, Peers: fleet.Peers}}
}

// Told takes a peer's reply to a fence of the round.
func (t *Table) FenceReplied(now time.Time, id string, round int, host string, r FenceReply) []Action {
	e := t.claimed(id, round, host)
	if e == nil {
		return nil
	}
	if r.Seen == SeenOwned {
		return t.yield(e, r.From, "the peer has the request")
	}
	if r.Seen == SeenFenced && r.Claimant == r.From {
		return t.yield(e, r.From, "the peer's claim goes first")
	}
	c := &e.claim
	c.replied[r.From] = true
	if r.Seen == SeenFenced && r.Claimant != t.self {
		c.rivals = append(c.rivals, r.Claimant)
	}
	c.weigh(host, r, t.horizon)
	return t.settle(now, e)
}

// weigh notes why a promise proves less than the horizon asks for.
func (c *claim) weigh(host string, r FenceReply, horizon time.Duration) {
	if r.MemorySpan < horizon {
		c.doubt("%s remembers %s of %s", host, r.MemorySpan, horizon)
	}
	if r.LastLoss.within(horizon) {
		c.doubt("%s lost a peer %s ago", host, r.LastLoss.Ago)
	}
	for _, known := range r.KnownHosts {
		if !c.asked[known] {
			c.doubt("%s knows %s, which was not asked", host, known)
		}
	}
}

// Untold takes the failure to ask a peer.
func (t *Table) FenceFailed(now time.Time, id string, round int, host string) []Action {
	e := t.claimed(id, round, host)
	if e == nil {
		return nil
	}
	e.claim.doubt("%s was not reached", host)
	return t.settle(now, e)
}

// claimed returns the entry whose claim waits for the host.
func (t *Table) claimed(id string, round int, host string) *entry {
	e, ok := t.entries[id]
	if !ok || e.state != asking || e.claim.round != round || !e.claim.waiting[host] {
		return nil
	}
	delete(e.claim.waiting, host)
	return e
}

// settle ends a claim after the last reply.
func (t *Table) settle(now time.Time, e *entry) []Action {
	c := &e.claim
	if len(c.waiting) > 0 {
		return nil
	}
	for _, rival := range c.rivals {
		if !c.replied[rival] {
			c.doubt("%s claimed it and did not reply", rival)
		}
	}
	if len(c.doubts) == 0 {
		e.state = running
		note := t.note("run", "promised", fmt.Sprintf("%d peers never saw it and promise not to start it", len(c.replied)), e.id)
		return []Action{note, Run{ID: e.id}}
	}
	slices.Sort(c.doubts)
	why := strings.Join(c.doubts, ", ")
	r := Result{Err: errkind.New(errkind.DuplicateUnresolved, "not started here, but it may have run before: %s", why)}
	t.giveUp(now, e, r)
	return []Action{t.note("refuse", "unresolved", why, e.id), Complete{ID: e.id, Result: r}}
}

// giveUp ends a claim that found no proof. The request never started here, so
// a later attempt may claim it again.
func (t *Table) giveUp(now time.Time, e *entry, r Result) {
	e.state, e.result, e.started = ended, r, false
	t.shelve(now, e, t.kept)
}

// yield leaves the request to another claimant for good.
func (t *Table) yield(e *entry, to ids.Incarnation, why string) []Action {
	e.state, e.claimant = fenced, to
	return t.call(e, "yield", why)
}

// Fence takes a peer's wish to start a request. The reply's Remembers is set.
// Without room for a promise it returns an error.
func (t *Table) Fence(now time.Time, id string, claimant ids.Incarnation) (FenceReply, []Action, *errkind.Error) {
	t.expire(now)
	reply := FenceReply{From: t.self, MemorySpan: t.MemorySpan(now)}
	e, ok := t.entries[id]
	switch {
	case !ok:
		var err *errkind.Error
		if e, err = t.add(now, id); err != nil {
			return FenceReply{}, nil, err
		}
		return reply, t.promise(now, e, claimant), nil
	case e.state == asking && t.self < claimant:
		reply.Seen, reply.Claimant = SeenFenced, t.self
		return reply, nil, nil
	case e.state == asking:
		return reply, t.yield(e, claimant, "the peer's claim goes first"), nil
	case e.open():
		return reply, t.promise(now, e, claimant), nil
	case e.state != fenced:
		reply.Seen = SeenOwned
		return reply, nil, nil
	}
	if e.claimant != claimant {
		reply.Seen, reply.Claimant = SeenFenced, e.claimant
	}
	if !e.calling {
		// The promise is given again, so it lasts the horizon from now.
		t.shelve(now, e, t.kept)
	}
	return reply, nil, nil
}

// promise fences the request for the claimant.
func (t *Table) promise(now time.Time, e *entry, claimant ids.Incarnation) []Action {
	e.state, e.claimant = fenced, claimant
	t.shelve(now, e, t.kept)
	return []Action{t.note("fence", "asked", "promised never to start it here", e.id, string(claimant), claimant.Host())}
}

// Claim is a claim that this host made, for a host that starts anew.
type Claim struct {
	ID       string
	Claimant ids.Incarnation
}

// Claims returns the requests that later attempts claimed within the horizon,
// here or elsewhere as far as this host knows.
func (t *Table) Claims(now time.Time) []Claim {
	t.expire(now)
	var claims []Claim
	for _, e := range t.entries {
		switch {
		case e.state == fenced && !e.transient:
			claims = append(claims, Claim{ID: e.id, Claimant: e.claimant})
		case e.claim.round > 0:
			claims = append(claims, Claim{ID: e.id, Claimant: t.self})
		}
	}
	slices.SortFunc(claims, func(a, b Claim) int { return strings.Compare(a.ID, b.ID) })
	return claims
}

// Learn takes a peer's claim made before this host started.
func (t *Table) AddClaim(now time.Time, c Claim) {
	if _, ok := t.entries[c.ID]; ok || c.Claimant == t.self {
		return
	}
	e, err := t.add(now, c.ID)
	if err != nil {
		return
	}
	e.state, e.claimant = fenced, c.Claimant
	t.shelve(now, e, t.kept)
}
