// Package dispatch runs jobs of short tasks on the platform's workers. A single
// event loop owns the decision state (which host owns a worker, what runs on
// it, and to which hosts a job's tasks are offered); the rest of the package
// does the I/O.
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"runtime"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"

	"github.com/parsleyhill/parsleyhill/gen/dispatch/v1/dispatchv1connect"
	"github.com/parsleyhill/parsleyhill/internal/daemon/supervise"
	"github.com/parsleyhill/parsleyhill/internal/decide/host"
	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/ownership"
	"github.com/parsleyhill/parsleyhill/internal/decide/policy"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/platform"
)

const (
	// tickInterval is the time between ticks, which limits how precisely lease
	// renewals and timeouts are timed.
	tickInterval = 20 * time.Millisecond
	// eventBuffer is the number of events that can wait while the loop is busy.
	eventBuffer = 1024
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = platform.MaxHeaderBytes
	// readHeaderTimeout and idleTimeout are also the limits that operators
	// usually configure. The timeouts of an http.Server cannot change while it
	// serves, so the limits of a later configuration do not apply.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
)

// Network dials and listens.
type Network struct {
	Dial   platform.DialFunc
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
}

// SystemNetwork returns the operating system's network. TCP keep-alive probes
// are off, because every connection has timeouts of its own.
func SystemNetwork() Network {
	dialer := &net.Dialer{KeepAlive: -1}
	var listener net.ListenConfig
	return Network{Dial: dialer.DialContext, Listen: listener.Listen}
}

// Dispatcher is the dispatcher of one entry host.
type Dispatcher struct {
	settings platform.Settings
	policies policy.Settings
	network  Network
	self     fleet.Host
	logger   *log.Logger
	store    *platform.Store
	workers  *platform.WorkerClient
	peers    *peers
	metrics  *metrics
	limits   *clientLimits

	events  chan func(time.Time)
	leaving atomic.Bool
	// givesUpShards and givesUpWorkers are set once this host hands these over, and
	// memberships counts the groups that it is a member of. Left is signalled when it has
	// left one.
	givesUpShards, givesUpWorkers atomic.Bool
	memberships                   atomic.Int32
	left                          chan struct{}
	config                        atomic.Pointer[fleet.Config]
	// hasStoredJobs is set once any stored job is known, and logRead once the
	// job log has been read to its end.
	hasStoredJobs atomic.Bool
	logRead       atomic.Bool
	// takingOver is set while a takeover of a shard waits for reads of the job log.
	takingOver atomic.Bool
	// evacuationsListed is set once the evacuated zones have been read in full.
	evacuationsListed atomic.Bool
	appends           *appendQueue
	// entryRemoved is signalled when this host's entry in the store was removed.
	entryRemoved chan struct{}
	// ready is the reason why this host accepts no work, or nil if it does.
	ready atomic.Pointer[errkind.Error]

	// The fields below are accessed only by the loop.
	core    *host.Core
	load    loadSample
	waiters map[string]waiter
	// watchers holds, by job, the channels that are closed when the acceptance of a stored
	// job is read or the job has ended.
	watchers      map[string][]chan struct{}
	workersListed bool
	// start holds jobs and records the steps while the host starts. It is nil if
	// fast_recovery is off, and once the start is over.
	start *start
	// shardsRecorded, if set, is closed once the handovers of all shards are in the job log.
	shardsRecorded chan struct{}

	// membershipWakeups holds, by seat, the channel that triggers an immediate
	// join or leave of the zone's group.
	membershipWakeups map[ownership.Seat]chan struct{}
	// shardWakeup does the same for the group of the stored jobs' shards.
	shardWakeup chan struct{}
}

// waiter is a caller's request that waits for its best-effort job.
type waiter struct {
	result chan platform.Result
	// heldFor is how long the job was held before it was submitted.
	heldFor time.Duration
}

// New returns a dispatcher that is idle until Run is called.
func New(s platform.Settings, policies policy.Settings, logger *log.Logger, network Network) *Dispatcher {
	self := fleet.Host{
		Name: s.Host, Zone: s.Zone, Address: s.PeersAddress,
		Incarnation: string(ids.NewIncarnation(s.Host)),
	}
	d := &Dispatcher{
		settings: s, policies: policies, network: network, self: self, logger: logger,
		store: platform.NewStore(s.StoreAddress, network.Dial), workers: platform.NewWorkerClient(network.Dial), metrics: newMetrics(),
		events: make(chan func(time.Time), eventBuffer),
		core: host.New(host.Config{
			Name: s.Host, Zone: s.Zone, MaxLease: s.MaxLease, StopTime: s.StopTime, Partitions: s.Partitions, Nonce: rand.Int64(),
			Ledger: ledgerConfig(s), Policy: policies, RemoteSlowdown: s.RemoteSlowdown,
		}),
		appends: newAppendQueue(), entryRemoved: make(chan struct{}, 1),
		waiters: map[string]waiter{}, watchers: map[string][]chan struct{}{}, membershipWakeups: map[ownership.Seat]chan struct{}{},
		shardWakeup: make(chan struct{}, 1), left: make(chan struct{}, 1),
	}
	d.limits = newClientLimits(s.Limits, logger.WithPrefix("limits"), d.metrics.registry)
	for _, zone := range s.Zones {
		for number := range d.seats(zone) {
			d.membershipWakeups[ownership.Seat{Zone: zone, Number: number}] = make(chan struct{}, 1)
		}
	}
	d.peers = newPeers(self, logger.WithPrefix("peers"), d, network.Dial)
	if policies.FastRecovery.Enabled() {
		d.peers.keepStreams = true
		d.start = newStart(time.Now())
	}
	d.ready.Store(errkind.New(errkind.NotReady, "starting"))
	return d
}

