package requests

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// Lenders requests slots from other entry hosts. A call ends within a second.
type Lenders interface {
	// Borrow sends the request for slots and returns the lender's offer.
	Borrow(ctx context.Context, customer string, a route.BorrowRequest) (route.Offer, error)
}

// lendKey identifies a request for slots from another host.
type lendKey struct {
	incarnation string
	seq         uint64
}

// newSelector returns a new selector for the policy.
func (s *Service) newSelector(policy standing.Policy, rng *rand.Rand) route.Selector {
	if policy == standing.PolicyShares {
		self := route.Host{Name: s.deps.Settings.Host, Zone: s.deps.Settings.Zone}
		return route.NewShares(self, string(s.deps.Incarnation), rng)
	}
	return route.NewLeastLoaded(s.deps.Settings.Zone, rng)
}

// refreshSelector applies the customer's policy and the list of hosts that share
// slots. The lock is held.
func (s *Service) refreshSelector(now time.Time, c *customer, rules standing.Customer, hosts []platform.Host) {
	if policy := rules.WithDefaults().Policy; policy != c.policy {
		c.policy = policy
		s.applyDispatch(c, c.core.SetSelector(now, s.newSelector(policy, c.rng)))
	}
	var entries []route.Host
	for _, h := range hosts {
		if h.Role == platform.RoleEntry && h.State == platform.HostLive && !s.deps.Peers.Lost(h.Name) {
			entries = append(entries, route.Host{Name: h.Name, Zone: h.Zone})
		}
	}
	s.applyDispatch(c, c.core.SetHosts(now, entries))
}

// borrow sends a request for slots and passes the outcome to the dispatch core.
func (s *Service) borrow(c *customer, a route.BorrowRequest) {
	var offer route.Offer
	err := error(errkind.New(errkind.PeerUnreachable, "borrowing slots is not set up on this host"))
	if s.deps.Lenders != nil {
		offer, err = s.deps.Lenders.Borrow(context.Background(), c.name, a)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.applyDispatch(c, c.core.BorrowFailed(time.Now(), a.To, a.Seq))
		return
	}
	s.applyDispatch(c, c.core.OfferReceived(time.Now(), offer))
}

// Lend handles another host's request for slots. It waits for the offer until
// ctx ends.
func (s *Service) Lend(ctx context.Context, customer string, a route.BorrowRequest) (route.Offer, error) {
	key := lendKey{incarnation: a.Incarnation, seq: a.Seq}
	offers := make(chan route.Offer, 1)
	s.mu.Lock()
	c, err := s.lookupCustomer(customer)
	if err != nil {
		s.mu.Unlock()
		return route.Offer{}, err
	}
	c.pendingLends[key] = offers
	s.applyDispatch(c, c.core.BorrowRequested(time.Now(), a))
	s.mu.Unlock()
	select {
	case o := <-offers:
		return o, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(c.pendingLends, key)
	return route.Offer{}, ctx.Err()
}

// deliverOffer passes an offer to the call that waits for it, if any. The lock
// is held.
func (c *customer) deliverOffer(o route.Offer) {
	key := lendKey{incarnation: o.Incarnation, seq: o.Seq}
	if offers, ok := c.pendingLends[key]; ok {
		delete(c.pendingLends, key)
		offers <- o
	}
}
