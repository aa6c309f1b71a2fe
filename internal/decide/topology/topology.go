// Package topology decides which hosts keep a stream to each other. It does no
// I/O.
package topology

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// linksPerRemoteZone is how many hosts of each other zone a host chooses as
// peers. All hosts of a zone of at most that size are chosen; with larger zones
// the number of a host's streams grows only with its own zone.
const linksPerRemoteZone = 3

// Peers returns the hosts to which self keeps a stream, by name: all hosts of
// its zone, and those of other zones where either side chooses the other. Two
// hosts that know the same hosts agree on whether they are peers.
func Peers(self fleet.Host, hosts map[string]fleet.Host) map[string]fleet.Host {
	linked := map[string]fleet.Host{}
	zones := byZone(hosts, self)
	for zone, list := range zones {
		for _, h := range list {
			if h.Name == self.Name {
				continue
			}
			if zone == self.Zone || chooses(self, list, h) || chooses(h, zones[self.Zone], self) {
				linked[h.Name] = h
			}
		}
	}
	return linked
}

// byZone groups hosts by zone; self is always among them.
func byZone(hosts map[string]fleet.Host, self fleet.Host) map[string][]fleet.Host {
	zones := map[string][]fleet.Host{self.Zone: {self}}
	for _, h := range hosts {
		if h.Name != self.Name {
			zones[h.Zone] = append(zones[h.Zone], h)
		}
	}
	return zones
}

// chooses reports whether chooser selects h among the hosts of its zone, by
// rendezvous hashing.
func chooses(chooser fleet.Host, zone []fleet.Host, h fleet.Host) bool {
	if len(zone) <= linksPerRemoteZone {
		return true
	}
	ranked := slices.Clone(zone)
	slices.SortFunc(ranked, func(a, b fleet.Host) int {
		if c := cmp.Compare(weight(chooser.Name, a.Name), weight(chooser.Name, b.Name)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return slices.ContainsFunc(ranked[:linksPerRemoteZone], func(o fleet.Host) bool { return o.Name == h.Name })
}

func weight(chooser, host string) uint64 { return xxhash.Sum64String(chooser + " " + host) }
