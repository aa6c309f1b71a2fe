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
	// readWait bounds one waiting read of the log.
	readWait = 4 * time.Second
	// retryDelay is the time between tries while a service is away.
	retryDelay = 200 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = 4 * time.Second
	// appendInterval is the least time between appends; records that come in
	// between travel together.
	appendInterval = 25 * time.Millisecond
	// batchRecords bounds the records of one append.
	batchRecords = 1000
)

// batch gathers records and appends them together.
type batch struct {
	log  platform.Log
	done func(records []jobs.Record, err error)

	mu      sync.Mutex
	records []jobs.Record
	filled  chan struct{}
}

func newBatch(l platform.Log, done func([]jobs.Record, error)) *batch {
	return &batch{log: l, done: done, filled: make(chan struct{}, 1)}
}

func (b *batch) add(r jobs.Record) {
	b.mu.Lock()
	b.records = append(b.records, r)
	b.mu.Unlock()
	select {
	case b.filled <- struct{}{}:
	default:
	}
}

func (b *batch) take() []jobs.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.records), batchRecords)
	taken := b.records[:n:n]
	b.records = b.records[n:]
	return taken
}

// run appends until ctx ends. One append is under way at a time.
func (b *batch) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.filled:
		}
		for records := b.take(); len(records) > 0; records = b.take() {
			began := time.Now()
			b.done(records, b.append(ctx, records))
			sleep(ctx, appendInterval-time.Since(began))
		}
	}
}

func (b *batch) append(ctx context.Context, records []jobs.Record) error {
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

// appended takes the outcome of one append. A lost reply is no outcome: the
// records are read back, or not.
func (s *Service) appended(records []jobs.Record, err error) {
	switch {
	case err == nil:
		s.do(func(now time.Time) {
			for _, r := range records {
				s.core.AppendSucceeded(now, r)
			}
		})
	case errors.Is(err, platform.ErrUnavailable):
		s.do(func(now time.Time) {
			for _, r := range records {
				s.core.AppendRejected(now, r)
			}
		})
	default:
		metrics.Add("append_replies_lost", 1)
		s.deps.Logger.Warn("the log's reply was lost", "records", len(records), "error", err)
	}
}

// follow reads the job stream until ctx ends.
func (s *Service) follow(ctx context.Context) error {
	var offset int64
	opened := false
	for ctx.Err() == nil {
		page, err := s.read(ctx, offset)
		switch {
		case errors.Is(err, platform.ErrTrimmed):
			s.deps.Logger.Warn("the job stream no longer holds what follows", "offset", offset, "first", page.First)
			offset = page.First - 1
			opened = true
			s.do(func(now time.Time) { s.core.StreamOpened(now, page.First, page.Last) })
		case err != nil && ctx.Err() == nil:
			s.deps.Logger.Warn("job stream gives no records", "error", err)
			sleep(ctx, retryDelay)
		case err == nil:
			if !opened {
				opened = true
				s.do(func(now time.Time) { s.core.StreamOpened(now, page.First, page.Last) })
			}
			offset = s.fold(page, offset)
		}
	}
	return ctx.Err()
}

func (s *Service) read(ctx context.Context, offset int64) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	return s.deps.Log.Read(ctx, platform.StreamJobs, offset)
}

func (s *Service) fold(page platform.Page, offset int64) int64 {
	s.do(func(now time.Time) {
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
