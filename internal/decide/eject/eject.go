// Package eject takes backend servers in trouble out of service and returns
// them with care. It judges by what this entry host sees itself: failures in a
// row, no answers, slow answers, and servers that say that they leave. It is
// pure: events and the time go in, decisions come out.
package eject

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	// leavingHold is how long a server that said that it leaves gets no work
	// while the host list still shows it as live.
	leavingHold = 60 * time.Second
	// probesToReturn is how many requests in a row a server must answer, one at
	// a time, to return to service.
	probesToReturn = 3
	// maxSlowProbes is how many of them may be slow.
	maxSlowProbes = 1
	// busyPause is the first pause after a refusal; it doubles up to
	// maxBusyPause.
	busyPause    = 25 * time.Millisecond
	maxBusyPause = time.Second
	// slowFactor is how many times slower than the median server a server must
	// answer to be ejected.
	slowFactor = 3
	// slowSamples is how many answers are needed to call a server slow.
	slowSamples = 10
	// slowServers is how many servers must be known to compare them.
	slowServers = 3
	// slowWeight is the least weight of the newest answer in a server's mean.
	slowWeight = 0.1
)

type mode string

const (
	serving mode = "serving"
	ejected mode = "ejected"
	probing mode = "probing"
)

// server is what is known of one backend server.
type server struct {
	name   string
	listed bool
	mode   mode
	// since, rule and why explain the mode.
	since time.Time
	rule  string
	why   string
	until time.Time
	// ejections counts ejections since the server was last well for long.
	ejections int
	failures  int
	probes    int
	// slowProbes counts the slow ones among them.
	slowProbes int
	// leaving is set until leftAt; told is set if the server itself said so.
	leaving bool
	told    bool
	leftAt  time.Time
	pauses  int
	paused  time.Time
	// sent holds the send times of requests without an outcome, by id.
	sent map[string]time.Time
	// expired holds how long requests waited that timed out since the last
	// answer.
	expired []time.Duration
	answer  time.Time
	// logMean is the mean of the logarithm of the answer times in seconds.
	logMean float64
	samples int
	// withheld is when the ceiling last kept the server in service.
	withheld time.Time
}

// Watch judges the servers of one customer. It is not safe for concurrent use.
type Detector struct {
	customer string
	rules    standing.Ejection
	servers  map[string]*server
	// probing holds the servers that have to prove themselves.
	probing map[string]*server
	times   times
	// median is the median server's mean of the logarithm of answer times, if
	// compared is set.
	median     float64
	compared   bool
	comparison time.Time
	changed    bool
	notes      []decision.Record
}

// New returns a watch that knows no servers.
func New(customer string, rules standing.Ejection) *Detector {
	return &Detector{customer: customer, rules: rules, servers: map[string]*server{}, probing: map[string]*server{}}
}

// SetRules replaces the ejection rules.
func (w *Detector) SetRules(rules standing.Ejection) { w.rules = rules }

// SetListed replaces the servers that the host list shows as live. A server
// that is no longer listed is forgotten.
func (w *Detector) SetListed(now time.Time, names []string) {
	for _, s := range w.servers {
		s.listed = false
	}
	for _, name := range names {
		w.server(now, name).listed = true
	}
	for name, s := range w.servers {
		if !s.listed && len(s.sent) == 0 {
			delete(w.servers, name)
			delete(w.probing, name)
		}
	}
}

func (w *Detector) server(now time.Time, name string) *server {
	s, ok := w.servers[name]
	if !ok {
		s = &server{name: name, mode: serving, since: now, answer: now, sent: map[string]time.Time{}}
		w.servers[name] = s
	}
	return s
}

// Serves returns whether the server may get work beside probes.
func (w *Detector) Available(now time.Time, name string) bool {
	s, ok := w.servers[name]
	return !ok || s.mode == serving && !s.leaving && !now.Before(s.paused)
}

// Probe returns a server that may get one request to prove itself and has
// none, unless it is in skip.
func (w *Detector) NextProbe(skip map[string]bool) (string, bool) {
	best := ""
	for name, s := range w.probing {
		due := s.listed && !s.leaving && len(s.sent) == 0 && !skip[name]
		if due && (best == "" || name < best) {
			best = name
		}
	}
	return best, best != ""
}

// Sent takes a send.
func (w *Detector) RecordSend(now time.Time, name, id string) {
	w.server(now, name).sent[id] = now
}

// Outcome is the end of a send.
type Outcome struct {
	ID string
	// Err is nil after a whole answer.
	Err *errkind.Error
	// Leaving is set if the server said that it leaves.
	Leaving bool
}

