package eject

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// withheldInterval is the time between notes on one server that the ceiling
// keeps in service.
const withheldInterval = 10 * time.Second

// compareInterval is the time between comparisons of the servers.
const compareInterval = time.Second

// Tick ejects servers that do not answer or are slow, and moves servers whose
// time is over to probing.
func (w *Detector) Tick(now time.Time) {
	w.times.rotate(now)
	w.compare(now)
	for _, s := range w.servers {
		switch {
		case s.leaving && !now.Before(s.leftAt):
			s.leaving, s.told = false, false
			w.set(now, s, probing, "still-listed", "the host list still shows it as live")
		case s.mode == ejected && !now.Before(s.until):
			w.set(now, s, probing, s.rule, "the ejection is over, one request at a time")
		case s.mode == serving && s.ejections > 0 && now.Sub(s.since) >= w.longest():
			s.ejections = 0
		}
		if count, age, silent := w.silent(now, s); silent {
			w.eject(now, s, "no-answer", fmt.Sprintf("%d requests for over %s, no answer", count, age.Round(time.Millisecond)))
		}
		if s.paused.After(now.Add(-time.Second)) && !now.Before(s.paused) {
			w.changed = true
		}
		if s.mode == serving && s.samples >= slowSamples && w.slow(s.logMean) {
			why := fmt.Sprintf("answers take %.1f times the median server's", math.Exp(s.logMean-w.median))
			w.eject(now, s, "slow", why)
		}
	}
}

// silent returns whether the oldest requests of a server have waited so long
// without any answer that it cannot be chance, how many, and for how long.
func (w *Detector) silent(now time.Time, s *server) (int, time.Duration, bool) {
	if s.mode == ejected || len(s.sent)+len(s.expired) == 0 {
		return 0, 0, false
	}
	ages := slices.Clone(s.expired)
	for _, sent := range s.sent {
		ages = append(ages, now.Sub(sent))
	}
	slices.Sort(ages)
	slices.Reverse(ages)
	quiet := now.Sub(s.answer)
	for i, age := range ages {
		limit := w.times.bound(i + 1)
		if s.mode == probing {
			limit = w.times.bound(2)
		}
		if age >= limit && quiet >= limit {
			return i + 1, age, true
		}
	}
	return 0, 0, false
}

// compare finds the median server's answer times from time to time.
func (w *Detector) compare(now time.Time) {
	if now.Sub(w.comparison) < compareInterval {
		return
	}
	w.comparison = now
	var means []float64
	for _, s := range w.servers {
		if s.listed && s.samples >= slowSamples {
			means = append(means, s.logMean)
		}
	}
	w.compared = len(means) >= slowServers
	if w.compared {
		slices.Sort(means)
		w.median = means[len(means)/2]
	}
}

func (w *Detector) longest() time.Duration { return time.Duration(w.rules.MaxMs) * time.Millisecond }

// eject takes a server out of service unless the ceiling is reached.
func (w *Detector) eject(now time.Time, s *server, rule, why string) {
	if s.mode == serving && !w.mayEject() {
		w.withhold(now, s, rule, why)
		return
	}
	length := min(time.Duration(w.rules.BaseMs)*time.Millisecond<<min(s.ejections, 20), w.longest())
	s.ejections++
	s.until = now.Add(length)
	s.failures, s.samples, s.logMean = 0, 0, 0
	w.set(now, s, ejected, rule, fmt.Sprintf("%s, out for %s", why, length))
}

// withhold notes that the ceiling keeps a server in service.
func (w *Detector) withhold(now time.Time, s *server, rule, why string) {
	if !s.withheld.IsZero() && now.Sub(s.withheld) < withheldInterval {
		return
	}
	s.withheld, s.since, s.rule, s.why = now, now, rule, why
	w.note("withhold", "ceiling", fmt.Sprintf("%s, but %d servers are out already", why, w.out()), s.name)
}

// mayEject returns whether one more server may be out: a share of the listed
// servers, and one of any two.
func (w *Detector) mayEject() bool {
	listed := 0
	for _, s := range w.servers {
		if s.listed {
			listed++
		}
	}
	limit := int(w.rules.MaxShare * float64(listed))
	if listed >= 2 {
		limit = max(limit, 1)
	}
	return w.out() < limit
}

func (w *Detector) out() int {
	out := 0
	for _, s := range w.servers {
		if s.listed && s.mode != serving {
			out++
		}
	}
	return out
}

func (w *Detector) set(now time.Time, s *server, m mode, rule, why string) {
	actions := map[mode]string{serving: "return", ejected: "eject", probing: "probe"}
	s.mode, s.since, s.rule, s.why = m, now, rule, why
	delete(w.probing, s.name)
	if m == probing {
		w.probing[s.name] = s
	}
	s.probes, s.slowProbes, s.expired = 0, 0, nil
	s.withheld = time.Time{}
	w.changed = true
	w.note(actions[m], rule, why, s.name)
}
