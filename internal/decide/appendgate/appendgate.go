// Package appendgate decides which appends to the log of stored jobs may wait for
// their turn while the log does not answer. A submission that has not been sent can
// be refused as not accepted; one that was sent without an answer cannot.
package appendgate

// awayAfter is the number of consecutive failed appends after which the log counts
// as away. A single lost answer must not refuse the submissions behind it.
const awayAfter = 2

// Gate follows the results of a host's appends, which are sent one at a time. It is
// not safe for concurrent use. The zero value is ready to use.
type Gate struct {
	failures int
	inFlight bool
}

// Sent records that an append was sent.
func (g *Gate) Sent() { g.inFlight = true }

// Succeeded records that the last append was answered.
func (g *Gate) Succeeded() { g.failures, g.inFlight = 0, false }

// Failed records that the last append failed or was not answered. It reports whether
// the submissions that wait behind it should be refused.
func (g *Gate) Failed() bool {
	g.failures++
	g.inFlight = false
	return g.Away()
}

// Away reports whether the log counts as away.
func (g *Gate) Away() bool { return g.failures >= awayAfter }

// MayWait reports whether a submission may wait to be sent behind a number of waiting
// appends. While the log is away, a submission is sent only if nothing else would
// show that the log is back.
func (g *Gate) MayWait(waiting int) bool {
	return !g.Away() || waiting == 0 && !g.inFlight
}
