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

// The first part of a record's key is its kind. Sorted by key, a job's
// acceptance comes before the ends of its runs, and its closing after them. The
// losses of an ended job's runs have no effect.
const (
	keyAccepted  = "a"
	keyEnded     = "b"
	keyCancelled = "c"
	keyClosed    = "d"
	keyHandover  = "h"
	keyHeld      = "k"
	keyLost      = "l"
	keyShard     = "s"
	keyTaker     = "t"
)

type acceptedRecord struct {
	Job       fleet.Job   `json:"job"`
	Route     fleet.Route `json:"route"`
	Takeovers int         `json:"takeovers"`
}

type closedRecord struct {
	Queue string       `json:"queue"`
	State ledger.State `json:"state"`
	// Reason is set for a job that was set aside.
	Reason string `json:"reason,omitempty"`
}

// takerRecord tells which process has taken over a shard. An older version writes only
// the record of the number of takeovers.
type takerRecord struct {
	Takeovers  int    `json:"takeovers"`
	Host       string `json:"host"`
	Nonce      int64  `json:"nonce"`
	Generation int64  `json:"generation,omitempty"`
	// FormerTakeovers and FormerGeneration are those of ledger.TakenOver.
	FormerTakeovers  int   `json:"former_takeovers,omitempty"`
	FormerGeneration int64 `json:"former_generation,omitempty"`
}

// presentValue is the value of a record whose key carries all the information.
var presentValue = []byte("1")

// encodeEntry returns the records of an entry of the job log. A record without
// a value deletes its key.
func encodeEntry(entry ledger.Entry) ([]platform.KeyedRecord, error) {
	switch e := entry.(type) {
	case ledger.Accepted:
		value, err := json.Marshal(acceptedRecord{e.Job, e.Route, e.Takeovers})
		if err != nil {
			return nil, fmt.Errorf("encode job %q: %w", e.Job.ID, err)
		}
		return []platform.KeyedRecord{{Key: key(keyAccepted, e.Job.ID), Value: value}}, nil
	case ledger.RunEnded:
		return []platform.KeyedRecord{{Key: runKey(keyEnded, e.RunID), Value: []byte(strconv.Itoa(int(e.Reason)))}}, nil
	case ledger.RunLost:
		value, err := json.Marshal(e.Loss)
		if err != nil {
			return nil, fmt.Errorf("encode loss of a run of task %s: %w", e.Task, err)
		}
		return []platform.KeyedRecord{{Key: runKey(keyLost, fleet.RunID{Task: e.Task, Run: e.Loss.Run}), Value: value}}, nil
	case ledger.RunHeld:
		return []platform.KeyedRecord{{Key: runKey(keyHeld, e.RunID), Value: []byte(strconv.FormatInt(e.Fence, 10))}}, nil
	case ledger.Cancelled:
		return []platform.KeyedRecord{{Key: key(keyCancelled, e.Job), Value: presentValue}}, nil
	case ledger.Closed:
		value, err := json.Marshal(closedRecord{e.Queue, e.State, e.Reason})
		if err != nil {
			return nil, fmt.Errorf("encode end of job %q: %w", e.Job, err)
		}
		records := []platform.KeyedRecord{
			{Key: key(keyClosed, e.Job), Value: value}, {Key: key(keyAccepted, e.Job)}, {Key: key(keyCancelled, e.Job)},
		}
		for _, run := range e.Runs {
			records = append(records, platform.KeyedRecord{Key: runKey(keyEnded, run)})
		}
		for _, run := range e.LostRuns {
			records = append(records, platform.KeyedRecord{Key: runKey(keyLost, run)})
		}
		for _, run := range e.HeldRuns {
			records = append(records, platform.KeyedRecord{Key: runKey(keyHeld, run)})
		}
		return records, nil
	case ledger.Forgotten:
		return []platform.KeyedRecord{{Key: key(keyClosed, e.Job)}, {Key: key(keyAccepted, e.Job)}, {Key: key(keyCancelled, e.Job)}}, nil
	case ledger.TakenOver:
		return encodeTakenOver(e)
	case ledger.HandedOver:
		value, err := json.Marshal(e)
		if err != nil {
			return nil, fmt.Errorf("encode handover of shard %d: %w", e.Shard, err)
		}
		return []platform.KeyedRecord{{Key: handoverKey(e.Shard, e.Host, e.Part), Value: value}}, nil
	case ledger.HandoverAdopted:
		var records []platform.KeyedRecord
		for part := range e.Parts {
			records = append(records, platform.KeyedRecord{Key: handoverKey(e.Shard, e.Host, part)})
		}
		return records, nil
	}
	return nil, fmt.Errorf("unknown job log entry type %T", entry)
}

