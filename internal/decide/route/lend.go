package route

import (
	"maps"
	"slices"
	"time"
)

const (
	// leaseDuration is how long a borrower may use lent slots without a
	// renewal.
	leaseDuration = 16 * time.Second
	// maxPendingTime bounds how long a borrow request waits for a slot to become
	// free.
	maxPendingTime = 500 * time.Millisecond
	// remotePriorityMargin is how much longer a request at another host must
	// have waited to get a slot before this host's own requests.
	remotePriorityMargin = 5 * time.Millisecond
)

// loan holds the slots of this host that are lent to one incarnation of a
// borrower.
type loan struct {
	borrower  string
	seq       uint64
	slots     []Grant
	expiresAt time.Time
}

// pendingRequest is a borrow request that waits for a free slot.
type pendingRequest struct {
	request BorrowRequest
	// waitingSince is when the borrower's oldest request began to wait.
	waitingSince time.Time
	answerBy     time.Time
}

// lenderState holds the slots that this host lends to others.
type lenderState struct {
	// loans holds the loans by the borrower's incarnation.
	loans   map[string]*loan
	pending []pendingRequest
	// nextExpiry is when loans are next checked for expiry, or zero.
	nextExpiry time.Time
}

// HandleRequest implements Sharer.
func (s *Shares) HandleRequest(now time.Time, req BorrowRequest) {
	l, ok := s.lender.loans[req.Incarnation]
	if !ok {
		l = &loan{borrower: req.From}
		s.lender.loans[req.Incarnation] = l
	}
	if req.Seq <= l.seq {
		return
	}
	l.seq = req.Seq
	s.renewLoan(now, l, req.Holding)
	s.dropPending(req.Incarnation)
	answerBy := now
	if req.Need > 0 {
		answerBy = now.Add(maxPendingTime)
	}
	s.lender.pending = append(s.lender.pending, pendingRequest{request: req, waitingSince: now.Add(-req.Waited), answerBy: answerBy})
}

// dropPending removes the pending request of a borrower's incarnation.
func (s *Shares) dropPending(incarnation string) {
	s.lender.pending = slices.DeleteFunc(s.lender.pending, func(p pendingRequest) bool { return p.request.Incarnation == incarnation })
}

// renewLoan sets the loan to the slots that the borrower holds and extends it.
// The loan is not extended, and then expires, if this host no longer has the
// slots that it lent, because they were borrowed and its own lease has ended.
func (s *Shares) renewLoan(now time.Time, l *loan, holding []Grant) {
	s.applyGrants(s.lent, l.slots, -1)
	l.slots = slices.Clone(holding)
	s.applyGrants(s.lent, l.slots, 1)
	if l.expiresAt.IsZero() || !s.overlent(holding) {
		s.extendLoan(now, l)
	}
}

// overlent reports whether this host lent more slots than it holds of any
// server in grants.
func (s *Shares) overlent(grants []Grant) bool {
	return slices.ContainsFunc(grants, func(g Grant) bool {
		i, ok := s.table.byName[g.Backend]
		return ok && s.allotted(i) < 0
	})
}

func (s *Shares) extendLoan(now time.Time, l *loan) {
	l.expiresAt = now.Add(leaseDuration)
	s.scheduleExpiry(l.expiresAt)
}

// DueOffers implements Sharer.
func (s *Shares) DueOffers(now time.Time, waiting int, since time.Time) []Offer {
	s.expireLoans(now)
	if len(s.lender.pending) == 0 {
		return nil
	}
	var offers []Offer
	slices.SortStableFunc(s.lender.pending, func(a, b pendingRequest) int { return a.waitingSince.Compare(b.waitingSince) })
	s.lender.pending = slices.DeleteFunc(s.lender.pending, func(p pendingRequest) bool {
		mayLend := waiting == 0 || p.waitingSince.Add(remotePriorityMargin).Before(since)
		var grants []Grant
		returned := 0
		if mayLend && !s.overlent(s.lender.loans[p.request.Incarnation].slots) {
			returned = s.returnSlotsTo(p.request.From, p.request.Need)
			p.request.Need -= returned
			grants = s.grant(p.request, waiting)
		}
		if returned == 0 && len(grants) == 0 && now.Before(p.answerBy) {
			return false
		}
		o := s.offer(now, p.request, grants)
		if returned > 0 {
			s.reportReturned(&o)
		}
		offers = append(offers, o)
		return true
	})
	return offers
}

func (s *Shares) offer(now time.Time, req BorrowRequest, grants []Grant) Offer {
	l := s.lender.loans[req.Incarnation]
	for _, g := range grants {
		l.slots = addGrant(l.slots, g)
	}
	o := Offer{From: s.self.Name, To: req.From, Incarnation: req.Incarnation, Seq: req.Seq, Free: s.free}
	if s.overlent(l.slots) {
		return o
	}
	s.extendLoan(now, l)
	o.Grants, o.Lease = slices.Clone(l.slots), leaseDuration
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

// grant lends free slots for a borrow request: as many as the borrower needs
// and, as spare slots, at most half of those that then remain after this host's
// own waiting requests.
func (s *Shares) grant(req BorrowRequest, waiting int) []Grant {
	need := min(req.Need, s.free)
	spare := min(req.Spare, (s.free-need-waiting)/2)
	var grants []Grant
	for range need + max(0, spare) {
		i := s.serverToLend(req.Zone)
		if i < 0 {
			break
		}
		s.updateServer(i, func() { s.lent[i]++ })
		grants = addGrant(grants, Grant{Backend: s.table.servers[i].Name, Slots: 1})
	}
	return grants
}

// serverToLend returns the number of the server whose slot is lent to a host
// in zone, or -1. It prefers servers in that zone, then those with the most
// free slots.
func (s *Shares) serverToLend(zone string) int {
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

// expireLoans reclaims the slots of expired loans. The sequence number of a
// borrower's last request is kept for another lease duration, so that an older
// request that arrives late is recognized and ignored.
func (s *Shares) expireLoans(now time.Time) {
	if s.lender.nextExpiry.IsZero() || now.Before(s.lender.nextExpiry) {
		return
	}
	s.lender.nextExpiry = time.Time{}
	for _, incarnation := range slices.Sorted(maps.Keys(s.lender.loans)) {
		l := s.lender.loans[incarnation]
		next := l.expiresAt
		if !now.Before(l.expiresAt) {
			s.applyGrants(s.lent, l.slots, -1)
			l.slots = nil
			next = l.expiresAt.Add(leaseDuration)
		}
		if !now.Before(next) {
			delete(s.lender.loans, incarnation)
			s.dropPending(incarnation)
			continue
		}
		s.scheduleExpiry(next)
	}
}

// scheduleExpiry makes sure that loans are checked for expiry at the given time
// or earlier.
func (s *Shares) scheduleExpiry(at time.Time) {
	s.lender.nextExpiry = earlier(s.lender.nextExpiry, at)
}

// endUnlistedLoans ends the loans to hosts that are no longer listed.
func (s *Shares) endUnlistedLoans() {
	for _, l := range s.lender.loans {
		if !slices.ContainsFunc(s.hosts, func(h Host) bool { return h.Name == l.borrower }) {
			l.slots = nil
		}
	}
}
