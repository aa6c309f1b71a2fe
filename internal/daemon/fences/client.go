// Package fences implements the client and the server of the identity protocol
// between entry hosts, which carries fences, forwarded requests and claims. It
// also detects lost peers.
package fences

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/daemon/peers"
	"github.com/parsleyhill/parsleyhill/internal/daemon/requests"
	"github.com/parsleyhill/parsleyhill/internal/decide/identity"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Client calls other entry hosts. It implements requests.PeerClient.
type Client struct {
	directory peers.Directory
	http      *http.Client
}

// NewClient returns a client that looks up hosts in the directory.
func NewClient(d peers.Directory, client *http.Client) *Client {
	return &Client{directory: d, http: client}
}

func (c *Client) identityClient(host string) (peerv1connect.IdentityServiceClient, error) {
	p, ok := c.directory.Lookup(host)
	if !ok {
		return nil, fmt.Errorf("unknown entry host %s", host)
	}
	return peerv1connect.NewIdentityServiceClient(c.http, p.URL), nil
}

// Fence implements requests.PeerClient.
func (c *Client) Fence(ctx context.Context, host, customer, id string, claimant ids.Incarnation) (identity.FenceReply, error) {
	service, err := c.identityClient(host)
	if err != nil {
		return identity.FenceReply{}, err
	}
	resp, err := service.Fence(ctx, connect.NewRequest(&peerv1.FenceRequest{
		Customer: customer, RequestId: id, Claimant: string(claimant),
	}))
	if err != nil {
		return identity.FenceReply{}, fmt.Errorf("fence at %s: %w", host, err)
	}
	seen, err := decodeSeen(resp.Msg.GetSeen())
	if err != nil {
		return identity.FenceReply{}, fmt.Errorf("fence at %s: %w", host, err)
	}
	from := resp.Msg.GetFrom()
	return identity.FenceReply{
		Seen:       seen,
		Claimant:   ids.Incarnation(resp.Msg.GetClaimant()),
		From:       ids.Incarnation(from.GetIncarnation()),
		MemorySpan: milliseconds(resp.Msg.GetRemembersMs()),
		LastLoss:   decodeLoss(from.GetLastPeerLossMs()),
		KnownHosts: resp.Msg.GetKnown(),
	}, nil
}

// Forward implements requests.PeerClient.
func (c *Client) Forward(ctx context.Context, f requests.ForwardedRequest) (identity.Result, error) {
	service, err := c.identityClient(f.To.Host())
	if err != nil {
		return identity.Result{}, err
	}
	resp, err := service.Forward(ctx, connect.NewRequest(&peerv1.ForwardRequest{
		Customer: f.Customer, Team: f.Team, RequestId: f.ID, Idempotent: f.Idempotent,
		TimeoutMs: f.Timeout.Milliseconds(), DeclaredRunMs: f.DeclaredRunTime.Milliseconds(),
		ContentType: f.ContentType, Body: f.Body, HandOver: f.HandOver, To: string(f.To), From: string(f.From),
	}))
	if err != nil {
		return identity.Result{}, fmt.Errorf("forward to %s: %w", f.To, err)
	}
	return decodeResult(resp.Msg.GetAnswer()), nil
}

// Claims implements requests.PeerClient.
func (c *Client) Claims(ctx context.Context, host string) ([]requests.Claim, error) {
	service, err := c.identityClient(host)
	if err != nil {
		return nil, err
	}
	resp, err := service.Claims(ctx, connect.NewRequest(&peerv1.ClaimsRequest{}))
	if err != nil {
		return nil, fmt.Errorf("claims of %s: %w", host, err)
	}
	var claims []requests.Claim
	for _, m := range resp.Msg.GetClaims() {
		claims = append(claims, requests.Claim{
			Customer: m.GetCustomer(),
			Claim:    identity.Claim{ID: m.GetRequestId(), Claimant: ids.Incarnation(m.GetClaimant())},
		})
	}
	return claims, nil
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func decodeSeen(s peerv1.Seen) (identity.Seen, error) {
	switch s {
	case peerv1.Seen_SEEN_NEVER:
		return identity.SeenNever, nil
	case peerv1.Seen_SEEN_OWNED:
		return identity.SeenOwned, nil
	case peerv1.Seen_SEEN_FENCED:
		return identity.SeenFenced, nil
	default:
		return 0, fmt.Errorf("unknown state %v", s)
	}
}

func decodeLoss(ms int64) identity.PeerLoss {
	if ms < 0 {
		return identity.PeerLoss{}
	}
	return identity.PeerLoss{Ever: true, Ago: milliseconds(ms)}
}

// decodeResult decodes a peer's result. A result with neither an answer nor an
// error becomes a PeerUnreachable error, and an unknown run state counts as
// Unknown, so that neither proves that the request did not run.
func decodeResult(a *peerv1.Answer) identity.Result {
	result := identity.Result{RetryAfter: milliseconds(a.GetRetryAfterMs()), ExtraMessages: int(a.GetMessages())}
	result.RedirectTo = ids.Incarnation(a.GetLeftTo())
	switch {
	case a.GetErrorKind() != "":
		result.Err = errkind.New(errkind.Kind(a.GetErrorKind()), "%s", a.GetDetail()).WithRun(decodeRun(a.GetRunState()))
	case a.GetStatus() == 0:
		result.Err = errkind.New(errkind.PeerUnreachable, "the peer replied with neither an answer nor an error")
	default:
		result.Answer = identity.Answer{
			Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody(), Backend: a.GetBackend(),
		}
	}
	return result
}

func decodeRun(state string) errkind.RunState {
	switch run := errkind.RunState(state); run {
	case errkind.NotRun, errkind.Ran:
		return run
	default:
		return errkind.Unknown
	}
}
