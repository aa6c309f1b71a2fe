package host

import "time"

// redialDelay is how long a host waits before it reopens a stream that has ended.
const redialDelay = 50 * time.Millisecond

// simStream is a stream between two hosts. Each end has its own view of whether it is
// open.
type simStream struct {
	number int
	// arrival is when the last frame that an end sent arrives: frames keep their order.
	arrival map[*simHost]time.Time
	// broken holds the ends of which a frame was lost: no later one arrives either.
	broken map[*simHost]bool
}

// simLink is one end of a stream as its host sees it.
type simLink struct {
	stream *simStream
	// heardAt is when a frame was last read.
	heardAt time.Time
}

// dial opens the streams of a host that it has no open end of. Of two hosts, the one with
// the smaller name dials.
func (w *world) dial(h *simHost) {
	for _, o := range w.hosts {
		if h.name >= o.name || h.links[o.name] != nil || w.now.Before(h.redialAt[o.name]) {
			continue
		}
		h.redialAt[o.name] = w.now.Add(redialDelay)
		if o.up && w.linked(h.name, o.name) && !w.now.Before(o.frozenUntil) {
			w.open(h, o)
		}
	}
}

// open opens a stream. The end that dialed sees it last.
func (w *world) open(h, o *simHost) {
	w.streams++
	s := &simStream{number: w.streams, arrival: map[*simHost]time.Time{}, broken: map[*simHost]bool{}}
	there := w.frameDelay(h, s)
	w.after(there, w.onFrom(o, h.name, func() { w.opened(o, h, s) }))
	back := there + w.delay()
	s.arrival[o] = w.now.Add(back)
	w.after(back, w.onFrom(h, o.name, func() { w.opened(h, o, s) }))
}

func (w *world) opened(h, o *simHost, s *simStream) {
	if old := h.links[o.name]; old != nil {
		if old.stream.number > s.number {
			return
		}
		w.closed(h, o, old.stream, "replaced by a newer stream")
	}
	h.links[o.name] = &simLink{stream: s, heardAt: w.now}
	h.core.HostReached(o.name)
}

// closed ends a stream at one end. The other end sees it a little later, unless the link
// is cut.
func (w *world) closed(h, o *simHost, s *simStream, why string) {
	l := h.links[o.name]
	if l == nil || l.stream != s {
		return
	}
	delete(h.links, o.name)
	h.redialAt[o.name] = w.now.Add(redialDelay)
	w.note("", "%s loses %s: %s, heard %v ago", h.name, o.name, why, w.now.Sub(l.heardAt))
	h.core.HostLost(w.now, o.name)
	w.notifyEnd(h, o, s)
}

// notifyEnd tells the host at the other end that a stream has ended.
func (w *world) notifyEnd(h, o *simHost, s *simStream) {
	if o.up && w.linked(h.name, o.name) {
		w.after(w.frameDelay(h, s), w.onFrom(o, h.name, func() { w.closed(o, h, s, "stream ended") }))
	}
}

// closeSilent closes the streams on which a host has read nothing for peerTimeout.
func (w *world) closeSilent(h *simHost) {
	for _, o := range w.hosts {
		if l := h.links[o.name]; l != nil && w.now.Sub(l.heardAt) > peerTimeout {
			w.closed(h, o, l.stream, "silent")
		}
	}
}

// endStream ends the stream of two hosts. Only the first sees it at once if oneSided; the
// other one learns it from the next stream, or because it hears nothing for peerTimeout.
func (w *world) endStream(h, o *simHost, oneSided bool) {
	l := h.links[o.name]
	if !h.up || l == nil {
		return
	}
	l.stream.broken[h], l.stream.broken[o] = true, true
	w.onFrom(h, o.name, func() {
		if oneSided {
			w.cuts[pair(h.name, o.name)]++
			w.after(time.Millisecond, func() { w.cuts[pair(h.name, o.name)]-- })
		}
		w.closed(h, o, l.stream, "stream ended")
	})()
}

// frameDelay returns the time until a frame that is sent now arrives.
func (w *world) frameDelay(h *simHost, s *simStream) time.Duration {
	arrival := w.now.Add(w.delay())
	if last := s.arrival[h]; arrival.Before(last) {
		arrival = last
	}
	s.arrival[h] = arrival
	return arrival.Sub(w.now)
}

// deliver sends a frame on the stream between two hosts; do handles it at the receiver.
// It reports whether the sender has such a stream.
func (w *world) deliver(from, to *simHost, do func()) bool {
	l := from.links[to.name]
	if l == nil {
		return false
	}
	s, sentAt, presentAt := l.stream, w.now, from.core.PresentAt(w.now)
	if !to.up || !w.linked(from.name, to.name) {
		s.broken[from] = true
		return true
	}
	delay := w.frameDelay(from, s)
	if s.broken[from] {
		return true
	}
	w.after(delay, w.onFrom(to, from.name, func() {
		l := to.links[from.name]
		if l == nil || l.stream != s {
			w.notifyEnd(to, from, s)
			return
		}
		l.heardAt = w.now
		to.core.HostHeard(from.name, sentAt)
		to.core.HostPresent(from.name, presentAt)
		do()
	}))
	return true
}
