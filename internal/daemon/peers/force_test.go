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
		for _, h := range f.hostsInFirstZone(true) {
			in[h.name] = true
		}
		return in
	}
	cases := []struct {
		name      string
		partition func(f *fleet) func(a, b string) bool
	}{
		{"all hosts reach the log", func(*fleet) func(a, b string) bool { return func(_, _ string) bool { return false } }},
		{"one zone partitioned from the log", func(f *fleet) func(a, b string) bool {
			in := inZone(f)
			return func(a, b string) bool { return b == "log" && in[a] }
		}},
		{"only one host reaches the log", func(f *fleet) func(a, b string) bool {
			last := f.hosts[len(f.hosts)-1].name
			return func(a, b string) bool { return b == "log" && a != last }
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachSize(t, fleetSizes, func(t *testing.T, f *fleet) {
				f.setPartition(c.partition(f))
				sleep(10 * time.Second)
				took := f.waitInForce(f.appendChange(), f.hosts)
				t.Logf("in force on %d hosts after %s of virtual time", len(f.hosts), took)
			})
		})
	}
}

func TestPartitionedZoneKeepsItsVersionAndCatchesUp(t *testing.T) {
	forEachSize(t, fleetSizes[:1], func(t *testing.T, f *fleet) {
		in := map[string]bool{}
		for _, h := range f.hostsInFirstZone(true) {
			in[h.name] = true
		}
		f.setPartition(func(a, b string) bool { return in[a] != in[b] })
		before := f.hosts[0].config.State().Version
		version := f.appendChange()
		f.waitInForce(version, f.hostsInFirstZone(false))
		sleep(time.Minute)
		for _, h := range f.hostsInFirstZone(true) {
			require.Equal(t, before, h.config.State().Version)
			require.Greater(t, h.config.LogAge(time.Now()), 30*time.Second, "the age of the view must be reported")
		}
		f.setPartition(func(_, _ string) bool { return false })
		f.waitInForce(version, f.hosts)
	})
}

func TestHostReplacedWhileLogIsUnavailable(t *testing.T) {
	forEachSize(t, fleetSizes[:1], func(t *testing.T, f *fleet) {
		version := f.hosts[0].config.State().Version
		f.setPartition(func(_, b string) bool { return b == "log" })
		f.hosts[1].stop()
		f.hosts[1] = f.start("entry-1")
		f.waitInForce(version, f.hosts)
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
		f.waitInForce(0, f.hosts)
		f.waitInForce(f.appendChange(), f.hosts)
		f.setPartition(func(_, _ string) bool { return true })
		f.hosts[1].stop()
		f.hosts[1] = f.start("entry-1")
		sleep(time.Minute)
		require.Nil(t, f.hosts[1].config.State())
	})
}

// TestLogFaults checks that no host reverts to an older configuration when the
// log trims or loses records and a host is then replaced.
func TestLogFaults(t *testing.T) {
	cases := []struct {
		name string
		// fault is called once version 3 is in force on all hosts; afterwards
		// entry-1 is replaced.
		fault func(f *fleet)
		// partitionPeers partitions the new host from its peers, and
		// partitionLog the other hosts from the log.
		partitionPeers, partitionLog bool
		ready                        bool
		blocked                      bool
	}{
		{"all records trimmed, peers have the configuration", func(f *fleet) { f.trimAll() }, false, false, true, false},
		{"all records trimmed, no peers, no other host reaches the log", func(f *fleet) { f.trimAll() }, true, true, false, true},
		{"all records trimmed, no peers, others publish a snapshot", func(f *fleet) { f.trimAll() }, true, false, true, false},
		{"all records lost, peers have the configuration", func(f *fleet) { f.loseRecords() }, false, false, true, true},
		{"snapshot published before trimming, no peers", func(f *fleet) { sleep(11 * time.Minute); f.trim(2) }, true, false, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				f.waitInForce(0, f.hosts)
				f.waitInForce(f.appendChange(), f.hosts)
				f.waitInForce(f.appendChange(), f.hosts)
				f.waitInForce(f.appendChange(), f.hosts)
				f.hosts[1].stop()
				f.setPartition(func(a, b string) bool {
					if b == "log" {
						return c.partitionLog && a != "entry-1"
					}
					return c.partitionPeers && (a == "entry-1" || b == "entry-1")
				})
				c.fault(f)
				f.hosts[1] = f.start("entry-1")
				sleep(propagationLimit)
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

// trimAll trims every record but an empty one.
func (f *fleet) trimAll() { f.trim(1) }

// trim appends an empty record and trims all but the newest retain records.
func (f *fleet) trim(retain int) {
	_, err := f.log.Append(f.t.Context(), platform.StreamConfig, [][]byte{[]byte("{}")})
	require.NoError(f.t, err)
	sleep(time.Second)
	f.log.SetFaults(standinplatform.Faults{Retain: retain})
	f.log.SetFaults(standinplatform.Faults{})
}

// loseRecords replaces the log with an empty one.
func (f *fleet) loseRecords() { f.log.DeleteAll() }
