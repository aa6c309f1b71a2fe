package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decision"
)

// Borrow sends a request for slots to another entry host. The caller reports
// the outcome with OfferReceived or BorrowFailed.
type Borrow struct {
	Request route.BorrowRequest
}

// Lend answers another entry host's request for slots, which arrived through
// BorrowRequested.
type Lend struct {
	Offer route.Offer
}

func (Borrow) action() {}
func (Lend) action()   {}

// SetSelector replaces the selector. The new one gets the listed servers and
// the slots of the requests in flight.
func (c *Core) SetSelector(now time.Time, selector route.Selector) []Action {
	c.selector = selector
	c.listChanged = true
	c.refresh(now)
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if w := c.requests[id]; w.backend != "" && !w.probe {
			selector.Adopt(w.backend)
		}
	}
	return c.advance(now, nil)
}

// SetHosts replaces the entry hosts that share the backend servers. It has no
// effect if the selector shares no slots.
func (c *Core) SetHosts(now time.Time, hosts []route.Host) []Action {
	sharer, ok := c.selector.(route.Sharer)
	if !ok {
		return nil
	}
	sharer.SetHosts(now, hosts)
	return c.advance(now, nil)
}

// BorrowRequested handles another host's request for slots. The answer is a
// Lend action, returned now or by a later call. A request older than one seen
// before gets no answer.
func (c *Core) BorrowRequested(now time.Time, a route.BorrowRequest) []Action {
	sharer, ok := c.selector.(route.Sharer)
	if !ok {
		return []Action{Lend{Offer: route.Offer{From: a.To, To: a.From, Incarnation: a.Incarnation, Seq: a.Seq}}}
	}
	sharer.HandleRequest(now, a)
	return c.advance(now, nil)
}

// OfferReceived handles the answer to this host's request for slots.
func (c *Core) OfferReceived(now time.Time, o route.Offer) []Action {
	if sharer, ok := c.selector.(route.Sharer); ok {
		sharer.HandleOffer(now, o)
	}
	return c.advance(now, nil)
}

// BorrowFailed ends this host's request for slots that got no answer.
func (c *Core) BorrowFailed(now time.Time, lender string, seq uint64) []Action {
	if sharer, ok := c.selector.(route.Sharer); ok {
		sharer.RequestFailed(now, lender, seq)
	}
	return c.advance(now, nil)
}

// lend appends the answers to other hosts' requests for slots that are due.
func (c *Core) lend(now time.Time, actions []Action) []Action {
	sharer, ok := c.selector.(route.Sharer)
	if !ok {
		return actions
	}
	since, _ := c.queue.OldestArrival()
	for _, o := range sharer.DueOffers(now, c.queue.Len(), since) {
		why := fmt.Sprintf("slots requested; %s holds %d of this host's slots for %v, %d remain free", o.To, len(o.Grants), o.Lease, o.Free)
		actions = append(actions, c.logEvent(decision.PartRoute, "lend", "shares", why, o.To), Lend{Offer: o})
	}
	return actions
}

// borrow appends the requests for slots that this host needs.
func (c *Core) borrow(now time.Time, actions []Action) []Action {
	sharer, ok := c.selector.(route.Sharer)
	if !ok {
		return actions
	}
	since, _ := c.queue.OldestArrival()
	for _, a := range sharer.DueRequests(now, c.queue.Len(), since) {
		why := fmt.Sprintf("%d requests lack a slot, the first one for %v; already holds the lender's slots on %d servers", a.Need, a.Waited, len(a.Holding))
		actions = append(actions, c.logEvent(decision.PartRoute, "borrow", "shares", why, a.To), Borrow{Request: a})
	}
	return actions
}
