package httpserve

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/connlimit"
)

// bodyTimeout bounds the time to receive a body that a handler does not read with
// Bodies.
const bodyTimeout = 15 * time.Second

// closed is the phase of a connection that the limit has closed.
const closed = connlimit.Serving + 1

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

// conn is a connection with what is known of its requests.
type conn struct {
	net.Conn
	conns   *Conns
	address netip.Addr
	// phase is a connlimit.Phase, or closed.
	phase atomic.Int32
	// received is the number of bytes that were read, and answer what was written, since
	// the connection last waited for a request. refused is set once a refusal was written.
	received atomic.Int64
	answer   atomic.Int32
	refused  atomic.Bool
	// clientEnded is set once the client has closed or reset the connection, and
	// closing once this side closes it.
	clientEnded, closing atomic.Bool
	// used is set once a request was answered, and multiplexed if the requests are of
	// HTTP/2.
	used, multiplexed atomic.Bool
	// handled is set once the handler of the current request was called.
	handled atomic.Bool
	// streams is the number of requests of HTTP/2 in work.
	streams atomic.Int32
	// ending is an ending: the phases in which the connection ends.
	ending atomic.Int32
	// since is when the phase began, and writing when the current write began, by the
	// clock of conns. No write is in progress if writing is zero.
	since, writing atomic.Int64

	// refusing is held while a refusal is written.
	refusing sync.Mutex
	// mu guards the fields below. deadline is the read deadline that the server has set,
	// and interrupted is set while another one ends the current read.
	mu          sync.Mutex
	deadline    time.Time
	interrupted bool
}

// What is written to a connection in answer to a request.
const (
	answerNone int32 = iota
	answerBegun
	answerRefusal
)

// ending is up to which phase a connection ends: it is closed by its next read that finds
// nothing.
type ending int32

const (
	endNever ending = iota
	endWaiting
	endReceiving
)

// Unanswered describes a connection that was closed by this side before a request
// that had arrived on it was answered.
type Unanswered struct {
	Address netip.Addr
	// Phase is what the connection was used for when it was closed.
	Phase connlimit.Phase
	// For is how long the connection had been in that phase.
	For time.Duration
	// Read is how many bytes of the request had been read, and Unread whether others
	// had arrived.
	Read   int64
	Unread bool
}

type connKey struct{}

func (c *conn) describe(now time.Duration) connlimit.Conn {
	d := connlimit.Conn{Address: c.address, Phase: connlimit.Phase(c.phase.Load()), Since: time.Duration(c.since.Load())}
	if began := c.writing.Load(); began > 0 {
		d.Blocked = now - time.Duration(began)
	}
	return d
}

// enter begins a phase. It reports false if the limit has closed the connection.
func (c *conn) enter(p connlimit.Phase) bool {
	for {
		old := c.phase.Load()
		if old == int32(closed) {
			return false
		}
		if c.phase.CompareAndSwap(old, int32(p)) {
			c.since.Store(int64(c.conns.now()))
			if p == connlimit.Waiting {
				c.used.Store(true)
				c.handled.Store(false)
				c.received.Store(0)
				c.answer.Store(answerNone)
				if c.conns.stopping.Load() && !c.multiplexed.Load() {
					c.ending.Store(int32(endWaiting))
				}
			}
			return true
		}
	}
}

// ends reports whether the connection ends in its current phase.
func (c *conn) ends() bool { return c.phase.Load() < c.ending.Load() }

// end makes the connection end in the given phases, by the read that is under way or by a
// later one.
func (c *conn) end(e ending) {
	if c.multiplexed.Load() {
		// http.Server ends connections of HTTP/2 between two requests.
		return
	}
	c.ending.Store(int32(e))
	if c.ends() {
		c.interrupt()
	}
}

// interrupt ends the read that is under way, so that the connection can end.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(longAgo)
}

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// endAtLimit ends a connection that was chosen to be ended in the given phase.
func (c *conn) endAtLimit(p connlimit.Phase) {
	switch p {
	case connlimit.Waiting:
		c.interrupt()
	case connlimit.Receiving:
		c.refuse()
		_ = c.Close()
	default:
		_ = c.Close()
	}
}

// refusal answers a request that was not handled.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuse answers the request that is being received, which is not handled. The request may be
// whole: its last part may be read at this moment. When it returns, the refusal is written.
func (c *conn) refuse() {
	c.refusing.Lock()
	defer c.refusing.Unlock()
	if c.multiplexed.Load() || !c.answer.CompareAndSwap(answerNone, answerRefusal) {
		return
	}
	// An error means that the client does not read and has no room for the answer.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, err := io.WriteString(c.Conn, refusal)
	c.refused.Store(err == nil)
}

// refuseClosed refuses the request of a connection that the limit has closed. It may have
// been read since as a whole, and its handler may end before the limit refuses it.
func (c *conn) refuseClosed() {
	if c.phase.Load() == int32(closed) {
		c.refuse()
	}
}

// refusalTime bounds the time to write a refusal to a connection.
const refusalTime = time.Millisecond

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.interrupted = t, false
	return c.Conn.SetReadDeadline(t)
}

