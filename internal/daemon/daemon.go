// Package daemon assembles an entry host: it builds the parts, starts them in
// order, and stops them in reverse order.
package daemon

import (
	"context"
	"expvar"
	"fmt"
	"hash/maphash"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/daemon/backendpool"
	"github.com/parsleyhill/parsleyhill/internal/daemon/fences"
	"github.com/parsleyhill/parsleyhill/internal/daemon/follower"
	"github.com/parsleyhill/parsleyhill/internal/daemon/jobs"
	"github.com/parsleyhill/parsleyhill/internal/daemon/journal"
	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/daemon/peers"
	"github.com/parsleyhill/parsleyhill/internal/daemon/requests"
	"github.com/parsleyhill/parsleyhill/internal/daemon/slots"
	"github.com/parsleyhill/parsleyhill/internal/daemon/supervise"
	"github.com/parsleyhill/parsleyhill/internal/daemon/workerclient"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/settings"
)

// Daemon is one entry host.
type Daemon struct {
	settings    settings.Settings
	incarnation ids.Incarnation
	logger      *log.Logger
	started     time.Time
	stopping    atomic.Bool

	config      *follower.Config
	hosts       *follower.Hosts
	members     *peers.Members
	peerWatcher *fences.PeerWatcher
	explainer   *peers.Explainer
	requests    *requests.Service
	jobs        *jobs.Service
	operator    *operator.Service
	backendPool *backendpool.Pool
	journal     *journal.Journal
}

// New returns a daemon that is idle until Run is called.
func New(s settings.Settings, logger *log.Logger) *Daemon {
	d := &Daemon{
		settings:    s,
		incarnation: ids.NewIncarnation(s.Host),
		logger:      logger,
		started:     time.Now(),
		backendPool: backendpool.New(),
	}
	platformClient := newClient(platformConns)
	platformLog := platform.NewHTTPLog(s.Platform.Log, platformClient)
	hostList := platform.NewHTTPHostList(s.Platform.HostList, platformClient)
	d.config = follower.NewConfig(s.Host, platformLog, prefixed(logger, "config"))
	d.hosts = follower.NewHosts(hostList, prefixed(logger, "hosts"), milliseconds(s.Platform.PollMs))

	peerClient := newClient(peerConns)
	recorder := journal.New(s.Host, logger, d.config, journal.DefaultCapacity)
	d.journal = recorder
	d.members = peers.NewMembers(s.Host, d.hosts, peerClient, recorder, d.summary)
	d.peerWatcher = fences.NewPeerWatcher(d.members)
	d.explainer = peers.NewExplainer(s.Host, recorder, d.members, peerClient, d.status)
	d.operator = operator.New(d.config, platformLog, recorder, d.explainer, d.hosts.ListedHosts, d.status)
	d.config.Attach(peers.NewConfigClient(d.members, peerClient), d.hosts, recorder)
	d.hosts.Attach(peers.NewHostListClient(s.Zone, d.members, s.Seeds, peerClient), recorder)

	seed := maphash.String(maphash.MakeSeed(), s.Host)
	d.requests = requests.New(requests.Deps{
		Settings: s, Incarnation: d.incarnation, View: d.config, Hosts: d.hosts, Recorder: recorder, Pool: d.backendPool, Seed: seed,
		Peers: d.peerWatcher, PeerClient: fences.NewClient(d.members, peerClient),
		Lenders: slots.NewClient(d.members, peerClient), Hints: leavingHints{d.members},
	})
	d.jobs = jobs.New(jobs.Deps{
		Settings: s, Incarnation: d.incarnation, View: d.config, Hosts: d.hosts, Log: platformLog,
		Workers: workerclient.NewClient(newTransport(workerConns)), Recorder: recorder,
		Logger: prefixed(logger, "job"), Owners: peers.NewJobClient(d.members, peerClient), Seed: seed,
	})
	return d
}

const (
	// refusalWindow is the period over which the status counts refusals.
	refusalWindow = 5 * time.Minute
	// peerConns is the number of idle connections kept open to each peer.
	peerConns = 8
	// workerConns is the number of idle connections kept open to each worker.
	workerConns = 4
	// platformConns is the number of idle connections kept open to the platform.
	platformConns = 4
	// dialTimeout bounds the opening of a connection, so that a network
	// partition is detected long before the operating system's own timeout.
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 90 * time.Second
)

func newClient(idleConns int) *http.Client { return &http.Client{Transport: newTransport(idleConns)} }

// newTransport returns a transport that keeps up to idleConns idle connections
// to each host.
func newTransport(idleConns int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTimeout}
}

func prefixed(l *log.Logger, prefix string) *log.Logger { return l.WithPrefix(prefix) }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Run serves until ctx ends, then stops gracefully: it reports not ready,
// waits until load balancers have noticed, finishes work in flight and closes its
// ports.
func (d *Daemon) Run(ctx context.Context) error {
	d.logger.Info("entry host starts", "host", d.settings.Host, "zone", d.settings.Zone, "incarnation", d.incarnation)
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	go func() {
		<-ctx.Done()
		d.drain()
		stopServing()
	}()
	return supervise.Run(serving, d.logger, d.parts()...)
}

