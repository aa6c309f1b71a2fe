// Package standin runs the stand-ins of a whole deployment in one process: the
// platform, and each backend server and worker on its own address, as a site
// file lists them.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/tailscale/hujson"
	"golang.org/x/sync/errgroup"

	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/standin/backend"
	"github.com/parsleyhill/parsleyhill/internal/standin/network"
	standinplatform "github.com/parsleyhill/parsleyhill/internal/standin/platform"
	"github.com/parsleyhill/parsleyhill/internal/standin/worker"
)

// Site is the content of a site file: the platform and hosts of one deployment.
type Site struct {
	// Platform is the address of the platform's services.
	Platform string `json:"platform"`
	// Hosts is the platform's host list. The stand-in runs the backend servers
	// and workers in it.
	Hosts []platform.Host `json:"hosts"`
	// Links puts a forwarder, which can be cut, on every path between zones and
	// to the platform.
	Links bool `json:"links,omitempty"`
}

// backendQueueLimit is how many requests a backend server queues beyond its
// slots: 60 connections less 8 slots.
const backendQueueLimit = 52

// Main parses args and runs the stand-ins until ctx ends.
func Main(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	sitePath := flags.String("site", "site.json", "site `file`, JSON with comments")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("STANDIN")); err != nil {
		return fmt.Errorf("parse flags: %w", err)
	}
	site, err := loadSite(*sitePath)
	if err != nil {
		return err
	}
	return run(ctx, site)
}

func loadSite(path string) (Site, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Site{}, fmt.Errorf("read site file: %w", err)
	}
	plain, err := hujson.Standardize(raw)
	if err != nil {
		return Site{}, fmt.Errorf("%s: %w", path, err)
	}
	var site Site
	if err := json.Unmarshal(plain, &site); err != nil {
		return Site{}, fmt.Errorf("%s: %w", path, err)
	}
	return site, nil
}

func run(ctx context.Context, site Site) error {
	group, ctx := errgroup.WithContext(ctx)
	server := standinplatform.NewServer(site.Hosts)
	platformHandler := server.Handler()
	if site.Links {
		links, err := network.New(ctx, site.Platform, site.Hosts)
		if err != nil {
			return err
		}
		platformHandler = links.Handler(server)
		group.Go(func() error { return links.Run(ctx) })
	}
	group.Go(func() error { return serve(ctx, site.Platform, platformHandler) })
	for _, h := range site.Hosts {
		handler := newHostHandler(h)
		if handler == nil {
			continue
		}
		group.Go(func() error { return serve(ctx, h.Address, handler) })
	}
	return group.Wait()
}

// newHostHandler returns the stand-in for a host, or nil if the host is neither
// a backend server nor a worker.
func newHostHandler(h platform.Host) http.Handler {
	switch h.Role {
	case platform.RoleBackend:
		return backend.New(h.Name, h.Slots, backendQueueLimit).Handler()
	case platform.RoleWorker:
		capacity := worker.Capacity{Cores: h.Cores, MemoryMB: h.MemoryMB, Accelerators: h.Accelerators}
		return worker.New(h.Name, capacity).Handler()
	default:
		return nil
	}
}

// serve serves HTTP on address until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", address, err)
	}
	return nil
}
