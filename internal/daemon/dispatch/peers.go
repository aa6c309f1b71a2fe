package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
	"github.com/parsleyhill/parsleyhill/gen/dispatch/v1/dispatchv1connect"
	"github.com/parsleyhill/parsleyhill/internal/decide/host"
	"github.com/parsleyhill/parsleyhill/internal/decide/topology"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/platform"
)

const (
	// peerSilence is how long a stream may be silent before it is given up:
	// four heartbeats.
	peerSilence = 4 * heartbeatInterval
	// peerDialTimeout and helloTimeout bound the opening of a stream.
	peerDialTimeout = 300 * time.Millisecond
	helloTimeout    = 500 * time.Millisecond
	// redial is the first pause before a stream is opened again, redialMax the
	// longest.
	redial    = 50 * time.Millisecond
	redialMax = time.Second
)

// peers holds the streams to other entry hosts. Its methods, but for put,
// remove, count, zoneOf and Exchange, belong to the loop.
type peers struct {
	self   fleet.Host
	logger *log.Logger
	d      *Dispatcher
	open   platform.DialFunc

	mu sync.Mutex
	// hosts are the known hosts, dials those that are being dialled.
	hosts map[string]fleet.Host
	dials map[string]dial
	ctx   context.Context

	links map[string]*link
}

type dial struct {
	host   fleet.Host
	cancel context.CancelFunc
}

// link is one open stream.
type link struct {
	host   fleet.Host
	cancel context.CancelFunc
	wake   chan struct{}

	mu      sync.Mutex
	pending *dispatchv1.Frame

	// The fields below belong to the loop.
	dirty    bool
	leaving  bool
	heard    time.Time
	reported time.Time
}

func newPeers(self fleet.Host, logger *log.Logger, d *Dispatcher, open platform.DialFunc) *peers {
	return &peers{open: open, self: self, logger: logger, d: d, hosts: map[string]fleet.Host{}, dials: map[string]dial{}, links: map[string]*link{}}
}

// run keeps the streams that put and remove ask for until ctx ends.
func (p *peers) run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.redialAll()
	p.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// put takes a host's entry.
func (p *peers) put(h fleet.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts[h.Name] == h {
		return
	}
	p.hosts[h.Name] = h
	p.redialAll()
}

// remove forgets a host that has left for good.
func (p *peers) remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, name)
	p.redialAll()
}

// redialAll begins and ends dialling as the known hosts ask for. Of two hosts,
// the one with the smaller name dials.
func (p *peers) redialAll() {
	if p.ctx == nil {
		return
	}
	wanted := topology.Peers(p.self, p.hosts)
	for name, d := range p.dials {
		if h, ok := wanted[name]; !ok || h != d.host {
			d.cancel()
			delete(p.dials, name)
		}
	}
	for name, h := range wanted {
		if _, ok := p.dials[name]; ok || p.self.Name >= name {
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		p.dials[name] = dial{host: h, cancel: cancel}
		go p.keepDialling(ctx, h)
	}
}

// count returns how many other hosts are known.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.hosts)
}

// zoneOf returns the zone of a known host, or nothing.
func (p *peers) zoneOf(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[name].Zone
}

// keepDialling keeps one stream to a host open.
func (p *peers) keepDialling(ctx context.Context, h fleet.Host) {
	pause := redial
	for ctx.Err() == nil {
		opened := time.Now()
		err := p.connect(ctx, h)
		if time.Since(opened) > peerSilence {
			pause = redial
		}
		p.logger.Debug("stream ended", "host", h.Name, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, redialMax)
	}
}

// connect opens a stream and serves it until it ends.
func (p *peers) connect(ctx context.Context, h fleet.Host) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Each stream has a connection of its own: a connection that went silent is
	// never used again.
	transport := &http.Transport{DialContext: p.open, Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	client := dispatchv1connect.NewDispatchServiceClient(&http.Client{Transport: transport}, "http://"+h.Address)
	stream := client.Exchange(ctx)
	defer func() {
		// The stream is over either way; why it ended is returned below.
		_ = stream.CloseRequest()
		_ = stream.CloseResponse()
	}()
	greeting := time.AfterFunc(peerDialTimeout+helloTimeout, cancel)
	if err := stream.Send(p.hello()); err != nil {
		return err
	}
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	greeting.Stop()
	return p.serve(ctx, cancel, first, stream.Send, stream.Receive)
}

// Exchange implements the service for hosts that dial this one.
func (p *peers) Exchange(ctx context.Context, stream *connect.BidiStream[dispatchv1.Frame, dispatchv1.Frame]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	if err := stream.Send(p.hello()); err != nil {
		return err
	}
	return p.serve(ctx, cancel, first, stream.Send, stream.Receive)
}

