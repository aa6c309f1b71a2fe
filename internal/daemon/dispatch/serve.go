package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// closeTimeout bounds the closing of a port in a stop.
const closeTimeout = 300 * time.Millisecond

// serve returns the run of a part that serves HTTP at an address. With streams
// set it also takes HTTP/2 without TLS, for streams between hosts.
func serve(address string, handler http.Handler, streams bool) func(context.Context) error {
	return func(ctx context.Context) error {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		server := &http.Server{
			Handler: handler, MaxHeaderBytes: headerBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		}
		if streams {
			server.Protocols = streamProtocols()
		}
		failed := make(chan error, 1)
		go func() { failed <- server.Serve(listener) }()
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
		}
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if err := server.Shutdown(stop); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return err
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
