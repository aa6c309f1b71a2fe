// Package route chooses a backend server for a request. The selectors do no
// I/O, read no clock and draw random numbers from an injected source.
package route

import "time"

// Backend describes a backend server to the selectors.
type Backend struct {
	// Name is unique among the customer's servers.
	Name string
	// Zone is the availability zone.
	Zone string
	// Slots is how many requests the server runs concurrently.
	Slots int
	// Limit bounds the concurrent requests of one entry host on the server, for
	// example by its number of connections; 0 means Slots.
	Limit int
	// Weight scales the server's share of new requests; 0 gives it none.
	Weight float64
	// Excluded is set if this entry host has itself decided to send the server
	// no new requests, for example by an ejection. Entry hosts must agree on
	// the list and the weights to compute the same shares, but not on Excluded.
	Excluded bool
}

// limit returns how many requests this entry host may have on the server now.
func (b Backend) limit() int {
	if b.Weight <= 0 || b.Excluded {
		return 0
	}
	return b.maxConcurrent()
}

// maxConcurrent returns the bound on one entry host's concurrent requests on
// the server, whatever the server's weight and state.
func (b Backend) maxConcurrent() int {
	if b.Limit > 0 {
		return min(b.Limit, b.Slots)
	}
	return b.Slots
}

// Selector chooses backend servers and counts the slots in use. Selectors are
// not safe for concurrent use.
type Selector interface {
	// SetBackends replaces the servers that may get new requests. Slots in use
	// on a server that is no longer listed stay counted until released.
	SetBackends(now time.Time, backends []Backend)
	// Acquire takes a slot on a server that is not in skip and returns the
	// server's name. skip may be nil. Acquire returns false if no slot is free.
	Acquire(now time.Time, skip map[string]bool) (backend string, ok bool)
	// Release frees a slot that Acquire or Adopt took.
	Release(now time.Time, backend string)
	// Adopt counts a slot as in use for a request that was sent to the server
	// under another selector, even if none is free.
	Adopt(backend string)
	// Rule names the rule of the choice in decision records.
	Rule() string
}

// Observer is a Selector that uses the load that servers report with answers.
type Observer interface {
	Selector
	// Observe records the number of requests that a server held when it
	// answered, including the answered one.
	Observe(now time.Time, backend string, load int)
}
