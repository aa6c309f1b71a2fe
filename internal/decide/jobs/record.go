// Package jobs decides who owns a submission and what becomes of its tasks. It
// is pure: the order of the log's job stream settles ownership.
package jobs

import (
	"encoding/json"
	"fmt"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Kind is the kind of a record in the job stream.
type Kind string

// The kinds of records.
const (
	// KindClaim claims a submission for an entry host.
	KindClaim Kind = "claim"
	// KindClose closes a submission as complete or failed.
	KindClose Kind = "close"
)

// Key names a submission.
type Key struct {
	Customer   string `json:"customer"`
	Submission string `json:"submission"`
}

// String returns the key as text.
func (k Key) String() string { return k.Customer + "/" + k.Submission }

// Record is one record in the job stream.
type Record struct {
	Kind  Kind            `json:"kind"`
	Key   Key             `json:"key"`
	Owner ids.Incarnation `json:"owner"`
	// LeaseMs is how long the owner alone may close the job, counted by each
	// host from when it sees the claim, in milliseconds.
	LeaseMs int64 `json:"lease_ms,omitempty"`
	// State, ErrorKind, Run and Reason are set in a close.
	State     callerapi.JobState `json:"state,omitempty"`
	ErrorKind string             `json:"error_kind,omitempty"`
	Run       string             `json:"run,omitempty"`
	Reason    string             `json:"reason,omitempty"`
}

// Encode returns the record's bytes.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode job record %s: %w", r.Key, err)
	}
	return data, nil
}

// DecodeRecord reads a record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode job record: %w", err)
	}
	return r, nil
}
