// Package eject detects unhealthy backend servers, takes them out of service
// and probes them before they return. It relies on what this entry host observes
// itself: consecutive failures, missing answers, slow answers and servers that
// report that they are leaving. It does no I/O and reads no clock: callers pass
// in events and the time.
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
	// leavingTimeout is how long a server gets no requests after the last sign
	// that it is leaving. If the host list still shows it as live then, it is
	// probed with one request at a time.
	leavingTimeout = 60 * time.Second
	// probesToReturn is how many consecutive requests, sent one at a time, a
	// server must answer to return to service.
	probesToReturn = 3
	// maxSlowProbes is how many of these answers may be slow.
	maxSlowProbes = 1
	// minBusyPause is the pause after a server's first refusal. The pause doubles
	// with each consecutive refusal, up to maxBusyPause.
	minBusyPause = 25 * time.Millisecond
	maxBusyPause = time.Second
	// slowFactor is the ratio of a server's response time to the median server's
	// above which it counts as slow.
	slowFactor = 3
	// minSamples is how many answers are needed to compare a server's response
	// time with the others'.
	minSamples = 10
	// minComparedServers is how many servers need minSamples answers before
	// response times are compared.
	minComparedServers = 3
	// minSampleWeight is the lowest weight of the newest answer in a server's
	// moving average.
	minSampleWeight = 0.1
)

type mode string

const (
	serving mode = "serving"
	ejected mode = "ejected"
	probing mode = "probing"
)

// server is the state of one backend server.
type server struct {
	name   string
	listed bool
	mode   mode
	// conditionSince, rule and why explain the mode, or why the server is leaving
	// or was not ejected.
	conditionSince time.Time
	rule           string
	why            string
	ejectedUntil   time.Time
	// ejections counts ejections since the server last stayed in service for the
	// longest ejection time.
	ejections           int
	consecutiveFailures int
	probesAnswered      int
	// slowProbes counts the slow answers to probes.
	slowProbes int
	// leaving is set until leavingUntil; selfReported is set if the server itself
	// reported to this host that it is leaving.
	leaving             bool
	selfReported        bool
	leavingUntil        time.Time
	consecutiveRefusals int
	pausedUntil         time.Time
	// sentAt holds the send times of requests without an outcome, by ID.
	sentAt map[string]time.Time
	// timedOutAges holds the waiting times of the requests that timed out since
	// the last answer.
	timedOutAges []time.Duration
	lastAnswer   time.Time
	// logMean is the moving average of the logarithm of the response times in
	// seconds.
	logMean float64
	samples int
	// withheldAt is when the server was last kept in service because too many
	// others were out.
	withheldAt time.Time
}

// Detector detects unhealthy servers of one customer and decides when to eject
// them and when to return them to service. It is not safe for concurrent use.
type Detector struct {
	customer string
	rules    standing.Ejection
	servers  map[string]*server
	// probing holds the servers that must answer probes to return to service.
	probing       map[string]*server
	responseTimes responseTimes
	// median is the logMean of the median server. It is valid if compared is set.
	median     float64
	compared   bool
	comparedAt time.Time
	changed    bool
	records    []decision.Record
}

// New returns a Detector without servers.
func New(customer string, rules standing.Ejection) *Detector {
	return &Detector{customer: customer, rules: rules, servers: map[string]*server{}, probing: map[string]*server{}}
}

// SetRules replaces the ejection rules.
func (d *Detector) SetRules(rules standing.Ejection) { d.rules = rules }

// SetListed replaces the servers that the host list shows as live. The state of
// a server that is no longer listed is dropped, except while it has requests
// without an outcome.
func (d *Detector) SetListed(now time.Time, names []string) {
	for _, s := range d.servers {
		s.listed = false
	}
	for _, name := range names {
		d.server(now, name).listed = true
	}
	for name, s := range d.servers {
		if !s.listed && len(s.sentAt) == 0 {
			delete(d.servers, name)
			delete(d.probing, name)
		}
	}
}

func (d *Detector) server(now time.Time, name string) *server {
	s, ok := d.servers[name]
	if !ok {
		s = &server{name: name, mode: serving, conditionSince: now, lastAnswer: now, sentAt: map[string]time.Time{}}
		d.servers[name] = s
	}
	return s
}

// Available reports whether the server may get requests other than probes.
func (d *Detector) Available(now time.Time, name string) bool {
	s, ok := d.servers[name]
	return !ok || s.mode == serving && !s.leaving && !now.Before(s.pausedUntil)
}

// NextProbe returns a server in probing that has no request in flight and is
// not in skip, or false if there is none. The next request may be sent to it as
// a probe.
func (d *Detector) NextProbe(skip map[string]bool) (string, bool) {
	best := ""
	for name, s := range d.probing {
		due := s.listed && !s.leaving && len(s.sentAt) == 0 && !skip[name]
		if due && (best == "" || name < best) {
			best = name
		}
	}
	return best, best != ""
}

// RecordSend records that a request was sent to the server.
func (d *Detector) RecordSend(now time.Time, name, id string) {
	d.server(now, name).sentAt[id] = now
}

// Outcome is the outcome of a request that was sent to a server.
type Outcome struct {
	ID string
	// Err is nil after a complete answer.
	Err *errkind.Error
	// Leaving is set if the server reported that it is leaving.
	Leaving bool
}

