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
	// askTimeout bounds the wait for one peer's reply to a fence.
	askTimeout = 400 * time.Millisecond
	// claimsTimeout bounds the wait for one peer's claims at the start.
	claimsTimeout = time.Second
	// messagesPerCall counts a call and its reply.
	messagesPerCall = 2
)

// Forwarded is a request on its way between entry hosts.
type ForwardedRequest struct {
	Customer        string
	Team            string
	ID              string
	Idempotent      bool
	DeclaredRunTime time.Duration
	ContentType     string
	Body            []byte
	// HandOver is set if the sender owned the request and gives it up.
	HandOver bool
	// To and From are the incarnations of the receiver and the sender.
	To   ids.Incarnation
	From ids.Incarnation
	// Timeout is the time left for the answer.
	Timeout time.Duration
}

// Claim is a claim of one customer's request.
type Claim struct {
	Customer string
	identity.Claim
}

// Remote calls the other entry hosts. An error means that the peer may have
// taken the call or not.
type PeerClient interface {
	// Fence asks the host to promise never to start the request.
	Fence(ctx context.Context, host, customer, id string, claimant ids.Incarnation) (identity.FenceReply, error)
	// Forward hands the request to the incarnation f.To and waits.
	Forward(ctx context.Context, f ForwardedRequest) (identity.Result, error)
	// Claims returns the claims that the host knows.
	Claims(ctx context.Context, host string) ([]Claim, error)
}

// Fleet gives what this host knows about the others.
type Peers interface {
	// Fleet returns the names of all other entry hosts and when one was last
	// lost.
	View() identity.PeerView
	// Takers returns peers that may take over queued requests: reachable, not
	// leaving.
	HandOverTargets() []ids.Incarnation
	// Lost returns whether the entry host has been silent for so long that its
	// slots are shared among the others.
	Lost(host string) bool
}

// ask sends a fence to every peer of a claim.
func (s *Service) ask(c *customer, a identity.SendFence) {
	if w := c.work[a.ID]; w != nil {
		w.messages += messagesPerCall * len(a.Peers)
	}
	for _, host := range a.Peers {
		go s.askPeer(c, a, host)
	}
}

func (s *Service) askPeer(c *customer, a identity.SendFence, host string) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
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

// forward hands a request to another entry host and reports the result.
func (s *Service) forward(c *customer, w *work, to ids.Incarnation, handOver bool) {
	ctx, cancel := context.WithDeadline(context.Background(), w.deadline)
	defer cancel()
	result, err := s.deps.PeerClient.Forward(ctx, ForwardedRequest{
		Customer: c.name, Team: w.req.Team, ID: w.req.ID, Idempotent: w.req.Idempotent, DeclaredRunTime: w.req.DeclaredRunTime,
		ContentType: w.req.contentType, Body: w.req.body,
		HandOver: handOver, To: to, From: s.deps.Incarnation, Timeout: time.Until(w.deadline),
	})
	if err != nil {
		result = identity.Result{Err: errkind.Wrap(errkind.PeerUnreachable, err, "%s has the request and gave no answer", to)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.messages += messagesPerCall + result.ExtraMessages
	s.applyIdentity(c, w.req.ID, c.table.ForwardDone(time.Now(), w.req.ID, result))
}

// Fence promises a peer never to start a request, or says why not.
func (s *Service) Fence(customer, id string, claimant ids.Incarnation) (identity.FenceReply, *errkind.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, err := s.known(customer)
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

// Take takes a request that another entry host forwards or hands over, and
// waits for its result.
func (s *Service) AcceptForwarded(ctx context.Context, f ForwardedRequest) identity.Result {
	if f.To != s.deps.Incarnation {
		return identity.Result{Err: errkind.New(errkind.DuplicateUnresolved, "%s is gone, this is %s", f.To, s.deps.Incarnation)}
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

// Claims returns the claims that a host that starts anew has to know.
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

// learn asks every peer for the claims made before this host started, so that
// a first attempt that is late does not run here.
func (s *Service) learn() {
	var group sync.WaitGroup
	var silent atomic.Int64
	peers := s.deps.Peers.View().Peers
	for _, host := range peers {
		group.Go(func() {
			if !s.learnFrom(host) {
				silent.Add(1)
			}
		})
	}
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learned = true
	s.deps.Recorder.Record(decision.Record{
		Part: decision.PartIdentity, Action: "learn", Rule: "start", Subjects: []string{string(s.deps.Incarnation)},
		Why: fmt.Sprintf("asked %d peers for their claims, %d did not answer", len(peers), silent.Load()),
	})
}

func (s *Service) learnFrom(host string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), claimsTimeout)
	defer cancel()
	claims, err := s.deps.PeerClient.Claims(ctx, host)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, claim := range claims {
		if c, err := s.known(claim.Customer); err == nil {
			c.table.AddClaim(time.Now(), claim.Claim)
		}
	}
	return true
}
