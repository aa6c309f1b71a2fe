package requests

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/identity"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

const (
	// fenceTimeout is the maximum wait for one peer's reply to a fence.
	fenceTimeout = 400 * time.Millisecond
	// claimsTimeout is the maximum wait for one peer's claims at startup.
	claimsTimeout = time.Second
	// messagesPerCall is 2, for a call and its reply.
	messagesPerCall = 2
)

// ForwardedRequest is a request that one entry host forwards to another.
type ForwardedRequest struct {
	Customer        string
	Team            string
	ID              string
	Idempotent      bool
	DeclaredRunTime time.Duration
	ContentType     string
	Body            []byte
	// HandOver is set if the sender owned the request and transfers its
	// ownership to the receiver.
	HandOver bool
	// To and From are the incarnations of the receiver and the sender.
	To   ids.Incarnation
	From ids.Incarnation
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
}

// Claim is a claim to a request of one customer.
type Claim struct {
	Customer string
	identity.Claim
}

// PeerClient calls the other entry hosts. After an error it is unknown whether
// the peer processed the call.
type PeerClient interface {
	// Fence asks the host to promise never to start the request, on behalf of
	// claimant.
	Fence(ctx context.Context, host, customer, id string, claimant ids.Incarnation) (identity.FenceReply, error)
	// Forward sends the request to the incarnation f.To and waits for its
	// result.
	Forward(ctx context.Context, f ForwardedRequest) (identity.Result, error)
	// Claims returns the claims that the host knows of. A host that restarts
	// needs them, because it has forgotten its promises.
	Claims(ctx context.Context, host string) ([]Claim, error)
}

// Peers reports this host's view of the other entry hosts.
type Peers interface {
	// View returns the names of all other entry hosts and the time since an
	// incarnation of one was last lost.
	View() identity.PeerView
	// HandOverTargets returns the incarnations that may take over queued
	// requests: those of peers that are reachable and not leaving.
	HandOverTargets() []ids.Incarnation
	// Lost reports whether the entry host has been unreachable for so long that
	// its slots are shared among the others.
	Lost(host string) bool
}

// sendFences sends the fence to all of its peers and counts the messages. The
// lock is held.
func (s *Service) sendFences(c *customer, a identity.SendFence) {
	if active := c.active[a.ID]; active != nil {
		active.messages += messagesPerCall * len(a.Peers)
	}
	for _, host := range a.Peers {
		go s.sendFence(c, a, host)
	}
}

func (s *Service) sendFence(c *customer, a identity.SendFence, host string) {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	reply, err := s.deps.PeerClient.Fence(ctx, host, c.name, a.ID, s.deps.Incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		s.applyIdentity(c, a.ID, c.table.FenceFailed(now, a.ID, a.Round, host))
		return
	}
	s.applyIdentity(c, a.ID, c.table.FenceReplied(now, a.ID, a.Round, host, reply))
}

// forward sends a request to another entry host and passes the result to the
// identity table.
func (s *Service) forward(c *customer, active *activeRequest, to ids.Incarnation, handOver bool) {
	ctx, cancel := context.WithDeadline(context.Background(), active.deadline)
	defer cancel()
	result, err := s.deps.PeerClient.Forward(ctx, ForwardedRequest{
		Customer: c.name, Team: active.req.Team, ID: active.req.ID, Idempotent: active.req.Idempotent, DeclaredRunTime: active.req.DeclaredRunTime,
		ContentType: active.req.contentType, Body: active.req.body,
		HandOver: handOver, To: to, From: s.deps.Incarnation, Timeout: time.Until(active.deadline),
	})
	if err != nil {
		result = identity.Result{Err: errkind.Wrap(errkind.PeerUnreachable, err, "no answer from %s, which may have received the request", to)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	active.messages += messagesPerCall + result.ExtraMessages
	s.applyIdentity(c, active.req.ID, c.table.ForwardDone(time.Now(), active.req.ID, result))
}

// Fence promises claimant, a peer's incarnation, never to start the request, or
// reports what this host knows of it. An error means that nothing is promised.
func (s *Service) Fence(customer, id string, claimant ids.Incarnation) (identity.FenceReply, *errkind.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, err := s.lookupCustomer(customer)
	if err != nil {
		return identity.FenceReply{}, err
	}
	reply, actions, err := c.table.Fence(time.Now(), id, claimant)
	s.applyIdentity(c, id, actions)
	if err != nil {
		return identity.FenceReply{}, err
	}
	fleet := s.deps.Peers.View()
	reply.LastLoss, reply.KnownHosts = fleet.LastLoss, fleet.Peers
	return reply, nil
}

// AcceptForwarded processes a request that another entry host forwards or hands
// over, and returns its result. A request for an earlier incarnation of this
// host is refused.
func (s *Service) AcceptForwarded(ctx context.Context, f ForwardedRequest) identity.Result {
	if f.To != s.deps.Incarnation {
		return identity.Result{Err: errkind.New(errkind.DuplicateUnresolved, "incarnation %s has ended; this is %s", f.To, s.deps.Incarnation)}
	}
	req := &request{
		customer: f.Customer, contentType: f.ContentType, body: f.Body, from: f.From, handOver: f.HandOver,
	}
	req.ID, req.Team, req.Idempotent, req.DeclaredRunTime = f.ID, f.Team, f.Idempotent, f.DeclaredRunTime
	req.Deadline = time.Now().Add(f.Timeout)
	if err := s.identify(req, 0); err != nil {
		return identity.Result{Err: err}
	}
	req.arrival.Forwarded = true
	return s.do(ctx, req)
}

// Claims returns the claims that a peer needs after a restart.
func (s *Service) Claims() []Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	var claims []Claim
	for _, c := range s.customers {
		for _, claim := range c.table.Claims(time.Now()) {
			claims = append(claims, Claim{Customer: c.name, Claim: claim})
		}
	}
	return claims
}

// fetchAllClaims fetches from every peer the claims made before this host
// started, so that a delayed first attempt of a claimed request does not run
// here.
func (s *Service) fetchAllClaims() {
	var group sync.WaitGroup
	var unreachable atomic.Int64
	peers := s.deps.Peers.View().Peers
	for _, host := range peers {
		group.Go(func() {
			if !s.fetchClaims(host) {
				unreachable.Add(1)
			}
		})
	}
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claimsFetched = true
	s.deps.Recorder.Record(decision.Record{
		Part: decision.PartIdentity, Action: "learn", Rule: "start", Subjects: []string{string(s.deps.Incarnation)},
		Why: fmt.Sprintf("asked %d peers for their claims, %d did not answer", len(peers), unreachable.Load()),
	})
}

func (s *Service) fetchClaims(host string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), claimsTimeout)
	defer cancel()
	claims, err := s.deps.PeerClient.Claims(ctx, host)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, claim := range claims {
		if c, err := s.lookupCustomer(claim.Customer); err == nil {
			c.table.AddClaim(time.Now(), claim.Claim)
		}
	}
	return true
}