func encodeTakenOver(e ledger.TakenOver) ([]platform.KeyedRecord, error) {
	taker, err := json.Marshal(takerRecord{e.Takeovers, e.Host, e.Nonce, e.Generation, e.FormerTakeovers, e.FormerGeneration})
	if err != nil {
		return nil, fmt.Errorf("encode takeover of shard %d: %w", e.Shard, err)
	}
	shard := strconv.Itoa(e.Shard)
	return []platform.KeyedRecord{
		{Key: key(keyTaker, shard, e.Host), Value: taker},
		{Key: key(keyShard, shard), Value: []byte(strconv.Itoa(e.Takeovers))},
	}, nil
}

func key(parts ...string) string { return strings.Join(parts, "/") }

// handoverKey returns the key of a part of a host's handover. Those of other hosts have other
// keys, so that a late record of one does not replace another's.
func handoverKey(shard int, host string, part int) string {
	return key(keyHandover, strconv.Itoa(shard), host, strconv.Itoa(part))
}

func runKey(kind string, r fleet.RunID) string {
	return key(kind, r.Task.Job, strconv.Itoa(r.Task.Step), strconv.Itoa(r.Task.Index), strconv.Itoa(r.Run))
}

// decodeRecord returns the entry of a record, or nil for a deletion that needs
// no action.
func decodeRecord(r platform.KeyedRecord) (ledger.Entry, error) {
	kind, rest, _ := strings.Cut(r.Key, "/")
	if r.Value == nil {
		if kind == keyClosed {
			return ledger.Forgotten{Job: rest}, nil
		}
		return nil, nil
	}
	switch kind {
	case keyAccepted:
		return decodeAccepted(r.Key, rest, r.Value)
	case keyEnded:
		return decodeRunEnded(r.Key, rest, r.Value)
	case keyLost:
		return decodeRunLost(r.Key, rest, r.Value)
	case keyHeld:
		return decodeRunHeld(r.Key, rest, r.Value)
	case keyCancelled:
		return ledger.Cancelled{Job: rest}, nil
	case keyClosed:
		return decodeClosed(r.Key, rest, r.Value)
	case keyShard:
		numbers, err := parseInts(rest, string(r.Value))
		if err != nil {
			return nil, fmt.Errorf("record %q: %w", r.Key, err)
		}
		if numbers[0] < 0 || numbers[1] < 0 {
			return nil, fmt.Errorf("record %q has %d takeovers of shard %d", r.Key, numbers[1], numbers[0])
		}
		return ledger.TakenOver{Shard: numbers[0], Takeovers: numbers[1]}, nil
	case keyTaker:
		return decodeTaker(r.Key, rest, r.Value)
	case keyHandover:
		var e ledger.HandedOver
		if err := json.Unmarshal(r.Value, &e); err != nil {
			return nil, fmt.Errorf("record %q: %w", r.Key, err)
		}
		if e.Shard < 0 || e.Part < 0 || e.Part >= e.Parts {
			return nil, fmt.Errorf("record %q has no part %d of %d of shard %d", r.Key, e.Part, e.Parts, e.Shard)
		}
		if e.Takeovers < 1 {
			return nil, fmt.Errorf("record %q is the handover of a shard after %d takeovers", r.Key, e.Takeovers)
		}
		return e, nil
	}
	return nil, fmt.Errorf("record %q has an unknown kind", r.Key)
}

