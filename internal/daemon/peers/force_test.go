package peers

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/platform"
	standinplatform "github.com/parsleyhill/parsleyhill/internal/standin/platform"
)

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
