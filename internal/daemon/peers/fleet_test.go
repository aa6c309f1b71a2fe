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

// propagationLimit is the time within which a change must be in force on all
// hosts.
const propagationLimit = 16 * time.Second

// zoneCount is the number of zones that the hosts are spread over.
const zoneCount = 7

// fleet is a set of entry hosts that run only their configuration and membership
// components, in virtual time.
type fleet struct {
	t        *testing.T
	net      *memnet.Network
	log      *standinplatform.Log
	hostList *hostList
	hosts    []*host
	// partition reports whether host a cannot reach host b. The name "log"
	// denotes the log.
	partition atomic.Pointer[func(a, b string) bool]
	bytes     atomic.Int64
	plans     int
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

// partitionedLog is the log as one host reaches it. It is unavailable while the
// host is partitioned from it.
type partitionedLog struct {
	platform.Log
	partitioned func() bool
}

func (l partitionedLog) Read(ctx context.Context, s platform.Stream, after int64) (platform.Page, error) {
	if l.partitioned() {
		return platform.Page{}, platform.ErrUnavailable
	}
	page, err := l.Log.Read(ctx, s, after)
	if l.partitioned() {
		return platform.Page{}, platform.ErrUnavailable
	}
	return page, err
}

func (l partitionedLog) Append(ctx context.Context, s platform.Stream, records [][]byte) (int64, error) {
	if l.partitioned() {
		return 0, platform.ErrUnavailable
	}
	return l.Log.Append(ctx, s, records)
}

// newFleet starts n entry hosts. The host list also contains the names in others.
func newFleet(t *testing.T, n int, others ...string) *fleet {
	f := &fleet{t: t, net: memnet.New(), log: standinplatform.NewLog(), hostList: &hostList{}}
	f.setPartition(func(_, _ string) bool { return false })
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		f.hostList.hosts = append(f.hostList.hosts, platform.Host{
			Name: name, Role: platform.RoleEntry, Zone: zone(i), Address: name, State: platform.HostLive,
		})
	}
	for _, name := range others {
		f.hostList.hosts = append(f.hostList.hosts, platform.Host{Name: name, Role: platform.RoleEntry, Address: name, State: platform.HostLive})
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

func (f *fleet) setPartition(partitioned func(a, b string) bool) { f.partition.Store(&partitioned) }

func (f *fleet) partitioned(a, b string) bool { return (*f.partition.Load())(a, b) }

func zone(i int) string { return fmt.Sprint("zone-", i%zoneCount) }

// partitionedTransport sends calls between hosts. A call across a partition
// hangs until its context ends.
type partitionedTransport struct {
	f    *fleet
	from string
	next *http.Transport
}

func (r partitionedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if r.f.partitioned(r.from, req.URL.Host) {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	return r.next.RoundTrip(req)
}

// countingConn adds the bytes read from and written to a connection to n.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

func (f *fleet) start(name string) *host {
	h := &host{name: name}
	ctx, cancel := context.WithCancel(context.Background())
	logger := log.New(io.Discard)
	hosts := follower.NewHosts(f.hostList, logger, time.Second)
	h.config = follower.NewConfig(name, partitionedLog{f.log, func() bool { return f.partitioned(name, "log") }}, logger)
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := f.net.Dial(ctx, network, strings.TrimSuffix(address, ":80"))
		return countingConn{conn, &f.bytes}, err
	}}
	client := &http.Client{Transport: partitionedTransport{f, name, transport}}
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

// appendChange appends a confirmed plan to the log and returns its offset.
func (f *fleet) appendChange() int64 {
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
	plan, planErr := config.MakePlan(id, newest, config.ListedHosts{}, intent)
	require.Nil(f.t, planErr)
	data, err := config.Record{Kind: config.KindChange, ID: id, Plan: &plan}.Encode()
	require.NoError(f.t, err)
	offset, err := f.log.Append(f.t.Context(), platform.StreamConfig, [][]byte{data})
	require.NoError(f.t, err)
	return offset
}

// waitInForce waits until the version is in force on the hosts and returns how
// long that took.
func (f *fleet) waitInForce(version int64, hosts []*host) time.Duration {
	start := time.Now()
	for _, h := range hosts {
		for h.config.State() == nil || h.config.State().Version < version {
			require.Less(f.t, time.Since(start), propagationLimit, "%s does not have version %d", h.name, version)
			sleep(50 * time.Millisecond)
		}
	}
	return time.Since(start)
}

// sleep advances virtual time by d.
func sleep(d time.Duration) { <-time.After(d) }

// hostsInFirstZone returns the hosts in the first zone if inside is set, and all
// others otherwise.
func (f *fleet) hostsInFirstZone(inside bool) []*host {
	var out []*host
	for i, h := range f.hosts {
		if (zone(i) == zone(0)) == inside {
			out = append(out, h)
		}
	}
	return out
}

// fleetSizes are the numbers of entry hosts in today's fleet and in the largest
// fleet that the design has to support.
var fleetSizes = []int{8, 56}

func forEachSize(t *testing.T, sizes []int, test func(t *testing.T, f *fleet)) {
	for _, n := range sizes {
		t.Run(fmt.Sprintf("hosts=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, n)
				f.waitInForce(0, f.hosts)
				f.waitInForce(f.appendChange(), f.hosts)
				test(t, f)
			})
		})
	}
}
