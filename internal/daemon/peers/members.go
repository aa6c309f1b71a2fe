package peers

import (
	"context"
	"expvar"
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/decide/membership"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

const (
	// pingInterval is the interval between rounds of pings.
	pingInterval = time.Second
	// callTimeout is the timeout of one call to a peer.
	callTimeout = 800 * time.Millisecond
	// maxReplyBytes is the maximum size of one reply from a peer.
	maxReplyBytes = 4 << 20
)

// The metrics of the package.
var (
	pingsSent   = expvar.NewInt("parsleyhill.members.pings")
	pingsFailed = expvar.NewInt("parsleyhill.members.missed")
	hostsLost   = expvar.NewInt("parsleyhill.members.lost")
)

// Hosts provides the newest usable host list.
type Hosts interface {
	Hosts() []platform.Host
}

// Members tracks the other entry hosts through the host list and through pings.
// It implements Directory and is safe for concurrent use.
type Members struct {
	self     string
	hosts    Hosts
	client   *http.Client
	recorder decision.Recorder
	// summary returns the summary of this host that is sent to peers.
	summary func() *peerv1.HostSummary

	mu    sync.Mutex
	table *membership.Table
}

// NewMembers returns a directory without peers. The function summary returns the
// summary of this host; Members sets its time since the last loss of a peer.
func NewMembers(self string, hosts Hosts, client *http.Client, r decision.Recorder, summary func() *peerv1.HostSummary) *Members {
	rng := rand.New(rand.NewPCG(maphash.String(maphash.MakeSeed(), self), 0))
	return &Members{
		self: self, hosts: hosts, client: client, recorder: r, summary: summary,
		table: membership.New(self, membership.DefaultOptions(), rng),
	}
}

// Run pings peers periodically until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		m.pingRound(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// pingRound applies the host list and concurrently pings the peers chosen for
// this round.
func (m *Members) pingRound(ctx context.Context) {
	listed := m.listed()
	m.mu.Lock()
	m.table.UpdateHostList(listed)
	events := m.table.Tick(time.Now())
	targets := m.table.PingTargets()
	m.mu.Unlock()
	m.record(events)
	var group errgroup.Group
	for _, host := range targets {
		group.Go(func() error {
			m.ping(ctx, host)
			return nil
		})
	}
	// The functions of the group return no errors.
	_ = group.Wait()
}

func (m *Members) listed() []membership.ListedHost {
	var listed []membership.ListedHost
	for _, h := range m.hosts.Hosts() {
		if h.Role == platform.RoleEntry {
			listed = append(listed, membership.ListedHost{
				Name: h.Name, Zone: h.Zone, Address: h.Address, Leaving: h.State == platform.HostLeaving,
			})
		}
	}
	return listed
}

func (m *Members) ping(ctx context.Context, host string) {
	p, ok := m.Lookup(host)
	if !ok {
		return
	}
	pingsSent.Add(1)
	resp, err := m.sendPing(ctx, p)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	var events []membership.Event
	if err != nil {
		pingsFailed.Add(1)
		m.table.CallFailed(host)
	} else {
		events = m.applyReport(resp.GetFrom(), resp.GetEvidence(), true)
	}
	m.mu.Unlock()
	m.record(events)
}

// withoutCompression disables compression for pings, because compressing their
// keys and ages costs more than it saves.
var withoutCompression = connect.WithAcceptCompression("gzip", nil, nil)

// sendPing sends a ping to the peer and returns its response. A response from a
// different host is an error.
func (m *Members) sendPing(ctx context.Context, p Peer) (*peerv1.PingResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := peerv1connect.NewMemberServiceClient(m.client, p.URL, connect.WithReadMaxBytes(maxReplyBytes), withoutCompression)
	from, evidence := m.localReport()
	resp, err := client.Ping(ctx, connect.NewRequest(&peerv1.PingRequest{From: from, Evidence: evidence}))
	if err != nil {
		return nil, fmt.Errorf("ping %s: %w", p.Host, err)
	}
	if got := resp.Msg.GetFrom().GetHost(); got != p.Host {
		return nil, fmt.Errorf("ping %s: %q answered", p.Host, got)
	}
	return resp.Msg, nil
}

// Ping implements peerv1connect.MemberServiceHandler.
func (m *Members) Ping(_ context.Context, req *connect.Request[peerv1.PingRequest]) (*connect.Response[peerv1.PingResponse], error) {
	m.mu.Lock()
	events := m.applyReport(req.Msg.GetFrom(), req.Msg.GetEvidence(), false)
	m.mu.Unlock()
	m.record(events)
	from, evidence := m.localReport()
	return connect.NewResponse(&peerv1.PingResponse{From: from, Evidence: evidence}), nil
}

// record counts lost hosts and passes the events to the decision recorder.
func (m *Members) record(events []membership.Event) {
	for _, e := range events {
		if e.Kind == membership.EventLost {
			hostsLost.Add(1)
		}
		if m.recorder == nil {
			continue
		}
		m.recorder.Record(decision.Record{
			Part: decision.PartMember, Action: string(e.Kind), Rule: "evidence before list",
			Why:      fmt.Sprintf("incarnation %s, last contact %s ago", e.Incarnation, e.SilentFor.Round(time.Millisecond)),
			Subjects: []string{e.Host, string(e.Incarnation)},
		})
	}
}

// Peers implements Directory.
func (m *Members) Peers() []Peer {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.table.Peers()
	out := make([]Peer, 0, len(known))
	for _, p := range known {
		out = append(out, toPeer(p, now))
	}
	return out
}

// Lookup implements Directory.
func (m *Members) Lookup(host string) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.table.Lookup(host)
	return toPeer(p, time.Now()), ok
}

func toPeer(p membership.Peer, now time.Time) Peer {
	out := Peer{
		Host: p.Name, Zone: p.Zone, Incarnation: p.Incarnation, Leaving: p.Leaving,
		Reachable: p.Reachable, Version: p.Version, SilentFor: -1,
	}
	if p.Address != "" {
		out.URL = "http://" + p.Address
	}
	if !p.LastContact.IsZero() {
		out.SilentFor = now.Sub(p.LastContact)
	}
	return out
}

// Version returns the configuration version that the peer last reported.
func (m *Members) Version(host string) int64 {
	p, _ := m.Lookup(host)
	return p.Version
}

// LastLoss returns the time since this host last lost a peer's incarnation. It is
// negative if it never did.
func (m *Members) LastLoss() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at := m.table.LastPeerLoss(); !at.IsZero() {
		return time.Since(at)
	}
	return -1
}

// Replaced returns the time since direct contact with the host first showed
// another incarnation in place of this one, which proves that this one has ended.
// It returns false if there was no such contact.
func (m *Members) Replaced(i ids.Incarnation) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.table.ReplacedAt(i)
	if !ok {
		return 0, false
	}
	return time.Since(at), true
}

// ReportLeaving records that a backend server announced that it is leaving, and
// shares this with the other entry hosts.
func (m *Members) ReportLeaving(backend string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.AddHint(time.Now(), membership.LeavingHint{Backend: backend})
}

// LeavingBackends returns the backend servers that this or another entry host
// recently reported as leaving, newest report first.
func (m *Members) LeavingBackends() []membership.LeavingHint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Hints(time.Now())
}
