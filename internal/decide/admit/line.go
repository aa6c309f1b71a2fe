package admit

import (
	"slices"
	"strings"
)

// line returns the line of a team, made on first use. Lines are kept in the
// order of their names, so that every run decides alike.
func (q *Queue) line(team string) *line {
	l, ok := q.lines[team]
	if ok {
		return l
	}
	l = &line{team: team, rules: teamRules(q.teams, team), virtual: q.virtual}
	q.lines[team] = l
	i, _ := slices.BinarySearchFunc(q.order, team, func(l *line, team string) int { return strings.Compare(l.team, team) })
	q.order = slices.Insert(q.order, i, l)
	return l
}

// activate keeps a team that was idle from claiming the time it was away.
func (q *Queue) activate(l *line) {
	if len(l.items) == 0 {
		l.virtual = max(l.virtual, q.virtual)
	}
}

func (q *Queue) append(l *line, it Item) {
	q.activate(l)
	l.items = append(l.items, it)
	q.length++
}

// forget drops a line that holds nothing and owes nothing.
func (q *Queue) forget(l *line) {
	if len(l.items) > 0 || l.running > 0 || l.virtual > q.virtual {
		return
	}
	delete(q.lines, l.team)
	q.order = slices.DeleteFunc(q.order, func(other *line) bool { return other == l })
}

// longest returns the line that holds most for its weight, or nil.
func (q *Queue) longest() *line {
	var worst *line
	for _, l := range q.order {
		if len(l.items) == 0 {
			continue
		}
		if worst == nil || len(l.items)*worst.rules.Weight > len(worst.items)*l.rules.Weight {
			worst = l
		}
	}
	return worst
}
