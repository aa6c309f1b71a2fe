// Package follower follows the platform: the configuration stream, folded into
// the standing configuration, and the host list.
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
	// readWait bounds one waiting read of the log.
	readWait = 4 * time.Second
	// retryDelay is the time between reads while the log is away.
	retryDelay = 250 * time.Millisecond
)

// The metrics of the package.
var (
	foldedRecords = expvar.NewInt("parsleyhill.config.records")
	rejectedPlans = expvar.NewInt("parsleyhill.config.rejected")
	snapshotsSent = expvar.NewInt("parsleyhill.config.snapshots")
	peerFetches   = expvar.NewInt("parsleyhill.config.peer_fetches")
)

// Config follows the configuration stream, or its peers while the stream
// cannot be read. It is a standing.View and safe for concurrent use.
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
	// contact is when the log last answered, failing when it began not to.
	contact, failing time.Time
	// snapshotSeen is when a snapshot was last read from the log, snapshotDue
	// when the next one became due.
	snapshotSeen, snapshotDue time.Time
	// emptySince is when the log first said that it never held a record, and
	// behindSince when a peer first reported a newer version.
	emptySince, behindSince time.Time
}

// NewConfig returns a follower with no state. Self is the entry host's name.
func NewConfig(self string, l platform.Log, logger *log.Logger) *Config {
	return &Config{self: self, log: l, logger: logger, changed: make(chan struct{})}
}

// Attach adds what the follower uses besides the log: its peers, the host list
// and the recorder of decisions. Each may be nil.
func (c *Config) Attach(p ConfigPeers, h *Hosts, r decision.Recorder) {
	c.peers, c.hosts, c.recorder = p, h, r
}

// State implements standing.View.
func (c *Config) State() *standing.State { return c.state.Load() }

// Health says how far the configuration in force can be trusted to be the
// newest.
type Health struct {
	// Offset is the log offset up to which records are folded in.
	Offset int64
	// LogAge is the time since the log last answered, or since the start.
	LogAge time.Duration
	// Gap is set if the log has trimmed records that this host has not seen.
	Gap bool
	// Regressed is set if the log has lost records that this host has seen.
	Regressed bool
}

// Health returns the follower's health.
func (c *Config) Health(now time.Time) Health {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := Health{Offset: c.replica.Offset(), Gap: c.replica.Gap(), Regressed: c.replica.Regressed()}
	if !c.contact.IsZero() {
		h.LogAge = now.Sub(c.contact)
	}
	return h
}

// Age returns the time since the log last answered.
func (c *Config) LogAge(now time.Time) time.Duration { return c.Health(now).LogAge }

// Blocked says why nothing that is appended now takes effect on this host, or
// "".
func (c *Config) Blocked() string {
	h := c.Health(time.Now())
	switch {
	case h.Regressed:
		return fmt.Sprintf("the log lost records: it ends before offset %d, which is in force", h.Offset)
	case h.Gap:
		return fmt.Sprintf("the log trimmed records after offset %d that this host has not seen; ask another entry host", h.Offset)
	}
	return ""
}

// awayAfter is how long the log may be silent before that is a condition.
const awayAfter = 2 * readWait

// Conditions are what an engineer has to know about the configuration here.
func (c *Config) Conditions(now time.Time) []decision.Record {
	h := c.Health(now)
	var out []decision.Record
	note := func(action, why string) {
		out = append(out, decision.Record{
			Time: now, Host: c.self, Part: decision.PartConfig, Action: action, Why: why, Version: c.version(), Subjects: []string{c.self},
		})
	}
	if c.State() == nil {
		note("not ready", "neither the log nor a peer has given a configuration")
	}
	if h.LogAge >= awayAfter {
		note("log away", fmt.Sprintf("the log was heard %s ago, the version stays in force", h.LogAge.Round(time.Second)))
	}
	if reason := c.Blocked(); reason != "" {
		note("log broken", reason)
	}
	return out
}

