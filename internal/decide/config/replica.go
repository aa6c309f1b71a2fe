package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

const (
	// maxTail is the maximum number of records kept for peers.
	maxTail = 512
	// maxTailBytes is the maximum total size of the records kept for peers.
	maxTailBytes = 1 << 20
)

// Entry is one encoded record with its log offset.
type Entry struct {
	Offset int64
	Data   []byte
}

// chainedEntry is an applied record with the chain after it.
type chainedEntry struct {
	Entry
	chainAfter string
}

// extendChain returns the hash chain before, extended by one record.
func extendChain(before string, e Entry) string {
	h := sha256.New()
	// Writes to a hash never fail.
	_, _ = fmt.Fprintf(h, "%s/%d/", before, e.Offset)
	_, _ = h.Write(e.Data)
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Page is the result of one read of the log.
type Page struct {
	// Entries are in offset order.
	Entries []Entry
	// First is the oldest offset that the log holds.
	First int64
	// Last is the newest offset that the log has assigned; 0 if none.
	Last int64
}

// Applied is one applied record with its outcome.
type Applied struct {
	Kind    Kind
	Outcome Outcome
	// Plan is the plan in the record, or nil.
	Plan *Plan
	// Err is the error of decoding the record, or nil.
	Err error
}

// Replica is one entry host's copy of the configuration. It applies records from
// the log and from peers, whichever it receives first, and never returns to an
// older state. The zero value has no state. A Replica is not safe for concurrent
// use.
type Replica struct {
	state *standing.State
	// tail holds the records applied last, up to the state's offset, for peers.
	tail      []chainedEntry
	tailBytes int
	// gap is the oldest offset that the log held when it was found to have
	// trimmed records that were not applied, or 0 if there is no gap. scan
	// holds the records read from that offset on.
	gap  int64
	scan []Entry

	// first and last are the offsets that the log reported last. regressed is
	// set if it lost records that were applied.
	first, last int64
	regressed   bool
	// snapshotOffset is the offset of the newest snapshot record in the log,
	// snapshotStateOffset that of the state in it.
	snapshotOffset, snapshotStateOffset int64
}

// State returns the current state, or nil if there is none yet.
func (r *Replica) State() *standing.State { return r.state }

// Offset returns the offset of the last applied record, or 0 without a state.
func (r *Replica) Offset() int64 {
	if r.state == nil {
		return 0
	}
	return r.state.Offset
}

// Chain returns the hash chain over the applied records, or "" without a state.
func (r *Replica) Chain() string {
	if r.state == nil {
		return ""
	}
	return r.state.Chain
}

// ReadAfter returns the offset after which to read the log next.
func (r *Replica) ReadAfter() int64 {
	if r.gap == 0 {
		return r.Offset()
	}
	return r.gap - 1 + int64(len(r.scan))
}

// Gap reports whether the log has trimmed records that were not applied.
func (r *Replica) Gap() bool { return r.gap != 0 }

// Regressed reports whether the log has lost records that were applied.
func (r *Replica) Regressed() bool { return r.regressed }

// LogEmpty reports whether the log, when last read, had never held a record.
func (r *Replica) LogEmpty() bool { return r.last == 0 && r.first <= 1 }

// Current reports whether the state includes every record that the log held when
// it was last read.
func (r *Replica) Current() bool {
	return r.state != nil && r.gap == 0 && !r.regressed && r.state.Offset == r.last
}

// StartEmpty sets the empty configuration as the first state. It does nothing if
// there is a state. The caller must know that no configuration exists yet.
func (r *Replica) StartEmpty() {
	if r.state == nil {
		r.state = &standing.State{}
	}
}

// LogTrimmed records the offsets that the log reports: it holds nothing before
// first, and last is the newest offset. If records that were not applied are
// trimmed, the replica has a gap until a snapshot or a peer fills it.
func (r *Replica) LogTrimmed(first, last int64) {
	r.first, r.last = first, last
	r.regressed = last < r.Offset()
	if first <= r.ReadAfter()+1 {
		return
	}
	r.gap = first
	r.scan = nil
	r.closeGap()
}

// ApplyPage applies a page that was read after r.ReadAfter(). It returns the
// records that it applied.
func (r *Replica) ApplyPage(p Page) []Applied {
	r.first, r.last = p.First, p.Last
	r.regressed = p.Last < r.Offset()
	if r.regressed {
		return nil
	}
	if p.First > r.ReadAfter()+1 {
		r.LogTrimmed(p.First, p.Last)
	}
	if r.gap != 0 {
		return r.scanForSnapshot(p.Entries)
	}
	if len(p.Entries) > 0 {
		r.StartEmpty()
	}
	applied := r.applyEntries(p.Entries)
	r.regressed = p.Last < r.Offset()
	return applied
}

// scanForSnapshot searches the records after a gap for a snapshot whose state
// closes it.
func (r *Replica) scanForSnapshot(entries []Entry) []Applied {
	for _, e := range entries {
		if e.Offset == r.ReadAfter()+1 {
			r.scan = append(r.scan, e)
		}
	}
	for _, e := range r.scan {
		rec, err := Decode(e.Data)
		if err != nil || rec.Kind != KindSnapshot || rec.Snapshot == nil {
			continue
		}
		if rec.Snapshot.Offset < e.Offset && r.replaceState(rec.Snapshot) {
			return r.closeGap()
		}
	}
	return nil
}

// closeGap applies the records after the gap if the state reaches them.
func (r *Replica) closeGap() []Applied {
	if r.gap == 0 || r.state == nil || r.state.Offset < r.gap-1 {
		return nil
	}
	entries := r.scan
	r.gap, r.scan = 0, nil
	return r.applyEntries(entries)
}

// applyEntries applies the entries that directly follow the state, each in turn,
// and ignores the others.
func (r *Replica) applyEntries(entries []Entry) []Applied {
	var out []Applied
	for _, e := range entries {
		if e.Offset != r.state.Offset+1 {
			continue
		}
		out = append(out, r.applyEntry(e))
	}
	return out
}

func (r *Replica) applyEntry(e Entry) Applied {
	rec, err := Decode(e.Data)
	if err != nil {
		r.advanceTo(advanceOffset(r.state, e.Offset), e)
		return Applied{Err: err, Outcome: Outcome{Offset: e.Offset, Reason: "not a record"}}
	}
	if rec.Kind == KindSnapshot && rec.Snapshot != nil {
		r.snapshotOffset, r.snapshotStateOffset = e.Offset, rec.Snapshot.Offset
	}
	if rec.Kind == KindSnapshot && rec.Snapshot != nil && rec.Snapshot.Offset >= e.Offset && r.replaceState(rec.Snapshot) {
		// The log held more records when the snapshot was made and has lost
		// them since.
		return Applied{Kind: rec.Kind, Outcome: Outcome{ID: rec.ID, Offset: e.Offset, Reason: "the log lost records"}}
	}
	next, outcome := Apply(r.state, e.Offset, rec)
	r.advanceTo(next, e)
	return Applied{Kind: rec.Kind, Outcome: outcome, Plan: rec.Plan}
}

// advanceTo sets the state after a record and keeps the record for peers.
func (r *Replica) advanceTo(next *standing.State, e Entry) {
	next.Chain = extendChain(r.state.Chain, e)
	r.state = next
	r.tail = append(r.tail, chainedEntry{e, next.Chain})
	r.tailBytes += len(e.Data)
	for len(r.tail) > maxTail || r.tailBytes > maxTailBytes {
		r.tailBytes -= len(r.tail[0].Data)
		r.tail = r.tail[1:]
	}
}

// replaceState sets a whole state if it is newer than the current one and
// reaches the records after the gap, if there is one.
func (r *Replica) replaceState(s *standing.State) bool {
	if s == nil || s.Version < 0 || s.Version > s.Offset || s.Offset < r.gap-1 {
		return false
	}
	if r.state != nil && !isNewer(s, r.state) {
		return false
	}
	r.state = s
	r.tail, r.tailBytes = nil, 0
	return true
}

// isNewer reports whether a is newer than b. The state with the higher version is
// newer, and the offsets decide between equal versions. Versions and offsets
// disagree only if the log lost records.
func isNewer(a, b *standing.State) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Offset > b.Offset
}

