// Package httpserve runs HTTP servers with graceful shutdown.
package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Serve serves the listener until ctx ends. It then stops accepting requests and
// waits up to drainTimeout for the requests in flight, after which it closes
// their connections. It returns nil if the server stopped because ctx ended.
func Serve(ctx context.Context, server *http.Server, listener net.Listener, drainTimeout time.Duration) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	err := server.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	return err
}
