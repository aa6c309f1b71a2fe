// Package links decides which hosts keep a stream to each other. It is pure.
package topology

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// farLinks is how many hosts of each other zone a host chooses to exchange
// work with. Zones of that size are linked in full; beyond it the links of a
// host grow with its own zone alone.
const farLinks = 3

// To returns the hosts that self keeps a stream to: all of its zone, and
// of each other zone those that either side chooses. Hosts with the same view
// agree on each pair.
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

// byZone lists the hosts, with self, by zone.
func byZone(hosts map[string]fleet.Host, self fleet.Host) map[string][]fleet.Host {
	zones := map[string][]fleet.Host{self.Zone: {self}}
	for _, h := range hosts {
		if h.Name != self.Name {
			zones[h.Zone] = append(zones[h.Zone], h)
		}
	}
	return zones
}

// chooses reports whether a host chooses another of a zone's hosts, by
// rendezvous hashing.
func chooses(chooser fleet.Host, zone []fleet.Host, h fleet.Host) bool {
	if len(zone) <= farLinks {
		return true
	}
	ranked := slices.Clone(zone)
	slices.SortFunc(ranked, func(a, b fleet.Host) int {
		if c := cmp.Compare(weight(chooser.Name, a.Name), weight(chooser.Name, b.Name)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return slices.ContainsFunc(ranked[:farLinks], func(o fleet.Host) bool { return o.Name == h.Name })
}

func weight(chooser, host string) uint64 { return xxhash.Sum64String(chooser + " " + host) }
