package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultLines bounds the lines that wait for the writer: some seconds of a
	// host under its heaviest load.
	DefaultBufferedLines = 4096
	// dropReport is how often dropped lines are reported.
	dropReport = time.Second
)

// Ring writes lines in the background. A line that finds the buffer full is
// dropped and counted, so that logging never blocks.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
}

// NewRing returns a ring that holds up to capacity lines.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	r := &AsyncWriter{out: out, lines: make(chan []byte, capacity), done: make(chan struct{})}
	go r.run()
	return r
}

// Write implements io.Writer; each call is one line.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last report.
func (r *AsyncWriter) Dropped() int64 { return r.dropped.Load() }

// Close writes what is left. No line may be written after it.
func (r *AsyncWriter) Close() error {
	r.close.Do(func() { close(r.lines) })
	<-r.done
	return nil
}

func (r *AsyncWriter) run() {
	defer close(r.done)
	var reported time.Time
	for line := range r.lines {
		batch := r.batch(line)
		// There is no place left to report a failed write to the log.
		_, _ = r.out.Write(batch)
		if r.dropped.Load() > 0 && time.Since(reported) > dropReport {
			reported = time.Now()
			_, _ = fmt.Fprintf(r.out, "level=warn msg=\"log lines dropped\" lines=%d\n", r.dropped.Swap(0))
		}
	}
}

// batchBytes bounds the bytes of one write.
const batchBytes = 32 << 10

// batch joins the lines that wait into one write.
func (r *AsyncWriter) batch(first []byte) []byte {
	batch := first
	for len(batch) < batchBytes {
		select {
		case line, ok := <-r.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
