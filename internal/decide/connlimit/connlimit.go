// Package connlimit decides which connection of a full server is closed.
package connlimit

import (
	"net/netip"
	"time"
)

// Phase is what a server's connection is used for.
type Phase int32

// The phases of a connection.
const (
	// Waiting means that no byte of a request has been read.
	Waiting Phase = iota
	// Receiving means that a part of a request has been read.
	Receiving
	// Serving means that a whole request has been read and not yet been answered.
	Serving
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	switch p {
	case Waiting:
		return "waiting"
	case Receiving:
		return "receiving"
	case Serving:
		return "serving"
	default:
		return "closed"
	}
}

// BlockedWrite is how long the client of a connection must not have read for its
// answer to count as undeliverable while the server is full.
const BlockedWrite = time.Second

// Conn is an open connection.
type Conn struct {
	Address netip.Addr
	Phase   Phase
	// Since is when the connection began to wait or to receive, from an arbitrary
	// origin.
	Since time.Duration
	// Blocked is how long the current write has waited for the client.
	Blocked time.Duration
}

// closable reports whether closing the connection cuts off no answer that the client
// would read.
func (c Conn) closable() bool { return c.Phase != Serving || c.Blocked >= BlockedWrite }

// Chooser chooses connections. It keeps its scratch memory between calls and is not
// safe for concurrent use.
type Chooser struct{ counts map[netip.Addr]int }

// Choose returns the index of the connection to close: of the address that has most
// connections without a whole request, the one that has waited or received longest.
// It returns -1 if each connection has a request in work.
func (c *Chooser) Choose(conns []Conn) int {
	if c.counts == nil {
		c.counts = map[netip.Addr]int{}
	}
	clear(c.counts)
	for _, conn := range conns {
		if conn.closable() {
			c.counts[conn.Address]++
		}
	}
	chosen, most := -1, 0
	for i, conn := range conns {
		if !conn.closable() {
			continue
		}
		count := c.counts[conn.Address]
		if count > most || count == most && conn.Since < conns[chosen].Since {
			chosen, most = i, count
		}
	}
	return chosen
}
