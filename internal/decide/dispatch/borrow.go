package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decision"
)

// Borrow asks to send an ask for slots to another entry host. Its outcome goes
// to Offered or AskFailed.
type Borrow struct {
	Ask route.Ask
}

// Lend asks to answer another entry host's ask, which came in by Asked.
type Lend struct {
	Offer route.Offer
}

func (Borrow) action() {}
func (Lend) action()   {}

// SetSelector replaces the selector, with the servers and the requests that
// were sent.
func (c *Core) SetSelector(now time.Time, selector route.Selector) []Action {
	c.selector = selector
	c.relisted = true
	c.refresh(now)
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if w := c.requests[id]; w.backend != "" && !w.probe {
			selector.Adopt(w.backend)
		}
	}
	return c.pump(now, nil)
}

// SetHosts replaces the entry hosts that share the servers.
func (c *Core) SetHosts(now time.Time, hosts []route.Host) []Action {
	sharer, ok := c.selector.(route.Sharer)
	if !ok {
		return nil
	}
	sharer.SetHosts(now, hosts)
	return c.pump(now, nil)
}

// Asked takes another host's ask for slots. The answer is a Lend action, now
// or later; an ask that is older than one seen before gets none.
func (c *Core) BorrowRequested(now time.Time, a route.Ask) []Action {
	sharer, ok := c.selector.(route.Sharer)
	if !ok {
		return []Action{Lend{Offer: route.Offer{From: a.To, To: a.From, Incarnation: a.Incarnation, Seq: a.Seq}}}
	}
	sharer.Lend(now, a)
	return c.pump(now, nil)
}

// Offered takes the answer to an ask of this host.
func (c *Core) OfferReceived(now time.Time, o route.Offer) []Action {
	if sharer, ok := c.selector.(route.Sharer); ok {
		sharer.Accept(now, o)
	}
	return c.pump(now, nil)
}

// AskFailed ends an ask of this host that got no answer.
func (c *Core) BorrowFailed(now time.Time, lender string, seq uint64) []Action {
	if sharer, ok := c.selector.(route.Sharer); ok {
		sharer.Failed(now, lender, seq)
	}
	return c.pump(now, nil)
}

// lend adds the answers to other hosts' asks that are due.
func (c *Core) lend(now time.Time, actions []Action) []Action {
	sharer, ok := c.selector.(route.Sharer)
	if !ok {
		return actions
	}
	since, _ := c.queue.Oldest()
	for _, o := range sharer.Offers(now, c.queue.Len(), since) {
		why := fmt.Sprintf("asked for slots; %s holds %d of this host's for %v, %d left free", o.To, len(o.Grants), o.Lease, o.Free)
		actions = append(actions, c.note(decision.PartRoute, "lend", "shares", why, o.To), Lend{Offer: o})
	}
	return actions
}

// borrow adds the asks for slots that this host needs.
func (c *Core) borrow(now time.Time, actions []Action) []Action {
	sharer, ok := c.selector.(route.Sharer)
	if !ok {
		return actions
	}
	since, _ := c.queue.Oldest()
	for _, a := range sharer.Asks(now, c.queue.Len(), since) {
		why := fmt.Sprintf("%d requests short of a slot, the first since %v; holds slots on %d servers of it", a.Need, a.Waited, len(a.Holding))
		actions = append(actions, c.note(decision.PartRoute, "borrow", "shares", why, a.To), Borrow{Ask: a})
	}
	return actions
}
