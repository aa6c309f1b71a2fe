// Package admit queues the requests of one customer that wait at an entry host
// for a slot. The queue is bounded, shares capacity between teams by weight and
// refuses requests early that it cannot serve before their deadlines. It does no
// I/O and reads no clock: callers pass in events and the time.
package admit

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// Item is a request in the queue.
type Item struct {
	ID   string
	Team string
	// Deadline is the latest time for the answer.
	Deadline time.Time
	// DeclaredRunTime is the run time that the caller declared, or 0.
	DeclaredRunTime time.Duration
	// Arrived is when the request first entered the queue.
	Arrived time.Time
}

// Refusal is the end of a request that did not run.
type Refusal struct {
	ID  string
	Err *errkind.Error
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
}

// Verdict is the answer to an item that Serve offers.
type Verdict int

// The verdicts.
const (
	// Started removes the item from the queue: its request was started.
	Started Verdict = iota
	// Skipped leaves the item in the queue and offers another.
	Skipped
	// NoSlot leaves the item in the queue and ends the round, because no slot is
	// free.
	NoSlot
)

const (
	// minRetryAfter is the lower bound of Refusal.RetryAfter.
	minRetryAfter = time.Second
	// maxRetryAfter is the upper bound of Refusal.RetryAfter.
	maxRetryAfter = 30 * time.Second
	// minCost is the shortest run time that a team is charged for a start.
	minCost = 10 * time.Millisecond
)

// Queue is a bounded queue with a sub-queue for each team. Teams are served by
// start-time fair queueing: with each start, a team's virtual time grows by the
// expected run time divided by the team's weight, and the team with the lowest
// virtual time is served next. A Queue is not safe for concurrent use.
type Queue struct {
	limit         int
	teams         map[string]standing.Team
	byTeam        map[string]*teamQueue
	sorted        []*teamQueue
	length        int
	virtualTime   float64
	estimates     runTimeEstimates
	startInterval startInterval
}

// teamQueue holds the waiting requests of one team. next is the index of the
// item to offer next in the current round.
type teamQueue struct {
	team        string
	rules       standing.Team
	virtualTime float64
	items       []Item
	running     int
	next        int
}

// NewQueue returns an empty queue with the rules of a customer.
func NewQueue(rules standing.Customer) *Queue {
	q := &Queue{byTeam: map[string]*teamQueue{}, estimates: runTimeEstimates{byTeam: map[string]*runTimeEstimate{}}}
	q.SetRules(rules)
	return q
}

// SetRules replaces the customer's rules. Requests that wait stay in the queue,
// even if a lower limit is now exceeded.
func (q *Queue) SetRules(rules standing.Customer) {
	q.limit = rules.QueueLimit
	q.teams = rules.Teams
	for _, tq := range q.byTeam {
		tq.rules = teamRules(q.teams, tq.team)
	}
}

func teamRules(teams map[string]standing.Team, team string) standing.Team {
	rules := teams[team]
	rules.Weight = max(1, rules.Weight)
	return rules
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return q.length }

// OldestArrival returns the arrival time of the request that has waited longest,
// or false if none waits.
func (q *Queue) OldestArrival() (time.Time, bool) {
	var oldest time.Time
	for _, tq := range q.sorted {
		if len(tq.items) > 0 && (oldest.IsZero() || tq.items[0].Arrived.Before(oldest)) {
			oldest = tq.items[0].Arrived
		}
	}
	return oldest, !oldest.IsZero()
}

// Push admits a request or refuses it and returns the requests refused. If the
// queue is full, a request may displace the newest request of another team that
// exceeds its share by weight.
func (q *Queue) Push(now time.Time, it Item) []Refusal {
	if _, ok := q.teams[it.Team]; !ok && len(q.teams) > 0 {
		err := errkind.New(errkind.QuotaExceeded, "team %q has no quota", it.Team)
		return []Refusal{{ID: it.ID, Err: err, RetryAfter: maxRetryAfter}}
	}
	tq := q.teamQueue(it.Team)
	if r, late := q.checkDeadline(now, tq, it); late {
		return []Refusal{r}
	}
	if q.length < q.limit {
		q.append(tq, it)
		return nil
	}
	victim := q.mostOverWeight()
	if victim == nil || !exceedsShareOf(victim, tq) {
		return []Refusal{q.queueFull(now, it.ID, tq)}
	}
	last := victim.items[len(victim.items)-1]
	victim.items = victim.items[:len(victim.items)-1]
	q.length--
	q.append(tq, it)
	return []Refusal{q.queueFull(now, last.ID, victim)}
}

// exceedsShareOf reports whether team a, with one request fewer, would still have
// at least as many requests per weight as team b with one more.
func exceedsShareOf(a, b *teamQueue) bool {
	return (len(a.items)-1)*b.rules.Weight >= (len(b.items)+1)*a.rules.Weight
}

func (q *Queue) queueFull(now time.Time, id string, tq *teamQueue) Refusal {
	err := errkind.New(errkind.Overloaded, "queue is full: %d requests wait, %d of them from team %q", q.length, len(tq.items), tq.team)
	return Refusal{ID: id, Err: err, RetryAfter: retryAfter(q.expectedWait(now, tq, len(tq.items)))}
}

