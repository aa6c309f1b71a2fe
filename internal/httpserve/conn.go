package httpserve

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/connlimit"
)

// closed is the phase of a connection that the limit has closed.
const closed = connlimit.Serving + 1

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

// connOf returns the connection of a request, or nil if its server is not run by Serve.
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
