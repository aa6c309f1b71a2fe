package dispatch

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/platform"
)

// The first letter of a key says what its record holds. In the order of the
// keys a job is accepted before its runs end, and closed last.
const (
	keyAccepted  = "a"
	keyEnded     = "b"
	keyCancelled = "c"
	keyClosed    = "d"
	keyShard     = "s"
)

type acceptedRecord struct {
	Job       fleet.Job   `json:"job"`
	Route     fleet.Route `json:"route"`
	Takeovers int         `json:"takeovers"`
}

type closedRecord struct {
	Queue string       `json:"queue"`
	State ledger.State `json:"state"`
}

// presence is the value of a record that says all by its key.
var presence = []byte("1")

// recordsOf encodes an entry of the log of stored jobs.
func recordsOf(entry ledger.Entry) ([]platform.KeyedRecord, error) {
	switch e := entry.(type) {
	case ledger.Accepted:
		value, err := json.Marshal(acceptedRecord{e.Job, e.Route, e.Takeovers})
		if err != nil {
			return nil, fmt.Errorf("encode job %q: %w", e.Job.ID, err)
		}
		return []platform.KeyedRecord{{Key: key(keyAccepted, e.Job.ID), Value: value}}, nil
	case ledger.RunEnded:
		return []platform.KeyedRecord{{Key: runKey(e.RunID), Value: []byte(strconv.Itoa(int(e.Reason)))}}, nil
	case ledger.Cancelled:
		return []platform.KeyedRecord{{Key: key(keyCancelled, e.Job), Value: presence}}, nil
	case ledger.Closed:
		value, err := json.Marshal(closedRecord{e.Queue, e.State})
		if err != nil {
			return nil, fmt.Errorf("encode end of job %q: %w", e.Job, err)
		}
		records := []platform.KeyedRecord{
			{Key: key(keyClosed, e.Job), Value: value}, {Key: key(keyAccepted, e.Job)}, {Key: key(keyCancelled, e.Job)},
		}
		for _, run := range e.Runs {
			records = append(records, platform.KeyedRecord{Key: runKey(run)})
		}
		return records, nil
	case ledger.Forgotten:
		return []platform.KeyedRecord{{Key: key(keyClosed, e.Job)}, {Key: key(keyAccepted, e.Job)}, {Key: key(keyCancelled, e.Job)}}, nil
	case ledger.TakenOver:
		return []platform.KeyedRecord{{Key: key(keyShard, strconv.Itoa(e.Shard)), Value: []byte(strconv.Itoa(e.Takeovers))}}, nil
	}
	return nil, fmt.Errorf("entry %T is not known", entry)
}

func key(parts ...string) string { return strings.Join(parts, "/") }

func runKey(r fleet.RunID) string {
	return key(keyEnded, r.Task.Job, strconv.Itoa(r.Task.Step), strconv.Itoa(r.Task.Index), strconv.Itoa(r.Run))
}

// entryOf decodes a record; nil says nothing of interest.
func entryOf(r platform.KeyedRecord) (ledger.Entry, error) {
	kind, rest, _ := strings.Cut(r.Key, "/")
	if r.Value == nil {
		if kind == keyClosed {
			return ledger.Forgotten{Job: rest}, nil
		}
		return nil, nil
	}
	switch kind {
	case keyAccepted:
		var v acceptedRecord
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return nil, fmt.Errorf("record %q: %w", r.Key, err)
		}
		return ledger.Accepted(v), nil
	case keyEnded:
		return endedOf(r.Key, rest, r.Value)
	case keyCancelled:
		return ledger.Cancelled{Job: rest}, nil
	case keyClosed:
		var v closedRecord
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return nil, fmt.Errorf("record %q: %w", r.Key, err)
		}
		return ledger.Closed{Job: rest, Queue: v.Queue, State: v.State}, nil
	case keyShard:
		numbers, err := integers(rest, string(r.Value))
		if err != nil {
			return nil, fmt.Errorf("record %q: %w", r.Key, err)
		}
		return ledger.TakenOver{Shard: numbers[0], Takeovers: numbers[1]}, nil
	}
	return nil, fmt.Errorf("record %q is of no known kind", r.Key)
}

func endedOf(name, rest string, value []byte) (ledger.Entry, error) {
	parts := strings.Split(rest, "/")
	if len(parts) != 4 {
		return nil, fmt.Errorf("record %q names no run", name)
	}
	n, err := integers(parts[1], parts[2], parts[3], string(value))
	if err != nil {
		return nil, fmt.Errorf("record %q: %w", name, err)
	}
	task := fleet.TaskName{Job: parts[0], Step: n[0], Index: n[1]}
	return ledger.RunEnded{RunID: fleet.RunID{Task: task, Run: n[2]}, Reason: fleet.EndReason(n[3])}, nil
}

func integers(texts ...string) ([]int, error) {
	numbers := make([]int, len(texts))
	for i, text := range texts {
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, err
		}
		numbers[i] = n
	}
	return numbers, nil
}
