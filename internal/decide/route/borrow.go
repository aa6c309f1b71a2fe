package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// firstRequestDelay is how long a request waits for a slot of this host
	// before another host is asked to lend one. Each further borrow request
	// that is pending at the same time waits nextRequestDelay longer.
	firstRequestDelay = 15 * time.Millisecond
	nextRequestDelay  = 45 * time.Millisecond
	// maxPendingRequests bounds the borrow requests for waiting work that are
	// pending at once.
	maxPendingRequests = 2
	// spareSlots is how many slots a host requests beyond its need.
	spareSlots = 4
	// freeReportMaxAge is the age at which a peer's reported number of free
	// slots is no longer used.
	freeReportMaxAge = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the time between requests to a peer that
	// had nothing to lend or did not answer.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// renewalLead is how long before its end a lease is renewed.
	renewalLead = leaseDuration / 2
)

// peer is another entry host as the borrower sees it.
type peer struct {
	Host
	// slots are borrowed from the peer until expiresAt.
	slots     []Grant
	expiresAt time.Time
	// pendingSeq is the number of the pending borrow request, or 0.
	pendingSeq  uint64
	sentAt      time.Time
	pendingNeed int
	// free is the number of free slots that the peer reported at
	// freeReportedAt.
	free           int
	freeReportedAt time.Time
	// retryAt is the earliest time of the next request, backoff the last delay
	// before it.
	retryAt time.Time
	backoff time.Duration
}

// borrowerState holds the slots that this host borrows from others.
type borrowerState struct {
	peers   map[string]*peer
	order   []*peer
	lastSeq uint64
	// minFree is the smallest number of free slots since minFreeSince.
	minFree      int
	minFreeSince time.Time
	// renewAt and expireAt are the earliest times at which a lease is due for
	// renewal and expires, or zero.
	renewAt, expireAt time.Time
}

// DueRequests implements Sharer.
func (s *Shares) DueRequests(now time.Time, waiting int, since time.Time) []BorrowRequest {
	s.expireLeases(now)
	var requests []BorrowRequest
	if !s.borrower.renewAt.IsZero() && !now.Before(s.borrower.renewAt) {
		requests = s.renewalRequests(now)
	}
	need, pending := waiting, 0
	for _, p := range s.borrower.order {
		if p.pendingSeq > 0 && p.pendingNeed > 0 {
			need -= p.pendingNeed
			pending++
		}
	}
	for need > 0 && pending < maxPendingRequests && now.Sub(since) >= firstRequestDelay+time.Duration(pending)*nextRequestDelay {
		p := s.bestPeer(now)
		if p == nil {
			break
		}
		requests = append(requests, s.newRequest(now, p, need, spareSlots, now.Sub(since)))
		need -= p.pendingNeed
		pending++
	}
	return requests
}

// newRequest returns a borrow request to a peer and records it as pending.
func (s *Shares) newRequest(now time.Time, p *peer, need, spare int, waited time.Duration) BorrowRequest {
	s.borrower.lastSeq++
	p.pendingSeq, p.sentAt, p.pendingNeed = s.borrower.lastSeq, now, need
	return BorrowRequest{
		From: s.self.Name, Incarnation: s.incarnation, Zone: s.self.Zone, To: p.Name, Seq: p.pendingSeq,
		Holding: slices.Clone(p.slots), Need: need, Spare: spare, Waited: waited,
	}
}

// bestPeer returns the peer most likely to have a free slot, or nil if a
// request to each is pending or backed off.
func (s *Shares) bestPeer(now time.Time) *peer {
	var best *peer
	bestScore := 0.0
	for _, p := range s.borrower.order {
		if p.pendingSeq > 0 || now.Before(p.retryAt) {
			continue
		}
		score := s.score(now, p)
		if best == nil || score > bestScore {
			best, bestScore = p, score
		}
	}
	return best
}

func (s *Shares) score(now time.Time, p *peer) float64 {
	score := s.rng.Float64()
	if p.Zone == s.self.Zone {
		score += 0.5
	}
	if now.Sub(p.freeReportedAt) < freeReportMaxAge {
		score += float64(p.free)
	}
	return score
}

// HandleOffer implements Sharer.
func (s *Shares) HandleOffer(now time.Time, o Offer) {
	p, ok := s.borrower.peers[o.From]
	if !ok || p.pendingSeq == 0 || o.Seq != p.pendingSeq || o.Incarnation != s.incarnation {
		return
	}
	s.reclaimReturned(o)
	p.free, p.freeReportedAt = o.Free, now
	before := totalSlots(p.slots)
	if expires := p.sentAt.Add(o.Lease); o.Lease > 0 && now.Before(expires) {
		s.applyGrants(s.borrowed, p.slots, -1)
		p.slots = slices.Clone(o.Grants)
		s.applyGrants(s.borrowed, p.slots, 1)
		p.expiresAt = expires
	}
	if totalSlots(p.slots) > before || o.LenderIncarnation != "" {
		p.backoff = 0
	} else if p.pendingNeed > 0 {
		s.backOff(now, p)
	}
	p.pendingSeq, p.pendingNeed = 0, 0
	s.scheduleRenewal()
}

// RequestFailed implements Sharer.
func (s *Shares) RequestFailed(now time.Time, lender string, seq uint64) {
	p, ok := s.borrower.peers[lender]
	if !ok || p.pendingSeq != seq {
		return
	}
	p.pendingSeq, p.pendingNeed = 0, 0
	s.backOff(now, p)
	s.scheduleRenewal()
}

