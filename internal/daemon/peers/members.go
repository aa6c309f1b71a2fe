package peers

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

const (
	// pingInterval is the time between pings of a peer.
	pingInterval = time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = 800 * time.Millisecond
)

// Hosts gives the newest usable host list.
type Hosts interface {
	Hosts() []platform.Host
}

// Members follows the other entry hosts by the host list and by pings. It is
// a Directory and safe for concurrent use.
type Members struct {
	self   string
	hosts  Hosts
	client *http.Client
	// summary describes this host to peers.
	summary func() *peerv1.HostSummary

	mu       sync.Mutex
	peers    map[string]*Peer
	versions map[string]int64
}

// NewMembers returns a directory that knows nobody.
func NewMembers(self string, hosts Hosts, client *http.Client, summary func() *peerv1.HostSummary) *Members {
	return &Members{
		self: self, hosts: hosts, client: client, summary: summary,
		peers: map[string]*Peer{}, versions: map[string]int64{},
	}
}

// Run pings peers until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		m.refresh()
		m.pingAll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// refresh takes new peers from the host list.
func (m *Members) refresh() {
	listed := map[string]platform.Host{}
	for _, h := range m.hosts.Hosts() {
		if h.Role == platform.RoleEntry && h.Name != m.self {
			listed[h.Name] = h
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, h := range listed {
		p, ok := m.peers[name]
		if !ok {
			p = &Peer{Host: name}
			m.peers[name] = p
		}
		p.Zone = h.Zone
		p.URL = "http://" + h.Address
	}
	for name, p := range m.peers {
		if _, ok := listed[name]; !ok && !p.Reachable {
			delete(m.peers, name)
		}
	}
}

func (m *Members) pingAll(ctx context.Context) {
	var group errgroup.Group
	for _, p := range m.Peers() {
		group.Go(func() error {
			m.ping(ctx, p)
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
}

func (m *Members) ping(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := peerv1connect.NewMemberServiceClient(m.client, p.URL)
	resp, err := client.Ping(ctx, connect.NewRequest(&peerv1.PingRequest{From: m.summary()}))
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.peers[p.Host]
	if !ok {
		return
	}
	known.Reachable = err == nil
	if err == nil {
		m.heard(known, resp.Msg.GetFrom())
	}
}

// heard takes a peer's summary. The lock is held.
func (m *Members) heard(p *Peer, s *peerv1.HostSummary) {
	p.Incarnation = ids.Incarnation(s.GetIncarnation())
	p.Leaving = s.GetLeaving()
	m.versions[p.Host] = s.GetConfigVersion()
}

// Ping implements peerv1connect.MemberServiceHandler.
func (m *Members) Ping(_ context.Context, req *connect.Request[peerv1.PingRequest]) (*connect.Response[peerv1.PingResponse], error) {
	from := req.Msg.GetFrom()
	m.mu.Lock()
	if p, ok := m.peers[from.GetHost()]; ok {
		p.Reachable = true
		m.heard(p, from)
	}
	m.mu.Unlock()
	return connect.NewResponse(&peerv1.PingResponse{From: m.summary()}), nil
}

// Peers implements Directory.
func (m *Members) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, *p)
	}
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.Host, b.Host) })
	return peers
}

// Lookup implements Directory.
func (m *Members) Lookup(host string) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[host]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Version returns the configuration version that the peer last reported.
func (m *Members) Version(host string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.versions[host]
}
