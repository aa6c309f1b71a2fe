// Package journal keeps the latest decision records in memory and logs each
// record as one line.
package journal

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
)

// DefaultCapacity is the number of records that a journal keeps by default.
const DefaultCapacity = 100_000

// Journal is a decision.Recorder with bounded memory. It is safe for
// concurrent use.
type Journal struct {
	host   string
	logger *log.Logger
	view   standing.View

	mu   sync.Mutex
	ring *ring
}

// New returns a journal for the host that keeps up to capacity records, at least
// one. A record without a version gets its version, and its intent if it has none,
// from view.
func New(host string, logger *log.Logger, view standing.View, capacity int) *Journal {
	return &Journal{host: host, logger: logger, view: view, ring: newRing(max(1, capacity))}
}

// Record implements decision.Recorder.
func (j *Journal) Record(r decision.Record) {
	r.Host = j.host
	if r.Time.IsZero() {
		r.Time = time.Now()
	}
	j.fillOrigin(&r)
	j.mu.Lock()
	j.ring.add(r)
	j.mu.Unlock()
	j.logger.Info(
		string(r.Part)+": "+r.Action,
		"subjects", r.Subjects, "rule", r.Rule, "why", r.Why, "version", r.Version, "intent", r.Intent,
	)
}

// fillOrigin fills in the configuration version in force and the intent that last
// changed the configuration of the record's customer or subjects. A record that
// has a version is left unchanged.
func (j *Journal) fillOrigin(r *decision.Record) {
	state := j.view.State()
	if state == nil || r.Version != 0 {
		return
	}
	r.Version = state.Version
	if change, ok := state.LastChange(r.Customer, r.Subjects...); ok && r.Intent == "" {
		r.Intent, r.IntentVersion = change.Intent, change.Version
	}
}

// BySubject returns up to limit of the newest records with the subject, oldest
// first, and the age of the oldest record in the journal.
func (j *Journal) BySubject(subject string, limit int) ([]decision.Record, time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ring.bySubject(subject, limit), j.oldestAge()
}

func (j *Journal) oldestAge() time.Duration {
	if len(j.ring.records) == 0 {
		return 0
	}
	return time.Since(j.ring.at(j.ring.oldest()).Time)
}

// ActionRefuse is the action of records of refusals.
const ActionRefuse = "refuse"

// RefusalCount is the number of refusals of a part by one rule.
type RefusalCount struct {
	Part decision.Part `json:"part"`
	Rule string        `json:"rule"`
	N    int           `json:"n"`
}

// Refusals counts the refusals that are no older than within, by part and rule,
// the most frequent first.
func (j *Journal) Refusals(within time.Duration) []RefusalCount {
	counts := map[RefusalCount]int{}
	j.mu.Lock()
	for n := j.ring.next; n > j.ring.oldest(); n-- {
		r := j.ring.at(n - 1)
		if time.Since(r.Time) > within {
			break
		}
		if r.Action == ActionRefuse {
			counts[RefusalCount{Part: r.Part, Rule: r.Rule}]++
		}
	}
	j.mu.Unlock()
	out := make([]RefusalCount, 0, len(counts))
	for c, n := range counts {
		c.N = n
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(b.N, a.N), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Rule, b.Rule))
	})
	return out
}
