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

// Lenders asks other entry hosts for slots. A call ends within a second.
type Lenders interface {
	// Borrow sends the ask and returns the lender's offer.
	Borrow(ctx context.Context, customer string, a route.Ask) (route.Offer, error)
}

// lendKey names an ask of another host.
type lendKey struct {
	incarnation string
	seq         uint64
}

// selector makes the selector of a policy.
func (s *Service) selector(policy standing.Policy, rng *rand.Rand) route.Selector {
	if policy == standing.PolicyShares {
		self := route.Host{Name: s.deps.Settings.Host, Zone: s.deps.Settings.Zone}
		return route.NewShares(self, string(s.deps.Incarnation), rng)
	}
	return route.NewLeast(s.deps.Settings.Zone, rng)
}

// share brings the policy and the hosts that share slots up to date. The lock
// is held.
func (s *Service) share(now time.Time, c *customer, rules standing.Customer, hosts []platform.Host) {
	if policy := rules.WithDefaults().Policy; policy != c.policy {
		c.policy = policy
		s.apply(c, c.core.SetSelector(now, s.selector(policy, c.rng)))
	}
	var entries []route.Host
	for _, h := range hosts {
		if h.Role == platform.RoleEntry && h.State == platform.HostLive && !s.deps.Peers.Lost(h.Name) {
			entries = append(entries, route.Host{Name: h.Name, Zone: h.Zone})
		}
	}
	s.apply(c, c.core.SetHosts(now, entries))
}

// borrow sends an ask and reports its outcome.
func (s *Service) borrow(c *customer, a route.Ask) {
	var offer route.Offer
	err := error(errkind.New(errkind.PeerUnreachable, "no way to ask for slots"))
	if s.deps.Lenders != nil {
		offer, err = s.deps.Lenders.Borrow(context.Background(), c.name, a)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.apply(c, c.core.BorrowFailed(time.Now(), a.To, a.Seq))
		return
	}
	s.apply(c, c.core.OfferReceived(time.Now(), offer))
}

// Lend takes another host's ask for slots and waits for the offer until ctx
// ends.
func (s *Service) Lend(ctx context.Context, customer string, a route.Ask) (route.Offer, error) {
	key := lendKey{incarnation: a.Incarnation, seq: a.Seq}
	offers := make(chan route.Offer, 1)
	s.mu.Lock()
	c, err := s.known(customer)
	if err != nil {
		s.mu.Unlock()
		return route.Offer{}, err
	}
	c.lends[key] = offers
	s.apply(c, c.core.BorrowRequested(time.Now(), a))
	s.mu.Unlock()
	select {
	case o := <-offers:
		return o, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(c.lends, key)
	return route.Offer{}, ctx.Err()
}

// answer gives an offer to the call that waits for it. The lock is held.
func (c *customer) answer(o route.Offer) {
	key := lendKey{incarnation: o.Incarnation, seq: o.Seq}
	if offers, ok := c.lends[key]; ok {
		delete(c.lends, key)
		offers <- o
	}
}
