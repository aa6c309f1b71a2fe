// Package follower follows the platform: the configuration stream, folded into
// the standing configuration, and the host list.
package follower

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

const (
	// readWait bounds one waiting read of the log.
	readWait = 4 * time.Second
	// retryDelay is the time between reads while the log is away.
	retryDelay = 250 * time.Millisecond
)

// Config follows the configuration stream. It is a standing.View and safe for
// concurrent use.
type Config struct {
	log    platform.Log
	logger *log.Logger
	state  atomic.Pointer[standing.State]

	mu       sync.Mutex
	offset   int64
	contact  time.Time
	outcomes map[string]config.Outcome
	changed  chan struct{}
}

// NewConfig returns a follower with no state.
func NewConfig(l platform.Log, logger *log.Logger) *Config {
	return &Config{
		log:      l,
		logger:   logger,
		outcomes: map[string]config.Outcome{},
		changed:  make(chan struct{}),
	}
}

// State implements standing.View.
func (c *Config) State() *standing.State { return c.state.Load() }

// Age returns the time since the log last answered.
func (c *Config) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.contact.IsZero() {
		return 0
	}
	return now.Sub(c.contact)
}

// Run follows the stream until ctx ends.
func (c *Config) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := c.readOnce(ctx); err != nil && ctx.Err() == nil {
			c.logger.Warn("log service gives no records", "error", err, "version", c.version())
			sleep(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

func (c *Config) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	c.mu.Lock()
	after := c.offset
	c.mu.Unlock()
	page, err := c.log.Read(ctx, platform.StreamConfig, after)
	if errors.Is(err, platform.ErrTrimmed) {
		c.skipTo(page.First - 1)
		return nil
	}
	if err != nil {
		return fmt.Errorf("read configuration stream: %w", err)
	}
	c.fold(page)
	return nil
}

// skipTo moves to the oldest record held; a snapshot there restores the state.
func (c *Config) skipTo(offset int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset = offset
}

func (c *Config) fold(page platform.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contact = time.Now()
	state := c.state.Load()
	if state == nil {
		state = &standing.State{}
	}
	for _, e := range page.Entries {
		c.offset = e.Offset
		r, err := config.Decode(e.Data)
		if err != nil {
			c.logger.Error("skipped a record", "offset", e.Offset, "error", err)
			continue
		}
		next, outcome := config.Fold(state, e.Offset, r)
		state = next
		if _, ok := c.outcomes[r.ID]; !ok {
			c.outcomes[r.ID] = outcome
		}
		c.logger.Info("folded a record", "id", r.ID, "offset", e.Offset, "accepted", outcome.Accepted, "reason", outcome.Reason)
	}
	c.state.Store(state)
	close(c.changed)
	c.changed = make(chan struct{})
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
		outcome, ok := c.outcomes[id]
		changed := c.changed
		c.mu.Unlock()
		if ok {
			return outcome, nil
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
