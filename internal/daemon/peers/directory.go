// Package peers knows the other entry hosts and serves the protocol between
// them.
package peers

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Peer is one other entry host as last seen.
type Peer struct {
	// Host is the peer's name.
	Host string
	// Zone is the peer's availability zone.
	Zone string
	// Incarnation is the last one seen, or empty before the first contact.
	Incarnation ids.Incarnation
	// URL is the base URL of the peer protocol, or empty while no address is
	// known.
	URL string
	// Leaving is set when the peer is stopping.
	Leaving bool
	// Reachable is set while the peer is heard of and answers.
	Reachable bool
	// Silent is the time since the peer was heard of; negative if it never
	// was.
	SilentFor time.Duration
	// Version is the configuration version that the peer last reported.
	Version int64
}

// Directory lists the other entry hosts.
type Directory interface {
	// Peers returns all peers that the host list or direct evidence names,
	// reachable or not, sorted by name.
	Peers() []Peer
	// Lookup returns the peer with the name.
	Lookup(host string) (Peer, bool)
}