func (d *Daemon) parts() []supervise.Part {
	listen := d.settings.Listen
	return []supervise.Part{
		{Name: "host list", Run: d.hosts.Run},
		{Name: "configuration", Run: d.config.Run},
		{Name: "members", Run: d.members.Run},
		{Name: "fleet", Run: d.peerWatcher.Run},
		{Name: "requests", Run: d.requests.Run},
		{Name: "jobs", Run: d.jobs.Run},
		{Name: "peers port", Run: serveHTTP(listen.Peers, d.peerRoutes()), Restart: supervise.Never},
		{Name: "operators port", Run: serveHTTP(listen.Operators, d.operatorRoutes()), Restart: supervise.Never},
		{Name: "callers port", Run: serveHTTP(listen.Callers, d.callerRoutes()), Restart: supervise.Never},
	}
}

// drain reports not ready for the drain time of the settings, then waits for
// work in flight, at most for the grace time, and answers the callers that still wait.
func (d *Daemon) drain() {
	d.logger.Info("planned stop begins", "drain_ms", d.settings.Stop.DrainMs)
	d.stopping.Store(true)
	time.Sleep(milliseconds(d.settings.Stop.DrainMs))
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(d.settings.Stop.GraceMs))
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return d.requests.Stop(ctx) })
	group.Go(func() error { return d.jobs.Stop(ctx) })
	if err := group.Wait(); err != nil {
		d.logger.Error("planned stop interrupted work in flight", "error", err)
	}
	d.requests.Interrupt()
	d.jobs.Interrupt()
	d.logger.Info("planned stop ends")
}

// notReady returns the reason why this host accepts no work, or nil if it does.
func (d *Daemon) notReady() *errkind.Error {
	switch {
	case d.stopping.Load():
		return errkind.New(errkind.Stopping, "the host is stopping: a planned stop is in progress")
	case d.config.State() == nil:
		return errkind.New(errkind.NotReady, "no configuration yet, neither from the log nor from a peer")
	case len(d.hosts.Hosts()) == 0:
		return errkind.New(errkind.NotReady, "no host list yet")
	case !d.requests.Ready():
		return errkind.New(errkind.NotReady, "the other entry hosts have not yet reported which requests they hold")
	}
	return nil
}

func (d *Daemon) summary() *peerv1.HostSummary {
	s := &peerv1.HostSummary{
		Host: d.settings.Host, Zone: d.settings.Zone, Incarnation: string(d.incarnation),
		Leaving: d.stopping.Load(), UptimeMs: time.Since(d.started).Milliseconds(), Address: d.settings.Listen.Peers,
	}
	if state := d.config.State(); state != nil {
		s.ConfigVersion = state.Version
	}
	return s
}

func (d *Daemon) status() operator.Status {
	s := operator.Status{
		Host: d.settings.Host, Zone: d.settings.Zone, Incarnation: string(d.incarnation),
		LogAgeMs: d.config.LogAge(time.Now()).Milliseconds(), State: d.config.State(),
	}
	if s.State != nil {
		s.Version = s.State.Version
	}
	s.Conditions = d.config.Conditions(time.Now())
	s.Refusals = d.journal.Refusals(refusalWindow)
	for _, p := range d.members.Peers() {
		s.Peers = append(s.Peers, operator.PeerStatus{
			Host: p.Host, Zone: p.Zone, Reachable: p.Reachable, Version: d.members.Version(p.Host),
		})
	}
	s.Conditions = append(s.Conditions, d.requests.Conditions()...)
	return s
}

// leavingHints adapts the members' hints about leaving backend servers to
// requests.Hints.
type leavingHints struct{ *peers.Members }

// LeavingBackends implements requests.Hints.
func (h leavingHints) LeavingBackends() []string {
	var names []string
	for _, hint := range h.Members.LeavingBackends() {
		names = append(names, hint.Backend)
	}
	return names
}

func (d *Daemon) callerRoutes() http.Handler {
	mux := http.NewServeMux()
	d.requests.Routes(mux)
	d.jobs.Routes(mux)
	mux.HandleFunc("GET /v1/ready", d.serveReady)
	refuseOperatorPaths(mux)
	return d.closeWhileStopping(mux)
}

// closeWhileStopping ends the connections of a stopping host with their next answers,
// so that callers open new ones elsewhere before the port closes.
func (d *Daemon) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Daemon) operatorRoutes() http.Handler {
	mux := http.NewServeMux()
	d.operator.Routes(mux)
	mux.Handle("GET "+operator.PathMetrics, expvar.Handler())
	return mux
}

func (d *Daemon) peerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewMemberServiceHandler(d.members))
	mux.Handle(peerv1connect.NewConfigServiceHandler(peers.ConfigHandler{ConfigSince: d.config.Since, HostsSince: d.hosts.Since}))
	mux.Handle(peerv1connect.NewIdentityServiceHandler(fences.Handler{Requests: d.requests}))
	mux.Handle(peerv1connect.NewSlotServiceHandler(slots.Handler{Host: d.settings.Host, Lender: d.requests}))
	mux.Handle(peerv1connect.NewExplainServiceHandler(d.explainer.Handler()))
	mux.Handle(peerv1connect.NewJobServiceHandler(peers.JobHandler{Jobs: d.jobs, Incarnation: d.incarnation}))
	return mux
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := d.notReady(); err != nil {
		errkind.Write(w, "", err, 0)
		return
	}
	// A failed write means that the caller disconnected, so there is nobody to
	// report it to.
	_, _ = fmt.Fprintln(w, "ready")
}
