package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// fleet simulates hosts that exchange pings in rounds of one second.
type fleet struct {
	now    time.Time
	rng    *rand.Rand
	names  []string
	listed []ListedHost
	tables map[string]*Table
	starts map[string]time.Time
	// loss is the fraction of pings that are lost.
	loss float64
	// partitioned reports whether two hosts cannot reach each other.
	partitioned func(a, b string) bool
	events      map[string][]Event
	pings       int
	// reports counts the full reports of third hosts.
	reports int
	// heartbeats counts the heartbeats of third hosts.
	heartbeats int
}

func newFleet(n int, opts Options, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 2)), tables: map[string]*Table{},
		starts: map[string]time.Time{}, partitioned: func(_, _ string) bool { return false }, events: map[string][]Event{},
	}
	for i := range n {
		name := fmt.Sprintf("entry-%02d", i)
		f.names = append(f.names, name)
		f.listed = append(f.listed, ListedHost{Name: name, Zone: fmt.Sprint("z", i%7), Address: name})
		f.tables[name] = New(name, opts, rand.New(rand.NewPCG(seed, uint64(i)+10)))
		f.starts[name] = f.now
	}
	return f
}

func (f *fleet) report(name string) Report {
	inc := ids.Incarnation(fmt.Sprintf("%s~%d", name, f.starts[name].Unix()))
	return Report{Host: name, Incarnation: inc, Uptime: f.now.Sub(f.starts[name]), SincePeerLoss: -1}
}

func (f *fleet) deliver(at, from string, direct bool, r Report) {
	f.events[at] = append(f.events[at], f.tables[at].ReceiveReport(f.now, r, direct)...)
	for _, o := range f.tables[from].PeerReports(f.now) {
		f.reports++
		f.events[at] = append(f.events[at], f.tables[at].ReceiveReport(f.now, o, false)...)
	}
	for _, b := range f.tables[from].Heartbeats(f.now) {
		f.heartbeats++
		f.events[at] = append(f.events[at], f.tables[at].ReceiveHeartbeat(f.now, b)...)
	}
	for _, h := range f.tables[from].Hints(f.now) {
		f.tables[at].AddHint(f.now, h)
	}
}

// round lets every host ping its targets once, spread over a second.
func (f *fleet) round() {
	step := time.Second / time.Duration(len(f.names))
	for _, name := range f.names {
		f.now = f.now.Add(step)
		table, up := f.tables[name]
		if !up {
			continue
		}
		table.UpdateHostList(f.listed)
		f.events[name] = append(f.events[name], table.Tick(f.now)...)
		for _, target := range table.PingTargets() {
			f.pings++
			_, up := f.tables[target]
			if !up || f.partitioned(name, target) || f.rng.Float64() < f.loss {
				table.CallFailed(target)
				continue
			}
			f.deliver(target, name, true, f.report(name))
			f.deliver(name, target, true, f.report(target))
		}
	}
}

func (f *fleet) rounds(n int) {
	for range n {
		f.round()
	}
}

// killAndDetect kills a host and returns the number of rounds until all others
// have lost it, at most 60.
func (f *fleet) killAndDetect(host string) int {
	delete(f.tables, host)
	for round := 1; round < 60; round++ {
		f.round()
		lost := 0
		for _, table := range f.tables {
			if p, _ := table.Lookup(host); !p.alive {
				lost++
			}
		}
		if lost == len(f.tables) {
			return round
		}
	}
	return 60
}

func (f *fleet) countLost() int {
	n := 0
	for _, events := range f.events {
		for _, e := range events {
			if e.Kind == EventLost {
				n++
			}
		}
	}
	return n
}

// fleetSizes are the current number of entry hosts and the number to design for.
var fleetSizes = []int{8, 56}

// A dead host must be lost on all others within 16 s, the time within which a new
// configuration has to be in force.
func TestDeadHostIsLostEverywhere(t *testing.T) {
	for _, n := range fleetSizes {
		for seed := range uint64(5) {
			f := newFleet(n, DefaultOptions(), seed)
			f.loss = 0.05
			f.rounds(40)
			require.Zero(t, f.countLost(), "a live host was lost at %d hosts, seed %d", n, seed)
			require.Less(t, f.killAndDetect("entry-03"), 16, "%d hosts, seed %d", n, seed)
		}
	}
}

