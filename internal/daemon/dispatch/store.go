package dispatch

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/platform"
)

const (
	// memberTTL is how long a silent member keeps its workers; the store may ask
	// for more.
	memberTTL = time.Second
	// joinInterval allows for three joins in a member's time to live.
	joinInterval = 300 * time.Millisecond
	joinTimeout  = 500 * time.Millisecond
	// unsettledInterval is the pause between joins after a group has changed,
	// for unsettledTime: others give partitions up with their next joins.
	unsettledInterval = 60 * time.Millisecond
	unsettledTime     = 500 * time.Millisecond
	// guestDelay is how long a starting host waits before it takes the workers
	// of a zone without a host: hosts start within a few tenths of a second.
	guestDelay = 1500 * time.Millisecond
	// announceInterval is how often a host's entry is written again, so that it
	// outlasts a store that lost it.
	announceInterval = 20 * time.Second
	announceRetry    = 300 * time.Millisecond
	leaveTimeout     = 300 * time.Millisecond
)

// group names the group, and the topic, of a zone's workers.
func group(zone string) string { return "workers." + zone }

// keepMemberships keeps this host in its zone's group, and in the groups of
// zones without a host, until ctx ends.
func (d *Dispatcher) keepMemberships(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, zone := range d.settings.Zones {
		group.Go(func() error { return d.keepMembership(ctx, zone) })
	}
	return group.Wait()
}

// wake wakes who waits on a channel that holds one wake-up.
func wake(waiting chan<- struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

// timeToLive is how long the store keeps this host as a silent member.
func timeToLive(s platform.Settings) time.Duration { return max(memberTTL, s.MinMemberTTL) }

// kickMemberships has every group joined or left at once.
func (d *Dispatcher) kickMemberships() {
	for _, kick := range d.kicks {
		wake(kick)
	}
}

// membership is this host's place in a group.
type membership struct {
	group string
	// dealt takes what a join that was sent at a time was answered.
	dealt func(now, sent time.Time, reply platform.Membership)
	// left lets go of everything.
	left       func()
	generation int64
	// changed is when the generation last changed.
	changed time.Time
	joined  bool
	failed  bool
}

// keepMembership keeps this host in a zone's group as long as it should be.
func (d *Dispatcher) keepMembership(ctx context.Context, zone string) error {
	m := &membership{group: group(zone), dealt: func(_, _ time.Time, r platform.Membership) {
		d.core.Ownership.Joined(zone, r.Generation, r.Partitions)
	}, left: func() { d.core.Ownership.Left(zone) }}
	started := time.Now()
	return d.keepIn(ctx, m, d.kicks[zone], func() bool { return d.wanted(ctx, zone, time.Since(started)) })
}

// keepIn keeps a membership while it is wanted, until ctx ends. A kick, if
// there are any, has it joined or left at once.
func (d *Dispatcher) keepIn(ctx context.Context, m *membership, kicks <-chan struct{}, wanted func() bool) error {
	for {
		switch {
		case wanted():
			d.join(ctx, m)
		case m.joined:
			d.leave(m)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-kicks:
		case <-time.After(m.interval()):
		}
	}
}

// interval is the pause before the next join.
func (m *membership) interval() time.Duration {
	if m.joined && time.Since(m.changed) < unsettledTime {
		return unsettledInterval
	}
	return joinInterval
}

// wanted reports whether this host belongs into a zone's group: into that of
// its own zone, and into those that no other host serves.
func (d *Dispatcher) wanted(ctx context.Context, zone string, uptime time.Duration) bool {
	switch {
	case d.leaving.Load() || !d.logRead.Load():
		// Ends found on workers must be told from those of best-effort jobs.
		return false
	case zone == d.settings.Zone:
		return true
	case uptime < guestDelay:
		return false
	}
	served := true
	d.ask(func(time.Time) { served = d.core.Coordinator.HasHostInZone(zone) })
	return !served && !d.zoneHasOwner(ctx, zone)
}

// zoneHasOwner asks the store whether a host of a zone owns workers there:
// this host may keep no stream to it. Without an answer it is taken to be so.
func (d *Dispatcher) zoneHasOwner(ctx context.Context, zone string) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := d.store.Owners(ctx, group(zone))
	if err != nil {
		d.logger.Warn("owners of a zone not known", "zone", zone, "error", err)
		return true
	}
	for _, owner := range owners {
		if d.peers.zoneOf(owner) == zone {
			return true
		}
	}
	return false
}

