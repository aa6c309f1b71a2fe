package sharing

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

const (
	// startedTimeConstant is the time constant of the moving mean of a route's started
	// work: a route keeps its share over each two-second window, which callers are
	// rated by, while the tasks of one wide job do not exceed it.
	startedTimeConstant = 2 * time.Second
	// guaranteedPart is the part of its share, from 0 to 1, up to which a route precedes
	// others; the remaining capacity goes to the most urgent tasks. A burst of x 2.1
	// raises the moving mean of its route by half in 6.7 s, and with it a share of 0.28
	// by a fifth: 0.75 of that share is 0.9 of the usual one.
	guaranteedPart = 0.75
	// pressingSlack is the time before its latest start from which a task of a started job
	// precedes the tasks of routes below their share. A longer time lets the started
	// jobs of a long class, which have hundreds of milliseconds left, delay urgent ones.
	pressingSlack = 50 * time.Millisecond
)

// Group is the group of a waiting task. Lower groups start first.
type Group int

// The groups.
const (
	// StartedInTime means that a task of the job has started, that the job can be on
	// time, and that either its route is below its share or its latest start is near.
	StartedInTime Group = iota
	// BelowShare means that the job can be on time and that its route is below its
	// share, as Standing.Below states.
	BelowShare
	// InTime means that the job can be on time.
	InTime
	// Late means that the job can no longer be on time.
	Late
)

// Waiting is what decides the place of a waiting task.
type Waiting struct {
	Group    Group
	Priority int
	// StartBy is the latest start with which the job can be on time.
	StartBy time.Time
}

// Compare orders waiting tasks by group, priority and latest start.
func (w Waiting) Compare(o Waiting) int {
	return cmp.Or(cmp.Compare(w.Group, o.Group), cmp.Compare(w.Priority, o.Priority), w.StartBy.Compare(o.StartBy))
}

// Standing is the share of a route and what it has started of it.
type Standing struct {
	Route    string
	Priority int
	// Share is the route's usual part of the arriving work of its service, and Started
	// its part of the work started recently. Both are from 0 to 1.
	Share, Started float64
	// Below is set if the route precedes others: it has started less than its share
	// guarantees, or less urgent routes have started more than theirs guarantee.
	Below bool
}

// Standings holds the standings of the routes of one service, by priority and then
// by name.
type Standings []Standing

// Place returns the place of a task of a route.
func (s Standings) Place(now time.Time, route string, priority int, jobStarted bool, startBy time.Time) Waiting {
	w := Waiting{Group: InTime, Priority: priority, StartBy: startBy}
	switch {
	case now.After(startBy):
		w.Group = Late
	case jobStarted && (s.below(route) || startBy.Sub(now) < pressingSlack):
		w.Group = StartedInTime
	case s.below(route):
		w.Group = BelowShare
	}
	return w
}

// below searches linearly, since a service has few routes.
func (s Standings) below(route string) bool {
	for i := range s {
		if s[i].Route == route {
			return s[i].Below
		}
	}
	return false
}

// Queue keeps what an owner of workers needs to order waiting tasks by the shares of
// their routes. It is not safe for concurrent use. The zero value has seen no task.
type Queue struct {
	demand  Demand
	started map[string]*startedWork
}

// startedWork is a moving sum that decays with startedTimeConstant, in thousandths
// of a core times milliseconds.
type startedWork struct {
	sum float64
	at  time.Time
}

func (s *startedWork) sumAt(now time.Time) float64 {
	return s.sum * math.Exp(-max(0, now.Sub(s.at)).Seconds()/startedTimeConstant.Seconds())
}

// Arrived records work that arrived on a route, in thousandths of a core times
// milliseconds.
func (q *Queue) Arrived(now time.Time, route, service string, priority int, work int64) {
	q.demand.Observe(now, route, service, priority, work)
}

// Started records work of a route that has started, in thousandths of a core times
// milliseconds.
func (q *Queue) Started(now time.Time, route string, work int64) {
	if q.started == nil {
		q.started = map[string]*startedWork{}
	}
	s := q.started[route]
	if s == nil {
		s = &startedWork{at: now}
		q.started[route] = s
	}
	s.sum = s.sumAt(now) + float64(work)
	if now.After(s.at) {
		s.at = now
	}
}

// Ranked reports whether the service has routes of different priorities.
func (q *Queue) Ranked(service string) bool { return q.demand.Ranked(service) }

// Standings returns the standings of the routes of a service.
func (q *Queue) Standings(now time.Time, service string) Standings {
	rates := q.demand.Rates(now, service)
	standings := make(Standings, len(rates))
	var arriving, started float64
	for i, r := range rates {
		standings[i] = Standing{Route: r.Route, Priority: r.Priority, Share: r.MilliCPU}
		if s := q.started[r.Route]; s != nil {
			standings[i].Started = s.sumAt(now)
		}
		arriving += r.MilliCPU
		started += standings[i].Started
	}
	for i := range standings {
		if arriving > 0 {
			standings[i].Share /= arriving
		}
		if started > 0 {
			standings[i].Started /= started
		}
	}
	for i := range standings {
		own := &standings[i]
		var share, started float64
		for _, o := range standings {
			if o.Priority > own.Priority {
				share, started = share+o.Share, started+o.Started
			}
		}
		own.Below = own.Started < guaranteedPart*own.Share || started > guaranteedPart*share
	}
	return standings
}

// RouteKey returns the name under which the work of a route is counted. Tasks of
// hosts that send no route count as one route per priority.
func RouteKey(route string, priority int) string {
	if route != "" {
		return route
	}
	return fmt.Sprintf("priority-%d", priority)
}
