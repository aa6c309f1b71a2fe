package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// fleet runs tables against each other in rounds of a second.
type fleet struct {
	now    time.Time
	rng    *rand.Rand
	names  []string
	listed []ListedHost
	tables map[string]*Table
	starts map[string]time.Time
	// loss is the share of pings that are lost.
	loss float64
	// cut reports whether two hosts cannot talk.
	cut    func(a, b string) bool
	events map[string][]Event
	pings  int
	// told counts the reports of third hosts.
	told int
	// beats counts the short evidence.
	beats int
}

func newFleet(n int, opts Options, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 2)), tables: map[string]*Table{},
		starts: map[string]time.Time{}, cut: func(_, _ string) bool { return false }, events: map[string][]Event{},
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

func (f *fleet) hear(at, from string, direct bool, r Report) {
	f.events[at] = append(f.events[at], f.tables[at].ReceiveReport(f.now, r, direct)...)
	for _, o := range f.tables[from].PeerReports(f.now) {
		f.told++
		f.events[at] = append(f.events[at], f.tables[at].ReceiveReport(f.now, o, false)...)
	}
	for _, b := range f.tables[from].Heartbeats(f.now) {
		f.beats++
		f.events[at] = append(f.events[at], f.tables[at].ReceiveHeartbeat(f.now, b)...)
	}
	for _, h := range f.tables[from].Hints(f.now) {
		f.tables[at].AddHint(f.now, h)
	}
}

// round lets every host ping once, spread over a second.
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
			if !up || f.cut(name, target) || f.rng.Float64() < f.loss {
				table.CallFailed(target)
				continue
			}
			f.hear(target, name, true, f.report(name))
			f.hear(name, target, true, f.report(target))
		}
	}
}

func (f *fleet) rounds(n int) {
	for range n {
		f.round()
	}
}

// detect kills a host and returns the rounds until all others have lost it.
func (f *fleet) detect(host string) int {
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

func (f *fleet) lost() int {
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

// sizes are the entry hosts of today and of the size to design for.
var sizes = []int{8, 56}

// TestDeadHostIsLostEverywhere bounds the detection by the 16 s in which a
// configuration has to be in force.
func TestDeadHostIsLostEverywhere(t *testing.T) {
	for _, n := range sizes {
		for seed := range uint64(5) {
			f := newFleet(n, DefaultOptions(), seed)
			f.loss = 0.05
			f.rounds(40)
			require.Zero(t, f.lost(), "a live host was lost at %d hosts, seed %d", n, seed)
			require.Less(t, f.detect("entry-03"), 16, "%d hosts, seed %d", n, seed)
		}
	}
}

func TestCutZoneAndHealing(t *testing.T) {
	f := newFleet(56, DefaultOptions(), 1)
	f.rounds(30)
	zone := map[string]string{}
	for _, l := range f.listed {
		zone[l.Name] = l.Zone
	}
	f.cut = func(a, b string) bool { return (zone[a] == "z0") != (zone[b] == "z0") }
	f.rounds(16)
	for name, table := range f.tables {
		for _, p := range table.Peers() {
			same := (zone[name] == "z0") == (p.Zone == "z0")
			require.Equal(t, same, p.alive, "%s sees %s", name, p.Name)
		}
	}
	f.cut = func(_, _ string) bool { return false }
	f.rounds(16)
	for name, table := range f.tables {
		for _, p := range table.Peers() {
			require.True(t, p.alive, "%s sees %s", name, p.Name)
		}
	}
}

func TestHintReachesEveryHost(t *testing.T) {
	for _, n := range sizes {
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
			require.Empty(t, table.Hints(f.now), "hints must not keep each other alive")
		}
	}
}

// TestSources checks the host list against evidence, case by case.
func TestSources(t *testing.T) {
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
			"listed but never heard of",
			func(tb *Table) []Event { tb.UpdateHostList(list); return tb.Tick(now) },
			func(t *testing.T, _ *Table, p Peer, known bool, _ []Event) {
				require.True(t, known)
				require.False(t, p.Reachable)
			},
		},
		{
			"a failed call makes it unreachable, passed-on evidence does not mend that",
			func(tb *Table) []Event {
				tb.ReceiveReport(now, report("b~1", 0, 0), true)
				tb.CallFailed("b")
				return tb.ReceiveReport(now.Add(time.Second), report("b~1", time.Second, 0), false)
			},
			func(t *testing.T, _ *Table, p Peer, _ bool, _ []Event) { require.False(t, p.Reachable) },
		},
		{
			"a new incarnation proves that the old one is gone",
			func(tb *Table) []Event {
				tb.ReceiveReport(now, report("b~1", time.Minute, 0), true)
				return tb.ReceiveReport(now, report("b~2", 0, 0), true)
			},
			func(t *testing.T, tb *Table, p Peer, _ bool, events []Event) {
				require.Equal(t, EventReplaced, events[0].Kind)
				require.Equal(t, now, tb.LastPeerLoss())
				_, gone := tb.ReplacedAt("b~1")
				require.True(t, gone)
				require.Empty(t, tb.ReceiveReport(now, report("b~1", time.Hour, 0), true), "a late word of the old one")
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
			"passed-on evidence is no proof that a process is gone",
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
			"stale evidence brings nobody back",
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
			"neither listed nor heard of is forgotten",
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

// BenchmarkDetection prints the rounds of a second until a dead host is lost
// everywhere, and false losses in 100 rounds at a tenth of the pings lost.
func BenchmarkDetection(b *testing.B) {
	for _, n := range sizes {
		for _, o := range []Options{
			{Fanout: 1, ReportsPerPing: 3, LivenessTimeout: 5 * time.Second},
			{Fanout: 1, ReportsPerPing: 3, LivenessTimeout: 8 * time.Second},
			{Fanout: 2, ReportsPerPing: 3, LivenessTimeout: 5 * time.Second},
			{Fanout: 2, ReportsPerPing: 3, LivenessTimeout: 8 * time.Second},
			{Fanout: 3, ReportsPerPing: 3, LivenessTimeout: 5 * time.Second},
		} {
			b.Run(fmt.Sprintf("hosts=%d/fanout=%d/evidence=%d/fresh=%s", n, o.Fanout, o.ReportsPerPing, o.LivenessTimeout), func(b *testing.B) {
				o.ForgetAfter = time.Minute
				worst, lost, told, pings, beats := 0, 0, 0, 0, 0
				for b.Loop() {
					for seed := range uint64(4) {
						f := newFleet(n, o, seed)
						f.loss = 0.1
						f.rounds(100)
						lost, told, pings, beats = lost+f.lost(), f.told, f.pings, f.beats
						worst = max(worst, f.detect("entry-01"))
					}
				}
				b.ReportMetric(float64(worst), "worst-s")
				b.ReportMetric(float64(lost), "false-losses")
				b.ReportMetric(float64(2*pings)/float64(100*n), "exchanges/s")
				b.ReportMetric(float64(beats)/float64(100*n), "beats/s")
				b.ReportMetric(float64(told)/float64(100*n), "reports/s")
			})
		}
	}
}
