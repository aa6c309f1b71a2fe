package logging

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writes records each write.
type writes struct{ all []string }

func (w *writes) Write(p []byte) (int, error) {
	w.all = append(w.all, string(p))
	return len(p), nil
}

// Each line was a wake-up and a write of its own: some two hundred a second on a host
// with a fifth of a core.
func TestLinesOfABusyHostAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out writes
		w := NewAsyncWriter(&out, DefaultBufferedLines)
		const lines = 200
		for i := range lines {
			_, err := fmt.Fprintf(w, "line %d\n", i)
			require.NoError(t, err)
			time.Sleep(time.Second / lines)
		}
		closed := time.Now()
		require.NoError(t, w.Close())
		assert.Zero(t, time.Since(closed), "Close does not wait for a batch")
		assert.LessOrEqual(t, len(out.all), int(time.Second/batchInterval)+1)
		assert.Equal(t, lines, strings.Count(strings.Join(out.all, ""), "\n"))
	})
}

// Guards against a process that ends by a panic because something is logged while it ends,
// such as a signal.
func TestLineAfterCloseIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out writes
		w := NewAsyncWriter(&out, 4)
		_, _ = fmt.Fprintln(w, "before")
		require.NoError(t, w.Close())
		_, err := fmt.Fprintln(w, "after")
		require.NoError(t, err)
		require.NoError(t, w.Close())
		assert.Equal(t, []string{"before\n"}, out.all)
	})
}

// stuckWriter never returns from a write.
type stuckWriter struct{}

func (stuckWriter) Write([]byte) (int, error) { select {} }

// Guards against a host that has stopped as planned and whose process does not end, since
// the reader of its log has stopped reading.
func TestCloseDoesNotWaitForAStuckReader(t *testing.T) {
	w := NewAsyncWriter(stuckWriter{}, 4)
	_, _ = fmt.Fprintln(w, "line")
	require.NoError(t, w.Close())
}
