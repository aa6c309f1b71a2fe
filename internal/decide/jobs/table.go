package jobs

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Entry is what the log says about one submission.
type Entry struct {
	Owner   ids.Incarnation
	Address string
	Digest  string
	// LeaseEnd is when the owner's lease on the job has ended for certain, as
	// this host counts.
	LeaseEnd time.Time
	// Lease is the length of the lease, and AgeMs the owner's age when it made
	// the claim, in milliseconds.
	Lease time.Duration
	AgeMs int64
	// Close is the first closing record, or nil.
	Close *Record
	// touched is when a record about the submission was last seen.
	touched time.Time
}

// Table folds the job stream. It is not safe for concurrent use.
type Table struct {
	memory  time.Duration
	entries map[Key]*Entry

	opened   bool
	complete bool
	readAt   time.Time
	last     int64
	span     time.Duration
	ages     map[ids.Incarnation]int64
}

// NewTable returns an empty table that remembers a submission for memory after
// the last record about it.
func NewTable(memory time.Duration) *Table {
	return &Table{memory: memory, entries: map[Key]*Entry{}, ages: map[ids.Incarnation]int64{}}
}

// Open starts the reading of a stream that holds the offsets from first to
// last. It is called again after a gap: what was trimmed unread is not known.
func (t *Table) Open(now time.Time, first, last int64) {
	t.opened = true
	t.complete = first <= 1
	t.readAt = now
	t.last = last
	t.span = 0
	clear(t.ages)
}

// Reach returns how far back this host knows the stream for certain, and true
// if it knows all of it. The ages that one writer put into the oldest and the
// newest records held bound the time between them from below.
func (t *Table) Reach(now time.Time) (time.Duration, bool) {
	if !t.opened {
		return 0, false
	}
	return t.span + now.Sub(t.readAt), t.complete
}

// Fold applies a record seen at now, and reports whether it changed the
// table. The first claim of a submission wins, as does the first close of its
// owner's claim.
func (t *Table) Fold(now time.Time, offset int64, r Record) bool {
	if offset <= t.last {
		t.measure(r)
	}
	e, ok := t.entries[r.Key]
	if ok {
		e.touched = now
	}
	switch {
	case r.Kind == KindClaim && !ok:
		t.entries[r.Key] = &Entry{
			Owner: r.Owner, Address: r.Address, Digest: r.Digest, LeaseEnd: now.Add(r.lease()),
			Lease: r.lease(), AgeMs: r.AgeMs, touched: now,
		}
		return true
	case r.Kind == KindClose && ok && e.Close == nil && r.Of == e.Owner:
		e.Close = &r
		return true
	default:
		return false
	}
}

func (t *Table) measure(r Record) {
	oldest, ok := t.ages[r.Owner]
	if !ok {
		t.ages[r.Owner] = r.AgeMs
		return
	}
	t.span = max(t.span, time.Duration(r.AgeMs-oldest)*time.Millisecond)
}

// Lookup returns what is known of a submission.
func (t *Table) Lookup(k Key) (Entry, bool) {
	e, ok := t.entries[k]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Forget drops submissions about which nothing was seen for the table's
// memory and whose lease has ended, unless keep says otherwise.
func (t *Table) Forget(now time.Time, keep func(Key) bool) {
	for k, e := range t.entries {
		if now.Sub(e.touched) > t.memory && now.After(e.LeaseEnd) && !keep(k) {
			delete(t.entries, k)
		}
	}
}

// Len returns the number of submissions remembered.
func (t *Table) Len() int { return len(t.entries) }
