package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/httpserve"
)

// closeTimeout bounds the shutdown of a port that serves no callers.
const closeTimeout = 50 * time.Millisecond

// port is an address to serve, with its handler.
type port struct {
	address string
	handler http.Handler
	// conns limits the open connections.
	conns *httpserve.Conns
	// unread bounds unread bytes; nil leaves them to the operating system.
	unread *httpserve.Unread
	// allowH2C allows HTTP/2 without TLS, which the streams between hosts use.
	allowH2C bool
	// drainTimeout is how long requests in flight may take once the port closes.
	drainTimeout time.Duration
}

// serve returns the Run function of a supervised part that serves a port.
func (d *Dispatcher) serve(p port) func(context.Context) error {
	return func(ctx context.Context) error {
		listener, err := d.network.Listen(ctx, "tcp", p.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", p.address, err)
		}
		if p.unread != nil {
			if err := p.unread.Apply(listener); err != nil {
				d.logger.Warn("unread bytes are not limited", "error", err)
			}
		}
		server := &http.Server{
			Handler: p.handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		}
		if p.allowH2C {
			server.Protocols = h2cProtocols()
		}
		if err := p.conns.Serve(ctx, server, listener, p.drainTimeout); err != nil {
			return fmt.Errorf("serve %s: %w", p.address, err)
		}
		return ctx.Err()
	}
}

// h2cProtocols allows HTTP/1.1 and HTTP/2 without TLS.
func h2cProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
