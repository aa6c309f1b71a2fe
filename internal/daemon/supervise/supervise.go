// Package supervise runs the parts of a daemon as a supervision tree: parts start
// in order, stop in reverse order, and a failed part is restarted with backoff or
// stops the whole tree.
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

// RestartPolicy determines what happens when a part fails.
type RestartPolicy int

// The restart policies.
const (
	// Always restarts the part with exponential backoff.
	Always RestartPolicy = iota
	// Never stops the tree with the part's error.
	Never
)

const (
	initialRestartDelay = 100 * time.Millisecond
	maxRestartDelay     = 10 * time.Second
)

// Part is a component of a daemon that runs until its context ends.
type Part struct {
	// Name appears in logs and errors.
	Name string
	// Run blocks until its context ends and then returns nil or the context's
	// error. Returning earlier, even with nil, is a failure, as is a panic.
	Run func(ctx context.Context) error
	// Restart is the policy for failures.
	Restart RestartPolicy
}

// Run starts parts in order and blocks until ctx ends or a part with the policy
// Never fails. It then stops the parts in reverse order, waiting for each before
// it stops the next. It returns the error of the failed part, or nil.
func Run(ctx context.Context, logger *log.Logger, parts ...Part) error {
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	stops := make([]func(), 0, len(parts))
	for _, p := range parts {
		partCtx, cancel := context.WithCancel(groupCtx)
		done := make(chan struct{})
		group.Go(func() error {
			defer close(done)
			return runWithRestarts(partCtx, logger, p)
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

// runWithRestarts runs a part until its context ends, restarting it according
// to its policy.
func runWithRestarts(ctx context.Context, logger *log.Logger, p Part) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRestartDelay
	delays.MaxInterval = maxRestartDelay
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

// runOnce runs a part once. It converts a panic to an error, so that a fault in
// one part does not crash the others.
func runOnce(ctx context.Context, p Part) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("panic in %s: %v", p.Name, v)
		}
	}()
	if err := p.Run(ctx); err != nil {
		return err
	}
	return errReturnedEarly
}

var errReturnedEarly = errors.New("part returned before its context ended")
