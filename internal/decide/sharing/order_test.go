package sharing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a route that loses its share to a more urgent one, and against a less
// urgent route that exceeds its share at the expense of others.
func TestRoutesBelowTheirSharePrecede(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		started [2]int64
		below   [2]bool
	}{
		"urgent took all":      {[2]int64{100, 0}, [2]bool{false, true}},
		"less urgent is below": {[2]int64{65, 35}, [2]bool{false, true}},
		"less urgent exceeds":  {[2]int64{45, 55}, [2]bool{true, false}},
	} {
		var q Queue
		q.Arrived(now, "urgent", "s", 0, 50)
		q.Arrived(now, RouteKey("", 2), "s", 2, 50)
		q.Started(now, "urgent", c.started[0])
		q.Started(now, "priority-2", c.started[1])
		s := q.Standings(now, "s")
		assert.Equal(t, c.below, [2]bool{s[0].Below, s[1].Below}, name)
	}
}

// Guards against started jobs with much time left that delay urgent ones, and against
// late tasks before others.
func TestPlacesOfWaitingTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Standings{{Route: "below", Below: true}, {Route: "above", Priority: 2}}
	group := func(route string, started bool, left time.Duration) Group {
		return s.Place(now, route, 0, started, now.Add(left)).Group
	}
	assert.Equal(t, StartedInTime, group("below", true, time.Second))
	assert.Equal(t, BelowShare, group("below", false, time.Second))
	assert.Equal(t, InTime, group("above", true, time.Second))
	assert.Equal(t, StartedInTime, group("above", true, pressingSlack/2))
	assert.Equal(t, Late, group("below", true, -1))
	urgent, sooner := Waiting{InTime, 0, now.Add(time.Second)}, Waiting{InTime, 1, now}
	assert.Negative(t, urgent.Compare(sooner))
	assert.Positive(t, Waiting{Late, 0, now}.Compare(sooner))
}
