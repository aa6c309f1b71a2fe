package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
)

const (
	// maxTail bounds the records kept for peers.
	maxTail = 512
	// maxTailBytes bounds the bytes of the records kept for peers.
	maxTailBytes = 1 << 20
)

// Entry is one encoded record with its offset.
type Entry struct {
	Offset int64
	Data   []byte
}

// link is a folded record with the chain after it.
type link struct {
	Entry
	chain string
}

// chain returns the identity of a history with one more record.
func chain(before string, e Entry) string {
	h := sha256.New()
	// Writes to a hash do not fail.
	_, _ = fmt.Fprintf(h, "%s/%d/", before, e.Offset)
	_, _ = h.Write(e.Data)
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Page is one reading of the log.
type Page struct {
	// Entries are in offset order.
	Entries []Entry
	// First is the oldest offset that the log holds.
	First int64
	// Last is the newest offset that the log gave; 0 if none.
	Last int64
}

// Folded is one record as it was folded in.
type Applied struct {
	Kind    Kind
	Outcome Outcome
	// Plan is set if the record holds one.
	Plan *Plan
	// Err is set if the record could not be decoded.
	Err error
}

// Replica is one entry host's copy of the configuration. It takes records from
// the log and from peers, in any order of sources, and never goes back. The
// zero value knows nothing. It is not safe for concurrent use.
type Replica struct {
	state *standing.State
	// tail holds the records folded last, up to the state's offset.
	tail      []link
	tailBytes int
	// gap is the oldest offset that the log held when it had trimmed records
	// that were not folded in, or 0. Scan holds the records from there on.
	gap  int64
	scan []Entry

	first, last int64
	regressed   bool
	// snapshotAt is the offset of the newest snapshot in the log, and
	// snapshotOf the offset of the state in it.
	snapshotAt, snapshotOf int64
}

// State returns the state, or nil before the first one.
func (r *Replica) State() *standing.State { return r.state }

// Offset returns the offset up to which records are folded in.
func (r *Replica) Offset() int64 {
	if r.state == nil {
		return 0
	}
	return r.state.Offset
}

// Chain returns the identity of the records that are folded in.
func (r *Replica) Chain() string {
	if r.state == nil {
		return ""
	}
	return r.state.Chain
}

// After returns the offset after which to read the log.
func (r *Replica) ReadAfter() int64 {
	if r.gap == 0 {
		return r.Offset()
	}
	return r.gap - 1 + int64(len(r.scan))
}

// Gap reports whether the log has trimmed records that were not folded in.
func (r *Replica) Gap() bool { return r.gap != 0 }

// Regressed reports whether the log has lost records that were folded in.
func (r *Replica) Regressed() bool { return r.regressed }

// Empty reports whether the log says that it never held a record.
func (r *Replica) LogEmpty() bool { return r.last == 0 && r.first <= 1 }

// Current reports whether the state holds all that the log held when it was
// last read.
func (r *Replica) Current() bool {
	return r.state != nil && r.gap == 0 && !r.regressed && r.state.Offset == r.last
}

// Start takes the empty configuration for the first one. The caller has to know
// that there is none.
func (r *Replica) StartEmpty() {
	if r.state == nil {
		r.state = &standing.State{}
	}
}

// Trimmed notes that the log holds nothing before first.
func (r *Replica) LogTrimmed(first, last int64) {
	r.first, r.last = first, last
	r.regressed = last < r.Offset()
	if first <= r.ReadAfter()+1 {
		return
	}
	r.gap = first
	r.scan = nil
	r.bridge()
}

// Take folds in a page that was read after r.After().
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
		return r.look(p.Entries)
	}
	if len(p.Entries) > 0 {
		r.StartEmpty()
	}
	folded := r.fold(p.Entries)
	r.regressed = p.Last < r.Offset()
	return folded
}