func TestZonePartitionAndRecovery(t *testing.T) {
	f := newFleet(56, DefaultOptions(), 1)
	f.rounds(30)
	zone := map[string]string{}
	for _, l := range f.listed {
		zone[l.Name] = l.Zone
	}
	f.partitioned = func(a, b string) bool { return (zone[a] == "z0") != (zone[b] == "z0") }
	f.rounds(16)
	for name, table := range f.tables {
		for _, p := range table.Peers() {
			same := (zone[name] == "z0") == (p.Zone == "z0")
			require.Equal(t, same, p.alive, "%s sees %s", name, p.Name)
		}
	}
	f.partitioned = func(_, _ string) bool { return false }
	f.rounds(16)
	for name, table := range f.tables {
		for _, p := range table.Peers() {
			require.True(t, p.alive, "%s sees %s", name, p.Name)
		}
	}
}

func TestHintReachesEveryHost(t *testing.T) {
	for _, n := range fleetSizes {
		f := newFleet(n, DefaultOptions(), 1)
		f.rounds(10)
		f.tables["entry-00"].AddHint(f.now, LeavingHint{Backend: "backend-1"})
		rounds := 0
		for reached := 0; reached < n && rounds < 20; rounds++ {
			f.round()
			reached = 0
			for _, table := range f.tables {
				reached += len(table.Hints(f.now))
			}
		}
		require.Less(t, rounds, 8, "%d hosts", n)
		f.rounds(40)
		for _, table := range f.tables {
			require.Empty(t, table.Hints(f.now), "hosts must not renew hints that they pass to each other")
		}
	}
}

// TestHostListAndEvidence checks how the host list and evidence are combined.
func TestHostListAndEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(inc string, uptime, age time.Duration) Report {
		return Report{Host: "b", Address: "b:1", Incarnation: ids.Incarnation(inc), Uptime: uptime, SincePeerLoss: -1, Age: age}
	}
	list := []ListedHost{{Name: "a"}, {Name: "b", Address: "b:2"}}
	cases := []struct {
		name  string
		do    func(tb *Table) []Event
		check func(t *testing.T, tb *Table, p Peer, known bool, events []Event)
	}{
		{
			"empty list is an outage",
			func(tb *Table) []Event { tb.UpdateHostList(list); tb.UpdateHostList(nil); return nil },
			func(t *testing.T, _ *Table, p Peer, _ bool, _ []Event) { require.True(t, p.Listed) },
		},
		{
			"evidence names a host that the list lacks",
			func(tb *Table) []Event { return tb.ReceiveReport(now, report("b~1", 0, 0), true) },
			func(t *testing.T, _ *Table, p Peer, _ bool, _ []Event) {
				require.True(t, p.Reachable)
				require.Equal(t, "b:1", p.Address)
			},
		},
		{
			"the list's address wins over a host's own",
			func(tb *Table) []Event {
				tb.UpdateHostList(list)
				return tb.ReceiveReport(now, report("b~1", 0, 0), true)
			},
			func(t *testing.T, _ *Table, p Peer, _ bool, _ []Event) { require.Equal(t, "b:2", p.Address) },
		},
		{
			"listed without any contact",
			func(tb *Table) []Event { tb.UpdateHostList(list); return tb.Tick(now) },
			func(t *testing.T, _ *Table, p Peer, known bool, _ []Event) {
				require.True(t, known)
				require.False(t, p.Reachable)
			},
		},
		{
			"a failed call makes a peer unreachable despite later passed-on evidence",
			func(tb *Table) []Event {
				tb.ReceiveReport(now, report("b~1", 0, 0), true)
				tb.CallFailed("b")
				return tb.ReceiveReport(now.Add(time.Second), report("b~1", time.Second, 0), false)
			},
			func(t *testing.T, _ *Table, p Peer, _ bool, _ []Event) { require.False(t, p.Reachable) },
		},
		{
			"a new incarnation proves that the old one has ended",
			func(tb *Table) []Event {
				tb.ReceiveReport(now, report("b~1", time.Minute, 0), true)
				return tb.ReceiveReport(now, report("b~2", 0, 0), true)
			},
			func(t *testing.T, tb *Table, p Peer, _ bool, events []Event) {
				require.Equal(t, EventReplaced, events[0].Kind)
				require.Equal(t, now, tb.LastPeerLoss())
				_, gone := tb.ReplacedAt("b~1")
				require.True(t, gone)
				require.Empty(t, tb.ReceiveReport(now, report("b~1", time.Hour, 0), true), "a late report of the old incarnation")
			},
		},
		{
			"passed-on evidence of an older incarnation is ignored",
			func(tb *Table) []Event {
				tb.ReceiveReport(now, report("b~2", time.Second, 0), true)
				return tb.ReceiveReport(now, report("b~1", time.Hour, time.Second), false)
			},
			func(t *testing.T, _ *Table, p Peer, _ bool, events []Event) {
				require.Empty(t, events)
				require.EqualValues(t, "b~2", p.Incarnation)
			},
		},
		{
			"passed-on evidence is no proof that a process has ended",
			func(tb *Table) []Event {
				tb.ReceiveReport(now, report("b~1", time.Minute, 0), true)
				return tb.ReceiveReport(now, report("b~2", 0, 0), false)
			},
			func(t *testing.T, tb *Table, _ Peer, _ bool, _ []Event) {
				_, gone := tb.ReplacedAt("b~1")
				require.False(t, gone)
				require.Equal(t, now, tb.LastPeerLoss())
			},
		},
		{
			"stale evidence does not revive a lost peer",
			func(tb *Table) []Event {
				tb.ReceiveReport(now, report("b~1", 0, 0), true)
				tb.Tick(now.Add(10 * time.Second))
				return tb.ReceiveReport(now.Add(10*time.Second), report("b~1", 0, 9*time.Second), false)
			},
			func(t *testing.T, _ *Table, p Peer, _ bool, events []Event) {
				require.Empty(t, events)
				require.False(t, p.Reachable)
			},
		},
		{
			"an unlisted peer without contact is removed",
			func(tb *Table) []Event {
				tb.ReceiveReport(now, report("b~1", 0, 0), true)
				return tb.Tick(now.Add(2 * time.Minute))
			},
			func(t *testing.T, _ *Table, _ Peer, known bool, _ []Event) { require.False(t, known) },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tb := New("a", DefaultOptions(), rand.New(rand.NewPCG(1, 1)))
			events := c.do(tb)
			p, known := tb.Lookup("b")
			c.check(t, tb, p, known, events)
		})
	}
}

