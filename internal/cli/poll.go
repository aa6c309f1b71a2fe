package cli

import (
	"context"
	"errors"
	"time"
)

// poll calls look until it succeeds or wait has passed. It returns the last
// error of look.
func poll(ctx context.Context, wait time.Duration, look func(ctx context.Context) error) error {
	deadline := time.Now().Add(wait)
	for {
		err := look(ctx)
		if err == nil || time.Until(deadline) < pollInterval {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// mark makes an error of a known kind print as the client's flags say.
func (c *client) asFailure(err error) error {
	var failed *failure
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failed):
		failed.asJSON = c.asJSON
		return failed
	case hasKind(err):
		return &failure{err: err, asJSON: c.asJSON}
	}
	return err
}
