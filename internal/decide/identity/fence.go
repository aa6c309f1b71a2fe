package identity

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// claim is this host's attempt to obtain the right to start a request.
type claim struct {
	// round matches replies to the claim; it is 0 if there never was one.
	round int
	// awaiting names the peers that have not replied.
	awaiting map[string]bool
	// asked names all hosts that the claim takes into account, including this
	// one.
	asked map[string]bool
	// promised holds the incarnations that have promised never to start the
	// request.
	promised map[ids.Incarnation]bool
	// rivals are other claimants that peers named.
	rivals []ids.Incarnation
	// gaps lists the reasons why the promises do not prove that the request
	// never ran.
	gaps []string
}

func (c *claim) addGap(format string, args ...any) {
	c.gaps = append(c.gaps, fmt.Sprintf(format, args...))
}

// startClaim starts a new claim and asks all peers for their promises.
func (t *Table) startClaim(now time.Time, e *entry, view PeerView) []Action {
	t.lastRound++
	e.state = claiming
	e.claim = claim{
		round: t.lastRound, awaiting: map[string]bool{}, promised: map[ids.Incarnation]bool{},
		asked: map[string]bool{t.self.Host(): true},
	}
	c := &e.claim
	for _, p := range view.Peers {
		c.awaiting[p] = true
		c.asked[p] = true
	}
	if t.MemorySpan(now) < t.horizon {
		c.addGap("this host remembers only %s of %s", t.MemorySpan(now), t.horizon)
	}
	if view.LastLoss.within(t.horizon) {
		c.addGap("this host lost a peer %s ago", view.LastLoss.Ago)
	}
	event := t.logEvent("ask", "later-attempt", fmt.Sprintf("%d peers to ask", len(view.Peers)), e.id)
	if len(view.Peers) == 0 {
		return append([]Action{event}, t.resolveClaim(now, e)...)
	}
	return []Action{event, SendFence{ID: e.id, Round: c.round, Peers: view.Peers}}
}

// FenceReplied records a peer's reply to the fence of the given round. Repeated
// replies and those of earlier rounds have no effect.
func (t *Table) FenceReplied(now time.Time, id string, round int, host string, r FenceReply) []Action {
	e := t.recordReply(id, round, host)
	if e == nil {
		return nil
	}
	if r.Seen == SeenOwned {
		return t.yieldTo(e, r.From, "the peer runs the request or has its outcome")
	}
	if r.Seen == SeenFenced && r.Claimant == r.From {
		return t.yieldTo(e, r.From, "the peer's claim takes precedence")
	}
	c := &e.claim
	c.promised[r.From] = true
	if r.Seen == SeenFenced && r.Claimant != t.self {
		c.rivals = append(c.rivals, r.Claimant)
	}
	c.checkPromise(host, r, t.horizon)
	return t.resolveClaim(now, e)
}

// checkPromise adds a gap for each reason why the peer's promise does not
// cover the whole horizon or every host.
func (c *claim) checkPromise(host string, r FenceReply, horizon time.Duration) {
	if r.MemorySpan < horizon {
		c.addGap("%s remembers only %s of %s", host, r.MemorySpan, horizon)
	}
	if r.LastLoss.within(horizon) {
		c.addGap("%s lost a peer %s ago", host, r.LastLoss.Ago)
	}
	for _, known := range r.KnownHosts {
		if !c.asked[known] {
			c.addGap("%s knows %s, which was not asked", host, known)
		}
	}
}

// FenceFailed records that a peer did not reply to the fence of the given
// round.
func (t *Table) FenceFailed(now time.Time, id string, round int, host string) []Action {
	e := t.recordReply(id, round, host)
	if e == nil {
		return nil
	}
	e.claim.addGap("%s could not be reached", host)
	return t.resolveClaim(now, e)
}

// recordReply marks the host's reply to a claim as received and returns the
// claim's entry, or nil if no claim waits for that reply.
func (t *Table) recordReply(id string, round int, host string) *entry {
	e, ok := t.entries[id]
	if !ok || e.state != claiming || e.claim.round != round || !e.claim.awaiting[host] {
		return nil
	}
	delete(e.claim.awaiting, host)
	return e
}