func (p *peers) hello() *dispatchv1.Frame {
	return &dispatchv1.Frame{Hello: &dispatchv1.Hello{
		Host: p.self.Name, Zone: p.self.Zone, Incarnation: p.self.Incarnation,
	}}
}

var errNoHello = errors.New("the first frame of a stream has no hello")

// serve exchanges frames until the stream ends or ctx does.
func (p *peers) serve(ctx context.Context, cancel context.CancelFunc, first *dispatchv1.Frame,
	send func(*dispatchv1.Frame) error, receive func() (*dispatchv1.Frame, error),
) error {
	hello := first.GetHello()
	if hello.GetHost() == "" {
		return errNoHello
	}
	l := &link{
		host:   fleet.Host{Name: hello.GetHost(), Zone: hello.GetZone(), Incarnation: hello.GetIncarnation()},
		cancel: cancel, wake: make(chan struct{}, 1), pending: &dispatchv1.Frame{},
	}
	p.d.post(func(now time.Time) { p.up(now, l) })
	defer p.d.post(func(now time.Time) { p.down(now, l, "stream ended") })
	received := make(chan error, 1)
	go func() {
		for {
			frame, err := receive()
			if err != nil {
				received <- err
				return
			}
			p.d.post(func(now time.Time) { p.received(now, l, frame) })
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-received:
			return err
		case <-l.wake:
			if err := send(l.take()); err != nil {
				return err
			}
		}
	}
}

// take returns what is to be sent.
func (l *link) take() *dispatchv1.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	frame := l.pending
	l.pending = &dispatchv1.Frame{}
	return frame
}

// add puts something into the next frame.
func (l *link) add(put func(*dispatchv1.Frame)) {
	l.mu.Lock()
	put(l.pending)
	l.mu.Unlock()
	l.dirty = true
}

// up takes a new stream. An older one to the same host is given up.
func (p *peers) up(now time.Time, l *link) {
	if old, ok := p.links[l.host.Name]; ok {
		p.down(now, old, "replaced by a newer stream")
	}
	l.heard = now
	p.links[l.host.Name] = l
	p.logger.Info("host reached", "host", l.host.Name, "zone", l.host.Zone, "incarnation", l.host.Incarnation)
}

// down takes the end of a stream.
func (p *peers) down(now time.Time, l *link, why string) {
	l.cancel()
	if p.links[l.host.Name] != l {
		return
	}
	delete(p.links, l.host.Name)
	p.logger.Info("host lost", "host", l.host.Name, "why", why, "heard_ago", now.Sub(l.heard))
	p.d.core.HostLost(now, l.host.Name)
	p.d.kickMemberships()
}

// tick gives up silent streams.
func (p *peers) tick(now time.Time) {
	for _, l := range p.links {
		if now.Sub(l.heard) > peerSilence {
			p.down(now, l, "silent")
		}
	}
}

// flush sends what was added since the last call.
func (p *peers) flush() {
	for _, l := range p.links {
		if !l.dirty {
			continue
		}
		l.dirty = false
		wake(l.wake)
	}
}

func (p *peers) received(now time.Time, l *link, f *dispatchv1.Frame) {
	if p.links[l.host.Name] != l {
		return
	}
	l.heard = now
	for _, m := range messagesFrom(now, p.self.Name, f) {
		p.d.core.Receive(now, l.host.Name, m)
	}
	if r := f.GetRoom(); r != nil {
		if r.GetLeaving() != l.leaving {
			l.leaving = r.GetLeaving()
			p.d.kickMemberships()
		}
		p.d.core.UpdateHost(now, l.host.Name, l.host.Zone, roomFrom(r))
	}
}

// send puts a message into the next frame to a host. If its stream has gone,
// the decisions hear so.
func (p *peers) send(now time.Time, name string, m host.Message) {
	l, ok := p.links[name]
	if !ok {
		p.d.core.Coordinator.HostLost(now, name)
		return
	}
	l.add(func(f *dispatchv1.Frame) { addMessage(f, now, m) })
}

// broadcast puts a sighting or records into the next frame to every host. They
// are encoded once and shared by the frames.
func (p *peers) broadcast(now time.Time, m host.Message) {
	shared := &dispatchv1.Frame{}
	addMessage(shared, now, m)
	for _, l := range p.links {
		l.add(func(f *dispatchv1.Frame) {
			f.Sightings = append(f.Sightings, shared.Sightings...)
			f.Logged = append(f.Logged, shared.Logged...)
		})
	}
}
