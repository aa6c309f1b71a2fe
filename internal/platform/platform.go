// Package platform defines the interfaces to the platform's services, the
// append-only log and the host list, and implements them over HTTP.
package platform

import (
	"context"
	"errors"
)

// Stream is the name of a stream of the log service.
type Stream string

// The streams in use.
const (
	// StreamConfig carries operators' configuration records and snapshots.
	StreamConfig Stream = "config"
	// StreamJobs carries the claims of jobs and the records that close them.
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

// Page is the result of one read of a stream.
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
	// It returns ErrUnavailable if nothing was written, and ErrUnknown if the
	// records may have been written.
	Append(ctx context.Context, s Stream, records [][]byte) (int64, error)
	// Read returns entries after the offset. It waits for the first one, at
	// most until the context's deadline. It returns ErrTrimmed and a Page with
	// First set if entries after the offset are no longer held.
	Read(ctx context.Context, s Stream, after int64) (Page, error)
}

// Role is the function of a host in the fleet.
type Role string

// The roles of hosts.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
	RoleWorker  Role = "worker"
)

// HostState is the state of a host as the platform sees it.
type HostState string

// The host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	Name    string    `json:"name"`
	Role    Role      `json:"role"`
	Zone    string    `json:"zone"`
	Rack    string    `json:"rack,omitempty"`
	Address string    `json:"address"`
	State   HostState `json:"state"`
	// Customer is the customer that a backend server belongs to.
	Customer string `json:"customer,omitempty"`
	// Slots is the number of requests that a backend server runs concurrently.
	Slots int `json:"slots,omitempty"`
	// Cores, MemoryMB and Accelerators are a worker's capacity.
	Cores        int `json:"cores,omitempty"`
	MemoryMB     int `json:"memory_mb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Hosts is one version of the host list. An empty list means an outage of the
// platform, not an empty fleet.
type Hosts struct {
	Version int64  `json:"version"`
	Hosts   []Host `json:"hosts"`
}

// HostList is the platform's list of hosts, which lags behind the fleet.
type HostList interface {
	// Hosts returns the newest version of the list.
	Hosts(ctx context.Context) (Hosts, error)
}
