// Package sharing decides who gets scarce capacity: which jobs are admitted and in
// which order queued tasks start while the tasks of routes with different priorities
// wait for the same workers. It performs no I/O: events and the time go in, decisions
// come out.
package sharing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// demandTimeConstant is the time constant of the moving mean of a route's arriving
// work. A burst of a few seconds must not become the usual rate.
const demandTimeConstant = 8 * time.Second

// Demand keeps the usual rate of arriving work of each route. It is not safe for
// concurrent use. The zero value has seen no work.
type Demand struct {
	routes map[string]*routeDemand
	since  time.Time
}

type routeDemand struct {
	service  string
	priority int
	// rate is the moving mean, in thousandths of a core, at the time updatedAt.
	rate      float64
	updatedAt time.Time
}

// Rate is the usual rate of arriving work of a route.
type Rate struct {
	Route    string
	Priority int
	// MilliCPU is in thousandths of a core: work per time.
	MilliCPU float64
}

// Observe records the arrival of work on a route, in thousandths of a core times
// milliseconds.
func (d *Demand) Observe(now time.Time, route, service string, priority int, work int64) {
	if d.routes == nil {
		d.routes, d.since = map[string]*routeDemand{}, now
	}
	r, ok := d.routes[route]
	if !ok {
		r = &routeDemand{updatedAt: now}
		d.routes[route] = r
	}
	r.service, r.priority = service, priority
	r.rate = r.rateAt(now) + float64(work)/float64(demandTimeConstant.Milliseconds())
	if now.After(r.updatedAt) {
		r.updatedAt = now
	}
}

// rateAt returns the moving mean, decayed to the given time.
func (r *routeDemand) rateAt(now time.Time) float64 {
	age := max(0, now.Sub(r.updatedAt))
	return r.rate * math.Exp(-age.Seconds()/demandTimeConstant.Seconds())
}

// Rates returns the usual rates of the routes of a service, by priority and then by
// name. While less than the time constant has been observed, they are those of the
// observed time.
func (d *Demand) Rates(now time.Time, service string) []Rate {
	seen := 1 - math.Exp(-max(now.Sub(d.since), minObserved).Seconds()/demandTimeConstant.Seconds())
	var rates []Rate
	for name, r := range d.routes {
		if r.service == service {
			rates = append(rates, Rate{Route: name, Priority: r.priority, MilliCPU: r.rateAt(now) / seen})
		}
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Route, b.Route))
	})
	return rates
}

// minObserved bounds the correction of rates at the start: a few arrivals of the
// first milliseconds say little about a rate.
const minObserved = 250 * time.Millisecond

// Share returns a route's part of the arriving work of its service, from 0 to 1. It
// returns 0 for a route without work.
func (d *Demand) Share(now time.Time, route string) float64 {
	r, ok := d.routes[route]
	if !ok {
		return 0
	}
	var own, total float64
	for _, rate := range d.Rates(now, r.service) {
		total += rate.MilliCPU
		if rate.Route == route {
			own = rate.MilliCPU
		}
	}
	if total == 0 {
		return 0
	}
	return own / total
}

// Ranked reports whether the service has routes of different priorities.
func (d *Demand) Ranked(service string) bool {
	first, seen := 0, false
	for _, r := range d.routes {
		if r.service != service {
			continue
		}
		if seen && r.priority != first {
			return true
		}
		first, seen = r.priority, true
	}
	return false
}
