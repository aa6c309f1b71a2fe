package journal

import (
	"slices"
	"strings"

	"github.com/parsleyhill/parsleyhill/internal/decision"
)

// ring is a ring buffer of the latest records with an index by subject and intent.
type ring struct {
	records []decision.Record
	// next is the number of the next record, counted from 0. Record n is stored
	// at n modulo the capacity.
	next uint64
	// index holds, by subject or intent, the numbers of the records in the ring,
	// oldest first.
	index map[string][]uint64
}

func newRing(capacity int) *ring {
	return &ring{records: make([]decision.Record, 0, capacity), index: map[string][]uint64{}}
}

// oldest returns the number of the oldest record in the ring.
func (r *ring) oldest() uint64 { return r.next - uint64(len(r.records)) }

func (r *ring) at(n uint64) *decision.Record { return &r.records[n%uint64(cap(r.records))] }

func (r *ring) add(rec decision.Record) {
	if len(r.records) < cap(r.records) {
		r.records = append(r.records, rec)
	} else {
		r.unindex(r.at(r.next))
		*r.at(r.next) = rec
	}
	for key := range keys(&rec) {
		r.index[key] = append(r.index[key], r.next)
	}
	r.next++
}

// unindex removes the oldest record from the index.
func (r *ring) unindex(rec *decision.Record) {
	for key := range keys(rec) {
		rest := r.index[key][1:]
		if len(rest) == 0 {
			delete(r.index, key)
			continue
		}
		r.index[key] = rest
	}
}

// keys yields the subjects and the intent under which a record is indexed, each
// once.
func keys(rec *decision.Record) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for i, subject := range rec.Subjects {
			if subject != "" && !slices.Contains(rec.Subjects[:i], subject) && !yield(subject) {
				return
			}
		}
		if rec.Intent != "" && !slices.Contains(rec.Subjects, rec.Intent) {
			yield(rec.Intent)
		}
	}
}

// bySubject returns up to limit of the newest records with the subject, oldest
// first. For a plan it also returns the records of the plan's intent, whose id
// differs from the plan's only in its prefix.
func (r *ring) bySubject(subject string, limit int) []decision.Record {
	numbers := tail(r.index[subject], limit)
	if id, ok := strings.CutPrefix(subject, "plan-"); ok {
		numbers = slices.Concat(numbers, tail(r.index["intent-"+id], limit))
		slices.Sort(numbers)
		numbers = tail(slices.Compact(numbers), limit)
	}
	found := make([]decision.Record, 0, len(numbers))
	for _, n := range numbers {
		found = append(found, *r.at(n))
	}
	return found
}

func tail(numbers []uint64, limit int) []uint64 {
	return numbers[max(0, len(numbers)-limit):]
}
