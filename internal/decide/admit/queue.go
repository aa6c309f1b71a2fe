// Package admit holds the requests of one customer that wait at an entry host
// for a slot. The queue is bounded, knows deadlines, is fair between teams by
// weight and refuses early what it cannot serve in time. It is pure: events
// and the time go in, decisions come out.
package admit

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// Item is a request as the queue sees it.
type Item struct {
	ID   string
	Team string
	// Deadline is the latest time for the answer.
	Deadline time.Time
	// Declared is the declared run time, or 0.
	DeclaredRunTime time.Duration
	// Arrived is when the request entered the queue first.
	Arrived time.Time
}

// Refusal ends a request that did not run.
type Refusal struct {
	ID  string
	Err *errkind.Error
	// RetryAfter is when the caller may try again.
	RetryAfter time.Duration
}

// Verdict is the answer to an offered item.
type Verdict int

// The verdicts.
const (
	// Taken removes the item from the queue: it was started.
	Started Verdict = iota
	// Skipped leaves the item and offers another.
	Skipped
	// Stopped leaves the item and ends the round: no slot is free.
	NoSlot
)

const (
	// minRetryAfter bounds the advice to callers from below.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the advice to callers from above.
	maxRetryAfter = 30 * time.Second
	// minCost is the least run time that a start is charged for.
	minCost = 10 * time.Millisecond
)

// Queue is a bounded queue with one line for each team. Lines are served by
// start-time fair queueing: a line's virtual time grows by the expected run
// time over the team's weight, and the line with the least is served next. A
// Queue is not safe for concurrent use.
type Queue struct {
	limit     int
	teams     map[string]standing.Team
	lines     map[string]*line
	order     []*line
	length    int
	virtual   float64
	estimates estimates
	pace      pace
}

// line holds the requests of one team.
type line struct {
	team    string
	rules   standing.Team
	virtual float64
	items   []Item
	running int
	skipped int
}

// NewQueue returns an empty queue with the rules of a customer.
func NewQueue(rules standing.Customer) *Queue {
	q := &Queue{lines: map[string]*line{}, estimates: estimates{byTeam: map[string]*estimate{}}}
	q.SetRules(rules)
	return q
}

// SetRules replaces the customer's rules. Requests that wait stay, also if
// their number is over a lower limit.
func (q *Queue) SetRules(rules standing.Customer) {
	q.limit = rules.QueueLimit
	q.teams = rules.Teams
	for _, l := range q.lines {
		l.rules = teamRules(q.teams, l.team)
	}
}

func teamRules(teams map[string]standing.Team, team string) standing.Team {
	rules := teams[team]
	rules.Weight = max(1, rules.Weight)
	return rules
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return q.length }

// Oldest returns the arrival of the request that has waited longest.
func (q *Queue) OldestArrival() (time.Time, bool) {
	var oldest time.Time
	for _, l := range q.order {
		if len(l.items) > 0 && (oldest.IsZero() || l.items[0].Arrived.Before(oldest)) {
			oldest = l.items[0].Arrived
		}
	}
	return oldest, !oldest.IsZero()
}

// Push admits a request or refuses it. Admitting may push out the newest
// request of another team that holds more than its part of a full queue.
func (q *Queue) Push(now time.Time, it Item) []Refusal {
	if _, ok := q.teams[it.Team]; !ok && len(q.teams) > 0 {
		err := errkind.New(errkind.QuotaExceeded, "team %q has no quota", it.Team)
		return []Refusal{{ID: it.ID, Err: err, RetryAfter: maxRetryAfter}}
	}
	l := q.line(it.Team)
	if r, late := q.late(now, l, it); late {
		return []Refusal{r}
	}
	if q.length < q.limit {
		q.append(l, it)
		return nil
	}
	victim := q.longest()
	if victim == nil || !heavier(victim, l) {
		return []Refusal{q.full(now, it.ID, l)}
	}
	last := victim.items[len(victim.items)-1]
	victim.items = victim.items[:len(victim.items)-1]
	q.length--
	q.append(l, it)
	return []Refusal{q.full(now, last.ID, victim)}
}

// heavier reports whether a would still hold more for its weight than b after
// a gave one place to b.
func heavier(a, b *line) bool {
	return (len(a.items)-1)*b.rules.Weight >= (len(b.items)+1)*a.rules.Weight
}

func (q *Queue) full(now time.Time, id string, l *line) Refusal {
	err := errkind.New(errkind.Overloaded, "%d requests wait, the limit; %d of team %q", q.length, len(l.items), l.team)
	return Refusal{ID: id, Err: err, RetryAfter: retryAfter(q.wait(now, l, len(l.items)))}
}

