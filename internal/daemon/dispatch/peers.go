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
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/presence"
	"github.com/parsleyhill/parsleyhill/internal/decide/recovery"
	"github.com/parsleyhill/parsleyhill/internal/decide/topology"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/internal/httpserve"
	"github.com/parsleyhill/parsleyhill/platform"
)

const (
	// peerTimeout is how long a stream may stay silent before it is closed.
	peerTimeout = topology.SilenceTimeout
	// peerDialTimeout and helloTimeout bound the opening of a stream.
	peerDialTimeout = 300 * time.Millisecond
	helloTimeout    = 500 * time.Millisecond
	// lastFramesTimeout bounds the wait for the frames that a peer sent before its stream
	// ended.
	lastFramesTimeout = 50 * time.Millisecond
	// minRedialBackoff is the first delay before a stream is reopened. It doubles
	// with each attempt up to maxRedialBackoff.
	minRedialBackoff = 50 * time.Millisecond
	maxRedialBackoff = time.Second
	// gzipName is the compression that both ends of a stream turn off. Frames are
	// a few hundred bytes, and resetting a compressor costs more processor time
	// than encoding and sending one.
	gzipName = "gzip"
)

// peers holds the streams to other entry hosts. Any goroutine may call run, put,
// remove, count, zoneOf and Exchange; the methods that use links run on the
// dispatcher's loop.
type peers struct {
	self       fleet.Host
	logger     *log.Logger
	dispatcher *Dispatcher
	dial       platform.DialFunc
	// keepStreams keeps a stream when the peer's entry in the store changes to the
	// process that the stream leads to.
	keepStreams bool

	mu sync.Mutex
	// hosts holds the known hosts, dialers those to which this host keeps a
	// stream open.
	hosts   map[string]fleet.Host
	dialers map[string]*dialer
	ctx     context.Context

	links    map[string]*link
	capacity versionedReport
	// createdAt is where the stamps of this host's frames begin.
	createdAt time.Time
	// unsettled is set while this host has stood still and other hosts have not been told
	// that it has settled.
	unsettled bool
}

// dialer keeps a stream to a host. Its fields are guarded by peers.mu.
type dialer struct {
	host   fleet.Host
	cancel context.CancelFunc
	// stream tells which process the open stream leads to.
	stream recovery.Stream
}

// link is one open stream.
type link struct {
	host   fleet.Host
	cancel context.CancelFunc
	wake   chan struct{}

	mu      sync.Mutex
	pending *dispatchv1.Frame

	// The fields below are accessed only by the loop.
	dirty bool
	// deferred is set if the next frame holds messages that the next tick sends.
	deferred    bool
	leaving     bool
	lastContact time.Time
	// clock estimates when the peer sent its frames.
	clock presence.Clock
	// lastReport is when a report was last sent, or left out because nothing had
	// changed. reportVersion is the version that the peer has.
	lastReport time.Time
	// lastFrame is when a frame was last sent.
	lastFrame time.Time
	// fullReport is when a report was last sent.
	fullReport    time.Time
	reportVersion int64
	// exchanged is set if the peer has sent messages since its last report.
	exchanged bool
}

func newPeers(self fleet.Host, logger *log.Logger, dispatcher *Dispatcher, dial platform.DialFunc) *peers {
	return &peers{dial: dial, self: self, logger: logger, dispatcher: dispatcher, hosts: map[string]fleet.Host{}, dialers: map[string]*dialer{}, links: map[string]*link{}, createdAt: time.Now()}
}

// run keeps streams open to the hosts set by put and remove until ctx is done.
func (p *peers) run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.updateDials()
	p.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// put adds or replaces a host.
func (p *peers) put(h fleet.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts[h.Name] == h {
		return
	}
	p.hosts[h.Name] = h
	p.updateDials()
}

// remove removes a host that has left permanently.
func (p *peers) remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, name)
	p.updateDials()
}

// updateDials starts and stops dialers to match the known hosts. Of two hosts,
// the one with the smaller name dials.
func (p *peers) updateDials() {
	if p.ctx == nil {
		return
	}
	wanted := topology.Peers(p.self, p.hosts)
	for name, d := range p.dialers {
		h, ok := wanted[name]
		if ok && p.keepStreams && d.stream.Keep(d.host, h) {
			d.host = h
		}
		if !ok || h != d.host {
			d.cancel()
			delete(p.dialers, name)
		}
	}
	for name, h := range wanted {
		if _, ok := p.dialers[name]; ok || p.self.Name >= name {
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		d := &dialer{host: h, cancel: cancel}
		p.dialers[name] = d
		go p.maintainStream(ctx, d, h)
	}
}

// count returns how many other hosts are known.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.hosts)
}

// zoneOf returns the zone of a host, or "" if the host is unknown.
func (p *peers) zoneOf(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[name].Zone
}

