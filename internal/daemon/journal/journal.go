// Package journal keeps the latest decision records in memory and writes each
// as one log line.
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

// DefaultCapacity is the number of records kept.
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

// New returns a journal of one host that keeps up to capacity records. The
// version and intent of a record come from view.
func New(host string, logger *log.Logger, view standing.View, capacity int) *Journal {
	return &Journal{host: host, logger: logger, view: view, ring: newRing(max(1, capacity))}
}

// Record implements decision.Recorder.
func (j *Journal) Record(r decision.Record) {
	r.Host = j.host
	if r.Time.IsZero() {
		r.Time = time.Now()
	}
	j.ground(&r)
	j.mu.Lock()
	j.ring.add(r)
	j.mu.Unlock()
	j.logger.Info(
		string(r.Part)+": "+r.Action,
		"subjects", r.Subjects, "rule", r.Rule, "why", r.Why, "version", r.Version, "intent", r.Intent,
	)
}

// ground fills in the version in force and the intent that last changed what
// the decision rests on.
func (j *Journal) ground(r *decision.Record) {
	state := j.view.State()
	if state == nil || r.Version != 0 {
		return
	}
	r.Version = state.Version
	if touch, ok := state.LastChange(r.Customer, r.Subjects...); ok && r.Intent == "" {
		r.Intent, r.IntentVersion = touch.Intent, touch.Version
	}
}

// About returns up to limit of the newest records with the subject, oldest
// first, and the age of the oldest record held.
func (j *Journal) BySubject(subject string, limit int) ([]decision.Record, time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ring.about(subject, limit), j.horizon()
}

func (j *Journal) horizon() time.Duration {
	if len(j.ring.records) == 0 {
		return 0
	}
	return time.Since(j.ring.at(j.ring.oldest()).Time)
}

// ActionRefuse is the action of a refusal.
const ActionRefuse = "refuse"

// Count is how often a part refused by one rule.
type RefusalCount struct {
	Part decision.Part `json:"part"`
	Rule string        `json:"rule"`
	N    int           `json:"n"`
}

// Refusals counts what was refused within the time, the most frequent first.
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
