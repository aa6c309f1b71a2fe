// Package jobs decides who owns a submission, what is done with its tasks and
// how it is answered. It is pure: events and the time go in, actions come out.
// The order of the log's job stream settles ownership.
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

// The kinds of records.
const (
	// KindClaim claims a submission for an entry host.
	KindClaim Kind = "claim"
	// KindClose closes a submission as complete or failed.
	KindClose Kind = "close"
	// KindBeat only carries its age, so that a host that starts later can tell
	// how far back the stream reaches.
	KindBeat Kind = "beat"
)

// Key names a submission.
type Key struct {
	Customer   string `json:"customer,omitempty"`
	Submission string `json:"submission,omitempty"`
}

// String returns the key as text.
func (k Key) String() string { return k.Customer + "/" + k.Submission }

// Record is one record in the job stream.
type Record struct {
	Kind Kind `json:"kind"`
	Key  Key  `json:"key,omitzero"`
	// Owner is the incarnation that wrote the record.
	Owner ids.Incarnation `json:"owner"`
	// AgeMs is the writer's age when it wrote, on its monotonic clock, in
	// milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Address is the owner's address for peers, in a claim.
	Address string `json:"address,omitempty"`
	// Digest is the digest of the job's content, in a claim.
	Digest string `json:"digest,omitempty"`
	// LeaseMs is how long the owner alone may close the job, counted by each
	// host from when it sees the claim, in milliseconds.
	LeaseMs int64 `json:"lease_ms,omitempty"`
	// Of is the owner whose claim a close ends.
	Of ids.Incarnation `json:"of,omitempty"`
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

// answer returns the document that a close stands for. It holds no results.
func (r Record) answer() callerapi.JobAnswer {
	return callerapi.JobAnswer{
		Submission: r.Key.Submission,
		Customer:   r.Key.Customer,
		State:      r.State,
		Owner:      r.Of.Host(),
		ErrorKind:  r.ErrorKind,
		Run:        r.Run,
		Reason:     r.Reason,
	}
}

func (r Record) lease() time.Duration { return time.Duration(r.LeaseMs) * time.Millisecond }
