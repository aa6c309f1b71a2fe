package cli

import (
	"context"
	"errors"
	"time"
)

// poll calls check every pollInterval until it succeeds, wait has passed or ctx
// ends. It returns the last error of check.
func poll(ctx context.Context, wait time.Duration, check func(ctx context.Context) error) error {
	deadline := time.Now().Add(wait)
	for {
		err := check(ctx)
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

// asFailure makes an error that carries an error kind print in the format that
// the client's flags select. It returns other errors unchanged.
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