// decodeAccepted returns an entry for any record whose key names a job, so that the
// job can be closed.
func decodeAccepted(name, id string, value []byte) (ledger.Entry, error) {
	if id == "" {
		return nil, fmt.Errorf("the key of record %q does not identify a job", name)
	}
	damaged := func(format string, args ...any) (ledger.Entry, error) {
		return ledger.Accepted{Job: fleet.Job{ID: id}, Damage: fmt.Sprintf(format, args...)}, nil
	}
	var v acceptedRecord
	if err := json.Unmarshal(value, &v); err != nil {
		return damaged("record cannot be read: %v", err)
	}
	if v.Job.ID != id {
		return damaged("record names job %q", v.Job.ID)
	}
	return ledger.Accepted{Job: v.Job, Route: v.Route, Takeovers: v.Takeovers}, nil
}

// decodeClosed returns an entry for any record whose key names a job: the job has
// ended, even if the record does not tell how.
func decodeClosed(name, id string, value []byte) (ledger.Entry, error) {
	if id == "" {
		return nil, fmt.Errorf("the key of record %q does not identify a job", name)
	}
	var v closedRecord
	err := json.Unmarshal(value, &v)
	if err == nil && !v.State.Ended() {
		err = fmt.Errorf("%q is not a final state", v.State)
	}
	if err != nil {
		return ledger.Closed{Job: id, State: ledger.Failed, Damaged: true, Reason: fmt.Sprintf("record of the end cannot be used: %v", err)}, nil
	}
	return ledger.Closed{Job: id, Queue: v.Queue, State: v.State, Reason: v.Reason}, nil
}

func decodeTaker(name, rest string, value []byte) (ledger.Entry, error) {
	text, _, _ := strings.Cut(rest, "/")
	shard, err := strconv.Atoi(text)
	if err != nil || shard < 0 {
		return nil, fmt.Errorf("the key of record %q does not identify a shard", name)
	}
	var v takerRecord
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, fmt.Errorf("record %q: %w", name, err)
	}
	return ledger.TakenOver{
		Shard: shard, Takeovers: v.Takeovers, Host: v.Host, Nonce: v.Nonce, Generation: v.Generation,
		FormerTakeovers: v.FormerTakeovers, FormerGeneration: v.FormerGeneration,
	}, nil
}

func decodeRunEnded(name, rest string, value []byte) (ledger.Entry, error) {
	run, err := parseRun(name, rest)
	if err != nil {
		return nil, err
	}
	reason, err := strconv.Atoi(string(value))
	if err != nil {
		return nil, fmt.Errorf("record %q: %w", name, err)
	}
	end := ledger.RunEnded{RunID: run, Reason: fleet.EndReason(reason)}
	if end.Reason != fleet.EndedDone && end.Reason != fleet.EndedFailed {
		return nil, fmt.Errorf("record %q tells of %v, which is no result", name, end.Reason)
	}
	return end, nil
}

func decodeRunLost(name, rest string, value []byte) (ledger.Entry, error) {
	run, err := parseRun(name, rest)
	if err != nil {
		return nil, err
	}
	lost := ledger.RunLost{Task: run.Task}
	if err := json.Unmarshal(value, &lost.Loss); err != nil {
		return nil, fmt.Errorf("record %q: %w", name, err)
	}
	lost.Loss.Run = run.Run
	return lost, nil
}

func decodeRunHeld(name, rest string, value []byte) (ledger.Entry, error) {
	run, err := parseRun(name, rest)
	if err != nil {
		return nil, err
	}
	fence, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("record %q: %w", name, err)
	}
	return ledger.RunHeld{RunID: run, Fence: fence}, nil
}

// parseRun parses the part of a key after its kind, in the form of runKey.
func parseRun(name, rest string) (fleet.RunID, error) {
	parts := strings.Split(rest, "/")
	if len(parts) != 4 {
		return fleet.RunID{}, fmt.Errorf("the key of record %q does not identify a run", name)
	}
	n, err := parseInts(parts[1:]...)
	if err != nil {
		return fleet.RunID{}, fmt.Errorf("record %q: %w", name, err)
	}
	return fleet.RunID{Task: fleet.TaskName{Job: parts[0], Step: n[0], Index: n[1]}, Run: n[2]}, nil
}

func parseInts(texts ...string) ([]int, error) {
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