// Run serves until ctx is done, then stops gracefully.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.logger.Info("host starts", "host", d.self.Name, "zone", d.self.Zone, "incarnation", d.self.Incarnation)
	l := d.settings.Limits
	d.logger.Info("limits on clients", "caller_connections", l.CallerConns, "peer_connections", l.PeerConns, "probe_connections", l.ProbeConns,
		"backlog", l.Backlog, "body_bytes", l.BodyBytes, "body_grace", l.BodyGrace, "body_bytes_per_second", l.BodyBytesPerSecond, "job_tasks", l.JobTasks)
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
		{Name: "job records", Run: d.runAppends},
		{Name: "job shards", Run: d.runShardMembership},
		{Name: "announcement", Run: d.announce},
		{Name: "membership", Run: d.runMemberships},
		{Name: "peers", Run: d.peers.run},
		{Name: "peers port", Run: d.serve(port{
			address: d.settings.PeersAddress, handler: d.peerRoutes(), conns: d.limits.peers, allowH2C: true, drainTimeout: closeTimeout,
		}), Restart: supervise.Never},
		{Name: "handover", Run: d.handOverAtEnd},
		{Name: "metrics port", Run: d.serve(port{
			address: d.settings.MetricsAddress, handler: d.metrics.handler(), conns: d.limits.metrics, unread: d.limits.unread,
			drainTimeout: closeTimeout,
		})},
		{Name: "ready port", Run: d.serve(port{
			address: d.settings.ReadyAddress, handler: platform.ReadyHandler(d), conns: d.limits.ready, unread: d.limits.unread,
			drainTimeout: closeTimeout,
		}), Restart: supervise.Never},
		{Name: "callers port", Run: d.serve(port{
			address: d.settings.CallersAddress, handler: d.callerHandler(), conns: d.limits.callers, unread: d.limits.unread,
			drainTimeout: max(0, d.settings.Grace-d.acceptTime()-stopMargin),
		}), Restart: supervise.Never},
	}
}

func (d *Dispatcher) callerHandler() http.Handler {
	return platform.CallerHandler{Dispatcher: d, Bodies: d.limits.bodies, MaxTasks: d.settings.Limits.JobTasks}
}

func (d *Dispatcher) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(dispatchv1connect.NewDispatchServiceHandler(d.peers, connect.WithCompression(gzipName, nil, nil)))
	return mux
}

// loop handles events and ticks one at a time until ctx is done. After each
// one it executes the actions that the decisions ask for.
func (d *Dispatcher) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	var former round
	for {
		var began time.Time
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-d.events:
			began = time.Now()
			d.reportStandstill(began, former.idleUntil(began))
			event(began)
			d.load.events++
			// Goroutines that are ready to post an event do so first: each round has a
			// fixed cost.
			runtime.Gosched()
			d.drainEvents()
		case <-ticker.C:
			now := time.Now()
			began = now
			d.reportStandstill(now, former.idleUntil(now))
			// The time in the channel is that of the delivery, which is late as well
			// while the process does not run.
			late := now.Sub(lastTick) - tickInterval
			lastTick = now
			d.load.late = max(d.load.late, late)
			d.core.Flow.LoopDelayed(now, late)
			d.core.Tick(now)
			d.takingOver.Store(d.core.Ledger.AwaitsLog())
			d.metrics.flow(d.core.Flow)
			d.peers.closeSilent(now)
			d.peers.report(now)
			d.reportLoad(now)
		}
		d.executeActions(ctx, time.Now())
		former = round{began: began, ended: time.Now()}
		d.load.round(former.ended.Sub(began))
	}
}

// drainEvents handles the events that are already queued, so that one round of
// decisions covers all of them.
func (d *Dispatcher) drainEvents() {
	for {
		select {
		case event := <-d.events:
			event(time.Now())
			d.load.events++
		default:
			return
		}
	}
}

// post queues an event for the loop. It blocks while the queue is full.
func (d *Dispatcher) post(event func(now time.Time)) { d.events <- event }

// postAndWait queues an event for the loop and waits until it has run.
func (d *Dispatcher) postAndWait(event func(now time.Time)) {
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
		return errkind.New(errkind.Stopping, "the host is stopping")
	}
	return d.ready.Load()
}

