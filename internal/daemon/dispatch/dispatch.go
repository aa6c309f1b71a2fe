// Package dispatch runs jobs of short tasks on the platform's workers. One
// loop owns the pure decisions (who owns a worker, what runs there, where a
// job's tasks are offered); everything around it is I/O.
package dispatch

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/parsleyhill/parsleyhill/gen/dispatch/v1/dispatchv1connect"
	"github.com/parsleyhill/parsleyhill/internal/daemon/supervise"
	"github.com/parsleyhill/parsleyhill/internal/decide/host"
	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/platform"
)

const (
	// tickInterval is the granularity of renewals and time limits.
	tickInterval = 20 * time.Millisecond
	// eventBuffer holds events while the loop is busy.
	eventBuffer = 1024
	// headerBytes bounds what is read of a request's header; the configuration
	// may name a lower limit. It is the operators' usual one.
	headerBytes = 16384
	// readHeaderTimeout and idleTimeout are the operators' usual limits too. A
	// server's time limits cannot change while it serves, so that those of a
	// later configuration are not followed.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
)

// Network opens and takes connections.
type Network struct {
	Dial   platform.DialFunc
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
}

// SystemNetwork returns the operating system's network. Connections are
// watched by time limits of their own, so that none needs keep-alive probes.
func SystemNetwork() Network {
	dialer := &net.Dialer{KeepAlive: -1}
	var listener net.ListenConfig
	return Network{Dial: dialer.DialContext, Listen: listener.Listen}
}

// Dispatch is the dispatcher of one entry host.
type Dispatcher struct {
	settings platform.Settings
	network  Network
	self     fleet.Host
	logger   *log.Logger
	store    *platform.Store
	workers  *platform.WorkerClient
	peers    *peers
	metrics  *metrics

	events  chan func(time.Time)
	leaving atomic.Bool
	config  atomic.Pointer[fleet.Config]
	// storing is set once a stored job is known of, and logRead once their log
	// has been read to its end.
	storing atomic.Bool
	logRead atomic.Bool
	journal *journal
	// ready is the reason why this host takes no work, or nil.
	ready atomic.Pointer[errkind.Error]

	// The fields below belong to the loop.
	core    *host.Core
	waiters map[string]waiter
	// watchers wait for the end of a stored job.
	watchers map[string][]chan struct{}
	listed   bool

	// kicks wake the membership of each zone.
	kicks map[string]chan struct{}
}

// waiter is a caller that waits for its job.
type waiter struct {
	result chan platform.Result
}

// New returns a dispatcher that does nothing until Run.
func New(s platform.Settings, logger *log.Logger, network Network) *Dispatcher {
	self := fleet.Host{
		Name: s.Host, Zone: s.Zone, Address: s.PeersAddress,
		Incarnation: string(ids.NewIncarnation(s.Host)),
	}
	d := &Dispatcher{
		settings: s, network: network, self: self, logger: logger,
		store: platform.NewStore(s.StoreAddress, network.Dial), workers: platform.NewWorkerClient(network.Dial), metrics: newMetrics(),
		events: make(chan func(time.Time), eventBuffer),
		core: host.New(host.Config{
			Name: s.Host, Zone: s.Zone, MaxLease: s.MaxLease, Partitions: s.Partitions, Nonce: rand.Int64(),
			Ledger: ledgerConfig(s),
		}),
		journal: newJournal(),
		waiters: map[string]waiter{}, watchers: map[string][]chan struct{}{}, kicks: map[string]chan struct{}{},
	}
	for _, zone := range s.Zones {
		d.kicks[zone] = make(chan struct{}, 1)
	}
	d.peers = newPeers(self, logger.WithPrefix("peers"), d, network.Dial)
	d.ready.Store(errkind.New(errkind.NotReady, "starting"))
	return d
}

// Run serves until ctx ends, then stops gracefully.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.logger.Info("host starts", "host", d.self.Name, "zone", d.self.Zone, "incarnation", d.self.Incarnation)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() {
		<-ctx.Done()
		d.drain()
		stop()
	}()
	err := supervise.Run(serving, d.logger, d.parts()...)
	d.store.Close()
	d.workers.Close()
	d.logger.Info("host stops", "host", d.self.Name, "error", err)
	return err
}

func (d *Dispatcher) parts() []supervise.Part {
	return []supervise.Part{
		{Name: "decisions", Run: d.loop, Restart: supervise.Never},
		{Name: "configuration", Run: func(ctx context.Context) error { return d.store.FollowConfig(ctx, d) }},
		{Name: "worker list", Run: func(ctx context.Context) error { return d.store.FollowWorkers(ctx, d) }},
		{Name: "host list", Run: func(ctx context.Context) error { return d.store.FollowHosts(ctx, d) }},
		{Name: "job log", Run: func(ctx context.Context) error { return d.store.FollowJobs(ctx, d) }},
		{Name: "job records", Run: d.keepJournal},
		{Name: "job shards", Run: d.keepDriving},
		{Name: "announcement", Run: d.announce},
		{Name: "membership", Run: d.keepMemberships},
		{Name: "peers", Run: d.peers.run},
		{Name: "peers port", Run: d.serve(port{d.settings.PeersAddress, d.peerRoutes(), true, closeTimeout}), Restart: supervise.Never},
		{Name: "metrics port", Run: d.serve(port{d.settings.MetricsAddress, d.metrics.handler(), false, closeTimeout})},
		{Name: "ready port", Run: d.serve(port{d.settings.ReadyAddress, platform.ReadyHandler(d), false, closeTimeout}), Restart: supervise.Never},
		{Name: "callers port", Run: d.serve(port{
			d.settings.CallersAddress, platform.CallerHandler{Dispatcher: d}, false, d.settings.Grace - stopAccepting - stopMargin,
		}), Restart: supervise.Never},
	}
}

