package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

const (
	// readTimeout bounds one long poll of the log.
	readTimeout = 4 * time.Second
	// retryDelay is the time between attempts while the log or a worker is
	// unavailable.
	retryDelay = 200 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = 4 * time.Second
	// appendInterval is the minimum time between the starts of two appends;
	// records that are added in between are appended together.
	appendInterval = 25 * time.Millisecond
	// maxBatchRecords bounds the number of records in one append.
	maxBatchRecords = 1000
)

// batcher collects records and appends them to the job stream in batches.
type batcher struct {
	log      platform.Log
	onAppend func(records []jobs.Record, err error)

	mu      sync.Mutex
	records []jobs.Record
	// added signals that records is not empty.
	added chan struct{}
}

func newBatcher(l platform.Log, done func([]jobs.Record, error)) *batcher {
	return &batcher{log: l, onAppend: done, added: make(chan struct{}, 1)}
}

func (b *batcher) add(r jobs.Record) {
	b.mu.Lock()
	b.records = append(b.records, r)
	b.mu.Unlock()
	select {
	case b.added <- struct{}{}:
	default:
	}
}

func (b *batcher) next() []jobs.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.records), maxBatchRecords)
	batch := b.records[:n:n]
	b.records = b.records[n:]
	return batch
}

// run appends batches until ctx ends, one at a time.
func (b *batcher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.added:
		}
		for records := b.next(); len(records) > 0; records = b.next() {
			startedAt := time.Now()
			b.onAppend(records, b.append(ctx, records))
			sleep(ctx, appendInterval-time.Since(startedAt))
		}
	}
}

func (b *batcher) append(ctx context.Context, records []jobs.Record) error {
	data := make([][]byte, len(records))
	for i, r := range records {
		encoded, err := r.Encode()
		if err != nil {
			return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
		}
		data[i] = encoded
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	metrics.Add("appends", 1)
	metrics.Add("records", int64(len(records)))
	_, err := b.log.Append(ctx, platform.StreamJobs, data)
	return err
}

// handleAppend passes the outcome of one append to the core. A lost reply leaves
// the outcome open: the records were appended if they are read back from the
// stream.
func (s *Service) handleAppend(records []jobs.Record, err error) {
	switch {
	case err == nil:
		s.handleEvent(func(now time.Time) {
			for _, r := range records {
				s.core.AppendSucceeded(now, r)
			}
		})
	case errors.Is(err, platform.ErrUnavailable):
		s.handleEvent(func(now time.Time) {
			for _, r := range records {
				s.core.AppendRejected(now, r)
			}
		})
	default:
		metrics.Add("append_replies_lost", 1)
		s.deps.Logger.Warn("append to the job stream has an unknown outcome", "records", len(records), "error", err)
	}
}

// followStream reads the job stream and applies its records until ctx ends.
func (s *Service) followStream(ctx context.Context) error {
	var offset int64
	opened := false
	for ctx.Err() == nil {
		page, err := s.readPage(ctx, offset)
		switch {
		case errors.Is(err, platform.ErrTrimmed):
			s.deps.Logger.Warn("job stream was trimmed; skipping to its first record", "offset", offset, "first", page.First)
			offset = page.First - 1
			opened = true
			s.handleEvent(func(now time.Time) { s.core.StreamOpened(now, page.First, page.Last) })
		case err != nil && ctx.Err() == nil:
			s.deps.Logger.Warn("job stream cannot be read", "error", err)
			sleep(ctx, retryDelay)
		case err == nil:
			if !opened {
				opened = true
				s.handleEvent(func(now time.Time) { s.core.StreamOpened(now, page.First, page.Last) })
			}
			offset = s.applyPage(page, offset)
		}
	}
	return ctx.Err()
}

func (s *Service) readPage(ctx context.Context, offset int64) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.deps.Log.Read(ctx, platform.StreamJobs, offset)
}

// applyPage passes the records of a page to the core and returns the offset of
// the last one.
func (s *Service) applyPage(page platform.Page, offset int64) int64 {
	s.handleEvent(func(now time.Time) {
		for _, e := range page.Entries {
			offset = e.Offset
			r, err := jobs.DecodeRecord(e.Data)
			if err != nil {
				s.deps.Logger.Error("skipped a job record", "offset", e.Offset, "error", err)
				continue
			}
			s.core.ApplyRecord(now, e.Offset, r)
		}
	})
	return offset
}
