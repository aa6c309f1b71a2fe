// Package platform is a small stand-in for the platform's log service and host
// list, with faults that tests and scripts switch on.
package platform

import (
	"context"
	"sync"

	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// stream is one append-only stream with limited retention.
type stream struct {
	first   int64
	entries []platform.Entry
	grown   chan struct{}
}

// Faults are the failures that the stand-in brings about.
type Faults struct {
	// Down refuses every call of the log service.
	Down bool `json:"down"`
	// HostsDown refuses every call of the host list.
	HostsDown bool `json:"hosts_down"`
	// HostsEmpty answers an empty host list.
	HostsEmpty bool `json:"hosts_empty"`
	// LoseReplies performs that many appends and drops the connection in place
	// of the reply.
	LoseReplies int `json:"lose_replies"`
	// SlowMs delays every call of the log service, in milliseconds.
	SlowMs int64 `json:"slow_ms"`
	// Retain keeps that many records a stream; 0 keeps all.
	Retain int `json:"retain"`
}

// Log is an in-memory log service. It implements platform.Log for tests in
// one process. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[platform.Stream]*stream
	faults  Faults
	appends int
}

// NewLog returns an empty log service.
func NewLog() *Log {
	return &Log{streams: map[platform.Stream]*stream{}}
}

// SetFaults replaces the faults in force.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		s.trim(f.Retain)
	}
}

// Faults returns the faults in force.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Lose drops every record, as a service that was restored from nothing.
func (l *Log) DeleteAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		close(s.grown)
	}
	l.streams = map[platform.Stream]*stream{}
}

// Appends returns the number of append calls that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) stream(name platform.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) trim(retain int) {
	if extra := len(s.entries) - retain; retain > 0 && extra > 0 {
		s.entries = s.entries[extra:]
		s.first += int64(extra)
	}
}

func (s *stream) last() int64 { return s.first + int64(len(s.entries)) - 1 }

// Append implements platform.Log.
func (l *Log) Append(_ context.Context, name platform.Stream, records [][]byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, platform.ErrUnavailable
	}
	s := l.stream(name)
	offset := s.last() + 1
	for i, data := range records {
		s.entries = append(s.entries, platform.Entry{Offset: offset + int64(i), Data: data})
	}
	s.trim(l.faults.Retain)
	close(s.grown)
	s.grown = make(chan struct{})
	l.appends++
	if l.faults.LoseReplies > 0 {
		l.faults.LoseReplies--
		return 0, platform.ErrUnknown
	}
	return offset, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, name platform.Stream, after int64) (platform.Page, error) {
	for {
		page, grown, err := l.read(name, after)
		if err != nil || len(page.Entries) > 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return page, nil
		}
	}
}

func (l *Log) read(name platform.Stream, after int64) (platform.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return platform.Page{}, nil, platform.ErrUnavailable
	}
	s := l.stream(name)
	page := platform.Page{First: s.first, Last: s.last()}
	if after+1 < s.first {
		return page, nil, platform.ErrTrimmed
	}
	if skip := after + 1 - s.first; skip < int64(len(s.entries)) {
		page.Entries = s.entries[skip:]
	}
	return page, s.grown, nil
}
