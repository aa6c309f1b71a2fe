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
	LeaseDuration time.Duration
	OwnerAgeMs    int64
	// Close is the first closing record, or nil.
	Close *Record
	// Uncertain is set if an older claim may have been trimmed unread.
	Uncertain bool
	// Gapped is set if records about the submission may have been trimmed
	// unread after the claim. Which close is first is not known then.
	HasGap bool
	// touched is when a record about the submission was last seen.
	touched time.Time
}

// Table folds the job stream. It is not safe for concurrent use.
type Table struct {
	horizon time.Duration
	memory  time.Duration
	entries map[Key]*Entry
	// order are the submissions in order of when they may be forgotten.
	order []touch

	opened   bool
	complete bool
	readAt   time.Time
	last     int64
	span     time.Duration
	ages     map[ids.Incarnation]int64
}

// touch is when something was seen about a submission.
type touch struct {
	key Key
	at  time.Time
}

// NewTable returns an empty table that knows a submission for certain within
// the horizon, and remembers it for memory after the last record about it.
func NewTable(horizon, memory time.Duration) *Table {
	return &Table{horizon: horizon, memory: memory, entries: map[Key]*Entry{}, ages: map[ids.Incarnation]int64{}}
}

// Open starts the reading of a stream that holds the offsets from first to
// last. It is called again after a gap: what was trimmed unread is not known.
func (t *Table) Open(now time.Time, first, last int64) {
	for _, e := range t.entries {
		e.HasGap = e.Close == nil
	}
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
func (t *Table) KnownSpan(now time.Time) (time.Duration, bool) {
	if !t.opened {
		return 0, false
	}
	return t.span + now.Sub(t.readAt), t.complete
}

// Fold applies a record seen at now, and reports whether it changed the
// table. The first claim of a submission wins, as does the first close of its
// owner's claim.
func (t *Table) Apply(now time.Time, offset int64, r Record) bool {
	reach := t.reachBefore(now, offset, r)
	e, ok := t.entries[r.Key]
	if ok {
		e.touched = now
	}
	switch {
	case r.Kind == KindClaim && !ok:
		t.entries[r.Key] = &Entry{
			Owner: r.Owner, Address: r.Address, Digest: r.Digest, LeaseEnd: now.Add(r.lease()),
			LeaseDuration: r.lease(), OwnerAgeMs: r.WriterAgeMs, Uncertain: !t.complete && reach < t.horizon, touched: now,
		}
		t.order = append(t.order, touch{r.Key, now})
		return true
	case r.Kind == KindClose && ok && e.Close == nil && r.ClaimOwner == e.Owner && !e.HasGap:
		e.Close = &r
		return true
	default:
		return false
	}
}

// reachBefore returns how far the stream is known before a record.
func (t *Table) reachBefore(now time.Time, offset int64, r Record) time.Duration {
	if offset > t.last {
		return t.span + now.Sub(t.readAt)
	}
	oldest, ok := t.ages[r.Owner]
	if !ok {
		t.ages[r.Owner] = r.WriterAgeMs
		return t.span
	}
	t.span = max(t.span, time.Duration(r.WriterAgeMs-oldest)*time.Millisecond)
	return t.span
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
func (t *Table) Prune(now time.Time, keep func(Key) bool) {
	for range len(t.order) {
		oldest := t.order[0]
		if now.Sub(oldest.at) <= t.memory {
			return
		}
		t.order = t.order[1:]
		e, ok := t.entries[oldest.key]
		switch {
		case !ok:
		case now.Sub(e.touched) <= t.memory:
			t.order = append(t.order, touch{oldest.key, e.touched})
		case !now.After(e.LeaseEnd) || keep(oldest.key):
			t.order = append(t.order, touch{oldest.key, now})
		default:
			delete(t.entries, oldest.key)
		}
	}
}

// drop forgets one submission.
func (t *Table) drop(k Key) { delete(t.entries, k) }

// Len returns the number of submissions remembered.
func (t *Table) Len() int { return len(t.entries) }
