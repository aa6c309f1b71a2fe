package dispatch

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/parsleyhill/parsleyhill/internal/decide/ownership"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/platform"
)

const (
	// memberTTL is how long a silent member keeps its workers, unless the store
	// requires a longer time.
	memberTTL = time.Second
	// joinInterval leaves time for three joins within memberTTL.
	joinInterval = 300 * time.Millisecond
	joinTimeout  = 500 * time.Millisecond
	// rebalanceInterval is the time between joins for rebalanceTime after a
	// group has changed: other members release partitions with their next
	// joins.
	rebalanceInterval = 60 * time.Millisecond
	rebalanceTime     = 500 * time.Millisecond
	// foreignZoneDelay is how long a starting host waits before it takes over
	// the workers of another zone that has no host. Hosts that are started
	// together are running within a few tenths of a second.
	foreignZoneDelay = 1500 * time.Millisecond
	// announceRetry is the delay after a failed write of a host's entry.
	announceRetry = 300 * time.Millisecond
	leaveTimeout  = 300 * time.Millisecond
)

// zoneGroup returns the name of the group, and of the topic, of a zone's
// workers.
func zoneGroup(zone string) string { return "workers." + zone }

// runMemberships keeps this host in its zone's group, and in the groups of
// zones without a host, until ctx is done.
func (d *Dispatcher) runMemberships(ctx context.Context) error {
	loops, ctx := errgroup.WithContext(ctx)
	for _, zone := range d.settings.Zones {
		for number := range d.seats(zone) {
			loops.Go(func() error { return d.runZoneMembership(ctx, ownership.Seat{Zone: zone, Number: number}) })
		}
	}
	return loops.Wait()
}

const (
	// seatCores is the number of cores that a host has for each of its seats. The store
	// divides the workers evenly over the members of a group, and an owner uses 4 to 6 ms
	// of processor time a second for each busy worker (docs/incidents/2026-12-05-short.md).
	seatCores = 0.25
	// maxSeats bounds a host's share of its zone's workers, which have no owner for a
	// second or more after its loss.
	maxSeats = 4
	// seatSeparator separates a host's name from the number of a further seat in the
	// names of members.
	seatSeparator = "~"
)

// seats returns the number of this host's memberships in the group of a zone.
func (d *Dispatcher) seats(zone string) int {
	if zone != d.settings.Zone {
		return 1
	}
	return min(maxSeats, max(1, int(d.settings.Cores/seatCores)))
}

// memberName returns the name of a host as a member of a group.
func memberName(host string, seat int) string {
	if seat == 0 {
		return host
	}
	return host + seatSeparator + strconv.Itoa(seat)
}

// hostOfMember returns the host of a member, the inverse of memberName.
func hostOfMember(member string) string {
	if i := strings.LastIndex(member, seatSeparator); i > 0 {
		if n, err := strconv.Atoi(member[i+len(seatSeparator):]); err == nil && n > 0 {
			return member[:i]
		}
	}
	return member
}

// wake sends a wake-up on a channel with a buffer of one. It does nothing if
// one is already pending.
func wake(wakeups chan<- struct{}) {
	select {
	case wakeups <- struct{}{}:
	default:
	}
}

// timeToLive returns how long the store keeps this host as a member after its
// last join.
func timeToLive(s platform.Settings) time.Duration { return max(memberTTL, s.MinMemberTTL) }

// wakeMemberships makes the membership of every zone join or leave at once.
func (d *Dispatcher) wakeMemberships() {
	for _, wakeup := range d.membershipWakeups {
		wake(wakeup)
	}
}

// membership is this host's membership in a group.
type membership struct {
	group, member string
	// onAssigned handles the reply to a join that was sent at the given time.
	onAssigned func(now, sent time.Time, reply platform.Membership)
	// onLeave gives up all partitions.
	onLeave func(now time.Time)
	// givenUp is set once the partitions are handed over: a reply that comes later has no
	// effect.
	givenUp    *atomic.Bool
	generation int64
	// lastChange is when the generation last changed.
	lastChange time.Time
	joined     bool
	failed     bool
}

// runZoneMembership keeps this host a member of a zone's group while shouldJoin
// returns true, until ctx is done.
func (d *Dispatcher) runZoneMembership(ctx context.Context, seat ownership.Seat) error {
	zone := seat.Zone
	m := &membership{group: zoneGroup(zone), member: memberName(d.self.Name, seat.Number), onAssigned: func(now, sent time.Time, r platform.Membership) {
		d.core.Joined(now, sent, seat, r.Generation, r.Partitions)
	}, onLeave: func(time.Time) { d.core.Ownership.Left(seat) }, givenUp: &d.givesUpWorkers}
	started := time.Now()
	return d.maintainMembership(ctx, m, d.membershipWakeups[seat], func() bool { return d.shouldJoin(ctx, zone, time.Since(started)) })
}

// maintainMembership joins a group repeatedly while wanted returns true and
// leaves it otherwise, until ctx is done. A value received from wakeups, which
// may be nil, triggers the next join or leave at once.
func (d *Dispatcher) maintainMembership(ctx context.Context, m *membership, wakeups <-chan struct{}, wanted func() bool) error {
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
		case <-wakeups:
		case <-time.After(m.interval()):
		}
	}
}

// interval returns the time until the next join.
func (m *membership) interval() time.Duration {
	if m.joined && time.Since(m.lastChange) < rebalanceTime {
		return rebalanceInterval
	}
	return joinInterval
}

