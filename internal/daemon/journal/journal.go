// Package journal keeps the latest decision records in memory and writes each
// as one log line.
package journal

import (
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
)

// DefaultCapacity is the number of records kept.
const DefaultCapacity = 100_000

// Journal is a decision.Recorder with bounded memory. It is safe for
// concurrent use.
type Journal struct {
	host   string
	logger *log.Logger
	view   standing.View

	mu      sync.Mutex
	records []decision.Record
	next    int
}

// New returns a journal of one host that keeps up to capacity records. The
// version and intent of a record come from view.
func New(host string, logger *log.Logger, view standing.View, capacity int) *Journal {
	return &Journal{host: host, logger: logger, view: view, records: make([]decision.Record, 0, capacity)}
}

// Record implements decision.Recorder.
func (j *Journal) Record(r decision.Record) {
	r.Host = j.host
	if r.Time.IsZero() {
		r.Time = time.Now()
	}
	if state := j.view.State(); state != nil && r.Version == 0 {
		r.Version = state.Version
		r.Intent = state.Intent
	}
	j.keep(r)
	j.logger.Info(
		string(r.Part)+": "+r.Action,
		"subjects", r.Subjects, "rule", r.Rule, "why", r.Why, "version", r.Version,
	)
}

func (j *Journal) keep(r decision.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.records) < cap(j.records) {
		j.records = append(j.records, r)
		return
	}
	j.records[j.next] = r
	j.next = (j.next + 1) % len(j.records)
}

// About returns up to limit of the newest records with the subject, oldest
// first, and the age of the oldest record held.
func (j *Journal) About(subject string, limit int) ([]decision.Record, time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []decision.Record
	for i := len(j.records) - 1; i >= 0 && len(found) < limit; i-- {
		r := j.records[(j.next+i)%len(j.records)]
		if slices.Contains(r.Subjects, subject) {
			found = append(found, r)
		}
	}
	slices.Reverse(found)
	return found, j.horizon()
}

func (j *Journal) horizon() time.Duration {
	if len(j.records) == 0 {
		return 0
	}
	return time.Since(j.records[j.next%len(j.records)].Time)
}
