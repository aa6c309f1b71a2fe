package backendpool

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// errSealed stops a write of a request that was given up, or that the
// transport tries to write a second time.
var errSealed = errors.New("the request may not be written")

// send follows one request to the connections that the transport gives it. It
// admits one connection that writes and knows whether one did.
type send struct {
	mu     sync.Mutex
	conn   *conn
	wrote  bool
	sealed bool
}

// trace returns hooks that tie the send to its connection.
func (s *send) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			s.take(c)
		}
	}}
}

// take binds the send to a connection. After bytes were written to another
// connection, the send is sealed instead.
func (s *send) take(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wrote {
		s.sealed = true
	}
	s.conn = c
	c.send.Store(s)
}

// startWrite returns whether bytes of the request may be written now.
func (s *send) startWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		return false
	}
	s.wrote = true
	return true
}

// seal forbids all later writes and returns whether one was started before.
func (s *send) seal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	return s.wrote
}

// discard closes the connection, so that what else arrives on it reaches no
// other request.
func (s *send) discard() {
	s.mu.Lock()
	c := s.conn
	s.mu.Unlock()
	if c != nil {
		// The connection is of no more use; its close error says nothing.
		_ = c.Close()
	}
}

// conn is a connection that asks the send in progress before each write.
type conn struct {
	net.Conn
	send atomic.Pointer[send]
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	s := c.send.Load()
	if s == nil || !s.startWrite() {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}
