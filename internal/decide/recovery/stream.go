// Package recovery holds the decisions that shorten the return to service after an
// outage. It does no I/O, starts no goroutine and reads no clock.
package recovery

import "github.com/parsleyhill/parsleyhill/internal/fleet"

// Stream tells which process of a peer an open stream leads to. The zero value is
// a stream that is not open.
type Stream struct {
	// incarnation is that of the process that answered, or empty.
	incarnation string
	// former is the incarnation in the peer's entry when that process answered. The
	// entry was older than the process if it differs.
	former string
}

// Answered records the process that answered while the peer had the given entry.
// Older hosts may send no incarnation.
func (s *Stream) Answered(entry fleet.Host, incarnation string) {
	*s = Stream{incarnation: incarnation, former: entry.Incarnation}
}

// Ended records the end of the stream.
func (s *Stream) Ended() { *s = Stream{} }

// Keep reports whether the stream still leads to the peer after its entry changed
// from old to changed: only the incarnation differs, and it is that of the process
// that answered, or the one that this process had already replaced.
func (s *Stream) Keep(old, changed fleet.Host) bool {
	if s.incarnation == "" || changed.Incarnation != s.incarnation && changed.Incarnation != s.former {
		return false
	}
	old.Incarnation = changed.Incarnation
	return old == changed
}
