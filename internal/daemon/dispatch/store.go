package dispatch

import (
	"context"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// memberTTL is how long a silent member keeps its workers; the store may ask
	// for more.
	memberTTL = time.Second
	// joinInterval allows for three joins in a member's time to live.
	joinInterval = 300 * time.Millisecond
	joinTimeout  = 500 * time.Millisecond
	// announceInterval is how often a host's entry is written again, so that it
	// outlasts a store that lost it.
	announceInterval = 20 * time.Second
	announceRetry    = 300 * time.Millisecond
	leaveTimeout     = 300 * time.Millisecond
)

// group names the group, and the topic, of a zone's workers.
func group(zone string) string { return "workers." + zone }

// keepMembership keeps this host in its zone's group until ctx ends.
func (d *Dispatch) keepMembership(ctx context.Context) error {
	zone := d.settings.Zone
	ttl := max(memberTTL, d.settings.MinMemberTTL)
	failed := false
	for {
		if d.leaving.Load() {
			d.leaveGroup(zone)
		} else {
			err := d.join(ctx, zone, ttl)
			if (err != nil) != failed {
				failed = err != nil
				d.logger.Info("membership", "zone", zone, "lost", failed, "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(joinInterval):
		}
	}
}

func (d *Dispatch) join(ctx context.Context, zone string, ttl time.Duration) error {
	var generation int64
	d.ask(func(time.Time) { generation = d.tenure.Generation(zone) })
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	m, err := d.store.Join(ctx, group(zone), d.self.Name, ttl, generation)
	if err != nil {
		return err
	}
	d.post(func(time.Time) {
		if !d.leaving.Load() {
			d.tenure.Joined(zone, m.Generation, m.Partitions)
		}
	})
	return nil
}

// leaveGroup gives the membership up once no worker is held.
func (d *Dispatch) leaveGroup(zone string) {
	holds := false
	d.ask(func(time.Time) {
		d.tenure.Left(zone)
		holds = d.tenure.Holds(zone)
	})
	if holds {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.store.Leave(ctx, group(zone), d.self.Name); err != nil {
		d.logger.Warn("group not left", "zone", zone, "error", err)
	}
}

// announce keeps this host's entry in the store.
func (d *Dispatch) announce(ctx context.Context) error {
	for {
		delay := announceInterval
		if !d.leaving.Load() {
			call, cancel := context.WithTimeout(ctx, joinTimeout)
			if err := d.store.Announce(call, d.self); err != nil {
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

// ConfigChanged implements platform.Events. An older version than the one in
// force is ignored.
func (d *Dispatch) ConfigChanged(c *fleet.Config) {
	old := d.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	d.config.Store(c)
	d.logger.Info("configuration in force", "version", c.Version, "routes", len(c.Routes))
	d.post(func(time.Time) {})
}

// WorkerChanged implements platform.Events.
func (d *Dispatch) WorkerChanged(w fleet.Worker) {
	d.post(func(time.Time) {
		d.tenure.Worker(w)
		d.spread.Worker(w)
	})
}

// WorkerGone implements platform.Events.
func (d *Dispatch) WorkerGone(id string) {
	d.post(func(time.Time) {
		d.tenure.WorkerGone(id)
		d.spread.WorkerGone(id)
	})
}

// WorkersListed implements platform.Events.
func (d *Dispatch) WorkersListed(ids map[string]bool) {
	d.post(func(time.Time) {
		d.listed = true
		for _, id := range d.tenure.Missing(ids) {
			d.tenure.WorkerGone(id)
			d.spread.WorkerGone(id)
		}
	})
}

// HostChanged implements platform.Events.
func (d *Dispatch) HostChanged(h fleet.Host) {
	if h.Name != d.self.Name {
		d.peers.put(h)
	}
}

// HostGone implements platform.Events.
func (d *Dispatch) HostGone(name string) { d.peers.remove(name) }

// StoreFailed implements platform.Events.
func (d *Dispatch) StoreFailed(what string, err error) {
	d.logger.Warn("store lost", "reading", what, "error", err)
}

// StoreBack implements platform.Events.
func (d *Dispatch) StoreBack(what string) { d.logger.Info("store regained", "reading", what) }

// Malformed implements platform.Events.
func (d *Dispatch) Malformed(err error) { d.logger.Warn("record ignored", "error", err) }
