package peers

import (
	"context"
	"encoding/json"
	"errors"
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
	h.config.Attach(NewConfig(h.members, client), hosts, nil)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewMemberServiceHandler(h.members))
	mux.Handle(peerv1connect.NewConfigServiceHandler(ConfigHandler{Since: h.config.Since}))
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

func TestChangeIsInForceEverywhere(t *testing.T) {
	inZone := func(f *fleet) map[string]bool {
		in := map[string]bool{}
		for _, h := range f.ofZone(true) {
			in[h.name] = true
		}
		return in
	}
	cases := []struct {
		name string
		cut  func(f *fleet) func(a, b string) bool
	}{
		{"log reached by all", func(*fleet) func(a, b string) bool { return func(_, _ string) bool { return false } }},
		{"a zone cut from the log", func(f *fleet) func(a, b string) bool {
			in := inZone(f)
			return func(a, b string) bool { return b == "log" && in[a] }
		}},
		{"one host reaches the log", func(f *fleet) func(a, b string) bool {
			last := f.hosts[len(f.hosts)-1].name
			return func(a, b string) bool { return b == "log" && a != last }
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			eachSize(t, fleetSizes, func(t *testing.T, f *fleet) {
				f.setCut(c.cut(f))
				pause(10 * time.Second)
				took := f.inForce(f.change(), f.hosts)
				t.Logf("in force on %d hosts after %s of virtual time", len(f.hosts), took)
			})
		})
	}
}

func TestCutZoneKeepsItsVersionAndCatchesUp(t *testing.T) {
	eachSize(t, fleetSizes[:1], func(t *testing.T, f *fleet) {
		in := map[string]bool{}
		for _, h := range f.ofZone(true) {
			in[h.name] = true
		}
		f.setCut(func(a, b string) bool { return in[a] != in[b] })
		before := f.hosts[0].config.State().Version
		version := f.change()
		f.inForce(version, f.ofZone(false))
		pause(time.Minute)
		for _, h := range f.ofZone(true) {
			require.Equal(t, before, h.config.State().Version)
			require.Greater(t, h.config.Age(time.Now()), 30*time.Second, "the age of the view is told")
		}
		f.setCut(func(_, _ string) bool { return false })
		f.inForce(version, f.hosts)
	})
}

func TestHostReplacedWhileTheLogIsAway(t *testing.T) {
	eachSize(t, fleetSizes[:1], func(t *testing.T, f *fleet) {
		version := f.hosts[0].config.State().Version
		f.setCut(func(_, b string) bool { return b == "log" })
		f.hosts[1].stop()
		f.hosts[1] = f.start("entry-1")
		f.inForce(version, f.hosts)
		want, err := json.Marshal(f.hosts[0].config.State())
		require.NoError(t, err)
		got, err := json.Marshal(f.hosts[1].config.State())
		require.NoError(t, err)
		require.Equal(t, string(want), string(got))
	})
}

func TestNoLogAndNoPeersIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.inForce(0, f.hosts)
		f.inForce(f.change(), f.hosts)
		f.setCut(func(_, _ string) bool { return true })
		f.hosts[1].stop()
		f.hosts[1] = f.start("entry-1")
		pause(time.Minute)
		require.Nil(t, f.hosts[1].config.State())
	})
}

