// Package slots implements the client and the server of the protocol by which
// entry hosts lend backend slots to each other.
package slots

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/daemon/peers"
	"github.com/parsleyhill/parsleyhill/internal/decide/route"
)

const (
	// callTimeout is the timeout of one request for slots, on either side. A
	// lender delays its reply by at most half a second.
	callTimeout = 800 * time.Millisecond
	// maxSlots is the maximum number of backend servers in one message, and of
	// slots per server.
	maxSlots = 10_000
)

// The metrics of the package.
var (
	requestsSent   = expvar.NewInt("parsleyhill.slots.asks")
	requestsFailed = expvar.NewInt("parsleyhill.slots.failed")
)

// Client requests slots from other entry hosts.
type Client struct {
	directory peers.Directory
	http      *http.Client
}

// NewClient returns a client that looks up hosts in the directory.
func NewClient(d peers.Directory, client *http.Client) *Client {
	return &Client{directory: d, http: client}
}

// Borrow sends the request for slots to the host r.To and returns its offer. It
// returns within a second.
func (c *Client) Borrow(ctx context.Context, customer string, r route.BorrowRequest) (route.Offer, error) {
	requestsSent.Add(1)
	offer, err := c.borrow(ctx, customer, r)
	if err != nil {
		requestsFailed.Add(1)
	}
	return offer, err
}

func (c *Client) borrow(ctx context.Context, customer string, r route.BorrowRequest) (route.Offer, error) {
	p, ok := c.directory.Lookup(r.To)
	if !ok {
		return route.Offer{}, fmt.Errorf("unknown entry host %s", r.To)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := peerv1connect.NewSlotServiceClient(c.http, p.URL).Borrow(ctx, connect.NewRequest(&peerv1.BorrowRequest{
		Host: r.From, Incarnation: r.Incarnation, Customer: customer, Zone: r.Zone, Seq: r.Seq,
		Want: int32(r.Need), Spare: int32(r.Spare), WaitedMs: r.Waited.Milliseconds(), Holding: encodeGrants(r.Holding),
	}))
	if err != nil {
		return route.Offer{}, fmt.Errorf("borrow from %s: %w", r.To, err)
	}
	m := resp.Msg
	return route.Offer{
		From: r.To, To: r.From, Incarnation: r.Incarnation, Seq: r.Seq,
		Grants: decodeGrants(m.GetGrants()), Lease: time.Duration(m.GetLeaseMs()) * time.Millisecond, Free: int(m.GetFree()),
		Returned: decodeGrants(m.GetReturned()), ReturnedSeq: m.GetReturnedSeq(), LenderIncarnation: m.GetLenderIncarnation(),
	}, nil
}

// Lender lends this host's slots.
type Lender interface {
	// Lend handles another host's request for slots. It waits for the offer
	// until ctx ends.
	Lend(ctx context.Context, customer string, r route.BorrowRequest) (route.Offer, error)
}

// Handler serves requests for slots from other entry hosts.
type Handler struct {
	// Host is this entry host's name.
	Host string
	// Lender lends this host's slots.
	Lender Lender
}

// Borrow implements peerv1connect.SlotServiceHandler.
func (h Handler) Borrow(ctx context.Context, req *connect.Request[peerv1.BorrowRequest]) (*connect.Response[peerv1.BorrowResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m := req.Msg
	if m.GetWant() < 0 || m.GetSpare() < 0 || m.GetWaitedMs() < 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("invalid request: want %d slots, spare %d", m.GetWant(), m.GetSpare()))
	}
	o, err := h.Lender.Lend(ctx, m.GetCustomer(), route.BorrowRequest{
		From: m.GetHost(), Incarnation: m.GetIncarnation(), Zone: m.GetZone(), To: h.Host, Seq: m.GetSeq(),
		Holding: decodeGrants(m.GetHolding()), Need: int(m.GetWant()), Spare: int(m.GetSpare()),
		Waited: time.Duration(m.GetWaitedMs()) * time.Millisecond,
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("lend to %s: %w", m.GetHost(), err))
	}
	return connect.NewResponse(&peerv1.BorrowResponse{
		Grants: encodeGrants(o.Grants), LeaseMs: o.Lease.Milliseconds(), Free: int32(o.Free),
		Returned: encodeGrants(o.Returned), ReturnedSeq: o.ReturnedSeq, LenderIncarnation: o.LenderIncarnation,
	}), nil
}

func encodeGrants(grants []route.Grant) []*peerv1.SlotGrant {
	var out []*peerv1.SlotGrant
	for _, g := range grants {
		out = append(out, &peerv1.SlotGrant{Backend: g.Backend, Slots: int32(g.Slots)})
	}
	return out
}

// decodeGrants decodes grants. It drops those with no slots or with more than
// maxSlots, and all beyond the first maxSlots grants.
func decodeGrants(grants []*peerv1.SlotGrant) []route.Grant {
	var out []route.Grant
	for _, g := range grants[:min(len(grants), maxSlots)] {
		if n := int(g.GetSlots()); n > 0 && n <= maxSlots {
			out = append(out, route.Grant{Backend: g.GetBackend(), Slots: n})
		}
	}
	return out
}
