package journal

import (
	"slices"
	"strings"

	"github.com/parsleyhill/parsleyhill/internal/decision"
)

// ring holds the latest records with an index by subject and intent.
type ring struct {
	records []decision.Record
	// next is the number of records ever added. Record n is at n modulo the
	// capacity.
	next uint64
	// index holds the numbers of the records held, oldest first.
	index map[string][]uint64
}

func newRing(capacity int) *ring {
	return &ring{records: make([]decision.Record, 0, capacity), index: map[string][]uint64{}}
}

// oldest returns the number of the oldest record held.
func (r *ring) oldest() uint64 { return r.next - uint64(len(r.records)) }

func (r *ring) at(n uint64) *decision.Record { return &r.records[n%uint64(cap(r.records))] }

func (r *ring) add(rec decision.Record) {
	if len(r.records) < cap(r.records) {
		r.records = append(r.records, rec)
	} else {
		r.forget(r.at(r.next))
		*r.at(r.next) = rec
	}
	for key := range keys(&rec) {
		r.index[key] = append(r.index[key], r.next)
	}
	r.next++
}

// forget takes the oldest record out of the index.
func (r *ring) forget(rec *decision.Record) {
	for key := range keys(rec) {
		rest := r.index[key][1:]
		if len(rest) == 0 {
			delete(r.index, key)
			continue
		}
		r.index[key] = rest
	}
}

// keys yields what the record is found by, each once.
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

// about returns up to limit of the newest records with the subject, oldest
// first. What is done under a plan is found by the intent's id, which differs
// from the plan's by its prefix.
func (r *ring) about(subject string, limit int) []decision.Record {
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