// resolveClaim ends a claim once no reply is outstanding: it runs the request
// if the promises leave no gap and abandons the claim otherwise.
func (t *Table) resolveClaim(now time.Time, e *entry) []Action {
	c := &e.claim
	if len(c.awaiting) > 0 {
		return nil
	}
	for _, rival := range c.rivals {
		if !c.promised[rival] {
			c.addGap("%s claimed the request and did not reply", rival)
		}
	}
	if len(c.gaps) == 0 {
		e.state = running
		event := t.logEvent("run", "promised", fmt.Sprintf("%d peers have not started it and promise never to", len(c.promised)), e.id)
		return []Action{event, Run{ID: e.id}}
	}
	slices.Sort(c.gaps)
	why := strings.Join(c.gaps, ", ")
	r := Result{Err: errkind.New(errkind.DuplicateUnresolved, "not started here, but it may have run before: %s", why)}
	t.abandonClaim(now, e, r)
	return []Action{t.logEvent("refuse", "unresolved", why, e.id), Complete{ID: e.id, Result: r}}
}

// abandonClaim ends a claim that could not prove that the request never ran.
// The request never started here, so a later attempt may claim it again.
func (t *Table) abandonClaim(now time.Time, e *entry, r Result) {
	e.state, e.result, e.started = ended, r, false
	t.scheduleExpiry(now, e, t.retained)
}

// yieldTo permanently cedes the request to another claimant and forwards it to
// that claimant.
func (t *Table) yieldTo(e *entry, to ids.Incarnation, why string) []Action {
	e.state, e.claimant = fenced, to
	return t.forward(e, "yield", why)
}

// Fence decides on a peer's claim to a request. The reply says whether this
// host promises never to start it; the caller fills in LastLoss and KnownHosts.
// Fence returns an error if the table is too full to store a promise.
func (t *Table) Fence(now time.Time, id string, claimant ids.Incarnation) (FenceReply, []Action, *errkind.Error) {
	t.expire(now)
	reply := FenceReply{From: t.self, MemorySpan: t.MemorySpan(now)}
	e, ok := t.entries[id]
	switch {
	case !ok:
		var err *errkind.Error
		if e, err = t.addEntry(now, id); err != nil {
			return FenceReply{}, nil, err
		}
		return reply, t.promise(now, e, claimant), nil
	case e.state == claiming && t.self < claimant:
		reply.Seen, reply.Claimant = SeenFenced, t.self
		return reply, nil, nil
	case e.state == claiming:
		return reply, t.yieldTo(e, claimant, "the peer's claim takes precedence"), nil
	case e.neverStarted():
		return reply, t.promise(now, e, claimant), nil
	case e.state != fenced:
		reply.Seen = SeenOwned
		return reply, nil, nil
	}
	if e.claimant != claimant {
		reply.Seen, reply.Claimant = SeenFenced, e.claimant
	}
	if !e.forwarding {
		// The promise is renewed, so it lasts for the horizon from now.
		t.scheduleExpiry(now, e, t.retained)
	}
	return reply, nil, nil
}

// promise stores the promise that only the claimant may start the request.
func (t *Table) promise(now time.Time, e *entry, claimant ids.Incarnation) []Action {
	e.state, e.claimant = fenced, claimant
	t.scheduleExpiry(now, e, t.retained)
	return []Action{t.logEvent("fence", "asked", "promised never to start the request here", e.id, string(claimant), claimant.Host())}
}

// Claim names the incarnation that claimed a request. A peer that restarts has
// lost its promises, so the other hosts send it their claims.
type Claim struct {
	ID       string
	Claimant ids.Incarnation
}

// Claims returns, sorted by id, the claims that this host knows of, made within
// the horizon here or on other hosts.
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

// AddClaim stores a claim that was made before this host started, so that the
// host does not start the request. An id that is already in the table is left
// unchanged.
func (t *Table) AddClaim(now time.Time, c Claim) {
	if _, ok := t.entries[c.ID]; ok || c.Claimant == t.self {
		return
	}
	e, err := t.addEntry(now, c.ID)
	if err != nil {
		return
	}
	e.state, e.claimant = fenced, c.Claimant
	t.scheduleExpiry(now, e, t.retained)
}
