package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// closeTimeout bounds the wait for handlers when a port closes.
	closeTimeout = 2 * time.Second
)

// serveHTTP returns a part's Run that serves handler on address.
func serveHTTP(address string, handler http.Handler) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		var lc net.ListenConfig
		listener, err := lc.Listen(ctx, "tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		failed := make(chan error, 1)
		go func() { failed <- server.Serve(listener) }()
		select {
		case err := <-failed:
			return fmt.Errorf("serve %s: %w", address, err)
		case <-ctx.Done():
		}
		return shutdown(ctx, server)
	}
}

func shutdown(ctx context.Context, server *http.Server) error {
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	err := server.Shutdown(closing)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	return err
}

// refuseOperators answers operators' paths on the callers' port with an error.
func refuseOperators(mux *http.ServeMux) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		errkind.Write(w, "", errkind.New(errkind.WrongPort, "operators have a port of their own"), 0)
	}
	paths := []string{
		operator.PathPlans, operator.PathPlans + "/", operator.PathConfirms, operator.PathExplain + "/",
		operator.PathStatus, operator.PathFleet, operator.PathMetrics,
	}
	for _, path := range paths {
		mux.HandleFunc(path, refuse)
	}
}
