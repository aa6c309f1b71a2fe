package jobs

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Entry is what the log says about one submission.
type Entry struct {
	Owner ids.Incarnation
	// Claimed is when this host saw the claim.
	Claimed time.Time
	// Lease is how long the owner alone may close the job.
	Lease time.Duration
	// Close is the first closing record, or nil.
	Close *Record
}

// Table folds the job stream. It is not safe for concurrent use.
type Table struct {
	entries map[Key]*Entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Key]*Entry{}} }

// Fold applies a record seen at now. The first claim of a submission wins, as
// does the first close.
func (t *Table) Fold(now time.Time, r Record) {
	e, ok := t.entries[r.Key]
	switch {
	case r.Kind == KindClaim && !ok:
		lease := time.Duration(r.LeaseMs) * time.Millisecond
		t.entries[r.Key] = &Entry{Owner: r.Owner, Claimed: now, Lease: lease}
	case r.Kind == KindClose && ok && e.Close == nil:
		e.Close = &r
	}
}

// Lookup returns what is known of a submission.
func (t *Table) Lookup(k Key) (Entry, bool) {
	e, ok := t.entries[k]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}
