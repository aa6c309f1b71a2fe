// Package topology decides which hosts keep a stream to each other. It does no
// I/O.
package topology

import (
	"github.com/cespare/xxhash/v2"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// linksPerRemoteZone is how many hosts of each other zone a host chooses as
// peers. All hosts of a zone of at most that size are chosen; with larger zones
// the number of a host's streams grows only with its own zone. With two, the loss
// of one peer does not separate a host from a zone.
const linksPerRemoteZone = 2

// Peers returns the hosts to which self keeps a stream, by name: all hosts of
// its zone, and those of other zones where either side chooses the other. Two
// hosts that know the same hosts agree on whether they are peers. No zone is
// sorted, because a starting host calls this once per host of the fleet.
func Peers(self fleet.Host, hosts map[string]fleet.Host) map[string]fleet.Host {
	zones := byZone(hosts, self)
	linked := map[string]fleet.Host{}
	for zone, list := range zones {
		if zone == self.Zone {
			addHosts(linked, list)
			continue
		}
		addHosts(linked, chosen(self, list))
		for _, h := range list {
			if chooses(h, zones[self.Zone], self) {
				linked[h.Name] = h
			}
		}
	}
	delete(linked, self.Name)
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

func addHosts(set map[string]fleet.Host, hosts []fleet.Host) {
	for _, h := range hosts {
		set[h.Name] = h
	}
}

// chosen returns the hosts of a zone that chooser selects, by rendezvous
// hashing: those of the lowest rank.
func chosen(chooser fleet.Host, zone []fleet.Host) []fleet.Host {
	var lowest []ranked
	for _, h := range zone {
		lowest = insert(lowest, ranked{host: h, weight: weight(chooser.Name, h.Name)})
	}
	hosts := make([]fleet.Host, len(lowest))
	for i, r := range lowest {
		hosts[i] = r.host
	}
	return hosts
}

// chooses reports whether chooser selects h among the hosts of its zone. It stops
// as soon as enough other hosts rank lower.
func chooses(chooser fleet.Host, zone []fleet.Host, h fleet.Host) bool {
	own := ranked{host: h, weight: weight(chooser.Name, h.Name)}
	lower := 0
	for _, other := range zone {
		if other.Name == h.Name {
			continue
		}
		if (ranked{host: other, weight: weight(chooser.Name, other.Name)}).before(own) {
			lower++
		}
		if lower >= linksPerRemoteZone {
			return false
		}
	}
	return true
}

// ranked is a host with its weight for one chooser.
type ranked struct {
	host   fleet.Host
	weight uint64
}

func (r ranked) before(other ranked) bool {
	if r.weight != other.weight {
		return r.weight < other.weight
	}
	return r.host.Name < other.host.Name
}

// insert adds r to a sorted list of at most linksPerRemoteZone hosts if it ranks
// among them.
func insert(list []ranked, r ranked) []ranked {
	at := len(list)
	for at > 0 && r.before(list[at-1]) {
		at--
	}
	if at >= linksPerRemoteZone {
		return list
	}
	list = append(list, ranked{})
	copy(list[at+1:], list[at:])
	list[at] = r
	return list[:min(len(list), linksPerRemoteZone)]
}

func weight(chooser, host string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{chooser, " ", host} {
		// WriteString of a digest always succeeds.
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}
