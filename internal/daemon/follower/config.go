// Package follower keeps an entry host's view of the platform current: it
// applies the configuration stream to the standing configuration, and polls the
// host list.
package follower

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

const (
	// readTimeout bounds one long poll of the log, and one read of the host
	// list.
	readTimeout = 4 * time.Second
	// retryDelay is the time between reads while the log is unavailable.
	retryDelay = 250 * time.Millisecond
)

// The metrics of the package.
var (
	appliedRecords = expvar.NewInt("parsleyhill.config.records")
	rejectedPlans  = expvar.NewInt("parsleyhill.config.rejected")
	snapshotsSent  = expvar.NewInt("parsleyhill.config.snapshots")
	peerFetches    = expvar.NewInt("parsleyhill.config.peer_fetches")
)

// Config follows the configuration stream, or fetches from peers while the
// stream cannot be read. It implements standing.View and is safe for concurrent
// use.
type Config struct {
	self   string
	log    platform.Log
	logger *log.Logger
	state  atomic.Pointer[standing.State]

	// These are set by Attach before Run.
	peers    ConfigPeers
	hosts    *Hosts
	recorder decision.Recorder

	mu      sync.Mutex
	replica config.Replica
	changed chan struct{}
	// lastAnswer is the time of the log's last answer, failingSince the time of
	// the first failed read after it.
	lastAnswer, failingSince time.Time
	// lastSnapshot is the time when a snapshot was last read from the log,
	// snapshotDueSince the time when the next one became due.
	lastSnapshot, snapshotDueSince time.Time
	// emptySince is the time when the log first reported that it never held a
	// record, behindSince the time when a peer first reported a newer version.
	emptySince, behindSince time.Time
}

// NewConfig returns a follower without a configuration. Self is the name of this
// entry host.
func NewConfig(self string, l platform.Log, logger *log.Logger) *Config {
	return &Config{self: self, log: l, logger: logger, changed: make(chan struct{})}
}

// Attach sets the peers, the host list and the recorder of decisions that the
// follower uses besides the log. Each may be nil. It must be called before Run.
func (c *Config) Attach(p ConfigPeers, h *Hosts, r decision.Recorder) {
	c.peers, c.hosts, c.recorder = p, h, r
}

// State implements standing.View. It returns nil before the first configuration
// is known.
func (c *Config) State() *standing.State { return c.state.Load() }

// Health describes how current the configuration in force is.
type Health struct {
	// Offset is the log offset up to which records are applied.
	Offset int64
	// LogAge is the time since the log last answered; 0 if it has not answered
	// yet.
	LogAge time.Duration
	// Gap is set if the log has trimmed records that this host has not read.
	Gap bool
	// Regressed is set if the log has lost records that this host has read.
	Regressed bool
}

// Health returns the follower's health.
func (c *Config) Health(now time.Time) Health {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := Health{Offset: c.replica.Offset(), Gap: c.replica.Gap(), Regressed: c.replica.Regressed()}
	if !c.lastAnswer.IsZero() {
		h.LogAge = now.Sub(c.lastAnswer)
	}
	return h
}

// LogAge returns the time since the log last answered.
func (c *Config) LogAge(now time.Time) time.Duration { return c.Health(now).LogAge }

// Blocked returns the reason why records that are appended now take no effect on
// this host, or "" if they do.
func (c *Config) Blocked() string {
	h := c.Health(time.Now())
	switch {
	case h.Regressed:
		return fmt.Sprintf("the log lost records: it ends before offset %d, which is in force", h.Offset)
	case h.Gap:
		return fmt.Sprintf("the log trimmed records after offset %d that this host has not read; use another entry host", h.Offset)
	}
	return ""
}

// logUnavailableAfter is how long the log may fail to answer before Conditions
// reports it as unavailable.
const logUnavailableAfter = 2 * readTimeout

// Conditions returns the faults that affect the configuration on this host, as
// decision records for an engineer.
func (c *Config) Conditions(now time.Time) []decision.Record {
	h := c.Health(now)
	var out []decision.Record
	add := func(action, why string) {
		out = append(out, decision.Record{
			Time: now, Host: c.self, Part: decision.PartConfig, Action: action, Why: why, Version: c.version(), Subjects: []string{c.self},
		})
	}
	if c.State() == nil {
		add("not ready", "neither the log nor a peer has provided a configuration")
	}
	if h.LogAge >= logUnavailableAfter {
		add("log away", fmt.Sprintf("the log last answered %s ago; the version stays in force", h.LogAge.Round(time.Second)))
	}
	if reason := c.Blocked(); reason != "" {
		add("log broken", reason)
	}
	return out
}

// Run follows the stream, fetches from peers and publishes snapshots until ctx
// ends.
func (c *Config) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.followLog(ctx) })
	group.Go(func() error { return c.maintain(ctx) })
	return group.Wait()
}

