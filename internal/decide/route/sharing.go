package route

import "time"

// Grant is a number of slots on one server.
type Grant struct {
	Backend string
	Slots   int
}

// Ask is what a borrower tells a lender.
type BorrowRequest struct {
	// From is the borrower, Incarnation one start of its process.
	From, Incarnation string
	// Zone is the borrower's availability zone.
	Zone string
	// To is the lender.
	To string
	// Seq grows with each ask from one incarnation.
	Seq uint64
	// Holding is all that the borrower still holds of the lender's slots. The
	// lender takes back what is not listed.
	Holding []Grant
	// Need is the number of requests that wait for a slot.
	Need int
	// Spare is the number of slots wanted beyond Need.
	Spare int
	// Waited is how long the first of the waiting requests has waited.
	Waited time.Duration
}

// Offer is the answer to an ask.
type Offer struct {
	// From is the lender.
	From string
	// To and Incarnation name the borrower.
	To, Incarnation string
	// Seq is that of the ask.
	Seq uint64
	// Grants is all that the borrower holds of the lender's slots now.
	Grants []Grant
	// Lease is how long the grants hold, counted by the borrower from when it
	// sent the ask; 0 leaves what it holds as it is, to the end of its lease.
	Lease time.Duration
	// Free is the number of slots that the lender has left.
	Free int
	// Returned says what the lender itself still holds of the borrower's
	// slots, when it gave some back. ReturnedSeq is the lender's last ask
	// and LenderIncarnation the start of its process.
	Returned          []Grant
	ReturnedSeq       uint64
	LenderIncarnation string
}

// Sharer is a Selector whose slots are shared with other entry hosts and lent
// between them under leases. An entry host may hold fewer slots than it uses
// after a change of hosts or servers; then it takes no more until it is even.
type Sharer interface {
	Selector
	// SetHosts replaces the entry hosts that share the servers, self included.
	SetHosts(now time.Time, hosts []Host)
	// Asks returns the asks to send, given the requests that wait and since
	// when the first of them does. Each ends in Accept or Failed.
	DueRequests(now time.Time, waiting int, since time.Time) []BorrowRequest
	// Accept takes the answer to an ask.
	HandleOffer(now time.Time, o Offer)
	// Failed ends an ask that got no answer.
	RequestFailed(now time.Time, lender string, seq uint64)
	// Lend takes an ask of another host. Its answer comes out of Offers.
	HandleRequest(now time.Time, a BorrowRequest)
	// Offers returns the answers to asks that are due, given this host's own
	// waiting requests. Each ask has at most one answer.
	DueOffers(now time.Time, waiting int, since time.Time) []Offer
}
