package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"time"
)

// takeover identifies a takeover of a shard.
type takeover struct {
	number     int
	generation int64
}

// taker is a process that has taken a shard over. Takeovers and generation are those of its
// last takeover that was read.
type taker struct {
	host       string
	nonce      int64
	takeovers  int
	generation int64
	// former is the last takeover before that one under which the process has driven the shard.
	former takeover
	// handover is the last complete handover, and incoming one of which parts are missing.
	handover, incoming handover
}

// hasLeft reports whether the process has handed its last takeover over.
func (t *taker) hasLeft() bool { return t.handover.complete && t.handover.takeovers >= t.takeovers }

// hadLeft reports whether the process, which has the shard in a later generation than the given
// one, has handed over what it drove before that generation, or came before a handover.
func (t *taker) hadLeft(h *handover, generation int64) bool {
	f := t.former
	switch {
	case f.number == 0:
		return true
	case f.generation >= generation:
		// It has driven the shard after that generation. Whether it did before is not known.
		return false
	}
	return t.handover.complete && t.handover.takeovers >= f.number || h.covers(f.number, f.generation)
}

// covers reports whether a process that recorded the handover may begin only once a takeover
// with the given number and generation had ended: it came before its own.
func (h *handover) covers(takeovers int, generation int64) bool {
	return takeovers < h.takeovers && generation < h.generation
}

// taker returns the state of a process.
func (s *shard) taker(nonce int64, host string) *taker {
	t := s.takers[nonce]
	if t == nil {
		t = &taker{host: host, nonce: nonce}
		s.takers[nonce] = t
	}
	return t
}

// takenOver applies a takeover. One of a lower number is late: its process has requested
// another one since.
func (l *Ledger) takenOver(now time.Time, e TakenOver) {
	n := e.Shard % len(l.shards)
	s := l.shards[n]
	s.takeovers = max(s.takeovers, e.Takeovers)
	if e.Nonce == 0 {
		return
	}
	if t := s.taker(e.Nonce, e.Host); e.Takeovers > t.takeovers {
		t.takeovers, t.generation = e.Takeovers, e.Generation
		t.former = takeover{e.FormerTakeovers, e.FormerGeneration}
		l.emit(LogEvent{Message: "shard takeover read", Shard: n, Why: fmt.Sprintf("number %d, generation %d, of %s", e.Takeovers, e.Generation, e.Host)})
	}
	if e.Nonce == l.cfg.Nonce {
		s.newestRecord = e.Takeovers
		if e.Takeovers > s.recorded.Takeovers {
			s.recorded = e
		}
	}
	if s.takenAt.IsZero() && e.Nonce == l.cfg.Nonce && e.Takeovers == s.ownTakeover {
		s.takenAt = now
		if s.driving {
			s.driveUnderOwnTakeover()
		}
	}
}

// renewRecords records the last takeover of this process again where a late append has made an
// earlier one the newest record. Hosts that start read only the newest record of each host.
func (l *Ledger) renewRecords() {
	for n, s := range l.shards {
		if s.newestRecord == s.recorded.Takeovers {
			continue
		}
		l.emit(LogEvent{Message: "shard takeover recorded again", Shard: n, Why: fmt.Sprintf("number %d was recorded after number %d", s.newestRecord, s.recorded.Takeovers)})
		l.emit(AppendEntries{[]Entry{s.recorded}})
		s.newestRecord = s.recorded.Takeovers
	}
}

// lastHandover returns the handover with the highest number before the present assignment,
// or nil.
func (s *shard) lastHandover() *handover {
	var last *handover
	for _, t := range s.takers {
		h := &t.handover
		if !h.complete || h.generation >= s.generation {
			continue
		}
		if last == nil || cmp.Or(cmp.Compare(h.takeovers, last.takeovers), cmp.Compare(h.generation, last.generation)) > 0 {
			last = h
		}
	}
	return last
}

// isPreceded reports whether a handover is certainly that of the last process that had the
// shard before this host: every other one has left or came before it. Late appends may let a
// process with a lower number come later; then nothing is certain.
func (l *Ledger) isPreceded(s *shard, h *handover) bool {
	if !l.asOf.After(s.abandonedUntil) && !h.covers(s.abandoned.number, s.abandoned.generation) {
		return false
	}
	if h.generation == 0 || s.unknownTaker || s.takeovers > s.knownTakeovers() {
		return false
	}
	for _, t := range s.takers {
		own := t.nonce == l.cfg.Nonce
		switch {
		case h == &t.handover && t.takeovers < h.takeovers:
			// Its takeover has not been read.
			return false
		case !own && t.generation > s.generation:
			// It has the shard after this host, and may have had it before.
			if !t.hadLeft(h, s.generation) {
				return false
			}
		case t.handover.complete && t.handover.generation > h.generation:
			return false
		case own:
			continue
		case t.takeovers >= s.ownTakeover:
			return false
		case !t.hasLeft() && !h.covers(t.takeovers, t.generation):
			return false
		}
	}
	return true
}

// knownTakeovers returns the highest number of a takeover whose process is known.
func (s *shard) knownTakeovers() int {
	highest := 0
	for _, t := range s.takers {
		highest = max(highest, t.takeovers)
	}
	return highest
}

// hasDrivenSince reports whether this host has driven the shard after a handover, whose lists
// are outdated then.
func (s *shard) hasDrivenSince(h *handover) bool { return s.driven.number > h.takeovers }

// isSuperseded reports whether another process has the shard in a later generation. It may be
// driving: the takeover of this host was not in the log when it began.
func (l *Ledger) isSuperseded(s *shard) bool {
	for _, t := range s.takers {
		if t.nonce != l.cfg.Nonce && t.generation > s.generation {
			return true
		}
	}
	return false
}

// isRead reports whether this host's last takeover and all that precedes it in the log have
// been read.
func (l *Ledger) isRead(s *shard) bool { return !s.takenAt.IsZero() && l.asOf.After(s.takenAt) }

// precedingHandover returns the handover after which this host may drive the shard, or nil
// if none is certain.
func (l *Ledger) precedingHandover(s *shard) *handover {
	h := s.lastHandover()
	if h == nil || !l.isRead(s) || !l.asOf.After(h.readAt) || !l.isPreceded(s, h) {
		return nil
	}
	return h
}

// formerTakeovers is how many takeovers back processes are remembered that came before one that
// has driven the shard and has handed it over. Their entries may still be read again.
const formerTakeovers = 100

// dropCovered forgets the processes that came long before a handover, and the runs of those
// that came before.
func (s *shard) dropCovered(h *handover, self int64) {
	if h.wait > 0 {
		return
	}
	maps.DeleteFunc(s.takers, func(nonce int64, t *taker) bool {
		if !h.covers(max(t.takeovers, t.handover.takeovers), max(t.generation, t.handover.generation)) {
			return false
		}
		t.handover.parts, t.incoming.parts = nil, nil
		return nonce != self && t.takeovers < h.takeovers-formerTakeovers
	})
}
