package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/httpserve"
)

const (
	// headerTimeout bounds the time to read a request's headers.
	headerTimeout = 10 * time.Second
	// closeTimeout bounds the wait for handlers when a port closes.
	closeTimeout = 2 * time.Second
)

// serveHTTP returns a supervise.Part's Run function that serves handler on
// address.
func serveHTTP(address string, handler http.Handler) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		var lc net.ListenConfig
		listener, err := lc.Listen(ctx, "tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		if err := httpserve.Serve(ctx, server, listener, closeTimeout); err != nil {
			return fmt.Errorf("serve %s: %w", address, err)
		}
		return nil
	}
}

// refuseOperatorPaths answers the operators' paths on the callers' port with an
// error of kind WrongPort.
func refuseOperatorPaths(mux *http.ServeMux) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		errkind.Write(w, "", errkind.New(errkind.WrongPort, "this path is served on the operators' port only"), 0)
	}
	paths := []string{
		operator.PathPlans, operator.PathPlans + "/", operator.PathConfirms, operator.PathExplain + "/",
		operator.PathStatus, operator.PathFleet, operator.PathHosts, operator.PathMetrics,
	}
	for _, path := range paths {
		mux.HandleFunc(path, refuse)
	}
}
