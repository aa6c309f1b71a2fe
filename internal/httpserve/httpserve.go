// Package httpserve runs HTTP servers with graceful shutdown.
package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/connlimit"
)

const (
	// backlogTime is how long a server that stops accepts the connections that the
	// operating system has established for it, but no more than a quarter of the drain
	// timeout.
	backlogTime = 50 * time.Millisecond
	// firstRequestTime is how long a server that stops waits for the first request of
	// a connection. A client that has just connected usually sends at once.
	firstRequestTime = time.Second
	// answerTime is how long before the end of the drain timeout, but no more than half
	// of it, the contexts of the requests in work end, and bodies that are still arriving
	// are given up, so that their handlers can answer.
	answerTime = 200 * time.Millisecond
)

// ErrStopping is the cause of the end of a request's context when the server stops while
// the request is in work.
var ErrStopping = errors.New("the host is stopping")

// Serve serves the listener until ctx ends, and then stops as Conns.Serve does.
func Serve(ctx context.Context, server *http.Server, listener net.Listener, drainTimeout time.Duration) error {
	return NewConns(0, func() {}).Serve(ctx, server, listener, drainTimeout)
}

// Serve serves the listener until ctx ends, with the limit on open connections. It then
// accepts no more connections and waits up to drainTimeout until the open ones have
// ended, after which it closes them. Each request of HTTP/1.1 that was read is handled and
// answered, the last one of a connection with "Connection: close"; a connection without a
// request ends with a read that finds none. It returns nil if the server stopped
// because ctx ended.
//
// http.Server.Shutdown cannot be used for connections of HTTP/1.1: it drops each request
// that is read after it has begun, and closes connections that it holds to be idle
// while a request is being read.
func (c *Conns) Serve(ctx context.Context, server *http.Server, listener net.Listener, drainTimeout time.Duration) error {
	requests, endRequests := context.WithCancelCause(context.WithoutCancel(ctx))
	defer endRequests(nil)
	server.BaseContext = func(net.Listener) context.Context { return requests }
	limited := c.track(server, listener)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(limited) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	stopped := time.Now()
	left := func() time.Duration { return drainTimeout - time.Since(stopped) }
	answer := min(answerTime, drainTimeout/2)

	c.stopping.Store(true)
	limited.stop(min(backlogTime, drainTimeout/4))
	c.endUsed()
	// The connections that are still accepted count for the waits below.
	err := waitServe(serveErr, left()-answer)
	c.waitEmpty(min(firstRequestTime, left()-answer))
	c.endUpTo(connlimit.Waiting)
	c.waitEmpty(left() - answer)
	endRequests(ErrStopping)
	c.endUpTo(connlimit.Receiving)
	c.waitEmpty(left())
	return errors.Join(err, c.closeRest(server, left()))
}

// waitServe waits until http.Server.Serve has returned because the listener has stopped,
// but no longer than the timeout.
func waitServe(serveErr <-chan error, timeout time.Duration) error {
	select {
	case err := <-serveErr:
		if !errors.Is(err, net.ErrClosed) {
			return err
		}
	case <-time.After(timeout):
	}
	return nil
}

// closeRest closes the connections that are left, those of HTTP/2 gracefully as far as
// the time allows.
func (c *Conns) closeRest(server *http.Server, left time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	return err
}

// limitedListener accepts connections within the limit.
type limitedListener struct {
	net.Listener
	conns    *Conns
	stopping atomic.Bool
}

// Accept implements net.Listener. Once the listener stops, it returns net.ErrClosed.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil && l.stopping.Load() {
			_ = l.Close()
			return nil, net.ErrClosed
		}
		if err != nil {
			return nil, err
		}
		if conn := l.conns.add(nc); conn != nil {
			return conn, nil
		}
		_ = nc.Close()
	}
}

// stop makes Accept return the connections that are already established, for the given
// time, and then close the listener.
func (l *limitedListener) stop(backlogTime time.Duration) {
	l.stopping.Store(true)
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && d.SetDeadline(time.Now().Add(backlogTime)) == nil {
		return
	}
	_ = l.Close()
}