func (d *Dispatcher) join(ctx context.Context, m *membership) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := d.store.Join(ctx, m.group, d.self.Name, timeToLive(d.settings), m.generation)
	if (err != nil) != m.failed {
		m.failed = err != nil
		d.logger.Info("membership", "group", m.group, "lost", m.failed, "error", err)
	}
	if err != nil {
		return
	}
	m.joined = true
	if reply.Generation != m.generation {
		m.generation, m.changed = reply.Generation, time.Now()
	}
	d.ask(func(now time.Time) {
		if !d.leaving.Load() {
			m.dealt(now, sent, reply)
		}
	})
}

// leave lets go of what the group dealt and gives the membership up, so that
// another member has it within one join.
func (d *Dispatcher) leave(m *membership) {
	d.ask(func(time.Time) { m.left() })
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.store.Leave(ctx, m.group, d.self.Name); err != nil {
		d.logger.Warn("group not left", "group", m.group, "error", err)
		return
	}
	d.logger.Info("group left", "group", m.group)
	m.joined, m.generation = false, 0
}

// announce keeps this host's entry in the store until ctx ends, and then
// removes it.
func (d *Dispatcher) announce(ctx context.Context) error {
	defer d.retract()
	for {
		delay := announceInterval
		if !d.leaving.Load() {
			call, cancel := context.WithTimeout(ctx, joinTimeout)
			if err := d.store.PutHost(call, d.self); err != nil {
				delay = announceRetry
			}
			cancel()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
}

func (d *Dispatcher) retract() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.store.DeleteHost(ctx, d.self.Name); err != nil {
		d.logger.Warn("entry not removed", "host", d.self.Name, "error", err)
	}
}

// ConfigChanged implements platform.Events. An older version than the one in
// force is ignored.
func (d *Dispatcher) ConfigChanged(c *fleet.Config) {
	old := d.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	d.config.Store(c)
	d.logger.Info("configuration in force", "version", c.Version, "routes", len(c.Routes))
	d.post(func(time.Time) {})
}

// WorkerChanged implements platform.Events.
func (d *Dispatcher) WorkerChanged(w fleet.Worker) {
	d.post(func(time.Time) {
		d.core.UpdateWorker(w)
	})
}

// WorkerGone implements platform.Events.
func (d *Dispatcher) WorkerRemoved(id string) {
	d.post(func(time.Time) {
		d.core.RemoveWorker(id)
	})
}

// WorkersListed implements platform.Events.
func (d *Dispatcher) WorkersListed(ids map[string]bool) {
	d.post(func(time.Time) {
		d.listed = true
		d.core.WorkersListed(ids)
	})
}

// HostChanged implements platform.Events.
func (d *Dispatcher) HostChanged(h fleet.Host) {
	if h.Name != d.self.Name {
		d.peers.put(h)
	}
}

// HostGone implements platform.Events.
func (d *Dispatcher) HostRemoved(name string) { d.peers.remove(name) }

// StoreFailed implements platform.Events.
func (d *Dispatcher) StoreFailed(what string, err error) {
	d.logger.Warn("store lost", "reading", what, "error", err)
}

// StoreBack implements platform.Events.
func (d *Dispatcher) StoreRecovered(what string) { d.logger.Info("store regained", "reading", what) }

// Malformed implements platform.Events.
func (d *Dispatcher) RecordMalformed(err error) { d.logger.Warn("record ignored", "error", err) }