func (c *Config) followLog(ctx context.Context) error {
	for ctx.Err() == nil {
		advanced, err := c.readOnce(ctx)
		if err != nil && ctx.Err() == nil {
			c.logReadFailure(err)
		}
		if err != nil || !advanced {
			sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

// readOnce reads and applies one page. It returns false if the next read should
// be delayed, because the log answered at once without new records.
func (c *Config) readOnce(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	c.mu.Lock()
	after := c.replica.ReadAfter()
	c.mu.Unlock()
	startedAt := time.Now()
	page, err := c.log.Read(ctx, platform.StreamConfig, after)
	switch {
	case errors.Is(err, platform.ErrTrimmed):
		return c.handleTrimmed(page), nil
	case err != nil:
		return false, fmt.Errorf("read configuration stream: %w", err)
	}
	return c.applyPage(page) || len(page.Entries) == 0 && time.Since(startedAt) >= retryDelay, nil
}

func (c *Config) logReadFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingSince.IsZero() {
		c.failingSince = time.Now()
		c.logger.Warn("configuration stream cannot be read; the version stays in force", "error", err, "version", c.version())
	}
}

// handleTrimmed handles a read that failed because the records before page.First
// were trimmed. It reports whether the read position changed.
func (c *Config) handleTrimmed(page platform.Page) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordAnswer()
	before := c.replica.ReadAfter()
	c.replica.LogTrimmed(page.First, page.Last)
	if c.replica.Gap() {
		c.logger.Error("log trimmed records that this host has not read", "offset", c.replica.Offset(), "first", page.First)
	}
	c.publish()
	return c.replica.ReadAfter() != before
}

// applyPage applies the records of a page and reports whether the read position
// changed.
func (c *Config) applyPage(page platform.Page) bool {
	p := config.Page{First: page.First, Last: page.Last}
	for _, e := range page.Entries {
		p.Entries = append(p.Entries, config.Entry{Offset: e.Offset, Data: e.Data})
	}
	c.mu.Lock()
	c.recordAnswer()
	before, regressed := c.replica.ReadAfter(), c.replica.Regressed()
	applied := c.replica.ApplyPage(p)
	if c.replica.Regressed() && !regressed {
		c.logger.Error("log lost records; the version stays in force", "offset", c.replica.Offset(), "last", page.Last)
	}
	advanced := c.replica.ReadAfter() != before
	c.publish()
	c.mu.Unlock()
	c.reportApplied(applied)
	return advanced
}

// recordAnswer updates the time of the log's last answer. The caller holds the
// lock.
func (c *Config) recordAnswer() {
	c.lastAnswer = time.Now()
	if !c.failingSince.IsZero() {
		c.logger.Info("configuration stream can be read again", "away", c.lastAnswer.Sub(c.failingSince))
		c.failingSince = time.Time{}
	}
}

// publish puts the replica's state in force and wakes the waiters of Outcome.
// The caller holds the lock.
func (c *Config) publish() {
	if c.replica.State() == c.state.Load() {
		return
	}
	c.state.Store(c.replica.State())
	close(c.changed)
	c.changed = make(chan struct{})
}

// reportApplied counts, logs and records the outcomes of applied records.
func (c *Config) reportApplied(applied []config.Applied) {
	for _, a := range applied {
		appliedRecords.Add(1)
		switch {
		case a.Err != nil:
			c.logger.Error("skipped a record", "offset", a.Outcome.Offset, "error", a.Err)
		case a.Kind == config.KindSnapshot:
			c.handleSnapshot(a.Outcome)
		case a.Plan == nil:
			c.logger.Warn("skipped a record", "offset", a.Outcome.Offset, "reason", a.Outcome.Reason)
		default:
			c.recordPlan(*a.Plan, a.Outcome)
		}
	}
}

func (c *Config) handleSnapshot(o config.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSnapshot, c.snapshotDueSince = time.Now(), time.Time{}
	if !o.Accepted {
		c.logger.Error("snapshot differs from this host's state", "offset", o.Offset, "id", o.ID)
	}
}

func (c *Config) recordPlan(p config.Plan, o config.Outcome) {
	action, why := "accept", fmt.Sprintf("%s confirmed %s on version %d", p.Intent.Operator, p.Intent.Verb, p.Base)
	if !o.Accepted {
		rejectedPlans.Add(1)
		action, why = "reject", o.Reason
	}
	c.record(decision.Record{
		Action: action, Rule: "log order", Why: why, Version: o.Offset, Intent: p.Intent.ID,
		Subjects: p.Subjects(), Customer: p.Intent.Customer,
	})
}

func (c *Config) record(r decision.Record) {
	r.Part = decision.PartConfig
	if c.recorder != nil {
		c.recorder.Record(r)
	}
}

func (c *Config) version() int64 {
	if s := c.State(); s != nil {
		return s.Version
	}
	return 0
}

// Outcome waits until the outcome of the record with the id is known. It returns
// ctx's error if ctx ends first.
func (c *Config) Outcome(ctx context.Context, id string) (config.Outcome, error) {
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		if state := c.State(); state != nil {
			if outcome, ok := state.Outcome(id); ok {
				return outcome, nil
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return config.Outcome{}, ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
