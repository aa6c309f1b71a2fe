package follower

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

const (
	// maintainInterval is the time between checks whether to fetch from a peer
	// and whether a snapshot is due.
	maintainInterval = 500 * time.Millisecond
	// behindGrace is how long a peer may report a newer version, while the log
	// can be read, before this host fetches from it.
	behindGrace = time.Second
	// emptyLogGrace is how long a host waits for a peer to provide a
	// configuration before it treats an empty log as new. It is also the delay
	// before the next attempt to publish a snapshot.
	emptyLogGrace = 10 * time.Second
	// appendTimeout bounds the append of a snapshot.
	appendTimeout = 2 * time.Second
)

// ConfigDelta is the configuration that a host holds beyond an offset.
type ConfigDelta struct {
	// Host is the name of that host.
	Host string
	// Offset is the host's own offset; 0 if it has no configuration.
	Offset int64
	// Snapshot is set if the host cannot provide the records, see Config.Since.
	Snapshot *standing.State
	// Entries are the records beyond the offset.
	Entries []config.Entry
}

// ConfigPeers fetches the configuration from other entry hosts.
type ConfigPeers interface {
	// NewestVersion returns the newest version that a reachable peer reported.
	NewestVersion() int64
	// FetchConfig fetches the configuration after the offset from the peer that
	// reported the newest version, or from any peer if none did. Chain
	// identifies the records up to the offset.
	FetchConfig(ctx context.Context, after int64, chain string) (ConfigDelta, error)
}

// maintain fetches from peers what the log does not provide, starts an empty
// configuration if the log is new, and publishes snapshots.
func (c *Config) maintain(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.peers != nil && c.shouldFetch(time.Now()) {
			c.fetchFromPeer(ctx)
		}
		c.startEmpty(time.Now())
		c.publishSnapshot(ctx)
		sleep(ctx, maintainInterval)
	}
	return ctx.Err()
}

// shouldFetch reports whether to fetch the configuration from a peer: if this
// host has none, or if a peer is ahead and the log cannot be read or has not
// caught up within behindGrace.
func (c *Config) shouldFetch(now time.Time) bool {
	ahead := c.peers.NewestVersion() > c.version()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replica.State() == nil {
		return true
	}
	if !ahead {
		c.behindSince = time.Time{}
		return false
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	logAway := !c.failingSince.IsZero() || c.replica.Gap() || c.replica.Regressed()
	return logAway || now.Sub(c.behindSince) >= behindGrace
}

func (c *Config) fetchFromPeer(ctx context.Context) {
	c.mu.Lock()
	after, chain := c.replica.Offset(), c.replica.Chain()
	c.mu.Unlock()
	peerFetches.Add(1)
	delta, err := c.peers.FetchConfig(ctx, after, chain)
	if err != nil {
		c.logger.Debug("no peer provides a configuration", "error", err)
		return
	}
	c.mu.Lock()
	applied, newer := c.replica.ApplyPeer(delta.Snapshot, delta.Entries)
	if c.replica.State() == nil && delta.Offset == 0 && c.replica.LogEmpty() && !c.lastAnswer.IsZero() {
		// The log never held a record, and the peer has no configuration either.
		c.replica.StartEmpty()
	}
	c.publish()
	c.mu.Unlock()
	c.reportApplied(applied)
	if newer {
		c.record(decision.Record{
			Action: "take from peer", Rule: "offset decides", Subjects: []string{delta.Host, c.self},
			Why: fmt.Sprintf("%s holds offset %d, this host held %d", delta.Host, delta.Offset, after),
		})
	}
}

// startEmpty starts with the empty configuration if the log never held a record
// and no peer has provided a configuration within emptyLogGrace, or if there is
// no other entry host.
func (c *Config) startEmpty(now time.Time) {
	alone := c.peers == nil || c.hosts != nil && c.hosts.onlyEntryHost(c.self)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replica.State() != nil || c.lastAnswer.IsZero() || !c.replica.LogEmpty() {
		c.emptySince = time.Time{}
		return
	}
	if c.emptySince.IsZero() {
		c.emptySince = now
	}
	if alone || now.Sub(c.emptySince) >= emptyLogGrace {
		c.replica.StartEmpty()
		c.publish()
		c.logger.Info("log is empty; starting with the empty configuration")
	}
}

// publishSnapshot appends a snapshot of the state to the log if one is due and
// this host's delay has passed. Each host has its own delay, so that usually
// one host publishes.
func (c *Config) publishSnapshot(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	if c.lastSnapshot.IsZero() {
		c.lastSnapshot = now
	}
	rule := c.replica.SnapshotDue(now.Sub(c.lastSnapshot))
	switch {
	case rule == "":
		c.snapshotDueSince = time.Time{}
	case c.snapshotDueSince.IsZero():
		c.snapshotDueSince = now
	}
	delay := c.snapshotDelay()
	if rule == "" || now.Sub(c.snapshotDueSince) < delay {
		c.mu.Unlock()
		return
	}
	// If this attempt fails, the delay starts again after emptyLogGrace.
	c.snapshotDueSince = now.Add(emptyLogGrace)
	r := c.replica.Snapshot(ids.New("snapshot"))
	c.mu.Unlock()
	c.appendSnapshot(ctx, r, rule)
}

// snapshotDelay returns how long this host waits for other hosts to publish a
// due snapshot. The caller holds the lock.
func (c *Config) snapshotDelay() time.Duration {
	var entryHosts []string
	if c.hosts != nil {
		for _, h := range c.hosts.Hosts() {
			if h.Role == platform.RoleEntry && h.State == platform.HostLive {
				entryHosts = append(entryHosts, h.Name)
			}
		}
	}
	return config.SnapshotDelay(c.self, entryHosts, c.replica.Offset())
}

func (c *Config) appendSnapshot(ctx context.Context, r config.Record, rule string) {
	data, err := r.Encode()
	if err != nil {
		c.logger.Error("snapshot cannot be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.log.Append(ctx, platform.StreamConfig, [][]byte{data}); err != nil {
		c.logger.Warn("append of a snapshot failed; it may have been recorded", "error", err)
		return
	}
	snapshotsSent.Add(1)
	c.record(decision.Record{
		Action: "publish snapshot", Rule: rule, Subjects: []string{c.self, r.ID},
		Why: fmt.Sprintf("state of offset %d in %d bytes", r.Snapshot.Offset, len(data)),
	})
}

// Since returns the configuration that this host holds after the offset: the
// records, or the whole state if this host no longer holds them or if chain
// shows that the requester's records up to the offset differ. It also returns
// this host's own offset.
func (c *Config) Since(after int64, chain string) ConfigDelta {
	c.mu.Lock()
	defer c.mu.Unlock()
	delta := ConfigDelta{Host: c.self, Offset: c.replica.Offset()}
	delta.Snapshot, delta.Entries = c.replica.RecordsSince(after, chain)
	return delta
}