// RecordOutcome records the outcome of a request, and ejects the server or
// returns it to service if the rules require it.
func (d *Detector) RecordOutcome(now time.Time, name string, o Outcome) {
	s := d.server(now, name)
	sent, ok := s.sentAt[o.ID]
	delete(s.sentAt, o.ID)
	if o.Leaving {
		d.markLeaving(now, s, "said-leaving", "the server reported that it is leaving", true)
	}
	switch {
	case o.Err == nil:
		s.recordAnswer(now)
		d.handleAnswer(now, s, now.Sub(sent), ok)
	case o.Err.Kind == errkind.BackendRefused:
		s.recordAnswer(now)
		d.handleRefusal(now, s)
	case o.Err.Kind == errkind.Timeout:
		// A timeout alone is no failure, because the request's deadline may have
		// been short. Tick decides whether the server has stopped answering.
		s.recordTimeout(now.Sub(sent), ok)
		d.handleTimeout(now, s)
	default:
		d.handleFailure(now, s, o.Err)
	}
}

// isSlow reports whether a response time, given as its logarithm, is more than
// slowFactor times the median server's.
func (d *Detector) isSlow(logMean float64) bool {
	return d.compared && logMean > d.median+math.Log(slowFactor)
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, time.Millisecond).Seconds()) }

// recordAnswer records that the server answered, even if only with a refusal.
func (s *server) recordAnswer(now time.Time) {
	s.lastAnswer, s.timedOutAges = now, nil
}

func (s *server) recordTimeout(waited time.Duration, timed bool) {
	if timed && len(s.timedOutAges) < maxBounds {
		s.timedOutAges = append(s.timedOutAges, waited)
	}
}

func (d *Detector) handleAnswer(now time.Time, s *server, took time.Duration, timed bool) {
	s.consecutiveFailures, s.consecutiveRefusals = 0, 0
	if timed {
		d.responseTimes.record(took)
		s.recordTime(took)
	}
	if s.mode != probing {
		return
	}
	if timed && took > d.responseTimes.bound(2) {
		d.eject(now, s, "slow", fmt.Sprintf("a probe took %s", took))
		return
	}
	if d.isSlow(logSeconds(took)) {
		s.slowProbes++
	}
	if s.slowProbes > maxSlowProbes {
		d.eject(now, s, "slow", fmt.Sprintf("%d probes were slow, the last took %s", s.slowProbes, took))
		return
	}
	if s.probesAnswered++; s.probesAnswered < probesToReturn {
		return
	}
	s.samples, s.logMean = 0, 0
	d.setMode(now, s, serving, "probes", fmt.Sprintf("answered %d probes in a row", s.probesAnswered))
}

func (s *server) recordTime(took time.Duration) {
	s.samples++
	s.logMean += max(minSampleWeight, 1/float64(s.samples)) * (logSeconds(took) - s.logMean)
}

func (d *Detector) handleRefusal(now time.Time, s *server) {
	s.consecutiveRefusals++
	s.pausedUntil = now.Add(min(minBusyPause<<min(s.consecutiveRefusals-1, 10), maxBusyPause))
	d.changed = true
}

func (d *Detector) handleTimeout(now time.Time, s *server) {
	if s.mode == probing {
		d.eject(now, s, "no-answer", "a probe got no answer")
	}
}

func (d *Detector) handleFailure(now time.Time, s *server, err *errkind.Error) {
	s.consecutiveFailures++
	switch {
	case s.mode == probing:
		d.eject(now, s, "failures", fmt.Sprintf("a probe failed: %s", err.Kind))
	case s.mode == serving && s.consecutiveFailures >= d.rules.Failures:
		d.eject(now, s, "failures", fmt.Sprintf("%d failures in a row, the last %s", s.consecutiveFailures, err.Kind))
	}
}

// HintLeaving marks servers as leaving that another entry host reported as
// leaving.
func (d *Detector) HintLeaving(now time.Time, names []string) {
	for _, name := range names {
		if s, ok := d.servers[name]; ok && !s.leaving {
			d.markLeaving(now, s, "peer-hint", "another entry host reported that it is leaving", false)
		}
	}
}

// LeavingServers returns the names of the servers that reported to this host
// that they are leaving, sorted.
func (d *Detector) LeavingServers() []string {
	var names []string
	for name, s := range d.servers {
		if s.leaving && s.selfReported {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (d *Detector) markLeaving(now time.Time, s *server, rule, why string, selfReported bool) {
	s.leavingUntil = now.Add(leavingTimeout)
	s.selfReported = s.selfReported || selfReported
	if s.leaving {
		return
	}
	s.leaving, d.changed = true, true
	s.conditionSince, s.rule, s.why = now, rule, why
	d.addRecord("shun", rule, why, s.name)
}

// PopChanged reports whether the servers that may get requests have changed
// since the last call.
func (d *Detector) PopChanged() bool {
	changed := d.changed
	d.changed = false
	return changed
}

// PopRecords returns the records of the decisions since the last call.
func (d *Detector) PopRecords() []decision.Record {
	records := d.records
	d.records = nil
	return records
}

func (d *Detector) addRecord(action, rule, why, name string) {
	d.records = append(d.records, d.newRecord(action, rule, why, name))
}

func (d *Detector) newRecord(action, rule, why, name string) decision.Record {
	return decision.Record{
		Part: decision.PartEject, Action: action, Rule: rule, Why: why, Subjects: []string{name}, Customer: d.customer,
	}
}

// Conditions returns a record for each server that gets no requests or only
// probes, or whose ejection was withheld. The time of a record is when the
// condition began. Records are sorted by server.
func (d *Detector) Conditions() []decision.Record {
	var records []decision.Record
	for name, s := range d.servers {
		action := string(s.mode)
		switch {
		case s.leaving:
			action = "leaving"
		case s.mode == serving && s.withheldAt.IsZero():
			continue
		case s.mode == serving:
			action = "ejection withheld"
		}
		r := d.newRecord(action, s.rule, s.why, name)
		r.Time = s.conditionSince
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b decision.Record) int { return slices.Compare(a.Subjects, b.Subjects) })
	return records
}
