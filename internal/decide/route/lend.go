package route

import (
	"maps"
	"slices"
	"time"
)

const (
	// leaseTime is how long lent slots stay with the borrower.
	leaseTime = 16 * time.Second
	// parkTime bounds the wait of an ask for a slot to become free.
	parkTime = 500 * time.Millisecond
	// ageMargin is how much longer another host's request must have waited to
	// be served before this host's own.
	ageMargin = 5 * time.Millisecond
)

// loan is what one incarnation of a borrower holds of this host's slots.
type loan struct {
	borrower string
	seq      uint64
	slots    []Grant
	expires  time.Time
}

// parked is an ask that waits for a free slot.
type parked struct {
	ask BorrowRequest
	// since is when the borrower's first request began to wait.
	since time.Time
	until time.Time
}

// lender is the state of a host that lends.
type lender struct {
	// loans are by the borrower's incarnation.
	loans  map[string]*loan
	parked []parked
	// expires is when loans are checked next, or zero.
	expires time.Time
}

// Lend implements Sharer.
func (s *Shares) HandleRequest(now time.Time, a BorrowRequest) {
	l, ok := s.lender.loans[a.Incarnation]
	if !ok {
		l = &loan{borrower: a.From}
		s.lender.loans[a.Incarnation] = l
	}
	if a.Seq <= l.seq {
		return
	}
	l.seq = a.Seq
	s.renew(now, l, a.Holding)
	s.unpark(a.Incarnation)
	until := now
	if a.Need > 0 {
		until = now.Add(parkTime)
	}
	s.lender.parked = append(s.lender.parked, parked{ask: a, since: now.Add(-a.Waited), until: until})
}

// unpark drops the ask of a borrower that waits.
func (s *Shares) unpark(incarnation string) {
	s.lender.parked = slices.DeleteFunc(s.lender.parked, func(p parked) bool { return p.ask.Incarnation == incarnation })
}

// renew takes the borrower's word for what it holds and extends the loan,
// unless this host lacks what it lent because its own leases ended. Then the
// loan runs out and nothing is granted.
func (s *Shares) renew(now time.Time, l *loan, holding []Grant) {
	s.move(s.lent, l.slots, -1)
	l.slots = slices.Clone(holding)
	s.move(s.lent, l.slots, 1)
	if l.expires.IsZero() || !s.short(holding) {
		s.extend(now, l)
	}
}

// short reports whether this host lent more than it holds of a server.
func (s *Shares) short(grants []Grant) bool {
	return slices.ContainsFunc(grants, func(g Grant) bool {
		i, ok := s.table.byName[g.Backend]
		return ok && s.own(i) < 0
	})
}

func (s *Shares) extend(now time.Time, l *loan) {
	l.expires = now.Add(leaseTime)
	s.checkLoansAt(l.expires)
}

// Offers implements Sharer.
func (s *Shares) DueOffers(now time.Time, waiting int, since time.Time) []Offer {
	s.expireLoans(now)
	if len(s.lender.parked) == 0 {
		return nil
	}
	var offers []Offer
	slices.SortStableFunc(s.lender.parked, func(a, b parked) int { return a.since.Compare(b.since) })
	s.lender.parked = slices.DeleteFunc(s.lender.parked, func(p parked) bool {
		before := waiting == 0 || p.since.Add(ageMargin).Before(since)
		var grants []Grant
		returned := 0
		if before && !s.short(s.lender.loans[p.ask.Incarnation].slots) {
			returned = s.giveBackTo(p.ask.From, p.ask.Need)
			p.ask.Need -= returned
			grants = s.grant(p.ask, waiting)
		}
		if returned == 0 && len(grants) == 0 && now.Before(p.until) {
			return false
		}
		o := s.offer(now, p.ask, grants)
		if returned > 0 {
			s.sayReturned(&o)
		}
		offers = append(offers, o)
		return true
	})
	return offers
}

func (s *Shares) offer(now time.Time, a BorrowRequest, grants []Grant) Offer {
	l := s.lender.loans[a.Incarnation]
	for _, g := range grants {
		l.slots = addGrant(l.slots, g)
	}
	o := Offer{From: s.self.Name, To: a.From, Incarnation: a.Incarnation, Seq: a.Seq, Free: s.free}
	if s.short(l.slots) {
		return o
	}
	s.extend(now, l)
	o.Grants, o.Lease = slices.Clone(l.slots), leaseTime
	return o
}

func addGrant(grants []Grant, g Grant) []Grant {
	for i := range grants {
		if grants[i].Backend == g.Backend {
			grants[i].Slots += g.Slots
			return grants
		}
	}
	return append(grants, g)
}

// grant takes slots for an ask out of the free ones: what the borrower needs,
// and of the rest up to half.
func (s *Shares) grant(a BorrowRequest, waiting int) []Grant {
	need := min(a.Need, s.free)
	spare := min(a.Spare, (s.free-need-waiting)/2)
	var grants []Grant
	for range need + max(0, spare) {
		i := s.lendableFor(a.Zone)
		if i < 0 {
			break
		}
		s.change(i, func() { s.lent[i]++ })
		grants = addGrant(grants, Grant{Backend: s.table.servers[i].Name, Slots: 1})
	}
	return grants
}

// lendableFor returns the server to lend a slot of to a host in zone, or -1.
// It prefers the borrower's zone, then the servers with most slots free.
func (s *Shares) lendableFor(zone string) int {
	best, most, bestNear := -1, 0, false
	for i := range s.table.servers {
		n := s.lendable(i)
		near := s.table.servers[i].Zone == zone
		if n <= 0 || s.table.servers[i].Excluded || (bestNear && !near) {
			continue
		}
		if n > most || (near && !bestNear) {
			best, most, bestNear = i, n, near
		}
	}
	return best
}

// expireLoans takes back the slots of loans that ended. The last ask of a
// borrower is remembered for another lease time, so that an old one that comes
// late is known.
func (s *Shares) expireLoans(now time.Time) {
	if s.lender.expires.IsZero() || now.Before(s.lender.expires) {
		return
	}
	s.lender.expires = time.Time{}
	for _, incarnation := range slices.Sorted(maps.Keys(s.lender.loans)) {
		l := s.lender.loans[incarnation]
		next := l.expires
		if !now.Before(l.expires) {
			s.move(s.lent, l.slots, -1)
			l.slots = nil
			next = l.expires.Add(leaseTime)
		}
		if !now.Before(next) {
			delete(s.lender.loans, incarnation)
			s.unpark(incarnation)
			continue
		}
		s.checkLoansAt(next)
	}
}

// checkLoansAt makes sure that loans are checked by then.
func (s *Shares) checkLoansAt(at time.Time) {
	s.lender.expires = earlier(s.lender.expires, at)
}

// trimLoans ends the loans to hosts that are no longer listed.
func (s *Shares) trimLoans() {
	for _, l := range s.lender.loans {
		if !slices.ContainsFunc(s.hosts, func(h Host) bool { return h.Name == l.borrower }) {
			l.slots = nil
		}
	}
}
