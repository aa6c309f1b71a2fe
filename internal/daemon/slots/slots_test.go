package slots

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/daemon/peers"
	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/standin/memnet"
)

type directory map[string]peers.Peer

func (d directory) Peers() []peers.Peer { return nil }

func (d directory) Lookup(host string) (peers.Peer, bool) {
	p, ok := d[host]
	return p, ok
}

type lenderFunc func(ctx context.Context, customer string, r route.BorrowRequest) (route.Offer, error)

func (f lenderFunc) Lend(ctx context.Context, customer string, r route.BorrowRequest) (route.Offer, error) {
	return f(ctx, customer, r)
}

func TestBorrow(t *testing.T) {
	request := route.BorrowRequest{
		From: "entry-1", Incarnation: "entry-1~a", Zone: "zone-1", To: "entry-2", Seq: 7,
		Holding: []route.Grant{{Backend: "backend-1", Slots: 2}}, Need: 3, Spare: 4, Waited: 40 * time.Millisecond,
	}
	offer := route.Offer{
		From: "entry-2", To: "entry-1", Incarnation: "entry-1~a", Seq: 7, Free: 5, Lease: 16 * time.Second,
		Grants: []route.Grant{{Backend: "backend-1", Slots: 3}}, Returned: []route.Grant{{Backend: "backend-2", Slots: 1}},
		ReturnedSeq: 9, LenderIncarnation: "entry-2~b",
	}
	lend := func(_ context.Context, customer string, got route.BorrowRequest) (route.Offer, error) {
		if customer != "tamarind" || got.Need != request.Need || len(got.Holding) != 1 || got.Holding[0] != request.Holding[0] {
			return route.Offer{}, errors.New("the request differs from the one that was sent")
		}
		return offer, nil
	}
	tests := []struct {
		name   string
		change func(r *route.BorrowRequest)
		lend   lenderFunc
		within time.Duration
		fails  bool
	}{
		{name: "complete offer", lend: lend, within: 0},
		{name: "lender fails", lend: func(context.Context, string, route.BorrowRequest) (route.Offer, error) {
			return route.Offer{}, errors.New("no")
		}, fails: true},
		{name: "lender hangs and ignores its context", lend: func(context.Context, string, route.BorrowRequest) (route.Offer, error) {
			<-time.After(time.Minute)
			return offer, nil
		}, within: time.Second, fails: true},
		{name: "unknown host", change: func(r *route.BorrowRequest) { r.To = "entry-9" }, lend: lend, fails: true},
		{name: "connection refused", change: func(r *route.BorrowRequest) { r.To = "entry-3" }, lend: lend, fails: true},
		{name: "negative need", change: func(r *route.BorrowRequest) { r.Need = -1 }, lend: lend, fails: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.New()
				mux := http.NewServeMux()
				mux.Handle(peerv1connect.NewSlotServiceHandler(Handler{Host: "entry-2", Lender: tt.lend}))
				server := &http.Server{Handler: mux}
				listener := network.Listen("entry-2:1")
				go func() { _ = server.Serve(listener) }()
				transport := &http.Transport{DialContext: network.Dial}
				d := directory{"entry-2": {URL: "http://entry-2:1"}, "entry-3": {URL: "http://entry-3:1"}}
				r := request
				if tt.change != nil {
					tt.change(&r)
				}
				start := time.Now()
				got, err := NewClient(d, &http.Client{Transport: transport}).Borrow(t.Context(), "tamarind", r)
				require.LessOrEqual(t, time.Since(start), tt.within)
				require.Equal(t, tt.fails, err != nil, "%v", err)
				if !tt.fails {
					require.Equal(t, offer, got)
				}
				transport.CloseIdleConnections()
				require.NoError(t, server.Close())
				<-time.After(2 * time.Minute)
			})
		})
	}
}
