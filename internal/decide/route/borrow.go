package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// askAfter is how long a request waits for a slot of this host's before
	// others are asked. Each further ask at the same time waits askMore longer.
	askAfter = 15 * time.Millisecond
	askMore  = 45 * time.Millisecond
	// maxAsks bounds the asks for slots under way at once.
	maxAsks = 2
	// spareAsked is how many slots a host asks for beyond its need.
	spareAsked = 4
	// staleAfter is the age from which a peer's free slots are unknown.
	staleAfter = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the time between asks of a peer that had
	// nothing to lend.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// renewBefore is the time before a lease's end at which it is renewed.
	renewBefore = leaseTime / 2
)

// peer is another entry host as the borrower sees it.
type peer struct {
	Host
	// slots are held of the peer until expires.
	slots   []Grant
	expires time.Time
	// seq is the ask under way, or 0.
	seq  uint64
	sent time.Time
	need int
	// free is the number of free slots that the peer stated at heard.
	free  int
	heard time.Time
	// after is the earliest time of the next ask, backoff its step.
	after   time.Time
	backoff time.Duration
}

// borrower is the state of a host that borrows.
type borrower struct {
	peers map[string]*peer
	order []*peer
	seq   uint64
	// low is the least number of free slots since lowSince.
	low      int
	lowSince time.Time
	// renewAt and endsAt are the earliest times at which a lease is to be
	// renewed and ends, or zero.
	renewAt, endsAt time.Time
}

// Asks implements Sharer.
func (s *Shares) DueRequests(now time.Time, waiting int, since time.Time) []BorrowRequest {
	s.expireLeases(now)
	var asks []BorrowRequest
	if !s.borrower.renewAt.IsZero() && !now.Before(s.borrower.renewAt) {
		asks = s.renewals(now)
	}
	need, underWay := waiting, 0
	for _, p := range s.borrower.order {
		if p.seq > 0 && p.need > 0 {
			need -= p.need
			underWay++
		}
	}
	for need > 0 && underWay < maxAsks && now.Sub(since) >= askAfter+time.Duration(underWay)*askMore {
		p := s.bestPeer(now)
		if p == nil {
			break
		}
		asks = append(asks, s.ask(now, p, need, spareAsked, now.Sub(since)))
		need -= p.need
		underWay++
	}
	return asks
}

// ask makes an ask of a peer and counts it as under way.
func (s *Shares) ask(now time.Time, p *peer, need, spare int, waited time.Duration) BorrowRequest {
	s.borrower.seq++
	p.seq, p.sent, p.need = s.borrower.seq, now, need
	return BorrowRequest{
		From: s.self.Name, Incarnation: s.incarnation, Zone: s.self.Zone, To: p.Name, Seq: p.seq,
		Holding: slices.Clone(p.slots), Need: need, Spare: spare, Waited: waited,
	}
}