func (d *Dispatcher) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(dispatchv1connect.NewDispatchServiceHandler(d.peers))
	return mux
}

// loop carries out events one after the other.
func (d *Dispatcher) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-d.events:
			event(time.Now())
			d.drainEvents()
		case <-ticker.C:
			now := time.Now()
			d.core.Tick(now)
			d.peers.tick(now)
			d.peers.report(now)
		}
		d.settle(ctx, time.Now())
	}
}

// drainEvents takes the events that are already there, so that one decision
// covers them all.
func (d *Dispatcher) drainEvents() {
	for {
		select {
		case event := <-d.events:
			event(time.Now())
		default:
			return
		}
	}
}

// post hands an event to the loop.
func (d *Dispatcher) post(event func(now time.Time)) { d.events <- event }

// ask hands an event to the loop and waits until it is carried out.
func (d *Dispatcher) ask(event func(now time.Time)) {
	done := make(chan struct{})
	d.post(func(now time.Time) {
		event(now)
		close(done)
	})
	<-done
}

// Config implements platform.Dispatcher.
func (d *Dispatcher) Config() *fleet.Config { return d.config.Load() }

// Leaving implements platform.Dispatcher.
func (d *Dispatcher) Leaving() bool { return d.leaving.Load() }

// Ready implements platform.Dispatcher.
func (d *Dispatcher) Ready() *errkind.Error {
	if d.leaving.Load() {
		return errkind.New(errkind.Stopping, "a planned stop goes on")
	}
	return d.ready.Load()
}

// Submit implements platform.Dispatcher.
func (d *Dispatcher) Submit(ctx context.Context, job fleet.Job, route fleet.Route, patience time.Duration) platform.Result {
	if !job.BestEffort {
		return d.submitStored(ctx, job, route)
	}
	result := make(chan platform.Result, 1)
	d.post(func(now time.Time) { d.submit(now, job, route, patience, result) })
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		d.post(func(now time.Time) { d.cancel(now, job.ID, result) })
		return <-result
	}
}

func (d *Dispatcher) submit(now time.Time, job fleet.Job, route fleet.Route, patience time.Duration, result chan platform.Result) {
	if old, ok := d.waiters[job.ID]; ok {
		// The caller sent the job again: its former request is over.
		old.result <- platform.Result{Err: errkind.New(errkind.Cancelled, "the job was sent again")}
		old.result = result
		d.waiters[job.ID] = old
		return
	}
	if err := d.ready.Load(); err != nil {
		d.logger.Warn("job refused", "job", job.ID, "route", route.Name, "why", err.Detail)
		result <- platform.Result{Err: err, RetryAfter: time.Second}
		return
	}
	d.waiters[job.ID] = waiter{result: result}
	d.metrics.jobs.WithLabelValues(route.Name).Inc()
	d.core.Coordinator.Submit(now, job, route, patience)
}

// cancel ends a job whose caller has gone, unless another request waits for it.
func (d *Dispatcher) cancel(now time.Time, job string, result chan platform.Result) {
	if w, ok := d.waiters[job]; ok && w.result == result {
		d.core.Coordinator.Cancel(now, job)
		return
	}
	select {
	case result <- platform.Result{Err: errkind.New(errkind.Cancelled, "the caller has gone")}:
	default:
	}
}

// Cancel implements platform.Dispatcher.
func (d *Dispatcher) Cancel(ctx context.Context, job string) (bool, *errkind.Error) {
	found := false
	d.ask(func(now time.Time) {
		_, found = d.waiters[job]
		if found {
			d.core.Coordinator.Cancel(now, job)
		}
	})
	if found || !d.storing.Load() {
		return found, nil
	}
	return d.cancelStored(ctx, job)
}

// State implements platform.Dispatcher.
func (d *Dispatcher) State(ctx context.Context, job string) (ledger.State, *errkind.Error) {
	best := false
	d.ask(func(time.Time) { _, best = d.waiters[job] })
	switch {
	case best:
		return ledger.Running, nil
	case !d.storing.Load():
		return "", nil
	}
	return d.storedState(ctx, job)
}

// Waiting implements platform.Dispatcher.
func (d *Dispatcher) WaitingJobs(route string) int {
	n := 0
	d.ask(func(time.Time) {
		n = d.core.Coordinator.WaitingJobs(route) + d.core.Ledger.Waiting(route)
	})
	return n
}

// Reload takes changed settings. The store's address takes effect at once; the
// rest, which the platform changes only with a new process, at the next start.
func (d *Dispatcher) Reload(s platform.Settings) {
	d.store.SetAddress(s.StoreAddress)
	rest := s
	rest.StoreAddress = d.settings.StoreAddress
	d.logger.Info("settings reloaded", "store", s.StoreAddress, "restart_needed", !reflect.DeepEqual(rest, d.settings))
}

const (
	// stopAccepting is how long a leaving host serves as before: the balancer
	// notices after two probes, one a second.
	stopAccepting = 2200 * time.Millisecond
	// stopMargin is kept for closing what is left within the grace.
	stopMargin = 500 * time.Millisecond
)

// drain prepares a planned stop: this host reports not ready, gives its
// workers and its queue to others, and serves what still arrives until the
// balancer has noticed. The callers' port then finishes what is in flight.
func (d *Dispatcher) drain() {
	d.logger.Info("planned stop begins", "grace", d.settings.Grace)
	d.leaving.Store(true)
	d.post(func(time.Time) { d.core.Leave() })
	d.kickMemberships()
	time.Sleep(stopAccepting)
}