// ApplyPeer applies what a peer sent: a state, or nil, and the records after it.
// It returns the records that it applied, and whether the state changed.
func (r *Replica) ApplyPeer(snapshot *standing.State, entries []Entry) ([]Applied, bool) {
	before := r.state
	if snapshot != nil {
		r.replaceState(snapshot)
	}
	if r.state == nil && len(entries) > 0 && entries[0].Offset == 1 {
		r.StartEmpty()
	}
	if r.state == nil {
		return nil, false
	}
	applied := r.applyEntries(entries)
	applied = append(applied, r.closeGap()...)
	return applied, r.state != before
}

// RecordsSince returns the updates for a peer that has applied the records up
// to after, with the given chain: the records after that offset, or the whole
// state if these records are no longer kept or the peer's history is a
// different one. It returns neither if the peer is up to date or the replica
// has no state.
func (r *Replica) RecordsSince(after int64, chain string) (*standing.State, []Entry) {
	if r.state == nil {
		return nil, nil
	}
	oldest := r.state.Offset - int64(len(r.tail))
	switch {
	case after == r.state.Offset && chain == r.state.Chain:
		return nil, nil
	case after < oldest, after > r.state.Offset, chain != r.chainAt(after, oldest):
		return r.state, nil
	}
	var entries []Entry
	for _, l := range r.tail[after-oldest:] {
		entries = append(entries, l.Entry)
	}
	return nil, entries
}

// chainAt returns the chain after the record at offset, which is in the tail or
// directly before it. oldest is the offset before the tail. The result is
// unknownChain if the chain is not known from the tail.
func (r *Replica) chainAt(offset, oldest int64) string {
	switch {
	case offset > oldest:
		return r.tail[offset-oldest-1].chainAfter
	case offset == 0:
		return ""
	default:
		return unknownChain
	}
}

// unknownChain differs from every chain.
const unknownChain = "unknown"
