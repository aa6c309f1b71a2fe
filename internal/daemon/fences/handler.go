package fences

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/internal/daemon/requests"
	"github.com/parsleyhill/parsleyhill/internal/decide/identity"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// noLossMs is the value in HostSummary that means that no peer was ever lost.
const noLossMs = -1

// Handler serves the identity protocol for this host's requests.
type Handler struct {
	// Requests are this host's requests.
	Requests *requests.Service
}

// Fence implements peerv1connect.IdentityServiceHandler.
func (h Handler) Fence(_ context.Context, req *connect.Request[peerv1.FenceRequest]) (*connect.Response[peerv1.FenceResponse], error) {
	m := req.Msg
	reply, err := h.Requests.Fence(m.GetCustomer(), m.GetRequestId(), ids.Incarnation(m.GetClaimant()))
	if err != nil {
		return nil, connect.NewError(errkind.Lookup(err.Kind).Code, err)
	}
	return connect.NewResponse(&peerv1.FenceResponse{
		Seen:        encodeSeen(reply.Seen),
		Claimant:    string(reply.Claimant),
		RemembersMs: reply.MemorySpan.Milliseconds(),
		Known:       reply.KnownHosts,
		From: &peerv1.HostSummary{
			Host: reply.From.Host(), Incarnation: string(reply.From), LastPeerLossMs: EncodeLoss(reply.LastLoss),
		},
	}), nil
}

// Forward implements peerv1connect.IdentityServiceHandler.
func (h Handler) Forward(ctx context.Context, req *connect.Request[peerv1.ForwardRequest]) (*connect.Response[peerv1.ForwardResponse], error) {
	m := req.Msg
	result := h.Requests.AcceptForwarded(ctx, requests.ForwardedRequest{
		Customer: m.GetCustomer(), Team: m.GetTeam(), ID: m.GetRequestId(), Idempotent: m.GetIdempotent(),
		DeclaredRunTime: milliseconds(m.GetDeclaredRunMs()), ContentType: m.GetContentType(), Body: m.GetBody(),
		HandOver: m.GetHandOver(), To: ids.Incarnation(m.GetTo()), From: ids.Incarnation(m.GetFrom()),
		Timeout: milliseconds(m.GetTimeoutMs()),
	})
	return connect.NewResponse(&peerv1.ForwardResponse{Answer: encodeResult(result)}), nil
}

// Claims implements peerv1connect.IdentityServiceHandler.
func (h Handler) Claims(context.Context, *connect.Request[peerv1.ClaimsRequest]) (*connect.Response[peerv1.ClaimsResponse], error) {
	resp := &peerv1.ClaimsResponse{}
	for _, c := range h.Requests.Claims() {
		resp.Claims = append(resp.Claims, &peerv1.Claim{
			Customer: c.Customer, RequestId: c.ID, Claimant: string(c.Claimant),
		})
	}
	return connect.NewResponse(resp), nil
}

// EncodeLoss returns the time since a loss in milliseconds, as HostSummary
// carries it. It is negative if there was no loss.
func EncodeLoss(l identity.PeerLoss) int64 {
	if !l.Ever {
		return noLossMs
	}
	return l.Ago.Milliseconds()
}

func encodeSeen(s identity.Seen) peerv1.Seen {
	switch s {
	case identity.SeenNever:
		return peerv1.Seen_SEEN_NEVER
	case identity.SeenOwned:
		return peerv1.Seen_SEEN_OWNED
	case identity.SeenFenced:
		return peerv1.Seen_SEEN_FENCED
	default:
		return peerv1.Seen_SEEN_UNSPECIFIED
	}
}

func encodeResult(r identity.Result) *peerv1.Answer {
	a := &peerv1.Answer{
		RetryAfterMs: r.RetryAfter.Round(time.Millisecond).Milliseconds(), Messages: int32(min(r.ExtraMessages, 1<<30)), LeftTo: string(r.RedirectTo),
	}
	if r.Err != nil {
		a.ErrorKind, a.RunState, a.Detail = string(r.Err.Kind), string(r.Err.Run), r.Err.Detail
		return a
	}
	a.Status, a.ContentType, a.Body, a.Backend = int32(r.Answer.Status), r.Answer.ContentType, r.Answer.Body, r.Answer.Backend
	return a
}