// bestPeer returns the peer most likely to have a free slot, or nil.
func (s *Shares) bestPeer(now time.Time) *peer {
	var best *peer
	bestScore := 0.0
	for _, p := range s.borrower.order {
		if p.seq > 0 || now.Before(p.after) {
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
	if now.Sub(p.heard) < staleAfter {
		score += float64(p.free)
	}
	return score
}

// Accept implements Sharer.
func (s *Shares) HandleOffer(now time.Time, o Offer) {
	p, ok := s.borrower.peers[o.From]
	if !ok || p.seq == 0 || o.Seq != p.seq || o.Incarnation != s.incarnation {
		return
	}
	s.takeBack(o)
	p.free, p.heard = o.Free, now
	before := slots(p.slots)
	if expires := p.sent.Add(o.Lease); o.Lease > 0 && now.Before(expires) {
		s.move(s.borrowed, p.slots, -1)
		p.slots = slices.Clone(o.Grants)
		s.move(s.borrowed, p.slots, 1)
		p.expires = expires
	}
	if slots(p.slots) > before || o.LenderIncarnation != "" {
		p.backoff = 0
	} else if p.need > 0 {
		s.backOff(now, p)
	}
	p.seq, p.need = 0, 0
	s.scheduleRenewal()
}

// Failed implements Sharer.
func (s *Shares) RequestFailed(now time.Time, lender string, seq uint64) {
	p, ok := s.borrower.peers[lender]
	if !ok || p.seq != seq {
		return
	}
	p.seq, p.need = 0, 0
	s.backOff(now, p)
	s.scheduleRenewal()
}

func (s *Shares) backOff(now time.Time, p *peer) {
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.after = now.Add(p.backoff)
}

func slots(grants []Grant) int {
	n := 0
	for _, g := range grants {
		n += g.Slots
	}
	return n
}

// scheduleRenewal finds the next lease to renew or to end.
func (s *Shares) scheduleRenewal() {
	s.borrower.renewAt, s.borrower.endsAt = time.Time{}, time.Time{}
	for _, p := range s.borrower.order {
		if len(p.slots) == 0 {
			continue
		}
		s.borrower.endsAt = earlier(s.borrower.endsAt, p.expires)
		if p.seq == 0 {
			s.borrower.renewAt = earlier(s.borrower.renewAt, p.expires.Add(-renewBefore))
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

// expireLeases drops the slots of leases that ended, also while this process
// was paused.
func (s *Shares) expireLeases(now time.Time) {
	if s.borrower.endsAt.IsZero() || now.Before(s.borrower.endsAt) {
		return
	}
	for _, p := range s.borrower.order {
		if !now.Before(p.expires) {
			s.giveBack(p, slots(p.slots), true)
		}
	}
	s.scheduleRenewal()
}

// renewals renews the leases that are due as far as their slots were needed.
func (s *Shares) renewals(now time.Time) []BorrowRequest {
	var asks []BorrowRequest
	for _, p := range s.borrower.order {
		if len(p.slots) == 0 || p.seq > 0 || now.Before(p.expires.Add(-renewBefore)) || now.Before(p.after) {
			continue
		}
		spare := min(s.borrower.low, s.free)
		s.borrower.low -= s.giveBack(p, spare, false)
		if len(p.slots) > 0 {
			asks = append(asks, s.ask(now, p, 0, 0, 0))
		}
	}
	if now.Sub(s.borrower.lowSince) >= renewBefore {
		s.borrower.low, s.borrower.lowSince = s.free, now
	}
	s.scheduleRenewal()
	return asks
}

// giveBack drops up to n slots held of the peer, free ones only unless all is
// set, and returns how many.
func (s *Shares) giveBack(p *peer, n int, all bool) int {
	dropped := 0
	for at := range p.slots {
		g := &p.slots[at]
		i, ok := s.table.byName[g.Backend]
		for g.Slots > 0 && dropped < n && (!ok || all || s.freeOn(i) > 0) {
			g.Slots--
			dropped++
			if ok && !s.table.servers[i].gone {
				s.change(i, func() { s.borrowed[i]-- })
			}
		}
	}
	p.slots = slices.DeleteFunc(p.slots, func(g Grant) bool { return g.Slots == 0 })
	return dropped
}

// giveBackTo returns free slots held of the host, up to need, and says how
// many. While an ask to that host is under way it returns none, so that an
// answer cannot grant them again.
func (s *Shares) giveBackTo(host string, need int) int {
	p, ok := s.borrower.peers[host]
	if !ok || p.seq > 0 || need <= 0 {
		return 0
	}
	return s.giveBack(p, need, false)
}

// sayReturned states in the offer what this host still holds of the borrower.
func (s *Shares) sayReturned(o *Offer) {
	o.LenderIncarnation = s.incarnation
	o.ReturnedSeq = s.borrower.seq
	o.Returned = slices.Clone(s.borrower.peers[o.To].slots)
}

// takeBack ends the part of a loan that its borrower returned.
func (s *Shares) takeBack(o Offer) {
	l, ok := s.lender.loans[o.LenderIncarnation]
	if !ok || o.ReturnedSeq < l.seq {
		return
	}
	s.move(s.lent, l.slots, -1)
	l.slots = common(l.slots, o.Returned)
	s.move(s.lent, l.slots, 1)
}

// common returns the slots that are in both.
func common(a, b []Grant) []Grant {
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

// dropPeers forgets hosts that are no longer listed and takes in new ones.
func (s *Shares) dropPeers() {
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

// withSelf returns the hosts sorted by name, self included.
func withSelf(self Host, hosts []Host) []Host {
	all := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Name == self.Name })
	all = append(all, self)
	slices.SortFunc(all, func(a, b Host) int { return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Zone, b.Zone)) })
	return all
}