func (s *Shares) backOff(now time.Time, p *peer) {
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.retryAt = now.Add(p.backoff)
}

func totalSlots(grants []Grant) int {
	n := 0
	for _, g := range grants {
		n += g.Slots
	}
	return n
}

// scheduleRenewal computes when a lease is next due for renewal or expires.
func (s *Shares) scheduleRenewal() {
	s.borrower.renewAt, s.borrower.expireAt = time.Time{}, time.Time{}
	for _, p := range s.borrower.order {
		if len(p.slots) == 0 {
			continue
		}
		s.borrower.expireAt = earlier(s.borrower.expireAt, p.expiresAt)
		if p.pendingSeq == 0 {
			s.borrower.renewAt = earlier(s.borrower.renewAt, p.expiresAt.Add(-renewalLead))
		}
	}
}

// earlier returns the earlier time; a zero time counts as none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// expireLeases drops the slots of expired leases. It runs before any slot is
// acquired, so that a process that was paused does not use slots whose lease
// ended meanwhile.
func (s *Shares) expireLeases(now time.Time) {
	if s.borrower.expireAt.IsZero() || now.Before(s.borrower.expireAt) {
		return
	}
	for _, p := range s.borrower.order {
		if !now.Before(p.expiresAt) {
			s.returnSlots(p, totalSlots(p.slots), true)
		}
	}
	s.scheduleRenewal()
}

// renewalRequests returns requests to renew the leases that are due. Slots
// that stayed free since minFreeSince are returned instead of renewed.
func (s *Shares) renewalRequests(now time.Time) []BorrowRequest {
	var requests []BorrowRequest
	for _, p := range s.borrower.order {
		if len(p.slots) == 0 || p.pendingSeq > 0 || now.Before(p.expiresAt.Add(-renewalLead)) || now.Before(p.retryAt) {
			continue
		}
		spare := min(s.borrower.minFree, s.free)
		s.borrower.minFree -= s.returnSlots(p, spare, false)
		if len(p.slots) > 0 {
			requests = append(requests, s.newRequest(now, p, 0, 0, 0))
		}
	}
	if now.Sub(s.borrower.minFreeSince) >= renewalLead {
		s.borrower.minFree, s.borrower.minFreeSince = s.free, now
	}
	s.scheduleRenewal()
	return requests
}

// returnSlots drops up to n slots borrowed from the peer and returns how many
// it dropped. It drops slots in use only if all is set.
func (s *Shares) returnSlots(p *peer, n int, all bool) int {
	dropped := 0
	for at := range p.slots {
		g := &p.slots[at]
		i, ok := s.table.byName[g.Backend]
		for g.Slots > 0 && dropped < n && (!ok || all || s.freeOn(i) > 0) {
			g.Slots--
			dropped++
			if ok && !s.table.servers[i].unlisted {
				s.updateServer(i, func() { s.borrowed[i]-- })
			}
		}
	}
	p.slots = slices.DeleteFunc(p.slots, func(g Grant) bool { return g.Slots == 0 })
	return dropped
}

// returnSlotsTo returns at most need free slots to the host that lent them, and
// reports how many. While a request to that host is pending it returns none,
// because the offer could grant them again.
func (s *Shares) returnSlotsTo(host string, need int) int {
	p, ok := s.borrower.peers[host]
	if !ok || p.pendingSeq > 0 || need <= 0 {
		return 0
	}
	return s.returnSlots(p, need, false)
}

// reportReturned sets in the offer which slots of the borrower this host still
// holds itself.
func (s *Shares) reportReturned(o *Offer) {
	o.LenderIncarnation = s.incarnation
	o.ReturnedSeq = s.borrower.lastSeq
	o.Returned = slices.Clone(s.borrower.peers[o.To].slots)
}

// reclaimReturned reclaims the lent slots that the sender of the offer
// returned.
func (s *Shares) reclaimReturned(o Offer) {
	l, ok := s.lender.loans[o.LenderIncarnation]
	if !ok || o.ReturnedSeq < l.seq {
		return
	}
	s.applyGrants(s.lent, l.slots, -1)
	l.slots = intersectGrants(l.slots, o.Returned)
	s.applyGrants(s.lent, l.slots, 1)
}

// intersectGrants returns the slots that are in both a and b.
func intersectGrants(a, b []Grant) []Grant {
	var both []Grant
	for _, g := range a {
		for _, other := range b {
			if other.Backend == g.Backend {
				both = append(both, Grant{Backend: g.Backend, Slots: min(g.Slots, other.Slots)})
			}
		}
	}
	return both
}

// updatePeers removes the peers that are no longer listed and adds new ones.
func (s *Shares) updatePeers() {
	old := s.borrower.peers
	s.borrower.peers = map[string]*peer{}
	s.borrower.order = nil
	for _, h := range s.hosts {
		if h.Name == s.self.Name {
			continue
		}
		p, ok := old[h.Name]
		if !ok {
			p = &peer{}
		}
		p.Host = h
		s.borrower.peers[h.Name] = p
		s.borrower.order = append(s.borrower.order, p)
	}
}

// withSelf returns the hosts with self, sorted by name.
func withSelf(self Host, hosts []Host) []Host {
	all := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Name == self.Name })
	all = append(all, self)
	slices.SortFunc(all, func(a, b Host) int { return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Zone, b.Zone)) })
	return all
}