// Run follows the stream and the peers until ctx ends.
func (c *Config) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.followLog(ctx) })
	group.Go(func() error { return c.tend(ctx) })
	return group.Wait()
}

func (c *Config) followLog(ctx context.Context) error {
	for ctx.Err() == nil {
		moved, err := c.readOnce(ctx)
		if err != nil && ctx.Err() == nil {
			c.noteFailure(err)
		}
		if err != nil || !moved {
			sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

// readOnce reads one page. It returns false if the log has to be left alone
// for a while, because it answered without getting on.
func (c *Config) readOnce(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	c.mu.Lock()
	after := c.replica.ReadAfter()
	c.mu.Unlock()
	began := time.Now()
	page, err := c.log.Read(ctx, platform.StreamConfig, after)
	switch {
	case errors.Is(err, platform.ErrTrimmed):
		return c.trimmed(page), nil
	case err != nil:
		return false, fmt.Errorf("read configuration stream: %w", err)
	}
	return c.take(page) || len(page.Entries) == 0 && time.Since(began) >= retryDelay, nil
}

func (c *Config) noteFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing.IsZero() {
		c.failing = time.Now()
		c.logger.Warn("log service gives no records, the version stays in force", "error", err, "version", c.version())
	}
}

// trimmed notes that records before page.First are gone.
func (c *Config) trimmed(page platform.Page) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered()
	before := c.replica.ReadAfter()
	c.replica.LogTrimmed(page.First, page.Last)
	if c.replica.Gap() {
		c.logger.Error("log trimmed records that this host has not seen", "offset", c.replica.Offset(), "first", page.First)
	}
	c.publish()
	return c.replica.ReadAfter() != before
}

func (c *Config) take(page platform.Page) bool {
	p := config.Page{First: page.First, Last: page.Last}
	for _, e := range page.Entries {
		p.Entries = append(p.Entries, config.Entry{Offset: e.Offset, Data: e.Data})
	}
	c.mu.Lock()
	c.answered()
	before, regressed := c.replica.ReadAfter(), c.replica.Regressed()
	folded := c.replica.ApplyPage(p)
	if c.replica.Regressed() && !regressed {
		c.logger.Error("log lost records, the version stays in force", "offset", c.replica.Offset(), "last", page.Last)
	}
	moved := c.replica.ReadAfter() != before
	c.publish()
	c.mu.Unlock()
	c.note(folded)
	return moved
}

// answered notes that the log answered. The lock is held.
func (c *Config) answered() {
	c.contact = time.Now()
	if !c.failing.IsZero() {
		c.logger.Info("log service answers again", "away", c.contact.Sub(c.failing))
		c.failing = time.Time{}
	}
}

// publish puts the replica's state in force. The lock is held.
func (c *Config) publish() {
	if c.replica.State() == c.state.Load() {
		return
	}
	c.state.Store(c.replica.State())
	close(c.changed)
	c.changed = make(chan struct{})
}

// note records what became of records.
func (c *Config) note(folded []config.Applied) {
	for _, f := range folded {
		foldedRecords.Add(1)
		switch {
		case f.Err != nil:
			c.logger.Error("skipped a record", "offset", f.Outcome.Offset, "error", f.Err)
		case f.Kind == config.KindSnapshot:
			c.sawSnapshot(f.Outcome)
		case f.Plan == nil:
			c.logger.Warn("skipped a record", "offset", f.Outcome.Offset, "reason", f.Outcome.Reason)
		default:
			c.notePlan(*f.Plan, f.Outcome)
		}
	}
}

func (c *Config) sawSnapshot(o config.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshotSeen, c.snapshotDue = time.Now(), time.Time{}
	if !o.Accepted {
		c.logger.Error("snapshot contradicts this host's state", "offset", o.Offset, "id", o.ID)
	}
}

func (c *Config) notePlan(p config.Plan, o config.Outcome) {
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

// Outcome waits until the record's outcome is known.
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
