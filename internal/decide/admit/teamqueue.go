package admit

import (
	"slices"
	"strings"
)

// teamQueue returns the queue of a team and creates it on first use. Team
// queues are kept sorted by name, so that equal inputs give equal decisions.
func (q *Queue) teamQueue(team string) *teamQueue {
	tq, ok := q.byTeam[team]
	if ok {
		return tq
	}
	tq = &teamQueue{team: team, rules: teamRules(q.teams, team), virtualTime: q.virtualTime}
	q.byTeam[team] = tq
	i, _ := slices.BinarySearchFunc(q.sorted, team, func(tq *teamQueue, team string) int { return strings.Compare(tq.team, team) })
	q.sorted = slices.Insert(q.sorted, i, tq)
	return tq
}

// activate advances the virtual time of a team without waiting requests, so
// that it gains no credit for the time in which it was idle.
func (q *Queue) activate(tq *teamQueue) {
	if len(tq.items) == 0 {
		tq.virtualTime = max(tq.virtualTime, q.virtualTime)
	}
}

func (q *Queue) append(tq *teamQueue, it Item) {
	q.activate(tq)
	tq.items = append(tq.items, it)
	q.length++
}

// removeIfIdle removes the queue of a team that has no waiting or running
// requests and whose virtual time is not ahead of the others'.
func (q *Queue) removeIfIdle(tq *teamQueue) {
	if len(tq.items) > 0 || tq.running > 0 || tq.virtualTime > q.virtualTime {
		return
	}
	delete(q.byTeam, tq.team)
	q.sorted = slices.DeleteFunc(q.sorted, func(other *teamQueue) bool { return other == tq })
}

// mostOverWeight returns the team queue with the most waiting requests relative
// to its weight, or nil if nothing waits.
func (q *Queue) mostOverWeight() *teamQueue {
	var worst *teamQueue
	for _, tq := range q.sorted {
		if len(tq.items) == 0 {
			continue
		}
		if worst == nil || len(tq.items)*worst.rules.Weight > len(worst.items)*tq.rules.Weight {
			worst = tq
		}
	}
	return worst
}
