package peers

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/daemon/follower"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/standin/memnet"
	standinplatform "github.com/parsleyhill/parsleyhill/internal/standin/platform"
)

// inForceTarget is the time in which a change has to be in force everywhere.
const inForceTarget = 16 * time.Second

// zonesOf spreads hosts over zones.
const zonesOf = 7

// fleet is entry hosts with their parts for configuration and membership, in
// virtual time.
type fleet struct {
	t     *testing.T
	net   *memnet.Network
	log   *standinplatform.Log
	list  *hostList
	hosts []*host
	// cuts reports whether two hosts cannot talk; "log" names the log.
	cuts  atomic.Pointer[func(a, b string) bool]
	bytes atomic.Int64
	plans int
}

type host struct {
	name    string
	members *Members
	config  *follower.Config
	stop    func()
}

type hostList struct{ hosts []platform.Host }

// Hosts implements platform.HostList.
func (l *hostList) Hosts(context.Context) (platform.Hosts, error) {
	return platform.Hosts{Hosts: l.hosts}, nil
}

// cutLog is the log as one host reaches it.
type cutLog struct {
	platform.Log
	cut func() bool
}

func (l cutLog) Read(ctx context.Context, s platform.Stream, after int64) (platform.Page, error) {
	if l.cut() {
		return platform.Page{}, platform.ErrUnavailable
	}
	page, err := l.Log.Read(ctx, s, after)
	if l.cut() {
		return platform.Page{}, platform.ErrUnavailable
	}
	return page, err
}

func (l cutLog) Append(ctx context.Context, s platform.Stream, records [][]byte) (int64, error) {
	if l.cut() {
		return 0, platform.ErrUnavailable
	}
	return l.Log.Append(ctx, s, records)
}

// newFleet starts n entry hosts that also list the names in others.
func newFleet(t *testing.T, n int, others ...string) *fleet {
	f := &fleet{t: t, net: memnet.New(), log: standinplatform.NewLog(), list: &hostList{}}
	f.setCut(func(_, _ string) bool { return false })
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		f.list.hosts = append(f.list.hosts, platform.Host{
			Name: name, Role: platform.RoleEntry, Zone: zone(i), Address: name, State: platform.HostLive,
		})
	}
	for _, name := range others {
		f.list.hosts = append(f.list.hosts, platform.Host{Name: name, Role: platform.RoleEntry, Address: name, State: platform.HostLive})
	}
	for i := range n {
		f.hosts = append(f.hosts, f.start(fmt.Sprintf("entry-%d", i)))
	}
	t.Cleanup(func() {
		for _, h := range f.hosts {
			h.stop()
		}
	})
	return f
}

func (f *fleet) setCut(cut func(a, b string) bool) { f.cuts.Store(&cut) }

func (f *fleet) cut(a, b string) bool { return (*f.cuts.Load())(a, b) }

func zone(i int) string { return fmt.Sprint("zone-", i%zonesOf) }

// trip carries calls between hosts; a call over a cut hangs.
type trip struct {
	f    *fleet
	from string
	next *http.Transport
}

func (r trip) RoundTrip(req *http.Request) (*http.Response, error) {
	if r.f.cut(r.from, req.URL.Host) {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	return r.next.RoundTrip(req)
}

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	n *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

func (f *fleet) start(name string) *host {
	h := &host{name: name}
	ctx, cancel := context.WithCancel(context.Background())
	logger := log.New(io.Discard)
	hosts := follower.NewHosts(f.list, logger, time.Second)
	h.config = follower.NewConfig(name, cutLog{f.log, func() bool { return f.cut(name, "log") }}, logger)
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := f.net.Dial(ctx, network, strings.TrimSuffix(address, ":80"))
		return counted{conn, &f.bytes}, err
	}}
	client := &http.Client{Transport: trip{f, name, transport}}
	incarnation, started := ids.NewIncarnation(name), time.Now()
	h.members = NewMembers(name, hosts, client, nil, func() *peerv1.HostSummary {
		s := &peerv1.HostSummary{Host: name, Zone: "zone", Incarnation: string(incarnation), UptimeMs: time.Since(started).Milliseconds(), Address: name}
		if state := h.config.State(); state != nil {
			s.ConfigVersion = state.Version
		}
		return s
	})
	h.config.Attach(NewConfigClient(h.members, client), hosts, nil)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewMemberServiceHandler(h.members))
	mux.Handle(peerv1connect.NewConfigServiceHandler(ConfigHandler{ConfigSince: h.config.Since}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	listener := f.net.Listen(name)
	go func() { _ = server.Serve(listener) }()
	for _, run := range []func(context.Context) error{hosts.Run, h.config.Run, h.members.Run} {
		go func() { _ = run(ctx) }()
	}
	h.stop = func() {
		cancel()
		_ = server.Close()
		transport.CloseIdleConnections()
	}
	return h
}

// change appends a confirmed plan and returns its offset.
func (f *fleet) change() int64 {
	f.plans++
	id := fmt.Sprintf("plan-%d", f.plans)
	var newest *standing.State
	for _, h := range f.hosts {
		if s := h.config.State(); s != nil && (newest == nil || s.Version > newest.Version) {
			newest = s
		}
	}
	intent := config.Intent{
		ID: "intent-" + id, Operator: "wanjiru", Verb: config.SetCustomer, Customer: "tamarind", Force: true,
		Rules: &standing.Customer{QueueLimit: f.plans},
	}
	plan, planErr := config.MakePlan(id, newest, config.Site{}, intent)
	require.Nil(f.t, planErr)
	data, err := config.Record{Kind: config.KindChange, ID: id, Plan: &plan}.Encode()
	require.NoError(f.t, err)
	offset, err := f.log.Append(f.t.Context(), platform.StreamConfig, [][]byte{data})
	require.NoError(f.t, err)
	return offset
}

// inForce waits until the version is in force on the hosts and returns how
// long that took.
func (f *fleet) inForce(version int64, hosts []*host) time.Duration {
	began := time.Now()
	for _, h := range hosts {
		for h.config.State() == nil || h.config.State().Version < version {
			require.Less(f.t, time.Since(began), inForceTarget, "%s has not version %d", h.name, version)
			pause(50 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// pause lets virtual time pass.
func pause(d time.Duration) { <-time.After(d) }

// ofZone returns the hosts in the first zone, or all others.
func (f *fleet) ofZone(inside bool) []*host {
	var out []*host
	for i, h := range f.hosts {
		if (zone(i) == zone(0)) == inside {
			out = append(out, h)
		}
	}
	return out
}

// fleetSizes are the entry hosts of today and of the size to design for.
var fleetSizes = []int{8, 56}

func eachSize(t *testing.T, sizes []int, test func(t *testing.T, f *fleet)) {
	for _, n := range sizes {
		t.Run(fmt.Sprintf("hosts=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n)
				f.inForce(0, f.hosts)
				f.inForce(f.change(), f.hosts)
				test(t, f)
			})
		})
	}
}
