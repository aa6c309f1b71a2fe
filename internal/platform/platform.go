// Package platform holds the interfaces to the platform's services: the
// append-only log and the host list. The adapters are in files of their own.
package platform

import (
	"context"
	"errors"
)

// Stream names a stream of the log service.
type Stream string

// The streams in use.
const (
	// StreamConfig carries operators' configuration records and snapshots.
	StreamConfig Stream = "config"
	// StreamJobs carries job claims and closings.
	StreamJobs Stream = "jobs"
)

// Errors of the log service.
var (
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrUnknown means that the call may have taken effect.
	ErrUnknown = errors.New("log service reply lost")
	// ErrTrimmed means that the records at the offset are no longer held.
	ErrTrimmed = errors.New("log records trimmed")
)

// Entry is one record of a stream with its offset. Offsets start at 1 and
// grow by one.
type Entry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of a read.
type Page struct {
	// Entries are in offset order.
	Entries []Entry `json:"entries"`
	// First is the oldest offset still held, or 0 in an empty stream.
	First int64 `json:"first"`
	// Last is the newest offset, or 0 in an empty stream.
	Last int64 `json:"last"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append writes records in order and returns the offset of the first one.
	// It returns ErrUnavailable if nothing was written, ErrUnknown if the
	// records may have been written.
	Append(ctx context.Context, s Stream, records [][]byte) (int64, error)
	// Read returns entries after the offset, waiting up to the context's
	// deadline for the first one. It returns ErrTrimmed with First set if
	// entries after the offset are gone.
	Read(ctx context.Context, s Stream, after int64) (Page, error)
}

// Role is what a host does.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
	RoleWorker  Role = "worker"
)

// HostState is the platform's view of a host.
type HostState string

// The host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one row of the host list.
type Host struct {
	Name    string    `json:"name"`
	Role    Role      `json:"role"`
	Zone    string    `json:"zone"`
	Rack    string    `json:"rack,omitempty"`
	Address string    `json:"address"`
	State   HostState `json:"state"`
	// Customer is the customer a backend server belongs to.
	Customer string `json:"customer,omitempty"`
	// Slots is how many requests a backend server runs at once.
	Slots int `json:"slots,omitempty"`
	// Cores, MemoryMB and Accelerators are a worker's capacity.
	Cores        int `json:"cores,omitempty"`
	MemoryMB     int `json:"memory_mb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Hosts is one reading of the host list. An empty reading is an outage.
type Hosts struct {
	Version int64  `json:"version"`
	Hosts   []Host `json:"hosts"`
}

// HostList is the platform's lagging list of hosts.
type HostList interface {
	// Hosts returns the newest reading.
	Hosts(ctx context.Context) (Hosts, error)
}