// BenchmarkDetection reports the seconds until a dead host is lost everywhere, the
// false losses in 100 rounds with 10 % of the pings lost, and the traffic of each
// host.
func BenchmarkDetection(b *testing.B) {
	for _, n := range fleetSizes {
		for _, o := range []Options{
			{Fanout: 1, ReportsPerPing: 3, LivenessTimeout: 5 * time.Second},
			{Fanout: 1, ReportsPerPing: 3, LivenessTimeout: 8 * time.Second},
			{Fanout: 2, ReportsPerPing: 3, LivenessTimeout: 5 * time.Second},
			{Fanout: 2, ReportsPerPing: 3, LivenessTimeout: 8 * time.Second},
			{Fanout: 3, ReportsPerPing: 3, LivenessTimeout: 5 * time.Second},
		} {
			b.Run(fmt.Sprintf("hosts=%d/fanout=%d/evidence=%d/fresh=%s", n, o.Fanout, o.ReportsPerPing, o.LivenessTimeout), func(b *testing.B) {
				o.ForgetAfter = time.Minute
				worst, lost, reports, pings, heartbeats := 0, 0, 0, 0, 0
				for b.Loop() {
					for seed := range uint64(4) {
						f := newFleet(n, o, seed)
						f.loss = 0.1
						f.rounds(100)
						lost, reports, pings, heartbeats = lost+f.countLost(), f.reports, f.pings, f.heartbeats
						worst = max(worst, f.killAndDetect("entry-01"))
					}
				}
				b.ReportMetric(float64(worst), "worst-s")
				b.ReportMetric(float64(lost), "false-losses")
				b.ReportMetric(float64(2*pings)/float64(100*n), "exchanges/s")
				b.ReportMetric(float64(heartbeats)/float64(100*n), "beats/s")
				b.ReportMetric(float64(reports)/float64(100*n), "reports/s")
			})
		}
	}
}
