// Package jobs decides which entry host owns a submission, where its tasks run
// and how it is answered. It has no side effects: events and the time go in,
// actions come out. The order of records in the log's job stream decides
// ownership.
package jobs

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Kind is the kind of a record in the job stream.
type Kind string

// The kinds of records in the job stream.
const (
	// KindClaim claims a submission for an entry host.
	KindClaim Kind = "claim"
	// KindClose closes a submission as complete or failed.
	KindClose Kind = "close"
	// KindHeartbeat carries only the writer's age, from which a host that
	// starts later derives how far back the stream reaches.
	KindHeartbeat Kind = "beat"
)

// Key identifies a submission.
type Key struct {
	Customer   string `json:"c,omitempty"`
	Submission string `json:"s,omitempty"`
}

// String returns the key as customer/submission.
func (k Key) String() string { return k.Customer + "/" + k.Submission }

// Record is one record in the job stream. Its field names are short in the
// encoded form, since every entry host reads every record.
type Record struct {
	Kind Kind `json:"k"`
	Key  Key  `json:"n,omitzero"`
	// Owner is the incarnation that wrote the record.
	Owner ids.Incarnation `json:"o"`
	// WriterAgeMs is the time since the writer's start, on its monotonic clock,
	// in milliseconds.
	WriterAgeMs int64 `json:"t"`
	// Address is the owner's address for peers, in a claim.
	Address string `json:"a,omitempty"`
	// Digest is the digest of the job's content, in a claim.
	Digest string `json:"d,omitempty"`
	// LeaseMs is how long only the owner may close the job, in milliseconds.
	// Each host counts it from when it sees the claim.
	LeaseMs int64 `json:"l,omitempty"`
	// ClaimOwner is the owner whose claim a close ends. It is omitted from the
	// log if it is the writer.
	ClaimOwner ids.Incarnation `json:"f,omitempty"`
	// State, ErrorKind, Run and Reason are set in a close.
	State     callerapi.JobState `json:"st,omitempty"`
	ErrorKind string             `json:"e,omitempty"`
	Run       string             `json:"r,omitempty"`
	Reason    string             `json:"w,omitempty"`
}

// Encode returns the record's encoded form for the log.
func (r Record) Encode() ([]byte, error) {
	if r.ClaimOwner == r.Owner {
		r.ClaimOwner = ""
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode job record %s: %w", r.Key, err)
	}
	return data, nil
}

// DecodeRecord decodes a record from the log.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode job record: %w", err)
	}
	if r.Kind == KindClose && r.ClaimOwner == "" {
		r.ClaimOwner = r.Owner
	}
	return r, nil
}

// answer returns the job answer that a close represents. It has no results.
func (r Record) answer() callerapi.JobAnswer {
	return callerapi.JobAnswer{
		Submission: r.Key.Submission,
		Customer:   r.Key.Customer,
		State:      r.State,
		Owner:      r.ClaimOwner.Host(),
		ErrorKind:  r.ErrorKind,
		Run:        r.Run,
		Reason:     r.Reason,
	}
}

func (r Record) leaseDuration() time.Duration { return time.Duration(r.LeaseMs) * time.Millisecond }