// TestLogFaults brings about what the log may do to its records.
func TestLogFaults(t *testing.T) {
	cases := []struct {
		name string
		// fault happens after version 3 is in force on all hosts; entry-1 is
		// replaced after it.
		fault func(f *fleet)
		// cutPeers keeps the new host from its peers, cutLog the others from
		// the log.
		cutPeers, cutLog bool
		ready            bool
		blocked          bool
	}{
		{"all records trimmed, peers know", func(f *fleet) { f.trimAll() }, false, false, true, false},
		{"all records trimmed, no peers and nobody else at the log", func(f *fleet) { f.trimAll() }, true, true, false, true},
		{"all records trimmed, no peers, others publish a snapshot", func(f *fleet) { f.trimAll() }, true, false, true, false},
		{"all records lost, peers know", func(f *fleet) { f.lose() }, false, false, true, true},
		{"snapshot before the trimming, no peers", func(f *fleet) { pause(11 * time.Minute); f.trim(2) }, true, false, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				f.inForce(0, f.hosts)
				f.inForce(f.change(), f.hosts)
				f.inForce(f.change(), f.hosts)
				f.inForce(f.change(), f.hosts)
				f.hosts[1].stop()
				f.setCut(func(a, b string) bool {
					if b == "log" {
						return c.cutLog && a != "entry-1"
					}
					return c.cutPeers && (a == "entry-1" || b == "entry-1")
				})
				c.fault(f)
				f.hosts[1] = f.start("entry-1")
				pause(inForceTarget)
				require.Equal(t, c.blocked, f.hosts[1].config.Blocked() != "")
				require.Equal(t, c.ready, f.hosts[1].config.State() != nil)
				for _, h := range f.hosts {
					if s := h.config.State(); s != nil {
						require.EqualValues(t, 3, s.Customers["tamarind"].QueueLimit, "%s reverted", h.name)
					}
				}
			})
		})
	}
}

// trimAll trims every record but one that says nothing.
func (f *fleet) trimAll() { f.trim(1) }

// trim appends a record that says nothing and trims all but the newest.
func (f *fleet) trim(retain int) {
	_, err := f.log.Append(f.t.Context(), platform.StreamConfig, [][]byte{[]byte("{}")})
	require.NoError(f.t, err)
	pause(time.Second)
	f.log.SetFaults(standinplatform.Faults{Retain: retain})
	f.log.SetFaults(standinplatform.Faults{})
}

// lose puts an empty log in the place of the old one.
func (f *fleet) lose() { f.log.Lose() }

// TestCost bounds the bytes that a host spends on its peers while nothing
// happens.
func TestCost(t *testing.T) {
	const bound, seconds = 11 * 1024, 20
	eachSize(t, fleetSizes, func(t *testing.T, f *fleet) {
		pause(10 * time.Second)
		before := f.bytes.Load()
		pause(seconds * time.Second)
		// A host counts its calls; those that it answers count as much again.
		perHost := 2 * (f.bytes.Load() - before) / seconds / int64(len(f.hosts))
		t.Logf("%d hosts: %d bytes a second and host", len(f.hosts), perHost)
		require.Less(t, perHost, int64(bound))
	})
}

func TestHangingPeerHarmsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.inForce(0, f.hosts)
		f.inForce(f.change(), f.hosts)
		f.setCut(func(a, b string) bool { return b != "log" && (a == "entry-3" || b == "entry-3") })
		pause(20 * time.Second)
		for _, h := range f.hosts {
			for _, p := range h.members.Peers() {
				require.Equal(t, h.name != "entry-3" && p.Host != "entry-3", p.Reachable, "%s sees %s", h.name, p.Host)
			}
		}
		f.inForce(f.change(), f.hosts)
	})
}

// TestBadAnswers pings a peer that answers wrongly.
func TestBadAnswers(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"not found", http.NotFound},
		{"garbage", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			_, _ = w.Write([]byte("\xff\xff garbage"))
		}},
		{"another content type", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }},
		{"too long", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			_, _ = w.Write(make([]byte, maxReplyBytes+1))
		}},
		{"empty", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Type", "application/proto") }},
		{"closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"hanging", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, "bad")
				server := &http.Server{Handler: c.answer, ReadHeaderTimeout: time.Minute, ErrorLog: nil}
				listener := f.net.Listen("bad")
				go func() { _ = server.Serve(listener) }()
				defer func() { _ = server.Close() }()
				pause(5 * time.Second)
				p, ok := f.hosts[0].members.Lookup("bad")
				require.True(t, ok)
				require.False(t, p.Reachable)
				_, err := NewConfig(f.hosts[0].members, f.hosts[0].members.client).FetchConfig(t.Context(), 0, "")
				if c.name != "empty" {
					require.Error(t, err)
				}
				require.False(t, errors.Is(err, context.Canceled))
			})
		})
	}
}
