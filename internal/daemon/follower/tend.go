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
	// tendInterval is the time between looks at peers and snapshots.
	tendInterval = 500 * time.Millisecond
	// behindGrace is how long a peer may be ahead before it is asked.
	behindGrace = time.Second
	// freshWait is how long a host waits for a peer before it takes an empty
	// log for a new one.
	freshWait = 10 * time.Second
	// appendWait bounds the append of a snapshot.
	appendWait = 2 * time.Second
)

// Fetched is what a peer holds beyond an offset.
type ConfigDelta struct {
	// Host is the peer's name.
	Host string
	// Offset is the peer's own offset; 0 if it has no configuration.
	Offset int64
	// Snapshot is set if the peer no longer holds the records.
	Snapshot *standing.State
	Entries  []config.Entry
}

// Peers are the other entry hosts as sources of configuration.
type ConfigPeers interface {
	// NewestVersion returns the newest version that a reachable peer reported.
	NewestVersion() int64
	// FetchConfig asks the peer that reported the newest version, or any other
	// if none did, for what it holds after the offset. Chain identifies the
	// records up to there.
	FetchConfig(ctx context.Context, after int64, chain string) (ConfigDelta, error)
}

// tend fetches from peers what the log does not give, and publishes snapshots.
func (c *Config) tend(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.peers != nil && c.needsPeers(time.Now()) {
			c.fetch(ctx)
		}
		c.startFresh(time.Now())
		c.sendSnapshot(ctx)
		sleep(ctx, tendInterval)
	}
	return ctx.Err()
}

// needsPeers reports whether a peer has to be asked.
func (c *Config) needsPeers(now time.Time) bool {
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
	logAway := !c.failing.IsZero() || c.replica.Gap() || c.replica.Regressed()
	return logAway || now.Sub(c.behindSince) >= behindGrace
}

func (c *Config) fetch(ctx context.Context) {
	c.mu.Lock()
	after, chain := c.replica.Offset(), c.replica.Chain()
	c.mu.Unlock()
	peerFetches.Add(1)
	got, err := c.peers.FetchConfig(ctx, after, chain)
	if err != nil {
		c.logger.Debug("peer gives no configuration", "error", err)
		return
	}
	c.mu.Lock()
	folded, newer := c.replica.ApplyPeer(got.Snapshot, got.Entries)
	if c.replica.State() == nil && got.Offset == 0 && c.replica.LogEmpty() && !c.contact.IsZero() {
		// The log never held a record and the peer knows none either.
		c.replica.StartEmpty()
	}
	c.publish()
	c.mu.Unlock()
	c.note(folded)
	if newer {
		c.record(decision.Record{
			Action: "take from peer", Rule: "offset decides", Subjects: []string{got.Host, c.self},
			Why: fmt.Sprintf("%s holds offset %d, this host held %d", got.Host, got.Offset, after),
		})
	}
}

// startFresh takes an empty log for a new one if no peer can say otherwise.
func (c *Config) startFresh(now time.Time) {
	alone := c.peers == nil || c.hosts != nil && c.hosts.loneEntry(c.self)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replica.State() != nil || c.contact.IsZero() || !c.replica.LogEmpty() {
		c.emptySince = time.Time{}
		return
	}
	if c.emptySince.IsZero() {
		c.emptySince = now
	}
	if alone || now.Sub(c.emptySince) >= freshWait {
		c.replica.StartEmpty()
		c.publish()
		c.logger.Info("log is empty, starting with the empty configuration")
	}
}

// sendSnapshot publishes the state when that is due and this host's turn.
func (c *Config) sendSnapshot(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	if c.snapshotSeen.IsZero() {
		c.snapshotSeen = now
	}
	rule := c.replica.SnapshotDue(now.Sub(c.snapshotSeen))
	switch {
	case rule == "":
		c.snapshotDue = time.Time{}
	case c.snapshotDue.IsZero():
		c.snapshotDue = now
	}
	turn := c.turn()
	if rule == "" || now.Sub(c.snapshotDue) < turn {
		c.mu.Unlock()
		return
	}
	// Another turn begins if this one fails.
	c.snapshotDue = now.Add(freshWait)
	r := c.replica.Snapshot(ids.New("snapshot"))
	c.mu.Unlock()
	c.appendSnapshot(ctx, r, rule)
}

// turn returns how long this host waits for others to publish a snapshot. The
// lock is held.
func (c *Config) turn() time.Duration {
	var entries []string
	if c.hosts != nil {
		for _, h := range c.hosts.Hosts() {
			if h.Role == platform.RoleEntry && h.State == platform.HostLive {
				entries = append(entries, h.Name)
			}
		}
	}
	return config.SnapshotDelay(c.self, entries, c.replica.Offset())
}

func (c *Config) appendSnapshot(ctx context.Context, r config.Record, rule string) {
	data, err := r.Encode()
	if err != nil {
		c.logger.Error("snapshot cannot be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	if _, err := c.log.Append(ctx, platform.StreamConfig, [][]byte{data}); err != nil {
		c.logger.Warn("snapshot may not have been recorded", "error", err)
		return
	}
	snapshotsSent.Add(1)
	c.record(decision.Record{
		Action: "publish snapshot", Rule: rule, Subjects: []string{c.self, r.ID},
		Why: fmt.Sprintf("state of offset %d in %d bytes", r.Snapshot.Offset, len(data)),
	})
}

// Since returns what this host holds after the offset: the records, or the
// whole state if the records are gone or the asker's are others, and its own
// offset.
func (c *Config) Since(after int64, chain string) ConfigDelta {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := ConfigDelta{Host: c.self, Offset: c.replica.Offset()}
	f.Snapshot, f.Entries = c.replica.RecordsSince(after, chain)
	return f
}
