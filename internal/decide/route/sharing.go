package route

import "time"

// Grant is a number of slots on one server.
type Grant struct {
	Backend string
	Slots   int
}

// BorrowRequest asks a lender for slots and renews those already borrowed.
type BorrowRequest struct {
	// From is the borrower, Incarnation identifies one start of its process.
	From, Incarnation string
	// Zone is the borrower's availability zone.
	Zone string
	// To is the lender.
	To string
	// Seq increases with each request from one incarnation.
	Seq uint64
	// Holding lists all slots of the lender that the borrower still holds. The
	// lender takes back those that are not listed.
	Holding []Grant
	// Need is the number of slots wanted for requests that wait.
	Need int
	// Spare is the number of slots wanted beyond Need.
	Spare int
	// Waited is how long the oldest of the waiting requests has waited.
	Waited time.Duration
}

// Offer is the answer to a borrow request.
type Offer struct {
	// From is the lender.
	From string
	// To and Incarnation identify the borrower.
	To, Incarnation string
	// Seq is that of the request.
	Seq uint64
	// Grants lists all slots of the lender that the borrower may hold now.
	Grants []Grant
	// Lease is how long the grants are valid, counted by the borrower from when
	// it sent the request. 0 leaves what the borrower holds unchanged until its
	// lease ends.
	Lease time.Duration
	// Free is the number of free slots that the lender has left.
	Free int
	// Returned lists the borrower's slots that the lender itself still holds,
	// after it returned some with this offer. ReturnedSeq is the Seq of the
	// lender's own last borrow request and LenderIncarnation identifies the
	// start of its process; LenderIncarnation is empty if nothing was returned.
	Returned          []Grant
	ReturnedSeq       uint64
	LenderIncarnation string
}

// Sharer is a Selector whose slots are divided among entry hosts and lent
// between them under leases. After a change of hosts or servers an entry host
// may hold fewer slots than it uses; it then acquires no more until enough are
// released.
type Sharer interface {
	Selector
	// SetHosts replaces the entry hosts that share the servers; this host is
	// included whether or not it is listed.
	SetHosts(now time.Time, hosts []Host)
	// DueRequests returns the borrow requests to send now, given the number of
	// requests that wait and since when the oldest has waited. The caller ends
	// each with HandleOffer or RequestFailed.
	DueRequests(now time.Time, waiting int, since time.Time) []BorrowRequest
	// HandleOffer applies the answer to a borrow request. Answers to requests
	// that are no longer pending are ignored.
	HandleOffer(now time.Time, o Offer)
	// RequestFailed ends a borrow request that got no answer.
	RequestFailed(now time.Time, lender string, seq uint64)
	// HandleRequest records a borrow request of another host. DueOffers returns
	// its answer.
	HandleRequest(now time.Time, req BorrowRequest)
	// DueOffers returns the answers to borrow requests that are due, given the
	// number of this host's own requests that wait and since when the oldest has
	// waited. Each borrow request gets at most one answer.
	DueOffers(now time.Time, waiting int, since time.Time) []Offer
}
