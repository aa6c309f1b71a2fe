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
	// pingInterval is the time between rounds of pings.
	pingInterval = time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = 800 * time.Millisecond
	// maxReplyBytes bounds what is read from one reply of a peer.
	maxReplyBytes = 4 << 20
)

// The metrics of the package.
var (
	pingsSent   = expvar.NewInt("parsleyhill.members.pings")
	pingsMissed = expvar.NewInt("parsleyhill.members.missed")
	hostsLost   = expvar.NewInt("parsleyhill.members.lost")
)

// Hosts gives the newest usable host list.
type Hosts interface {
	Hosts() []platform.Host
}

// Members follows the other entry hosts by the host list and by pings. It is
// a Directory and safe for concurrent use.
type Members struct {
	self     string
	hosts    Hosts
	client   *http.Client
	recorder decision.Recorder
	// summary describes this host to peers.
	summary func() *peerv1.HostSummary

	mu    sync.Mutex
	table *membership.Table
}

// NewMembers returns a directory that knows nobody. Summary describes this
// host; the time since the last loss of a peer is filled in here.
func NewMembers(self string, hosts Hosts, client *http.Client, r decision.Recorder, summary func() *peerv1.HostSummary) *Members {
	rng := rand.New(rand.NewPCG(maphash.String(maphash.MakeSeed(), self), 0))
	return &Members{
		self: self, hosts: hosts, client: client, recorder: r, summary: summary,
		table: membership.New(self, membership.DefaultOptions(), rng),
	}
}

// Run pings peers until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		m.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// round takes the host list and pings this round's peers at the same time.
func (m *Members) round(ctx context.Context) {
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
	// The functions return no errors.
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
	resp, err := m.call(ctx, p)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	var events []membership.Event
	if err != nil {
		pingsMissed.Add(1)
		m.table.CallFailed(host)
	} else {
		events = m.hear(resp.GetFrom(), resp.GetEvidence(), true)
	}
	m.mu.Unlock()
	m.record(events)
}

// uncompressed spares pings the compression, which costs more than it saves on
// keys and ages.
var uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// call pings the peer. An answer in another host's name is an error.
func (m *Members) call(ctx context.Context, p Peer) (*peerv1.PingResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := peerv1connect.NewMemberServiceClient(m.client, p.URL, connect.WithReadMaxBytes(maxReplyBytes), uncompressed)
	from, evidence := m.tell()
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
	events := m.hear(req.Msg.GetFrom(), req.Msg.GetEvidence(), false)
	m.mu.Unlock()
	m.record(events)
	from, evidence := m.tell()
	return connect.NewResponse(&peerv1.PingResponse{From: from, Evidence: evidence}), nil
}

// record records what happened to peers.
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
			Why:      fmt.Sprintf("incarnation %s, heard of %s ago", e.Incarnation, e.SilentFor.Round(time.Millisecond)),
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
		out = append(out, asPeer(p, now))
	}
	return out
}

// Lookup implements Directory.
func (m *Members) Lookup(host string) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.table.Lookup(host)
	return asPeer(p, time.Now()), ok
}

func asPeer(p membership.Peer, now time.Time) Peer {
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

// LastLoss returns the time since this host lost sight of a peer incarnation;
// negative if it never did.
func (m *Members) LastLoss() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at := m.table.LastPeerLoss(); !at.IsZero() {
		return time.Since(at)
	}
	return -1
}

// Replaced returns the time since another process was found in the place of
// the incarnation's, which proves that it is gone.
func (m *Members) Replaced(i ids.Incarnation) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.table.ReplacedAt(i)
	if !ok {
		return 0, false
	}
	return time.Since(at), true
}

// SawLeaving passes on that a backend server refused work because it leaves.
func (m *Members) ReportLeaving(backend string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.AddHint(time.Now(), membership.LeavingHint{Backend: backend})
}

// LeavingBackends returns the backend servers that an entry host lately saw
// leaving, this one included, newest first.
func (m *Members) LeavingBackends() []membership.LeavingHint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Hints(time.Now())
}