// Submit implements platform.Dispatcher.
func (d *Dispatcher) Submit(ctx context.Context, job fleet.Job, route fleet.Route, timeout time.Duration) platform.Result {
	if !job.BestEffort {
		return d.submitStored(ctx, job, route)
	}
	result := make(chan platform.Result, 1)
	d.post(func(now time.Time) { d.submit(now, job, route, timeout, result) })
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		why := endOf(ctx)
		d.post(func(now time.Time) { d.cancel(now, job.ID, why, result) })
		return <-result
	}
}

// endOf returns why the context of a request has ended: without a cause, its caller has
// disconnected.
func endOf(ctx context.Context) string {
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause.Error()
	}
	return "the caller disconnected"
}

func (d *Dispatcher) submit(now time.Time, job fleet.Job, route fleet.Route, timeout time.Duration, result chan platform.Result) {
	if old, ok := d.waiters[job.ID]; ok {
		// The caller submitted the job again: the earlier request gets an error.
		old.result <- platform.Result{Err: errkind.New(errkind.Cancelled, "the job was submitted again")}
		old.result = result
		d.waiters[job.ID] = old
		return
	}
	d.replaceHeld(now, job.ID)
	if d.core.Ledger.IsCancelled(job.ID) {
		d.logger.Warn("job refused", "job", job.ID, "route", route.Name, "why", "the job was cancelled")
		result <- platform.Result{Err: errkind.New(errkind.Cancelled, "the job was cancelled")}
		return
	}
	if d.hold(now, heldJob{spec: job, route: route, timeout: timeout, arrived: now, result: result}) {
		return
	}
	if err := d.ready.Load(); err != nil {
		d.logger.Warn("job refused", "job", job.ID, "route", route.Name, "why", err.Detail)
		result <- platform.Result{Err: err, RetryAfter: time.Second}
		return
	}
	d.waiters[job.ID] = waiter{result: result}
	d.metrics.jobs.WithLabelValues(route.Name).Inc()
	d.core.Coordinator.Submit(now, job, route, timeout)
}

// cancel ends a job whose request has ended, unless another request waits for the
// job.
func (d *Dispatcher) cancel(now time.Time, job, why string, result chan platform.Result) {
	if w, ok := d.waiters[job]; ok && w.result == result {
		d.core.Coordinator.Cancel(now, job, why)
		return
	}
	if d.cancelHeld(now, job, why, result) {
		return
	}
	select {
	case result <- platform.Result{Err: errkind.New(errkind.Cancelled, "%s", why)}:
	default:
	}
}

// Cancel implements platform.Dispatcher.
func (d *Dispatcher) Cancel(ctx context.Context, job string) (bool, *errkind.Error) {
	found := false
	d.postAndWait(func(now time.Time) { found = d.cancelBestEffort(now, job) })
	if found {
		return true, nil
	}
	if err := d.logNotRead(); err != nil {
		return false, err
	}
	// The job may be a best-effort one whose caller waits at another host, which reads
	// the cancellation in the log. Without stored jobs the answer is that there is no such
	// job, as this host knows of none.
	stored := d.hasStoredJobs.Load()
	cancelled, err := d.cancelStored(ctx, job)
	return cancelled && stored, err
}

// cancelBestEffort cancels a job whose caller waits at this host. It reports whether
// there is such a job.
func (d *Dispatcher) cancelBestEffort(now time.Time, job string) bool {
	const why = "the job was cancelled"
	if _, ok := d.waiters[job]; ok {
		d.core.Coordinator.Cancel(now, job, why)
		return true
	}
	return d.cancelHeld(now, job, why, nil)
}

// State implements platform.Dispatcher.
func (d *Dispatcher) State(ctx context.Context, job string) (ledger.State, string, *errkind.Error) {
	bestEffort := false
	d.postAndWait(func(time.Time) {
		_, bestEffort = d.waiters[job]
		bestEffort = bestEffort || d.isHeld(job)
	})
	if bestEffort {
		return ledger.Running, "", nil
	}
	if err := d.logNotRead(); err != nil {
		return "", "", err
	}
	if !d.hasStoredJobs.Load() {
		return "", "", nil
	}
	return d.storedState(ctx, job)
}

// logNotRead returns an error until the job log has been read to its end: before, this
// host cannot tell that a job does not exist.
func (d *Dispatcher) logNotRead() *errkind.Error {
	if d.logRead.Load() {
		return nil
	}
	return errkind.New(errkind.LogUnavailable, "the job log has not been read yet")
}

// WaitingJobs implements platform.Dispatcher.
func (d *Dispatcher) WaitingJobs(route string) int {
	n := 0
	d.postAndWait(func(time.Time) {
		n = d.core.Coordinator.WaitingJobs(route) + d.core.Ledger.Waiting(route) + d.heldJobs(route)
	})
	return n
}

// Reload applies changed settings. The store's address takes effect at once.
// The other settings, which the platform changes only together with the
// process, take effect at the next start.
func (d *Dispatcher) Reload(s platform.Settings) {
	d.store.SetAddress(s.StoreAddress)
	rest := s
	rest.StoreAddress = d.settings.StoreAddress
	d.logger.Info("settings reloaded", "store", s.StoreAddress, "restart_needed", !reflect.DeepEqual(rest, d.settings))
}
