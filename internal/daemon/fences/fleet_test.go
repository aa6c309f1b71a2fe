package fences

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/daemon/backendpool"
	"github.com/parsleyhill/parsleyhill/internal/daemon/peers"
	"github.com/parsleyhill/parsleyhill/internal/daemon/requests"
	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/settings"
	"github.com/parsleyhill/parsleyhill/internal/standin/backend"
	"github.com/parsleyhill/parsleyhill/internal/standin/memnet"
)

const (
	testHorizon = 5 * time.Second
	customer    = "tamarind"
	backendName = "backend-1:80"
)

var errPartitioned = errors.New("the network is partitioned")

// testFleet is several entry hosts and one backend server, which use the real
// protocols in virtual time.
type testFleet struct {
	t       *testing.T
	network *memnet.Network
	backend *backend.Server
	servers []*http.Server
	cancel  context.CancelFunc
	ctx     context.Context
	// slotRequests counts the requests for slots, which all fail.
	slotRequests atomic.Int32

	mu          sync.Mutex
	hosts       map[string]*host
	partitioned map[string]bool
	records     []decision.Record
	// policy is the customer's policy. If removed is set, the customer is not in
	// the configuration.
	policy  standing.Policy
	removed bool
}

type host struct {
	name        string
	incarnation ids.Incarnation
	service     *requests.Service
	server      *http.Server
	stop        context.CancelFunc
	died        time.Time
}

// directory is the peers.Directory of one host in the fleet.
type directory struct {
	fleet *testFleet
	self  string
}

func (d directory) Peers() []peers.Peer {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	var found []peers.Peer
	for name, h := range d.fleet.hosts {
		if name != d.self {
			p := peers.Peer{Host: name, Incarnation: h.incarnation, URL: "http://" + name, Reachable: !d.fleet.partitioned[name]}
			if !h.died.IsZero() {
				p.Reachable, p.SilentFor = false, time.Since(h.died)
			}
			found = append(found, p)
		}
	}
	slices.SortFunc(found, func(a, b peers.Peer) int { return strings.Compare(a.Host, b.Host) })
	return found
}

func (d directory) Lookup(name string) (peers.Peer, bool) {
	for _, p := range d.Peers() {
		if p.Host == name {
			return p, true
		}
	}
	return peers.Peer{}, false
}

// State implements standing.View.
func (f *testFleet) State() *standing.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.removed {
		return &standing.State{Version: 2}
	}
	rules := standing.Customer{Policy: f.policy, HorizonMs: testHorizon.Milliseconds()}
	return &standing.State{Version: 1, Customers: map[string]standing.Customer{customer: rules}}
}

// Hosts implements requests.Hosts.
func (f *testFleet) Hosts() []platform.Host {
	listed := []platform.Host{{
		Name: "backend-1", Role: platform.RoleBackend, Address: backendName, State: platform.HostLive, Customer: customer, Slots: 2,
	}}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(f.hosts)) {
		listed = append(listed, platform.Host{Name: name, Role: platform.RoleEntry, State: platform.HostLive})
	}
	return listed
}

// Borrow implements requests.Lenders.
func (f *testFleet) Borrow(context.Context, string, route.BorrowRequest) (route.Offer, error) {
	f.slotRequests.Add(1)
	return route.Offer{}, errPartitioned
}

// Record implements decision.Recorder.
func (f *testFleet) Record(r decision.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, r)
}

// withFleet calls do with a fleet of n entry hosts that have run for longer than
// the horizon.
func withFleet(t *testing.T, n int, do func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t: t, network: memnet.New(), hosts: map[string]*host{}, partitioned: map[string]bool{}}
		f.ctx, f.cancel = context.WithCancel(t.Context())
		f.backend = backend.New("backend-1", 2, 52)
		f.serve(backendName, f.backend.Handler())
		for i := range n {
			f.start(fmt.Sprintf("entry-%d", i+1))
		}
		<-time.After(2 * testHorizon)
		defer func() {
			f.cancel()
			for _, s := range f.servers {
				_ = s.Close()
			}
			<-time.After(time.Minute)
		}()
		do(f)
	})
}

func (f *testFleet) serve(address string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	l := f.network.Listen(address)
	go func() { _ = server.Serve(l) }()
	f.servers = append(f.servers, server)
	return server
}

