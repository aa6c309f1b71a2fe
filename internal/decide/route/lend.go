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
	ask Ask
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
func (s *Shares) Lend(now time.Time, a Ask) {
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
	s.lender.parked = slices.DeleteFunc(s.lender.parked, func(p parked) bool { return p.ask.Incarnation == a.Incarnation })
	until := now
	if a.Need > 0 {
		until = now.Add(parkTime)
	}
	s.lender.parked = append(s.lender.parked, parked{ask: a, since: now.Add(-a.Waited), until: until})
}

// renew takes the borrower's word for what it holds, as far as this host has
// the slots.
func (s *Shares) renew(now time.Time, l *loan, holding []Grant) {
	s.move(s.lent, l.slots, -1)
	l.slots = nil
	for _, g := range holding {
		i, ok := s.table.byName[g.Backend]
		if !ok {
			continue
		}
		if n := min(g.Slots, s.own(i)); n > 0 {
			l.slots = append(l.slots, Grant{Backend: g.Backend, Slots: n})
		}
	}
	s.move(s.lent, l.slots, 1)
	s.extend(now, l)
}

func (s *Shares) extend(now time.Time, l *loan) {
	l.expires = now.Add(leaseTime)
	s.checkLoansAt(l.expires)
}

// Offers implements Sharer.
func (s *Shares) Offers(now time.Time, waiting int, since time.Time) []Offer {
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
		if before {
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

func (s *Shares) offer(now time.Time, a Ask, grants []Grant) Offer {
	l := s.lender.loans[a.Incarnation]
	for _, g := range grants {
		l.slots = addGrant(l.slots, g)
	}
	s.extend(now, l)
	return Offer{
		From: s.self.Name, To: a.From, Incarnation: a.Incarnation, Seq: a.Seq,
		Grants: slices.Clone(l.slots), Lease: leaseTime, Free: s.free,
	}
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
func (s *Shares) grant(a Ask, waiting int) []Grant {
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
		if n <= 0 || (bestNear && !near) {
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
			continue
		}
		s.checkLoansAt(next)
	}
}

// checkLoansAt makes sure that loans are checked by then.
func (s *Shares) checkLoansAt(at time.Time) {
	if s.lender.expires.IsZero() || at.Before(s.lender.expires) {
		s.lender.expires = at
	}
}

// trimLoans forgets loans of servers and to hosts that are no longer listed.
func (s *Shares) trimLoans() {
	for _, l := range s.lender.loans {
		if !slices.ContainsFunc(s.hosts, func(h Host) bool { return h.Name == l.borrower }) {
			l.slots = nil
		}
		l.slots = slices.DeleteFunc(l.slots, func(g Grant) bool {
			i, ok := s.table.byName[g.Backend]
			return !ok || s.table.servers[i].gone
		})
	}
}
