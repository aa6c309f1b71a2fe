// Package daemon is the root supervisor of an entry host: it builds the parts,
// starts them in order, and stops them in reverse order.
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
	leaving     atomic.Bool

	config   *follower.Config
	hosts    *follower.Hosts
	members  *peers.Members
	fleet    *fences.PeerWatcher
	explain  *peers.Explainer
	requests *requests.Service
	jobs     *jobs.Service
	operator *operator.Service
	pool     *backendpool.Pool
	journal  *journal.Journal
}

// New builds a daemon that does nothing until Run.
func New(s settings.Settings, logger *log.Logger) *Daemon {
	d := &Daemon{
		settings:    s,
		incarnation: ids.NewIncarnation(s.Host),
		logger:      logger,
		started:     time.Now(),
		pool:        backendpool.New(),
	}
	platformClient := newClient(platformConns)
	platformLog := platform.NewHTTPLog(s.Platform.Log, platformClient)
	hostList := platform.NewHTTPHostList(s.Platform.HostList, platformClient)
	d.config = follower.NewConfig(s.Host, platformLog, prefixed(logger, "config"))
	d.hosts = follower.NewHosts(hostList, prefixed(logger, "hosts"), milliseconds(s.Platform.PollMs))

	peerClient := newClient(peerConns)
	record := journal.New(s.Host, logger, d.config, journal.DefaultCapacity)
	d.journal = record
	d.members = peers.NewMembers(s.Host, d.hosts, peerClient, record, d.summary)
	d.fleet = fences.NewPeerWatcher(d.members)
	d.explain = peers.NewExplainer(s.Host, record, d.members, peerClient, d.status)
	d.operator = operator.New(d.config, platformLog, record, d.explain, d.hosts.ListedHosts, d.status)
	d.config.Attach(peers.NewConfigClient(d.members, peerClient), d.hosts, record)
	d.hosts.Attach(peers.NewHostListClient(s.Zone, d.members, s.Seeds, peerClient), record)

	seed := maphash.String(maphash.MakeSeed(), s.Host)
	d.requests = requests.New(requests.Deps{
		Settings: s, Incarnation: d.incarnation, View: d.config, Hosts: d.hosts, Recorder: record, Pool: d.pool, Seed: seed,
		Peers: d.fleet, PeerClient: fences.NewClient(d.members, peerClient),
		Lenders: slots.NewClient(d.members, peerClient), Hints: leavingHints{d.members},
	})
	d.jobs = jobs.New(jobs.Deps{
		Settings: s, Incarnation: d.incarnation, View: d.config, Hosts: d.hosts, Log: platformLog,
		Workers: workerclient.NewClient(newTransport(workerConns)), Recorder: record,
		Logger: prefixed(logger, "job"), Owners: peers.NewJobClient(d.members, peerClient), Seed: seed,
	})
	return d
}

const (
	// refusalWindow is how far back the status counts refusals.
	refusalWindow = 5 * time.Minute
	// peerConns is the number of idle connections kept to one peer.
	peerConns = 8
	// workerConns is the number of idle connections kept to one worker.
	workerConns = 4
	// platformConns is the number of idle connections kept to the platform.
	platformConns = 4
	// dialTimeout bounds the opening of a connection, so that a cut is noticed
	// long before the system's own limit.
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 90 * time.Second
)

func newClient(conns int) *http.Client { return &http.Client{Transport: newTransport(conns)} }

// newTransport returns a transport that keeps up to conns idle connections to
// each host.
func newTransport(conns int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: conns, IdleConnTimeout: idleTimeout}
}

func prefixed(l *log.Logger, prefix string) *log.Logger { return l.WithPrefix(prefix) }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Run serves until ctx ends, then stops gracefully: it reports not ready,
// waits for the balancer, finishes work in flight and closes.
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
		{Name: "fleet", Run: d.fleet.Run},
		{Name: "requests", Run: d.requests.Run},
		{Name: "jobs", Run: d.jobs.Run},
		{Name: "peers port", Run: serveHTTP(listen.Peers, d.peerRoutes()), Restart: supervise.Never},
		{Name: "operators port", Run: serveHTTP(listen.Operators, d.operatorRoutes()), Restart: supervise.Never},
		{Name: "callers port", Run: serveHTTP(listen.Callers, d.callerRoutes()), Restart: supervise.Never},
	}
}

// drain reports not ready and waits for work in flight.
func (d *Daemon) drain() {
	d.logger.Info("planned stop begins", "drain_ms", d.settings.Stop.DrainMs)
	d.leaving.Store(true)
	time.Sleep(milliseconds(d.settings.Stop.DrainMs))
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(d.settings.Stop.GraceMs))
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return d.requests.Stop(ctx) })
	group.Go(func() error { return d.jobs.Stop(ctx) })
	if err := group.Wait(); err != nil {
		d.logger.Error("planned stop cut off work in flight", "error", err)
	}
	d.logger.Info("planned stop ends")
}

// notReady says why this host takes no work, or returns nil.
func (d *Daemon) notReady() *errkind.Error {
	switch {
	case d.leaving.Load():
		return errkind.New(errkind.Stopping, "a planned stop goes on")
	case d.config.State() == nil:
		return errkind.New(errkind.NotReady, "no configuration yet, neither from the log nor from a peer")
	case len(d.hosts.Hosts()) == 0:
		return errkind.New(errkind.NotReady, "no host list yet")
	case !d.requests.Ready():
		return errkind.New(errkind.NotReady, "the other entry hosts have not yet said which requests they hold")
	}
	return nil
}

func (d *Daemon) summary() *peerv1.HostSummary {
	s := &peerv1.HostSummary{
		Host: d.settings.Host, Zone: d.settings.Zone, Incarnation: string(d.incarnation),
		Leaving: d.leaving.Load(), UptimeMs: time.Since(d.started).Milliseconds(), Address: d.settings.Listen.Peers,
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

// leavingHints gives the requests the members' hints as names.
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
	refuseOperators(mux)
	return mux
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
	mux.Handle(peerv1connect.NewExplainServiceHandler(d.explain.Handler()))
	mux.Handle(peerv1connect.NewJobServiceHandler(peers.JobHandler{Jobs: d.jobs, Incarnation: d.incarnation}))
	return mux
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := d.notReady(); err != nil {
		errkind.Write(w, "", err, 0)
		return
	}
	// A failed write means that the caller has gone; there is nobody to tell.
	_, _ = fmt.Fprintln(w, "ready")
}
