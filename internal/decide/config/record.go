// Package config folds the platform's log into the standing configuration and
// turns operators' intents into plans. It is pure: the log's order decides
// everything, so that every entry host reaches the same state.
package config

import (
	"encoding/json"
	"fmt"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// Kind is the kind of a record in the configuration stream.
type Kind string

// The kinds of records.
const (
	// KindChange carries a confirmed plan.
	KindChange Kind = "change"
	// KindSnapshot carries the state at a version.
	KindSnapshot Kind = "snapshot"
)

// Record is one record in the configuration stream.
type Record struct {
	Kind Kind `json:"kind"`
	// ID is unique to the record; a doubled append carries it twice.
	ID string `json:"id"`
	// Plan is set in a change.
	Plan *Plan `json:"plan,omitempty"`
	// Snapshot is set in a snapshot.
	Snapshot *standing.State `json:"snapshot,omitempty"`
}

// Encode returns the record's bytes.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record %s: %w", r.ID, err)
	}
	return data, nil
}

// Decode reads a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	return r, nil
}