// Done takes the outcome of a send.
func (w *Detector) RecordOutcome(now time.Time, name string, o Outcome) {
	s := w.server(now, name)
	sent, ok := s.sent[o.ID]
	delete(s.sent, o.ID)
	if o.Leaving {
		w.leave(now, s, "said-leaving", "the server says that it leaves", true)
	}
	switch {
	case o.Err == nil:
		s.answered(now)
		w.answered(now, s, now.Sub(sent), ok)
	case o.Err.Kind == errkind.BackendRefused:
		s.answered(now)
		w.refused(now, s)
	case o.Err.Kind == errkind.Timeout:
		// The request's own deadline may have been short: the lack of answers is
		// judged by Tick.
		s.expire(now.Sub(sent), ok)
		w.timedOut(now, s)
	default:
		w.failed(now, s, o.Err)
	}
}

// slow returns whether answers take too long beside the others'.
func (w *Detector) slow(logMean float64) bool {
	return w.compared && logMean > w.median+math.Log(slowFactor)
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, time.Millisecond).Seconds()) }

// answered takes any answer of the server.
func (s *server) answered(now time.Time) {
	s.answer, s.expired = now, nil
}

func (s *server) expire(waited time.Duration, timed bool) {
	if timed && len(s.expired) < boundsHeld {
		s.expired = append(s.expired, waited)
	}
}

func (w *Detector) answered(now time.Time, s *server, took time.Duration, timed bool) {
	s.failures, s.pauses = 0, 0
	if timed {
		w.times.record(took)
		s.learn(took)
	}
	if s.mode != probing {
		return
	}
	if timed && took > w.times.bound(2) {
		w.eject(now, s, "slow", fmt.Sprintf("a probe took %s", took))
		return
	}
	if w.slow(logSeconds(took)) {
		s.slowProbes++
	}
	if s.slowProbes > maxSlowProbes {
		w.eject(now, s, "slow", fmt.Sprintf("%d probes were slow, the last took %s", s.slowProbes, took))
		return
	}
	if s.probes++; s.probes < probesToReturn {
		return
	}
	s.samples, s.logMean = 0, 0
	w.set(now, s, serving, "probes", fmt.Sprintf("answered %d probes in a row", s.probes))
}

func (s *server) learn(took time.Duration) {
	s.samples++
	s.logMean += max(slowWeight, 1/float64(s.samples)) * (logSeconds(took) - s.logMean)
}

func (w *Detector) refused(now time.Time, s *server) {
	s.pauses++
	s.paused = now.Add(min(busyPause<<min(s.pauses-1, 10), maxBusyPause))
	w.changed = true
}

func (w *Detector) timedOut(now time.Time, s *server) {
	if s.mode == probing {
		w.eject(now, s, "no-answer", "a probe got no answer")
	}
}

func (w *Detector) failed(now time.Time, s *server, err *errkind.Error) {
	s.failures++
	switch {
	case s.mode == probing:
		w.eject(now, s, "failures", fmt.Sprintf("a probe failed: %s", err.Kind))
	case s.mode == serving && s.failures >= w.rules.Failures:
		w.eject(now, s, "failures", fmt.Sprintf("%d failures in a row, the last %s", s.failures, err.Kind))
	}
}

// Hint takes servers that a peer saw leaving.
func (w *Detector) HintLeaving(now time.Time, names []string) {
	for _, name := range names {
		if s, ok := w.servers[name]; ok && !s.leaving {
			w.leave(now, s, "peer-hint", "another entry host saw it leave", false)
		}
	}
}

// Leaving returns the servers that told this host that they leave.
func (w *Detector) LeavingServers() []string {
	var names []string
	for name, s := range w.servers {
		if s.leaving && s.told {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (w *Detector) leave(now time.Time, s *server, rule, why string, told bool) {
	s.leftAt = now.Add(leavingHold)
	s.told = s.told || told
	if s.leaving {
		return
	}
	s.leaving, w.changed = true, true
	s.since, s.rule, s.why = now, rule, why
	w.note("shun", rule, why, s.name)
}

// Changed returns whether the servers that may get work have changed since the
// last call.
func (w *Detector) PopChanged() bool {
	changed := w.changed
	w.changed = false
	return changed
}

// Notes returns the decisions since the last call.
func (w *Detector) PopRecords() []decision.Record {
	notes := w.notes
	w.notes = nil
	return notes
}

func (w *Detector) note(action, rule, why, name string) {
	w.notes = append(w.notes, w.record(action, rule, why, name))
}

func (w *Detector) record(action, rule, why, name string) decision.Record {
	return decision.Record{
		Part: decision.PartEject, Action: action, Rule: rule, Why: why, Subjects: []string{name}, Customer: w.customer,
	}
}

// Conditions returns one record for each server that gets no work or only
// probes, with the time since when.
func (w *Detector) Conditions() []decision.Record {
	var records []decision.Record
	for name, s := range w.servers {
		action := string(s.mode)
		switch {
		case s.leaving:
			action = "leaving"
		case s.mode == serving && s.withheld.IsZero():
			continue
		case s.mode == serving:
			action = "ejection withheld"
		}
		r := w.record(action, s.rule, s.why, name)
		r.Time = s.since
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b decision.Record) int { return slices.Compare(a.Subjects, b.Subjects) })
	return records
}
