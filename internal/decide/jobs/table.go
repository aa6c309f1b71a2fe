package jobs

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Entry is the state of one submission according to the log.
type Entry struct {
	Owner   ids.Incarnation
	Address string
	Digest  string
	// LeaseEnd is when the owner's lease on the job has certainly ended, by
	// this host's clock.
	LeaseEnd time.Time
	// LeaseDuration is the duration of the lease. OwnerAgeMs is the time since
	// the owner's start when it made the claim, in milliseconds.
	LeaseDuration time.Duration
	OwnerAgeMs    int64
	// Close is the first close record, or nil.
	Close *Record
	// Uncertain is set if an earlier claim may have been trimmed unread.
	Uncertain bool
	// HasGap is set if records about the submission may have been trimmed
	// unread after the claim. It is then unknown which close is first.
	HasGap bool
	// lastSeen is when a record about the submission was last seen.
	lastSeen time.Time
}

// Table holds the state built from the records of the job stream. It is not
// safe for concurrent use.
type Table struct {
	dedupHorizon time.Duration
	retention    time.Duration
	entries      map[Key]*Entry
	// pruneQueue holds the submissions in the order they become due for
	// pruning.
	pruneQueue []activity

	opened        bool
	readFromStart bool
	openedAt      time.Time
	lastAtOpen    int64
	spanAtOpen    time.Duration
	oldestAges    map[ids.Incarnation]int64
}

// activity is the time of a submission's last known activity.
type activity struct {
	key Key
	at  time.Time
}

// NewTable returns an empty table that needs to know the stream for the horizon
// to be certain that a claim is the first, and keeps a submission for the
// retention time after its last record.
func NewTable(horizon, retention time.Duration) *Table {
	return &Table{dedupHorizon: horizon, retention: retention, entries: map[Key]*Entry{}, oldestAges: map[ids.Incarnation]int64{}}
}

// Open prepares for reading a stream that holds the offsets from first to last.
// It is called again after a gap, since records that were trimmed unread are
// unknown.
func (t *Table) Open(now time.Time, first, last int64) {
	for _, e := range t.entries {
		e.HasGap = e.Close == nil
	}
	t.opened = true
	t.readFromStart = first <= 1
	t.openedAt = now
	t.lastAtOpen = last
	t.spanAtOpen = 0
	clear(t.oldestAges)
}

// KnownSpan returns how far back this host certainly knows the stream, and true
// if it knows all of it. The span is a lower bound: the largest difference
// between the ages that one writer put into the records present at Open, plus
// the time since Open.
func (t *Table) KnownSpan(now time.Time) (time.Duration, bool) {
	if !t.opened {
		return 0, false
	}
	return t.spanAtOpen + now.Sub(t.openedAt), t.readFromStart
}

// Apply applies a record seen at now, and reports whether it changed the table.
// The first claim of a submission wins, as does the first close of its owner's
// claim.
func (t *Table) Apply(now time.Time, offset int64, r Record) bool {
	span := t.knownSpanBefore(now, offset, r)
	e, ok := t.entries[r.Key]
	if ok {
		e.lastSeen = now
	}
	switch {
	case r.Kind == KindClaim && !ok:
		t.entries[r.Key] = &Entry{
			Owner: r.Owner, Address: r.Address, Digest: r.Digest, LeaseEnd: now.Add(r.leaseDuration()),
			LeaseDuration: r.leaseDuration(), OwnerAgeMs: r.WriterAgeMs, Uncertain: !t.readFromStart && span < t.dedupHorizon, lastSeen: now,
		}
		t.pruneQueue = append(t.pruneQueue, activity{r.Key, now})
		return true
	case r.Kind == KindClose && ok && e.Close == nil && r.ClaimOwner == e.Owner && !e.HasGap:
		e.Close = &r
		return true
	default:
		return false
	}
}

// knownSpanBefore returns how far back the stream is known before a record.
func (t *Table) knownSpanBefore(now time.Time, offset int64, r Record) time.Duration {
	if offset > t.lastAtOpen {
		return t.spanAtOpen + now.Sub(t.openedAt)
	}
	oldest, ok := t.oldestAges[r.Owner]
	if !ok {
		t.oldestAges[r.Owner] = r.WriterAgeMs
		return t.spanAtOpen
	}
	t.spanAtOpen = max(t.spanAtOpen, time.Duration(r.WriterAgeMs-oldest)*time.Millisecond)
	return t.spanAtOpen
}

// Lookup returns the state of a submission according to the log.
func (t *Table) Lookup(k Key) (Entry, bool) {
	e, ok := t.entries[k]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Prune removes submissions whose lease has ended and that had no record for
// the retention time, unless keep returns true.
func (t *Table) Prune(now time.Time, keep func(Key) bool) {
	for range len(t.pruneQueue) {
		oldest := t.pruneQueue[0]
		if now.Sub(oldest.at) <= t.retention {
			return
		}
		t.pruneQueue = t.pruneQueue[1:]
		e, ok := t.entries[oldest.key]
		switch {
		case !ok:
		case now.Sub(e.lastSeen) <= t.retention:
			t.pruneQueue = append(t.pruneQueue, activity{oldest.key, e.lastSeen})
		case !now.After(e.LeaseEnd) || keep(oldest.key):
			t.pruneQueue = append(t.pruneQueue, activity{oldest.key, now})
		default:
			delete(t.entries, oldest.key)
		}
	}
}

func (t *Table) remove(k Key) { delete(t.entries, k) }

// Len returns the number of retained submissions.
func (t *Table) Len() int { return len(t.entries) }
