// Package route chooses a backend server for a request. The selectors are
// pure: they do no I/O, read no clock and draw randomness from an injected
// source.
package route

import "time"

// Backend is a backend server as the selectors see it.
type Backend struct {
	// Name is unique among the customer's servers.
	Name string
	// Zone is the availability zone.
	Zone string
	// Slots is how many requests the server runs at once.
	Slots int
	// Limit bounds the requests of this entry host at once on the server, such
	// as by its connections; 0 means Slots.
	Limit int
	// Weight scales the server's share of new work; 0 gives it none.
	Weight float64
	// Out is set if this host gives the server no new work by its own evidence,
	// such as an ejection. Entry hosts must agree on the list and the weights
	// to agree on shares, but not on Out.
	Excluded bool
}

// limit returns how many requests one entry host may have on the server.
func (b Backend) limit() int {
	if b.Weight <= 0 || b.Excluded {
		return 0
	}
	return b.connections()
}

// connections returns the bound on this host's requests on the server.
func (b Backend) connections() int {
	if b.Limit > 0 {
		return min(b.Limit, b.Slots)
	}
	return b.Slots
}

// Selector chooses backend servers and counts the slots in use. A selector is
// not safe for concurrent use.
type Selector interface {
	// SetBackends replaces the servers that may get new work. Slots in use on
	// a server that is no longer listed stay counted until released.
	SetBackends(now time.Time, backends []Backend)
	// Acquire takes a slot on a server that is not in skip, which may be nil.
	// It returns false if no slot is free.
	Acquire(now time.Time, skip map[string]bool) (backend string, ok bool)
	// Release gives a slot back.
	Release(now time.Time, backend string)
	// Adopt counts a request that another selector had sent to the server.
	Adopt(backend string)
	// Rule describes the choice for decision records.
	Rule() string
}

// Observer is a Selector that learns from answers.
type Observer interface {
	Selector
	// Observe takes the number of requests that a server held when it
	// answered, the answered one included.
	Observe(now time.Time, backend string, load int)
}
