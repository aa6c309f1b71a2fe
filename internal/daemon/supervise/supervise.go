// Package supervise runs the parts of a daemon as a tree: parts start in
// order, stop in reverse order, and a failed part is restarted with backoff or
// ends the whole tree.
package supervise

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"
)

// Restart says what happens when a part fails.
type RestartPolicy int

// The restart rules.
const (
	// Always restarts the part with exponential backoff.
	Always RestartPolicy = iota
	// Never ends the tree with the part's error.
	Never
)

const (
	firstDelay = 100 * time.Millisecond
	maxDelay   = 10 * time.Second
)

// Part is one child of a supervisor.
type Part struct {
	// Name appears in logs and errors.
	Name string
	// Run works until its context ends and then returns nil or the context's
	// error.
	Run func(ctx context.Context) error
	// Restart is the rule for failures.
	Restart RestartPolicy
}

// Run starts parts in order and blocks until ctx ends or a part that is never
// restarted fails. Parts are stopped in reverse order, each before the one
// that started ahead of it.
func Run(ctx context.Context, logger *log.Logger, parts ...Part) error {
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	stops := make([]func(), 0, len(parts))
	for _, p := range parts {
		partCtx, cancel := context.WithCancel(groupCtx)
		done := make(chan struct{})
		group.Go(func() error {
			defer close(done)
			return keep(partCtx, logger, p)
		})
		stops = append(stops, func() {
			cancel()
			<-done
		})
	}
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	for i := len(stops) - 1; i >= 0; i-- {
		stops[i]()
	}
	return group.Wait()
}

// keep runs one part until its context ends, restarting it as its rule says.
func keep(ctx context.Context, logger *log.Logger, p Part) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstDelay
	delays.MaxInterval = maxDelay
	for {
		err := runOnce(ctx, p)
		if ctx.Err() != nil {
			return nil
		}
		if p.Restart == Never {
			return fmt.Errorf("%s stopped: %w", p.Name, err)
		}
		delay := delays.NextBackOff()
		logger.Error("part failed, restarting", "name", p.Name, "error", err, "delay", delay)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(delay):
		}
	}
}

// runOnce turns a panic into an error, so that one part's fault does not take
// the others down.
func runOnce(ctx context.Context, p Part) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("panic in %s: %v", p.Name, v)
		}
	}()
	if err := p.Run(ctx); err != nil {
		return err
	}
	return errEnded
}

var errEnded = errors.New("part ended early")
