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
	"github.com/parsleyhill/parsleyhill/internal/daemon/peers"
	"github.com/parsleyhill/parsleyhill/internal/daemon/pool"
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

var errCut = errors.New("the network is cut")

// world is a fleet of entry hosts and one backend server in virtual time, on
// the real protocols.
type world struct {
	t       *testing.T
	network *memnet.Network
	backend *backend.Server
	servers []*http.Server
	cancel  context.CancelFunc
	ctx     context.Context
	// asks counts the asks for slots, which all fail.
	asks atomic.Int32

	mu    sync.Mutex
	hosts map[string]*host
	cut   map[string]bool
	notes []decision.Record
	// policy is the customer's; removed takes it out of the configuration.
	policy  standing.Policy
	removed bool
}

type host struct {
	name    string
	inc     ids.Incarnation
	service *requests.Service
	server  *http.Server
	stop    context.CancelFunc
	died    time.Time
}

// directory is a peers.Directory of the world as one host sees it.
type directory struct {
	w    *world
	self string
}

func (d directory) Peers() []peers.Peer {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	var found []peers.Peer
	for name, h := range d.w.hosts {
		if name != d.self {
			p := peers.Peer{Host: name, Incarnation: h.inc, URL: "http://" + name, Reachable: !d.w.cut[name]}
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
func (w *world) State() *standing.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed {
		return &standing.State{Version: 2}
	}
	rules := standing.Customer{Policy: w.policy, HorizonMs: testHorizon.Milliseconds()}
	return &standing.State{Version: 1, Customers: map[string]standing.Customer{customer: rules}}
}

// Hosts implements requests.Hosts.
func (w *world) Hosts() []platform.Host {
	listed := []platform.Host{{
		Name: "backend-1", Role: platform.RoleBackend, Address: backendName, State: platform.HostLive, Customer: customer, Slots: 2,
	}}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
		listed = append(listed, platform.Host{Name: name, Role: platform.RoleEntry, State: platform.HostLive})
	}
	return listed
}

// Borrow implements requests.Lenders.
func (w *world) Borrow(context.Context, string, route.Ask) (route.Offer, error) {
	w.asks.Add(1)
	return route.Offer{}, errCut
}

// Record implements decision.Recorder.
func (w *world) Record(r decision.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, r)
}

// inWorld runs do in a world of n entry hosts that remember a horizon.
func inWorld(t *testing.T, n int, do func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, network: memnet.New(), hosts: map[string]*host{}, cut: map[string]bool{}}
		w.ctx, w.cancel = context.WithCancel(t.Context())
		w.backend = backend.New("backend-1", 2, 52)
		w.serve(backendName, w.backend.Handler())
		for i := range n {
			w.start(fmt.Sprintf("entry-%d", i+1))
		}
		<-time.After(2 * testHorizon)
		defer func() {
			w.cancel()
			for _, s := range w.servers {
				_ = s.Close()
			}
			<-time.After(time.Minute)
		}()
		do(w)
	})
}

func (w *world) serve(address string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	l := w.network.Listen(address)
	go func() { _ = server.Serve(l) }()
	w.servers = append(w.servers, server)
	return server
}

// start runs a new incarnation of an entry host.
func (w *world) start(name string) *host {
	d := directory{w: w, self: name}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		to, _, _ := net.SplitHostPort(address)
		w.mu.Lock()
		cut := w.cut[name] != w.cut[to] && strings.HasPrefix(to, "entry")
		w.mu.Unlock()
		if cut {
			<-time.After(time.Second)
			return nil, errCut
		}
		return w.network.Dial(ctx, network, address)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	h := &host{name: name, inc: ids.NewIncarnation(name)}
	fleet := NewPeerWatcher(d)
	h.service = requests.New(requests.Deps{
		Settings:    settings.Settings{Host: name}.WithDefaults(),
		Incarnation: h.inc, View: w, Hosts: w, Recorder: w, Pool: pool.NewWithDial(w.network.Dial),
		Peers: fleet, PeerClient: NewClient(d, client), Lenders: w,
	})
	mux := http.NewServeMux()
	h.service.Routes(mux)
	mux.Handle(peerv1connect.NewIdentityServiceHandler(Handler{Requests: h.service}))
	w.mu.Lock()
	w.hosts[name] = h
	w.mu.Unlock()
	h.server = w.serve(name+":80", mux)
	var ctx context.Context
	ctx, h.stop = context.WithCancel(w.ctx)
	go func() { _ = h.service.Run(ctx) }()
	go func() { _ = fleet.Run(ctx) }()
	return h
}

// kill ends an entry host at once.
func (w *world) kill(name string) {
	_ = w.hosts[name].server.Close()
	w.hosts[name].stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[name].died = time.Now()
}

func (w *world) setCut(name string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[name] = cut
}

func (w *world) removeCustomer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed = true
}

func (w *world) setPolicy(p standing.Policy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.policy = p
}

// reply is what a caller got.
type reply struct {
	status   int
	body     string
	doc      errkind.Document
	messages int
}

// sent is a request on its way.
type sent struct {
	done   chan reply
	hangUp context.CancelFunc
}

// sendDeadline sends a first attempt that waits for its answer that long.
func (w *world) sendDeadline(host, id string, runMs int64, deadline time.Duration) *sent {
	return w.sendHeader(host, id, runMs, http.Header{
		callerapi.HeaderAttempt:  {"1"},
		callerapi.HeaderDeadline: {strconv.FormatInt(deadline.Milliseconds(), 10)},
	})
}

// send sends an attempt; attempt 0 is unmarked.
func (w *world) send(host, id string, attempt int, runMs int64) *sent {
	header := http.Header{}
	if attempt > 0 {
		header.Set(callerapi.HeaderAttempt, strconv.Itoa(attempt))
	}
	return w.sendHeader(host, id, runMs, header)
}

func (w *world) sendHeader(host, id string, runMs int64, header http.Header) *sent {
	ctx, cancel := context.WithCancel(w.ctx)
	body, _ := json.Marshal(backend.Work{RunMs: runMs})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+callerapi.PathRequests, bytes.NewReader(body))
	require.NoError(w.t, err)
	req.Header = header
	req.Header.Set(callerapi.HeaderCustomer, customer)
	req.Header.Set(callerapi.HeaderRequestID, id)
	s := &sent{done: make(chan reply, 1), hangUp: cancel}
	go func() { s.done <- w.do(req) }()
	return s
}

func (w *world) do(req *http.Request) reply {
	transport := &http.Transport{DialContext: w.network.Dial, DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, body: string(body)}
	r.messages, _ = strconv.Atoi(resp.Header.Get(callerapi.HeaderMessages))
	if r.status >= http.StatusBadRequest {
		_ = json.Unmarshal(body, &r.doc)
	}
	return r
}

func (s *sent) wait() reply { return <-s.done }

// requireAnswer checks that the reply is the answer to its own request.
func (w *world) requireAnswer(r reply, id string) {
	w.t.Helper()
	require.Equal(w.t, http.StatusOK, r.status, r.body)
	require.Contains(w.t, r.body, fmt.Sprintf("%q:%q", "request", id))
}

func (w *world) requireUnresolved(r reply) {
	w.t.Helper()
	require.Equal(w.t, errkind.DuplicateUnresolved, r.doc.Kind, r.body)
	require.Equal(w.t, errkind.Unknown, r.doc.Run)
}