// checkDeadline returns a refusal and true if the expected wait and run time of
// a request exceed the time to its deadline.
func (q *Queue) checkDeadline(now time.Time, tq *teamQueue, it Item) (Refusal, bool) {
	wait := q.expectedWait(now, tq, len(tq.items))
	left := it.Deadline.Sub(now)
	run := q.estimates.reservation(it, left)
	if wait == 0 || wait+run <= left {
		return Refusal{}, false
	}
	err := errkind.New(errkind.Overloaded, "expected wait of %v and run time of %v exceed the %v left to the deadline",
		wait.Round(time.Millisecond), run.Round(time.Millisecond), left.Round(time.Millisecond))
	return Refusal{ID: it.ID, Err: err, RetryAfter: retryAfter(wait + run - left)}, true
}

// expectedWait estimates how long a request waits with the given number of
// requests of its team ahead of it.
func (q *Queue) expectedWait(now time.Time, tq *teamQueue, ahead int) time.Duration {
	if q.length == 0 {
		return 0
	}
	total := tq.rules.Weight
	for _, other := range q.sorted {
		if other != tq && len(other.items) > 0 {
			total += other.rules.Weight
		}
	}
	places := min(float64(q.length), float64(ahead+1)*float64(total)/float64(tq.rules.Weight))
	return time.Duration(places * float64(q.startInterval.expected(now)))
}

func retryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// PushFront puts a request that was started but did not run back at the head of
// its team's queue, even if the queue is full.
func (q *Queue) PushFront(it Item) {
	tq := q.teamQueue(it.Team)
	q.activate(tq)
	tq.items = slices.Insert(tq.items, 0, it)
	q.length++
}

// Remove removes a waiting request and reports whether it was in the queue.
func (q *Queue) Remove(id, team string) bool {
	tq, ok := q.byTeam[team]
	if !ok {
		return false
	}
	i := slices.IndexFunc(tq.items, func(it Item) bool { return it.ID == id })
	if i < 0 {
		return false
	}
	tq.items = slices.Delete(tq.items, i, i+1)
	q.length--
	q.removeIfIdle(tq)
	return true
}

// recordStart counts a request of the team as running and charges the team its
// expected run time.
func (q *Queue) recordStart(tq *teamQueue, it Item) {
	tq.running++
	cost := max(q.estimates.expected(it), minCost)
	tq.virtualTime += cost.Seconds() / float64(tq.rules.Weight)
}

// Finished counts a request of the team as no longer running. ran is the run
// time if the answer was complete, otherwise 0; declared is the declared run
// time, or 0.
func (q *Queue) Finished(team string, declared, ran time.Duration) {
	if ran > 0 {
		q.estimates.record(team, declared, ran)
	}
	if tq, ok := q.byTeam[team]; ok {
		tq.running--
		q.removeIfIdle(tq)
	}
}

// Expire removes the requests that can no longer meet their deadlines and
// returns their refusals.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refused []Refusal
	for _, tq := range slices.Clone(q.sorted) {
		tq.items = slices.DeleteFunc(tq.items, func(it Item) bool {
			r, expired := q.checkExpired(now, it)
			if expired {
				refused = append(refused, r)
				q.length--
			}
			return expired
		})
		q.removeIfIdle(tq)
	}
	return refused
}

func (q *Queue) checkExpired(now time.Time, it Item) (Refusal, bool) {
	run := q.estimates.reservation(it, it.Deadline.Sub(it.Arrived))
	left := it.Deadline.Sub(now)
	if run <= left && left > 0 {
		return Refusal{}, false
	}
	err := errkind.New(errkind.DeadlinePassed, "waited %v, %v left to the deadline, expected run time %v",
		now.Sub(it.Arrived).Round(time.Millisecond), left.Round(time.Millisecond), run.Round(time.Millisecond))
	return Refusal{ID: it.ID, Err: err, RetryAfter: retryAfter(q.expectedWait(now, q.teamQueue(it.Team), 0))}, true
}

// Serve offers waiting requests in fair order until none is left or offer
// returns NoSlot. It returns the refusals of requests that can no longer meet
// their deadlines.
func (q *Queue) Serve(now time.Time, offer func(Item) Verdict) []Refusal {
	var refused []Refusal
	for {
		tq := q.nextTeam()
		if tq == nil {
			break
		}
		it := tq.items[tq.next]
		if r, expired := q.checkExpired(now, it); expired {
			refused = append(refused, r)
			q.removeNext(tq)
			continue
		}
		verdict := offer(it)
		if verdict == NoSlot {
			break
		}
		if verdict == Skipped {
			tq.next++
			continue
		}
		q.removeNext(tq)
		q.virtualTime = max(q.virtualTime, tq.virtualTime)
		q.recordStart(tq, it)
		q.startInterval.recordStart(now, q.length > 0)
	}
	q.endRound()
	return refused
}

// nextTeam returns the team queue to serve next, or nil. Teams that run as many
// requests as their slot limit allows are left out.
func (q *Queue) nextTeam() *teamQueue {
	var best *teamQueue
	for _, tq := range q.sorted {
		if tq.next >= len(tq.items) || (tq.rules.Slots > 0 && tq.running >= tq.rules.Slots) {
			continue
		}
		if best == nil || tq.virtualTime < best.virtualTime {
			best = tq
		}
	}
	return best
}

func (q *Queue) removeNext(tq *teamQueue) {
	tq.items = slices.Delete(tq.items, tq.next, tq.next+1)
	q.length--
}

// endRound prepares the team queues for the next round. If nothing waits, the
// queue's virtual time catches up with every team's, so that no team starts at
// a disadvantage for earlier work.
func (q *Queue) endRound() {
	if q.length == 0 {
		q.startInterval.reset()
		for _, tq := range q.sorted {
			q.virtualTime = max(q.virtualTime, tq.virtualTime)
		}
	}
	for _, tq := range slices.Clone(q.sorted) {
		tq.next = 0
		q.removeIfIdle(tq)
	}
}
