package supervise

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

func discardLogger() *log.Logger { return log.New(io.Discard) }

func TestPartsStopInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped []string
		part := func(name string) Part {
			return Part{Name: name, Run: func(ctx context.Context) error {
				<-ctx.Done()
				stopped = append(stopped, name)
				return ctx.Err()
			}}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.NoError(t, Run(ctx, discardLogger(), part("a"), part("b"), part("c")))
		require.Equal(t, []string{"c", "b", "a"}, stopped)
	})
}

func TestFailedPartIsRestartedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starts := 0
		p := Part{Name: "p", Run: func(ctx context.Context) error {
			starts++
			if starts < 3 {
				panic("failure")
			}
			<-ctx.Done()
			return nil
		}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.NoError(t, Run(ctx, discardLogger(), p))
		require.Equal(t, 3, starts)
	})
}

func TestNeverRestartedPartEndsTheTree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failure := errors.New("failure")
		p := Part{Name: "p", Restart: Never, Run: func(context.Context) error { return failure }}
		q := Part{Name: "q", Run: func(ctx context.Context) error { <-ctx.Done(); return nil }}
		require.ErrorIs(t, Run(t.Context(), discardLogger(), q, p), failure)
	})
}
