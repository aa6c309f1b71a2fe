package eject

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// withholdLogInterval is the shortest time between decision records on one
// server whose ejection is withheld.
const withholdLogInterval = 10 * time.Second

// compareInterval is the time between comparisons of the servers' response
// times.
const compareInterval = time.Second

// Tick ejects servers that do not answer or are slow, and starts to probe servers
// whose ejection or leaving time has ended.
func (d *Detector) Tick(now time.Time) {
	d.responseTimes.rotate(now)
	d.updateMedian(now)
	for _, s := range d.servers {
		switch {
		case s.leaving && !now.Before(s.leavingUntil):
			s.leaving, s.selfReported = false, false
			d.setMode(now, s, probing, "still-listed", "the host list still shows it as live")
		case s.mode == ejected && !now.Before(s.ejectedUntil):
			d.setMode(now, s, probing, s.rule, "the ejection ended, probing with one request at a time")
		case s.mode == serving && s.ejections > 0 && now.Sub(s.conditionSince) >= d.maxEjection():
			s.ejections = 0
		}
		if count, age, silent := d.unanswered(now, s); silent {
			d.eject(now, s, "no-answer", fmt.Sprintf("%d requests waited over %s without an answer", count, age.Round(time.Millisecond)))
		}
		if s.pausedUntil.After(now.Add(-time.Second)) && !now.Before(s.pausedUntil) {
			d.changed = true
		}
		if s.mode == serving && s.samples >= minSamples && d.isSlow(s.logMean) {
			why := fmt.Sprintf("answers take %.1f times as long as the median server's", math.Exp(s.logMean-d.median))
			d.eject(now, s, "slow", why)
		}
	}
}

// unanswered reports whether a server has not answered for so long that a
// healthy server would hardly do so by chance. It returns how many of the oldest
// requests show this and how long each of them has waited at least.
func (d *Detector) unanswered(now time.Time, s *server) (int, time.Duration, bool) {
	if s.mode == ejected || len(s.sentAt)+len(s.timedOutAges) == 0 {
		return 0, 0, false
	}
	ages := slices.Clone(s.timedOutAges)
	for _, sent := range s.sentAt {
		ages = append(ages, now.Sub(sent))
	}
	slices.Sort(ages)
	slices.Reverse(ages)
	sinceAnswer := now.Sub(s.lastAnswer)
	for i, age := range ages {
		limit := d.responseTimes.bound(i + 1)
		if s.mode == probing {
			limit = d.responseTimes.bound(2)
		}
		if age >= limit && sinceAnswer >= limit {
			return i + 1, age, true
		}
	}
	return 0, 0, false
}

// updateMedian updates the median of the servers' response times every
// compareInterval.
func (d *Detector) updateMedian(now time.Time) {
	if now.Sub(d.comparedAt) < compareInterval {
		return
	}
	d.comparedAt = now
	var means []float64
	for _, s := range d.servers {
		if s.listed && s.samples >= minSamples {
			means = append(means, s.logMean)
		}
	}
	d.compared = len(means) >= minComparedServers
	if d.compared {
		slices.Sort(means)
		d.median = means[len(means)/2]
	}
}

func (d *Detector) maxEjection() time.Duration {
	return time.Duration(d.rules.MaxMs) * time.Millisecond
}

// eject takes a server out of service, unless it is serving and too many others
// are out. The time out of service doubles with each ejection, up to the maximum.
func (d *Detector) eject(now time.Time, s *server, rule, why string) {
	if s.mode == serving && !d.mayEject() {
		d.recordNotEjected(now, s, rule, why)
		return
	}
	duration := min(time.Duration(d.rules.BaseMs)*time.Millisecond<<min(s.ejections, 20), d.maxEjection())
	s.ejections++
	s.ejectedUntil = now.Add(duration)
	s.consecutiveFailures, s.samples, s.logMean = 0, 0, 0
	d.setMode(now, s, ejected, rule, fmt.Sprintf("%s, ejected for %s", why, duration))
}

// recordNotEjected records that a server is not ejected because too many others
// are out of service, at most once per withholdLogInterval and server.
func (d *Detector) recordNotEjected(now time.Time, s *server, rule, why string) {
	if !s.withheldAt.IsZero() && now.Sub(s.withheldAt) < withholdLogInterval {
		return
	}
	s.withheldAt, s.conditionSince, s.rule, s.why = now, now, rule, why
	d.addRecord("withhold", "ceiling", fmt.Sprintf("%s, but %d servers are out of service already", why, d.outOfService()), s.name)
}

// mayEject reports whether one more server may be out of service. The limit is
// a share of the listed servers, but at least one if two or more are listed.
func (d *Detector) mayEject() bool {
	listed := 0
	for _, s := range d.servers {
		if s.listed {
			listed++
		}
	}
	limit := int(d.rules.MaxShare * float64(listed))
	if listed >= 2 {
		limit = max(limit, 1)
	}
	return d.outOfService() < limit
}

func (d *Detector) outOfService() int {
	out := 0
	for _, s := range d.servers {
		if s.listed && s.mode != serving {
			out++
		}
	}
	return out
}

func (d *Detector) setMode(now time.Time, s *server, m mode, rule, why string) {
	actions := map[mode]string{serving: "return", ejected: "eject", probing: "probe"}
	s.mode, s.conditionSince, s.rule, s.why = m, now, rule, why
	delete(d.probing, s.name)
	if m == probing {
		d.probing[s.name] = s
	}
	s.probesAnswered, s.slowProbes, s.timedOutAges = 0, 0, nil
	s.withheldAt = time.Time{}
	d.changed = true
	d.addRecord(actions[m], rule, why, s.name)
}
