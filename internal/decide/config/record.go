// Package config builds the standing configuration from the records in the
// platform's log and turns operators' intents into plans. It does no I/O and
// reads no clock: the state follows from the order of the records alone, so that
// every entry host reaches the same state.
package config

import (
	"encoding/json"
	"fmt"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

// Kind is the kind of a configuration record.
type Kind string

// The kinds of records.
const (
	// KindChange is a record with a confirmed plan.
	KindChange Kind = "change"
	// KindSnapshot is a record with the whole state at a version.
	KindSnapshot Kind = "snapshot"
)

// Record is one record of the configuration in the platform's log.
type Record struct {
	Kind Kind `json:"kind"`
	// ID is unique to the record. A record that was appended twice is in the
	// log twice with the same ID.
	ID string `json:"id"`
	// Plan is set in a record of KindChange.
	Plan *Plan `json:"plan,omitempty"`
	// Snapshot is set in a record of KindSnapshot.
	Snapshot *standing.State `json:"snapshot,omitempty"`
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record %s: %w", r.ID, err)
	}
	return data, nil
}

// Decode parses a record that Encode returned.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	return r, nil
}
