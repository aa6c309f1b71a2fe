package topology

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

func testHosts(zones, perZone int) map[string]fleet.Host {
	hosts := map[string]fleet.Host{}
	for z := range zones {
		for i := range perZone {
			h := fleet.Host{Name: fmt.Sprintf("host-%d-%d", z, i), Zone: fmt.Sprintf("zone-%d", z)}
			hosts[h.Name] = h
		}
	}
	return hosts
}

// rankedChoice is the definition of a choice: the hosts of a zone sorted by
// weight and name, cut after linksPerRemoteZone.
func rankedChoice(chooser fleet.Host, hosts map[string]fleet.Host, zone string) []string {
	var names []string
	for _, h := range hosts {
		if h.Zone == zone {
			names = append(names, h.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(chooser.Name, a), weight(chooser.Name, b)), cmp.Compare(a, b))
	})
	return names[:min(len(names), linksPerRemoteZone)]
}

func TestPeersAreMutualAndFollowTheRanking(t *testing.T) {
	for _, perZone := range []int{1, 2, 3, 4, 9} {
		hosts := testHosts(3, perZone)
		for _, self := range hosts {
			peers := Peers(self, hosts)
			for _, h := range hosts {
				want := h.Name != self.Name && (h.Zone == self.Zone ||
					slices.Contains(rankedChoice(self, hosts, h.Zone), h.Name) ||
					slices.Contains(rankedChoice(h, hosts, self.Zone), self.Name))
				_, got := peers[h.Name]
				assert.Equal(t, want, got, "%d hosts a zone: %s and %s", perZone, self.Name, h.Name)
				_, back := Peers(h, hosts)[self.Name]
				assert.Equal(t, got, back, "%s and %s disagree", self.Name, h.Name)
			}
		}
	}
}

// A fleet of 147 hosts that starts together: each host decides on its peers once
// per announced host, so a decision must not sort or copy a zone for each host.
func TestPeersOfAFleetThatStartsTogether(t *testing.T) {
	hosts := testHosts(5, 30)
	self := hosts["host-0-0"]
	allocations := testing.AllocsPerRun(10, func() { Peers(self, hosts) })
	assert.Less(t, allocations, float64(len(hosts)), "less than one allocation a host")
}

func BenchmarkPeers(b *testing.B) {
	for _, perZone := range []int{5, 30, 175} {
		hosts := testHosts(5, perZone)
		self := hosts["host-0-0"]
		b.Run(fmt.Sprintf("hosts=%d", len(hosts)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Peers(self, hosts)
			}
		})
	}
}
