package httpserve

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/connlimit"
)

// Conns limits the open connections of an HTTP server. When the limit is exceeded, it
// closes the connection that connlimit chooses, or the new one if there is no choice.
type Conns struct {
	limit int
	// origin is the origin of the times of connections, which are all positive.
	origin time.Time
	// report is called for each connection that the limit closes.
	report func()
	// OnUnanswered, if set, is called for each connection that this side closes although
	// a request has arrived on it, in part or as a whole, that was not answered.
	OnUnanswered func(Unanswered)
	// settled is signalled when a connection was closed or has read a part of a request.
	settled chan struct{}
	// stopping is set once the server stops.
	stopping atomic.Bool

	mu      sync.Mutex
	open    map[*conn]struct{}
	chooser connlimit.Chooser
	// candidates and described are scratch memory, with one entry a connection.
	candidates []*conn
	described  []connlimit.Conn
}

// NewConns returns a limit on the number of open connections; zero means no limit. It
// calls report each time it closes one.
func NewConns(limit int, report func()) *Conns {
	return &Conns{
		limit: limit, origin: time.Now().Add(-time.Nanosecond), report: report,
		open: map[*conn]struct{}{}, settled: make(chan struct{}, 1),
	}
}

// Open returns the number of open connections.
func (c *Conns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Phases returns the number of open connections in each phase.
func (c *Conns) Phases() (waiting, receiving, serving int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		switch connlimit.Phase(conn.phase.Load()) {
		case connlimit.Waiting:
			waiting++
		case connlimit.Receiving:
			receiving++
		case connlimit.Serving:
			serving++
		}
	}
	return waiting, receiving, serving
}

// track applies the limit to a server and its listener, and returns the listener to
// serve.
func (c *Conns) track(server *http.Server, listener net.Listener) *limitedListener {
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
	next := server.ConnState
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if conn, ok := nc.(*conn); ok && state == http.StateIdle {
			conn.enter(connlimit.Waiting)
		}
		if next != nil {
			next(nc, state)
		}
	}
	server.Handler = trackRequests(server.Handler)
	return &limitedListener{Listener: listener, conns: c}
}

func (c *Conns) now() time.Duration { return time.Since(c.origin) }

// add tracks a new connection. If the limit is exceeded, it ends others, or returns nil if
// it cannot.
func (c *Conns) add(nc net.Conn) *conn {
	added := &conn{Conn: nc, conns: c}
	if tcp, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		added.address = tcp.AddrPort().Addr()
	}
	added.since.Store(int64(c.now()))
	victims, admitted := c.insert(added)
	for _, v := range victims {
		c.report()
		v.conn.endAtLimit(v.phase)
	}
	c.waitSettled(victims)
	if !admitted {
		c.report()
		return nil
	}
	return added
}

// settleTime bounds how long no connection is accepted because others have not yet ended
// at the limit.
const settleTime = 100 * time.Millisecond

// signalSettled wakes waitSettled.
func (c *Conns) signalSettled() {
	select {
	case c.settled <- struct{}{}:
	default:
	}
}

// waitSettled waits until the victims have ended, or go on with a request that has arrived.
// Otherwise a crowd of clients would be accepted faster than the connections end.
func (c *Conns) waitSettled(victims []victim) {
	if len(victims) == 0 {
		return
	}
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	for _, v := range victims {
		for v.conn.ends() && !v.conn.closing.Load() {
			select {
			case <-c.settled:
			case <-timer.C:
				return
			}
		}
	}
}

// victim is a connection that is ended at the limit, with the phase for which it was
// chosen.
type victim struct {
	conn  *conn
	phase connlimit.Phase
}

// insert adds a connection, unless the limit is reached and no other one can be ended.
// It returns the connections to end.
func (c *Conns) insert(added *conn) (victims []victim, admitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit > 0 && len(c.open) >= c.limit {
		var enough bool
		if victims, enough = c.choose(len(c.open) + 1 - c.limit); !enough {
			return victims, false
		}
	}
	c.open[added] = struct{}{}
	return victims, true
}

// choose chooses so many connections to end, less those that are about to end. It
// reports false if there are not as many. The caller must hold c.mu.
func (c *Conns) choose(count int) (victims []victim, enough bool) {
	c.candidates, c.described = c.candidates[:0], c.described[:0]
	defer func() { clear(c.candidates) }()
	now := c.now()
	for conn := range c.open {
		if conn.ends() {
			count--
			continue
		}
		c.candidates = append(c.candidates, conn)
		c.described = append(c.described, conn.describe(now))
	}
	for count > 0 {
		i := c.chooser.Choose(c.described)
		if i < 0 {
			return victims, false
		}
		v := victim{c.candidates[i], c.described[i].Phase}
		switch {
		case v.phase == connlimit.Waiting:
			// The read that is under way decides, so that the connection may go on.
			v.conn.ending.Store(int32(endWaiting))
		case v.conn.phase.CompareAndSwap(int32(v.phase), int32(closed)):
			delete(c.open, v.conn)
		default:
			// The phase has changed meanwhile.
			c.described[i] = v.conn.describe(now)
			continue
		}
		victims = append(victims, v)
		c.candidates = slices.Delete(c.candidates, i, i+1)
		c.described = slices.Delete(c.described, i, i+1)
		count--
	}
	return victims, true
}

func (c *Conns) remove(conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// each calls f for each open connection.
func (c *Conns) each(f func(*conn)) {
	c.mu.Lock()
	all := slices.Collect(maps.Keys(c.open))
	c.mu.Unlock()
	for _, conn := range all {
		f(conn)
	}
}

// endUsed ends the connections that wait for a request after others, now and whenever
// they do so later.
func (c *Conns) endUsed() {
	c.each(func(conn *conn) {
		if conn.used.Load() {
			conn.end(endWaiting)
		}
	})
}

// endUpTo ends the connections in the given phase or an earlier one, now and whenever
// they enter one.
func (c *Conns) endUpTo(p connlimit.Phase) {
	c.each(func(conn *conn) { conn.end(ending(p + 1)) })
}

// emptyPoll is the time between two looks at the open connections of a server that stops.
const emptyPoll = 10 * time.Millisecond

// waitEmpty waits until no connection is open, except those of HTTP/2 without a request in
// work, but no longer than the timeout.
func (c *Conns) waitEmpty(timeout time.Duration) {
	for end := time.Now().Add(timeout); !c.empty(); {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		time.Sleep(min(left, emptyPoll))
	}
}

// empty reports whether no connection is open, except those of HTTP/2 without a request in
// work.
func (c *Conns) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if !conn.multiplexed.Load() || conn.streams.Load() > 0 {
			return false
		}
	}
	return true
}
