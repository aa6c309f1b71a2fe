package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultBufferedLines is the default capacity of an AsyncWriter in lines:
	// the output of a few seconds on a host under its heaviest load.
	DefaultBufferedLines = 4096
	// batchInterval is how long lines are collected for one write. Each write costs a
	// wake-up and a system call.
	batchInterval = 50 * time.Millisecond
	// dropReportInterval is the minimum time between two reports of dropped
	// lines.
	dropReportInterval = time.Second
	// closeTimeout bounds the time in which the last lines are written.
	closeTimeout = 100 * time.Millisecond
)

// AsyncWriter writes lines in the background, so that logging never blocks. If
// its buffer is full, a line is dropped and counted. It is safe for concurrent
// use.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close, done once the lines written before are out.
	closing chan struct{}
	done    chan struct{}
	close   sync.Once
}

// NewAsyncWriter returns a writer to out that buffers up to capacity lines. The
// caller must close it to stop its goroutine.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, capacity), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. Each call must pass one line; the error is always
// nil. A line that is written after Close is dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last report.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines. It waits until they are written, but no longer than
// closeTimeout: the reader of the log may have stopped reading.
func (w *AsyncWriter) Close() error {
	w.close.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

// next returns the next line, or false once the writer is closed and no line is left.
func (w *AsyncWriter) next() ([]byte, bool) {
	select {
	case line := <-w.lines:
		return line, true
	case <-w.closing:
	}
	select {
	case line := <-w.lines:
		return line, true
	default:
		return nil, false
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	var reported time.Time
	for line, ok := w.next(); ok; line, ok = w.next() {
		batch := w.collectBatch(line)
		// A failed write to the log itself cannot be reported anywhere.
		_, _ = w.out.Write(batch)
		if w.dropped.Load() > 0 && time.Since(reported) > dropReportInterval {
			reported = time.Now()
			_, _ = fmt.Fprintf(w.out, "level=warn msg=\"log lines dropped\" lines=%d\n", w.dropped.Swap(0))
		}
	}
}

// maxBatchBytes is the size at which a batch is written. The last line may exceed
// it.
const maxBatchBytes = 32 << 10

// collectBatch joins first and the lines that are buffered batchInterval later, or
// when the writer is closed, into one write.
func (w *AsyncWriter) collectBatch(first []byte) []byte {
	select {
	case <-w.closing:
	case <-time.After(batchInterval):
	}
	batch := first
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
