package backendpool

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// errWriteForbidden stops the write of a request that was abandoned, or that the
// transport tries to write a second time.
var errWriteForbidden = errors.New("the request was abandoned or already written")

// writeGuard tracks one request over the connections that the transport assigns
// to it. It lets only one connection write the request, and records whether a
// write was started.
type writeGuard struct {
	mu        sync.Mutex
	conn      *guardedConn
	wrote     bool
	finalized bool
}

// trace returns hooks that bind the guard to the connection of its request.
func (g *writeGuard) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*guardedConn); ok {
			g.bind(c)
		}
	}}
}

// bind binds the guard to a connection. If a write was already started on
// another connection, it also forbids all later writes.
func (g *writeGuard) bind(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wrote {
		g.finalized = true
	}
	g.conn = c
	c.guard.Store(g)
}

// startWrite reports whether the request may be written, and if so records that a
// write was started.
func (g *writeGuard) startWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.finalized {
		return false
	}
	g.wrote = true
	return true
}

// finalize forbids all later writes and reports whether one was started before.
func (g *writeGuard) finalize() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finalized = true
	return g.wrote
}

// closeConn closes the connection, so that later data on it cannot reach another
// request.
func (g *writeGuard) closeConn() {
	g.mu.Lock()
	c := g.conn
	g.mu.Unlock()
	if c != nil {
		// The connection is discarded, so an error on close has no effect.
		_ = c.Close()
	}
}

// guardedConn is a connection that checks before each write whether the guard
// of its current request allows it.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[writeGuard]
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	guard := c.guard.Load()
	if guard == nil || !guard.startWrite() {
		return 0, errWriteForbidden
	}
	return c.Conn.Write(p)
}