// resume restores the server's read deadline if end has set another one. It reports
// whether it did.
func (c *conn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		return false
	}
	c.interrupted = false
	return c.Conn.SetReadDeadline(c.deadline) == nil
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.read(b)
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.clientEnded.Store(true)
	}
	if n == 0 {
		return n, err
	}
	c.received.Add(int64(n))
	if c.phase.CompareAndSwap(int32(connlimit.Waiting), int32(connlimit.Receiving)) {
		c.since.Store(int64(c.conns.now()))
		if ending(c.ending.Load()) != endNever {
			c.conns.signalSettled()
		}
	}
	if c.closing.Load() {
		// The read was under way when the connection was closed.
		c.reportUnanswered(false)
	}
	return n, err
}

// read reads from the connection. Where it ends, or its time without a request is over, the
// last read does not wait, so that a request that has arrived is not lost.
func (c *conn) read(b []byte) (int, error) {
	for !c.ends() {
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.resume() {
			continue
		}
		if connlimit.Phase(c.phase.Load()) != connlimit.Waiting {
			return n, err
		}
		break
	}
	n, err := readPending(c.Conn, b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.ends() && c.phase.Load() == int32(connlimit.Receiving) && !c.handled.Load() {
		// http.Server would answer an unfinished header as an invalid one.
		c.refuse()
	}
	return n, err
}

// interimAnswer is how an answer begins that asks for the body of a request.
var interimAnswer = []byte("HTTP/1.1 100 ")

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Store(int64(c.conns.now()))
	defer c.writing.Store(0)
	c.refuseClosed()
	if !bytes.HasPrefix(b, interimAnswer) {
		c.answer.CompareAndSwap(answerNone, answerBegun)
	}
	if c.answer.Load() == answerRefusal {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// CloseWrite closes the sending side, which http.Server does before it closes a
// connection with unread bytes.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.refuseClosed()
	c.conns.remove(c)
	if c.closing.CompareAndSwap(false, true) && !c.clientEnded.Load() {
		unread := pendingInput(c.Conn)
		if unread != inputEnd && (unread == inputData || c.received.Load() > 0) {
			c.reportUnanswered(unread == inputData)
		}
	}
	err := c.Conn.Close()
	c.conns.signalSettled()
	return err
}

// reportUnanswered reports that the connection is closed before its request is
// answered, unless an answer has begun.
func (c *conn) reportUnanswered(unread bool) {
	if c.conns.OnUnanswered == nil || c.answer.Load() == answerBegun || c.refused.Load() {
		return
	}
	c.conns.OnUnanswered(Unanswered{
		Address: c.address, Phase: connlimit.Phase(c.phase.Load()),
		For: c.conns.now() - time.Duration(c.since.Load()), Read: c.received.Load(), Unread: unread,
	})
}

// connOf returns the connection of a request, or nil if its server has no limit.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Established protects the connection of a request from the limit until it is idle,
// although its request has not ended.
func Established(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.enter(connlimit.Serving)
	}
}

// trackRequests records when requests have been read as a whole. A request whose
// connection was closed before is not handled.
func trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c != nil {
			c.handled.Store(true)
		}
		if c != nil && r.ProtoMajor == 1 {
			answer := &answerWriter{ResponseWriter: w, conn: c}
			// A handler that writes nothing is answered for after it returns.
			defer answer.begin()
			w = answer
		}
		switch {
		case c == nil:
		case r.ProtoMajor > 1:
			c.streams.Add(1)
			defer c.streams.Add(-1)
			c.multiplexed.Store(true)
		case r.ContentLength == 0:
			if !c.enter(connlimit.Serving) {
				panic(http.ErrAbortHandler)
			}
		default:
			// An error means that the connection is closed, which the next read reports.
			_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
			r.Body = &trackedBody{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// answerWriter writes an answer with "Connection: close" if the connection ends after it:
// the client then sends no further request, which would cross the end.
type answerWriter struct {
	http.ResponseWriter
	conn  *conn
	begun bool
}

// begin is called before the header is written.
func (w *answerWriter) begin() {
	if !w.begun && (w.conn.ending.Load() != int32(endNever) || w.conn.conns.stopping.Load()) {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w *answerWriter) Flush() { _ = w.FlushError() }

// FlushError is called by http.ResponseController.
func (w *answerWriter) FlushError() error {
	w.begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// MaxBytesReader is http.MaxBytesReader for the requests of a server that Serve runs: the
// connection ends after a body that is too large.
func MaxBytesReader(w http.ResponseWriter, body io.ReadCloser, limit int64) io.ReadCloser {
	if answer, ok := w.(*answerWriter); ok {
		w = answer.ResponseWriter
	}
	return http.MaxBytesReader(w, body, limit)
}

// trackedBody records the end of a body.
type trackedBody struct {
	io.ReadCloser
	conn *conn
}

// errConnClosed is the error of a body whose connection was closed at the limit.
var errConnClosed = errors.New("the connection was closed at the limit of open connections")

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.enter(connlimit.Serving) {
		return n, errConnClosed
	}
	return n, err
}