// shouldJoin reports whether this host should be in a zone's group: in that of
// its own zone, and in those of zones that no other host serves.
func (d *Dispatcher) shouldJoin(ctx context.Context, zone string, uptime time.Duration) bool {
	switch {
	case d.givesUpWorkers.Load() || !d.logRead.Load() || !d.evacuationsListed.Load():
		// Before the job log is read, ended runs of stored jobs that are found on
		// workers cannot be distinguished from those of best-effort jobs. Before the
		// evacuated zones are read, tasks could be started in one of them.
		return false
	case zone == d.settings.Zone:
		return true
	case uptime < foreignZoneDelay:
		return false
	}
	served := true
	d.postAndWait(func(time.Time) { served = d.core.Coordinator.HasHostInZone(zone) })
	return !served && !d.zoneHasOwner(ctx, zone)
}

// zoneHasOwner asks the store whether a host of a zone owns workers there,
// because this host may have no stream to that host. It returns true if the
// store does not answer.
func (d *Dispatcher) zoneHasOwner(ctx context.Context, zone string) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	owners, err := d.store.Owners(ctx, zoneGroup(zone))
	if err != nil {
		d.logger.Warn("failed to read the owners of a zone", "zone", zone, "error", err)
		return true
	}
	for _, owner := range owners {
		if d.peers.zoneOf(hostOfMember(owner)) == zone {
			return true
		}
	}
	return false
}

func (d *Dispatcher) join(ctx context.Context, m *membership) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := d.store.Join(ctx, m.group, m.member, timeToLive(d.settings), m.generation)
	if (err != nil) != m.failed {
		m.failed = err != nil
		d.logger.Info("membership", "group", m.group, "lost", m.failed, "error", err)
	}
	if err != nil {
		return
	}
	if !m.joined {
		m.joined = true
		d.memberships.Add(1)
	}
	if reply.Generation != m.generation {
		m.generation, m.lastChange = reply.Generation, time.Now()
	}
	d.postAndWait(func(now time.Time) {
		if !m.givenUp.Load() {
			m.onAssigned(now, sent, reply)
		}
	})
}

// leave releases the assigned partitions and ends the membership, so that other
// members get the partitions with their next join.
func (d *Dispatcher) leave(m *membership) {
	d.postAndWait(m.onLeave)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.store.Leave(ctx, m.group, m.member); err != nil {
		d.logger.Warn("failed to leave group", "group", m.group, "error", err)
		return
	}
	d.logger.Info("group left", "group", m.group)
	m.joined, m.generation = false, 0
	d.memberships.Add(-1)
	wake(d.left)
}

// announce writes this host's entry to the store, and again whenever the entry
// is found removed: a removal by an earlier process of this host may arrive late.
// Once ctx is done it removes the entry.
func (d *Dispatcher) announce(ctx context.Context) error {
	defer d.deleteHost()
	for {
		var retry <-chan time.Time
		if !d.leaving.Load() {
			call, cancel := context.WithTimeout(ctx, joinTimeout)
			if err := d.store.PutHost(call, d.self); err != nil {
				d.logger.Warn("failed to write the host entry", "host", d.self.Name, "error", err)
				retry = time.After(announceRetry)
			}
			cancel()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-retry:
		case <-d.entryRemoved:
		}
	}
}

func (d *Dispatcher) deleteHost() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.store.DeleteHost(ctx, d.self.Name); err != nil {
		d.logger.Warn("failed to remove the host entry", "host", d.self.Name, "error", err)
	}
}

// ConfigChanged implements platform.EventHandler. It ignores versions that are
// not newer than the one in force.
func (d *Dispatcher) ConfigChanged(c *fleet.Config) {
	old := d.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	d.config.Store(c)
	d.logger.Info("configuration in force", "version", c.Version, "routes", len(c.Routes))
	d.post(func(time.Time) {})
}

// WorkersChanged implements platform.EventHandler. Each worker writes its entry at
// every heartbeat, so that one read returns those of hundreds.
func (d *Dispatcher) WorkersChanged(changes []platform.WorkerChange) {
	d.post(func(now time.Time) {
		for _, c := range changes {
			if c.Worker != nil {
				d.core.UpdateWorker(now, *c.Worker)
			} else {
				d.core.RemoveWorker(c.ID)
			}
		}
	})
}

// WorkersListed implements platform.EventHandler.
func (d *Dispatcher) WorkersListed(ids map[string]bool) {
	d.post(func(time.Time) {
		d.workersListed = true
		d.core.WorkersListed(ids)
	})
}

// HostChanged implements platform.EventHandler.
func (d *Dispatcher) HostChanged(h fleet.Host) {
	if h.Name != d.self.Name {
		d.peers.put(h)
	}
}

// HostRemoved implements platform.EventHandler.
func (d *Dispatcher) HostRemoved(name string) {
	if name == d.self.Name {
		wake(d.entryRemoved)
		return
	}
	d.peers.remove(name)
}

// StoreFailed implements platform.EventHandler.
func (d *Dispatcher) StoreFailed(topic string, err error) {
	d.logger.Warn("store lost", "reading", topic, "error", err)
}

// StoreRecovered implements platform.EventHandler.
func (d *Dispatcher) StoreRecovered(topic string) { d.logger.Info("store regained", "reading", topic) }

// RecordMalformed implements platform.EventHandler.
func (d *Dispatcher) RecordMalformed(err error) {
	d.logger.Warn("malformed record ignored", "error", err)
}
