// Package peers tracks the other entry hosts. It contains clients and handlers
// of the peer protocol for membership, configuration, host lists, jobs and
// decision records.
package peers

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Peer is the last known state of another entry host.
type Peer struct {
	// Host is the peer's name.
	Host string
	// Zone is the peer's availability zone.
	Zone string
	// Incarnation is the last known one, or empty before the first contact.
	Incarnation ids.Incarnation
	// URL is the base URL of the peer protocol, or empty while no address is
	// known.
	URL string
	// Leaving is set when the peer is stopping.
	Leaving bool
	// Reachable is set while the peer counts as alive and the last call to it
	// did not fail.
	Reachable bool
	// SilentFor is the time since the last contact with the peer, directly or
	// through other hosts. It is negative if there was none.
	SilentFor time.Duration
	// Version is the configuration version that the peer last reported.
	Version int64
}

// Directory lists the other entry hosts.
type Directory interface {
	// Peers returns all peers known from the host list or from direct contact,
	// reachable or not, sorted by name.
	Peers() []Peer
	// Lookup returns the peer with the name, and whether it is known.
	Lookup(host string) (Peer, bool)
}