// maintainStream keeps a stream to a host open until ctx is done. It reopens the
// stream with exponential backoff.
func (p *peers) maintainStream(ctx context.Context, d *dialer, h fleet.Host) {
	pause := minRedialBackoff
	for ctx.Err() == nil {
		opened := time.Now()
		err := p.connect(ctx, d, h)
		if time.Since(opened) > peerTimeout {
			pause = minRedialBackoff
		}
		p.logger.Debug("stream ended", "host", h.Name, "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRedialBackoff)
	}
}

// connect opens a stream and serves it until it ends.
func (p *peers) connect(ctx context.Context, d *dialer, h fleet.Host) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Each stream has its own connection, so that a connection that went silent
	// is never reused.
	transport := &http.Transport{DialContext: p.dial, Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	client := dispatchv1connect.NewDispatchServiceClient(&http.Client{Transport: transport}, "http://"+h.Address,
		connect.WithAcceptCompression(gzipName, nil, nil))
	stream := client.Exchange(ctx)
	defer func() {
		// The caller already gets the cause, so errors on close are ignored.
		_ = stream.CloseRequest()
		_ = stream.CloseResponse()
	}()
	greeting := time.AfterFunc(peerDialTimeout+helloTimeout, cancel)
	greeted := time.Now()
	if err := stream.Send(p.hello()); err != nil {
		return err
	}
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	greeting.Stop()
	p.setStream(func() { d.stream.Answered(d.host, first.GetHello().GetIncarnation()) })
	defer p.setStream(d.stream.Ended)
	return p.serve(ctx, cancel, greeted, first, stream.Send, stream.Receive)
}

// setStream changes what is known of a dialer's stream.
func (p *peers) setStream(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// Exchange serves a stream from a host that dialed this one. It implements
// dispatchv1connect.DispatchServiceHandler.
func (p *peers) Exchange(ctx context.Context, stream *connect.BidiStream[dispatchv1.Frame, dispatchv1.Frame]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	greeted := time.Now()
	httpserve.Established(ctx)
	if err := stream.Send(p.hello()); err != nil {
		return err
	}
	return p.serve(ctx, cancel, greeted, first, stream.Send, stream.Receive)
}

func (p *peers) hello() *dispatchv1.Frame {
	return &dispatchv1.Frame{SentMs: p.stamp(time.Now()), Hello: &dispatchv1.Hello{
		Host: p.self.Name, Zone: p.self.Zone, Incarnation: p.self.Incarnation,
	}}
}

var errNoHello = errors.New("first frame of the stream has no hello")

// stamp returns a time as it is sent in frames.
func (p *peers) stamp(at time.Time) int64 { return max(1, at.Sub(p.createdAt).Milliseconds()) }

// serve exchanges frames until the stream ends or ctx is done. The peer has sent its first
// frame at the time greeted at the earliest.
func (p *peers) serve(ctx context.Context, cancel context.CancelFunc, greeted time.Time, first *dispatchv1.Frame,
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
	if first.GetSentMs() > 0 {
		l.clock.Start(greeted, stampOf(first))
	}
	p.dispatcher.post(func(now time.Time) { p.streamOpened(now, l) })
	defer p.dispatcher.post(func(now time.Time) { p.streamClosed(now, l, "stream ended") })
	var receiveErr error
	received := make(chan struct{})
	go func() {
		defer close(received)
		for {
			var frame *dispatchv1.Frame
			if frame, receiveErr = receive(); receiveErr != nil {
				return
			}
			p.dispatcher.post(func(now time.Time) { p.received(now, l, frame) })
		}
	}()
	// What the peer sent before the end counts, although this side notices the end when
	// it sends.
	defer func() {
		select {
		case <-received:
		case <-time.After(lastFramesTimeout):
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-received:
			return receiveErr
		case <-l.wake:
			if err := send(l.popPending()); err != nil {
				return err
			}
		}
	}
}

// popPending returns the pending frame and replaces it with an empty one.
func (l *link) popPending() *dispatchv1.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	frame := l.pending
	l.pending = &dispatchv1.Frame{}
	return frame
}

// add calls put with the next frame and marks the link for the next flush.
func (l *link) add(put func(*dispatchv1.Frame)) {
	l.mu.Lock()
	put(l.pending)
	l.mu.Unlock()
	l.dirty = true
}

// addLater calls put with the next frame, which is sent with the next message that
// cannot wait, or at the next tick.
func (l *link) addLater(put func(*dispatchv1.Frame)) {
	l.mu.Lock()
	put(l.pending)
	l.mu.Unlock()
	l.deferred = true
}

// streamOpened registers a new stream and closes an older one to the same host.
func (p *peers) streamOpened(now time.Time, l *link) {
	if old, ok := p.links[l.host.Name]; ok {
		p.streamClosed(now, old, "replaced by a newer stream")
	}
	l.lastContact = now
	p.links[l.host.Name] = l
	if known := p.dispatcher.core.Evacuations.Changes(); len(known) > 0 {
		l.add(func(f *dispatchv1.Frame) { addMessage(f, now, host.Evacuations{Changes: known}) })
	}
	p.logger.Info("host reached", "host", l.host.Name, "zone", l.host.Zone, "incarnation", l.host.Incarnation)
	p.dispatcher.core.HostReached(l.host.Name)
}

// streamClosed closes a stream. If it was the current one of its host, the host
// is reported to the decisions as lost.
func (p *peers) streamClosed(now time.Time, l *link, why string) {
	l.cancel()
	if p.links[l.host.Name] != l {
		return
	}
	delete(p.links, l.host.Name)
	p.logger.Info("host lost", "host", l.host.Name, "why", why, "heard_ago", now.Sub(l.lastContact))
	p.dispatcher.core.HostLost(now, l.host.Name)
	p.dispatcher.wakeMemberships()
}

// silence returns the time since the last frame from a host, or a negative time if there
// is no stream to it.
func (p *peers) silence(now time.Time, name string) time.Duration {
	if l, ok := p.links[name]; ok {
		return now.Sub(l.lastContact)
	}
	return -1
}

// closeSilent closes the streams that have been silent for peerTimeout.
func (p *peers) closeSilent(now time.Time) {
	for _, l := range p.links {
		if now.Sub(l.lastContact) > peerTimeout {
			p.streamClosed(now, l, "silent")
		}
	}
}

func (p *peers) received(now time.Time, l *link, f *dispatchv1.Frame) {
	if p.links[l.host.Name] != l {
		return
	}
	sentAt := l.sentAt(now, f)
	p.dispatcher.core.HostHeard(l.host.Name, sentAt)
	p.dispatcher.core.HostPresent(l.host.Name, sentAt.Add(-presenceLag(f)))
	l.lastContact = now
	p.dispatcher.load.framesIn++
	p.dispatcher.load.offersIn += len(f.GetOffers())
	for _, m := range messagesFromProto(now, p.self.Name, f) {
		l.exchanged = true
		p.dispatcher.core.Receive(now, l.host.Name, m)
	}
	if r := f.GetRoom(); r != nil {
		p.dispatcher.load.reportsIn++
		if r.GetLeaving() != l.leaving {
			l.leaving = r.GetLeaving()
			p.dispatcher.wakeMemberships()
		}
		p.dispatcher.core.UpdateHost(now, l.host.Name, l.host.Zone, capacityReportFromProto(r))
	} else {
		p.dispatcher.core.Coordinator.HostHeard(now, l.host.Name)
	}
}

// sentAt returns when a frame was sent that is received now. What a peer sends first may
// have waited, too: if its greeting had no stamp, the first frame counts as sent when the
// stream was opened.
func (l *link) sentAt(now time.Time, f *dispatchv1.Frame) time.Time {
	if f.GetSentMs() == 0 {
		return now
	}
	if !l.clock.Started() {
		l.clock.Start(l.lastContact, stampOf(f))
	}
	return l.clock.SentAt(now, stampOf(f))
}

// presenceLag returns by how much the time up to which the sender knows its callers was
// behind when the frame was sent.
func presenceLag(f *dispatchv1.Frame) time.Duration {
	if f.GetPresentMs() == 0 {
		return 0
	}
	return max(0, time.Duration(f.GetSentMs()-f.GetPresentMs())*time.Millisecond)
}

func stampOf(f *dispatchv1.Frame) time.Duration {
	return time.Duration(f.GetSentMs()) * time.Millisecond
}

// send adds a message to the next frame to a host. Without a stream to the host
// it reports the host to the coordinator as lost.
func (p *peers) send(now time.Time, name string, m host.Message) {
	l, ok := p.links[name]
	if !ok {
		p.dispatcher.core.Coordinator.HostLost(now, name)
		return
	}
	put := func(f *dispatchv1.Frame) { addMessage(f, now, m) }
	if mayWait(m) {
		l.addLater(put)
		return
	}
	l.add(put)
}

// mayWait reports whether a message may wait for the next tick: that a task has
// started changes only how urgent the rest of its job is, and whether it is recalled.
func mayWait(m host.Message) bool {
	switch m := m.(type) {
	case host.JobStarted:
		return true
	case offer.Outcome:
		return m.Result == offer.Started
	}
	return false
}

// broadcast adds an inventory, log records or evacuations to the next frame to every host.
// They are encoded once and shared by the frames.
func (p *peers) broadcast(now time.Time, m host.Message) {
	shared := &dispatchv1.Frame{}
	addMessage(shared, now, m)
	for _, l := range p.links {
		l.add(func(f *dispatchv1.Frame) {
			f.Sightings = append(f.Sightings, shared.Sightings...)
			f.Logged = append(f.Logged, shared.Logged...)
			f.Evacuations = append(f.Evacuations, shared.Evacuations...)
		})
	}
}
