// Package httpserve runs HTTP servers until their context ends.
package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Until serves a listener until ctx ends, and then gives the requests in flight
// a time to finish, after which their connections are closed. It returns nil if
// the server was closed because ctx ended.
func Serve(ctx context.Context, server *http.Server, listener net.Listener, finish time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), finish)
	defer cancel()
	err := server.Shutdown(closing)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	return err
}
