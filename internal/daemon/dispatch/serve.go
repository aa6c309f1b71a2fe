package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/httpserve"
)

// closeTimeout bounds the closing of a port on which no caller waits.
const closeTimeout = 50 * time.Millisecond

// port is a served address.
type port struct {
	address string
	handler http.Handler
	// streams allows HTTP/2 without TLS, for streams between hosts.
	streams bool
	// finish is how long requests in flight may take when the port closes.
	finish time.Duration
}

// serve returns the run of a part that serves a port.
func (d *Dispatcher) serve(p port) func(context.Context) error {
	return func(ctx context.Context) error {
		listener, err := d.network.Listen(ctx, "tcp", p.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", p.address, err)
		}
		server := &http.Server{
			Handler: p.handler, MaxHeaderBytes: headerBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		}
		if p.streams {
			server.Protocols = streamProtocols()
		}
		if err := httpserve.Until(ctx, server, listener, p.finish); err != nil {
			return fmt.Errorf("serve %s: %w", p.address, err)
		}
		return ctx.Err()
	}
}

// streamProtocols allows HTTP/2 without TLS beside HTTP/1.1.
func streamProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