// start starts a new incarnation of an entry host.
func (f *testFleet) start(name string) *host {
	d := directory{fleet: f, self: name}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		to, _, _ := net.SplitHostPort(address)
		f.mu.Lock()
		partitioned := f.partitioned[name] != f.partitioned[to] && strings.HasPrefix(to, "entry")
		f.mu.Unlock()
		if partitioned {
			<-time.After(time.Second)
			return nil, errPartitioned
		}
		return f.network.Dial(ctx, network, address)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	h := &host{name: name, incarnation: ids.NewIncarnation(name)}
	watcher := NewPeerWatcher(d)
	h.service = requests.New(requests.Deps{
		Settings:    settings.Settings{Host: name}.WithDefaults(),
		Incarnation: h.incarnation, View: f, Hosts: f, Recorder: f, Pool: backendpool.NewWithDial(f.network.Dial),
		Peers: watcher, PeerClient: NewClient(d, client), Lenders: f,
	})
	mux := http.NewServeMux()
	h.service.Routes(mux)
	mux.Handle(peerv1connect.NewIdentityServiceHandler(Handler{Requests: h.service}))
	f.mu.Lock()
	f.hosts[name] = h
	f.mu.Unlock()
	h.server = f.serve(name+":80", mux)
	var ctx context.Context
	ctx, h.stop = context.WithCancel(f.ctx)
	go func() { _ = h.service.Run(ctx) }()
	go func() { _ = watcher.Run(ctx) }()
	return h
}

// kill stops an entry host abruptly.
func (f *testFleet) kill(name string) {
	_ = f.hosts[name].server.Close()
	f.hosts[name].stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[name].died = time.Now()
}

func (f *testFleet) setPartitioned(name string, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[name] = partitioned
}

func (f *testFleet) removeCustomer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removed = true
}

func (f *testFleet) setPolicy(p standing.Policy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.policy = p
}

// reply is what a caller received.
type reply struct {
	status   int
	body     string
	doc      errkind.Document
	messages int
}

// pendingReply is a request in flight. Calling disconnect cancels it.
type pendingReply struct {
	done       chan reply
	disconnect context.CancelFunc
}

// sendDeadline sends a first attempt with the given deadline.
func (f *testFleet) sendDeadline(host, id string, runMs int64, deadline time.Duration) *pendingReply {
	return f.sendHeader(host, id, runMs, http.Header{
		callerapi.HeaderAttempt:  {"1"},
		callerapi.HeaderDeadline: {strconv.FormatInt(deadline.Milliseconds(), 10)},
	})
}

// send sends an attempt. Attempt 0 carries no attempt number.
func (f *testFleet) send(host, id string, attempt int, runMs int64) *pendingReply {
	header := http.Header{}
	if attempt > 0 {
		header.Set(callerapi.HeaderAttempt, strconv.Itoa(attempt))
	}
	return f.sendHeader(host, id, runMs, header)
}

func (f *testFleet) sendHeader(host, id string, runMs int64, header http.Header) *pendingReply {
	ctx, cancel := context.WithCancel(f.ctx)
	body, _ := json.Marshal(backend.Work{RunMs: runMs})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+callerapi.PathRequests, bytes.NewReader(body))
	require.NoError(f.t, err)
	req.Header = header
	req.Header.Set(callerapi.HeaderCustomer, customer)
	req.Header.Set(callerapi.HeaderRequestID, id)
	s := &pendingReply{done: make(chan reply, 1), disconnect: cancel}
	go func() { s.done <- f.do(req) }()
	return s
}

func (f *testFleet) do(req *http.Request) reply {
	transport := &http.Transport{DialContext: f.network.Dial, DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, body: string(body)}
	r.messages, _ = strconv.Atoi(resp.Header.Get(callerapi.HeaderExtraMessages))
	if r.status >= http.StatusBadRequest {
		_ = json.Unmarshal(body, &r.doc)
	}
	return r
}

func (p *pendingReply) wait() reply { return <-p.done }

// requireAnswer checks that the reply is the answer to the request with the id.
func (f *testFleet) requireAnswer(r reply, id string) {
	f.t.Helper()
	require.Equal(f.t, http.StatusOK, r.status, r.body)
	require.Contains(f.t, r.body, fmt.Sprintf("%q:%q", "request", id))
}

func (f *testFleet) requireUnresolved(r reply) {
	f.t.Helper()
	require.Equal(f.t, errkind.DuplicateUnresolved, r.doc.Kind, r.body)
	require.Equal(f.t, errkind.Unknown, r.doc.Run)
}