// look searches records beyond a gap for a snapshot that bridges it.
func (r *Replica) look(entries []Entry) []Applied {
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
		if rec.Snapshot.Offset < e.Offset && r.replace(rec.Snapshot) {
			return r.bridge()
		}
	}
	return nil
}

// bridge folds in the records beyond the gap once the state reaches it.
func (r *Replica) bridge() []Applied {
	if r.gap == 0 || r.state == nil || r.state.Offset < r.gap-1 {
		return nil
	}
	entries := r.scan
	r.gap, r.scan = 0, nil
	return r.fold(entries)
}

// fold applies the records that follow the state.
func (r *Replica) fold(entries []Entry) []Applied {
	var out []Applied
	for _, e := range entries {
		if e.Offset != r.state.Offset+1 {
			continue
		}
		out = append(out, r.foldOne(e))
	}
	return out
}

func (r *Replica) foldOne(e Entry) Applied {
	rec, err := Decode(e.Data)
	if err != nil {
		r.advance(skip(r.state, e.Offset), e)
		return Applied{Err: err, Outcome: Outcome{Offset: e.Offset, Reason: "not a record"}}
	}
	if rec.Kind == KindSnapshot && rec.Snapshot != nil {
		r.snapshotAt, r.snapshotOf = e.Offset, rec.Snapshot.Offset
	}
	if rec.Kind == KindSnapshot && rec.Snapshot != nil && rec.Snapshot.Offset >= e.Offset && r.replace(rec.Snapshot) {
		// The log held more when the snapshot was made.
		return Applied{Kind: rec.Kind, Outcome: Outcome{ID: rec.ID, Offset: e.Offset, Reason: "the log lost records"}}
	}
	next, outcome := Apply(r.state, e.Offset, rec)
	r.advance(next, e)
	return Applied{Kind: rec.Kind, Outcome: outcome, Plan: rec.Plan}
}

// advance takes the state after a record and keeps the record for peers.
func (r *Replica) advance(next *standing.State, e Entry) {
	next.Chain = chain(r.state.Chain, e)
	r.state = next
	r.tail = append(r.tail, link{e, next.Chain})
	r.tailBytes += len(e.Data)
	for len(r.tail) > maxTail || r.tailBytes > maxTailBytes {
		r.tailBytes -= len(r.tail[0].Data)
		r.tail = r.tail[1:]
	}
}

// replace takes a whole state if it is newer and reaches the gap, if any.
func (r *Replica) replace(s *standing.State) bool {
	if s == nil || s.Version < 0 || s.Version > s.Offset || s.Offset < r.gap-1 {
		return false
	}
	if r.state != nil && !newer(s, r.state) {
		return false
	}
	r.state = s
	r.tail, r.tailBytes = nil, 0
	return true
}

// newer reports whether a is newer than b. The offsets decide; they disagree
// with the versions only if the log lost records, and then the versions decide.
func newer(a, b *standing.State) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Offset > b.Offset
}

// Adopt takes what a peer holds: a snapshot, or nil, and the records after it.
// It returns false if nothing of it was newer.
func (r *Replica) ApplyPeer(snapshot *standing.State, entries []Entry) ([]Applied, bool) {
	held := r.state
	if snapshot != nil {
		r.replace(snapshot)
	}
	if r.state == nil && len(entries) > 0 && entries[0].Offset == 1 {
		r.StartEmpty()
	}
	if r.state == nil {
		return nil, false
	}
	folded := r.fold(entries)
	folded = append(folded, r.bridge()...)
	return folded, r.state != held
}

// Since returns the records after the offset, or, if they are no longer held or
// the asker's history is another one, the whole state.
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

// chainAt returns the chain after the offset, which is in the tail or right
// before it. Oldest is the offset before the tail.
func (r *Replica) chainAt(offset, oldest int64) string {
	switch {
	case offset > oldest:
		return r.tail[offset-oldest-1].chain
	case offset == 0:
		return ""
	default:
		return unknownChain
	}
}

// unknownChain equals no chain.
const unknownChain = "unknown"