// late refuses a request whose expected wait and run time exceed its deadline.
func (q *Queue) late(now time.Time, l *line, it Item) (Refusal, bool) {
	wait := q.wait(now, l, len(l.items))
	left := it.Deadline.Sub(now)
	run := q.estimates.reserve(it, left)
	if wait == 0 || wait+run <= left {
		return Refusal{}, false
	}
	err := errkind.New(errkind.Overloaded, "expected wait %v and run %v exceed the %v to the deadline",
		wait.Round(time.Millisecond), run.Round(time.Millisecond), left.Round(time.Millisecond))
	return Refusal{ID: it.ID, Err: err, RetryAfter: retryAfter(wait + run - left)}, true
}

// wait estimates how long a request waits behind ahead others of its line.
func (q *Queue) wait(now time.Time, l *line, ahead int) time.Duration {
	if q.length == 0 {
		return 0
	}
	total := l.rules.Weight
	for _, other := range q.order {
		if other != l && len(other.items) > 0 {
			total += other.rules.Weight
		}
	}
	places := min(float64(q.length), float64(ahead+1)*float64(total)/float64(l.rules.Weight))
	return time.Duration(places * float64(q.pace.interval(now)))
}

func retryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// PushFront returns a request that was taken and not run to the head of its
// line. It is admitted whatever the limit.
func (q *Queue) PushFront(it Item) {
	l := q.line(it.Team)
	q.activate(l)
	l.items = slices.Insert(l.items, 0, it)
	q.length++
}

// Remove takes a waiting request out and reports whether it was there.
func (q *Queue) Remove(id, team string) bool {
	l, ok := q.lines[team]
	if !ok {
		return false
	}
	i := slices.IndexFunc(l.items, func(it Item) bool { return it.ID == id })
	if i < 0 {
		return false
	}
	l.items = slices.Delete(l.items, i, i+1)
	q.length--
	q.forget(l)
	return true
}

// started counts a request of the team as running.
func (q *Queue) started(l *line, it Item) {
	l.running++
	cost := max(q.estimates.run(it), minCost)
	l.virtual += cost.Seconds() / float64(l.rules.Weight)
}

// Finished counts a request of the team as no longer running. A positive ran
// is the run time of a whole answer.
func (q *Queue) Finished(team string, declared, ran time.Duration) {
	if ran > 0 {
		q.estimates.learn(team, declared, ran)
	}
	if l, ok := q.lines[team]; ok {
		l.running--
		q.forget(l)
	}
}

// Expire refuses the requests that can no longer meet their deadlines.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refused []Refusal
	for _, l := range slices.Clone(q.order) {
		l.items = slices.DeleteFunc(l.items, func(it Item) bool {
			r, expired := q.expired(now, it)
			if expired {
				refused = append(refused, r)
				q.length--
			}
			return expired
		})
		q.forget(l)
	}
	return refused
}

func (q *Queue) expired(now time.Time, it Item) (Refusal, bool) {
	run := q.estimates.reserve(it, it.Deadline.Sub(it.Arrived))
	left := it.Deadline.Sub(now)
	if run <= left && left > 0 {
		return Refusal{}, false
	}
	err := errkind.New(errkind.DeadlinePassed, "waited %v, %v to the deadline, expected run %v",
		now.Sub(it.Arrived).Round(time.Millisecond), left.Round(time.Millisecond), run.Round(time.Millisecond))
	return Refusal{ID: it.ID, Err: err, RetryAfter: retryAfter(q.wait(now, q.line(it.Team), 0))}, true
}

// Serve offers waiting requests in fair order until none is left or offer
// stops the round. It returns the requests that expired on the way.
func (q *Queue) Serve(now time.Time, offer func(Item) Verdict) []Refusal {
	var refused []Refusal
	for {
		l := q.next()
		if l == nil {
			break
		}
		it := l.items[l.skipped]
		if r, expired := q.expired(now, it); expired {
			refused = append(refused, r)
			q.take(l)
			continue
		}
		verdict := offer(it)
		if verdict == NoSlot {
			break
		}
		if verdict == Skipped {
			l.skipped++
			continue
		}
		q.take(l)
		q.virtual = max(q.virtual, l.virtual)
		q.started(l, it)
		q.pace.served(now, q.length > 0)
	}
	q.endRound()
	return refused
}

// next returns the line to serve, or nil.
func (q *Queue) next() *line {
	var best *line
	for _, l := range q.order {
		if l.skipped >= len(l.items) || (l.rules.Slots > 0 && l.running >= l.rules.Slots) {
			continue
		}
		if best == nil || l.virtual < best.virtual {
			best = l
		}
	}
	return best
}

func (q *Queue) take(l *line) {
	l.items = slices.Delete(l.items, l.skipped, l.skipped+1)
	q.length--
}

// endRound makes every line ready for the next round. When nothing waits, no
// team owes another any time.
func (q *Queue) endRound() {
	if q.length == 0 {
		q.pace.idle()
		for _, l := range q.order {
			q.virtual = max(q.virtual, l.virtual)
		}
	}
	for _, l := range slices.Clone(q.order) {
		l.skipped = 0
		q.forget(l)
	}
}
