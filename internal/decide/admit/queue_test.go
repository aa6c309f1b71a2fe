package admit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newQueue(limit int, teams map[string]standing.Team) *Queue {
	return NewQueue(standing.Customer{QueueLimit: limit, Teams: teams})
}

func item(id, team string, deadline time.Duration) Item {
	return Item{ID: id, Team: team, Arrived: start, Deadline: start.Add(deadline)}
}

// serve takes up to n items and returns their ids.
func serve(q *Queue, now time.Time, n int) ([]string, []Refusal) {
	var ids []string
	refused := q.Serve(now, func(it Item) Verdict {
		if len(ids) == n {
			return NoSlot
		}
		ids = append(ids, it.ID)
		return Started
	})
	return ids, refused
}

func TestPushRefuses(t *testing.T) {
	teams := map[string]standing.Team{"a": {}, "b": {Weight: 3}}
	tests := []struct {
		name    string
		fill    int
		arrives Item
		refused string
		kind    errkind.Kind
	}{
		{"room", 3, item("new", "a", time.Minute), "", ""},
		{"full, same team", 4, item("new", "a", time.Minute), "new", errkind.Overloaded},
		{"full, other team has less", 4, item("new", "b", time.Minute), "a3", errkind.Overloaded},
		{"team without quota", 0, item("new", "c", time.Minute), "new", errkind.QuotaExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue(4, teams)
			for i := range tt.fill {
				require.Empty(t, q.Push(start, item(fmt.Sprintf("a%d", i), "a", time.Minute)))
			}
			refused := q.Push(start, tt.arrives)
			if tt.refused == "" {
				require.Empty(t, refused)
				return
			}
			require.Len(t, refused, 1)
			require.Equal(t, tt.refused, refused[0].ID)
			require.Equal(t, tt.kind, refused[0].Err.Kind)
			require.Equal(t, errkind.NotRun, refused[0].Err.Run)
			require.GreaterOrEqual(t, refused[0].RetryAfter, minRetryAfter)
			require.LessOrEqual(t, q.Len(), 4)
		})
	}
}

func TestPushRefusesRequestsThatCannotMeetTheirDeadline(t *testing.T) {
	q := newQueue(1000, nil)
	now := start
	for i := range 100 {
		require.Empty(t, q.Push(now, item(fmt.Sprint(i), "", time.Hour)))
	}
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		serve(q, now, 1)
		q.Finished("", 0, 200*time.Millisecond)
	}
	// 50 wait, one starts every 100 ms and runs 200 ms: 5.3 s are needed.
	early := Item{ID: "early", Arrived: now, Deadline: now.Add(4 * time.Second)}
	refused := q.Push(now, early)
	require.Len(t, refused, 1)
	require.Equal(t, errkind.Overloaded, refused[0].Err.Kind)
	require.InDelta(t, 1.3, refused[0].RetryAfter.Seconds(), 0.2)
	require.Empty(t, q.Push(now, Item{ID: "late", Arrived: now, Deadline: now.Add(6 * time.Second)}))
}

func TestExpiredRequestsAreNeverServed(t *testing.T) {
	for _, way := range []string{"serve", "expire"} {
		t.Run(way, func(t *testing.T) {
			q := newQueue(10, nil)
			q.Push(start, item("short", "", time.Second))
			q.Push(start, Item{ID: "long", Arrived: start, Deadline: start.Add(3 * time.Second), DeclaredRunTime: 2 * time.Second})
			q.Push(start, item("good", "", time.Minute))
			now := start.Add(1500 * time.Millisecond)
			var refused []Refusal
			if way == "expire" {
				refused = q.Expire(now)
			}
			ids, more := serve(q, now, 10)
			refused = append(refused, more...)
			require.Equal(t, []string{"good"}, ids)
			require.Len(t, refused, 2)
			for _, r := range refused {
				require.Equal(t, errkind.DeadlinePassed, r.Err.Kind)
				require.Equal(t, errkind.NotRun, r.Err.Run)
			}
			require.Zero(t, q.Len())
		})
	}
}

func TestTeamsShareByWeight(t *testing.T) {
	q := newQueue(1000, map[string]standing.Team{"a": {Weight: 1}, "b": {Weight: 3}})
	for i := range 400 {
		q.Push(start, Item{ID: fmt.Sprint("a", i), Team: "a", Arrived: start, Deadline: start.Add(time.Hour), DeclaredRunTime: time.Second})
		q.Push(start, Item{ID: fmt.Sprint("b", i), Team: "b", Arrived: start, Deadline: start.Add(time.Hour), DeclaredRunTime: time.Second})
	}
	ids, _ := serve(q, start, 200)
	count := map[byte]int{}
	for _, id := range ids {
		count[id[0]]++
	}
	require.InDelta(t, 50, count['a'], 2)
	require.InDelta(t, 150, count['b'], 2)
}

func TestIdleTeamGainsNoCredit(t *testing.T) {
	q := newQueue(1000, nil)
	push := func(team string, i int) {
		q.Push(start, Item{ID: fmt.Sprint(team, i), Team: team, Arrived: start, Deadline: start.Add(time.Hour), DeclaredRunTime: time.Second})
	}
	// One running request keeps the idle team's line.
	push("late", 1000)
	for i := range 300 {
		push("busy", i)
	}
	serve(q, start, 200)
	for i := range 100 {
		push("late", i)
	}
	ids, _ := serve(q, start, 20)
	count := map[byte]int{}
	for _, id := range ids {
		count[id[0]]++
	}
	require.InDelta(t, 10, count['l'], 1)
}

func TestTeamSlotsBoundRunning(t *testing.T) {
	q := newQueue(10, map[string]standing.Team{"a": {Slots: 2}, "b": {}})
	for i := range 4 {
		q.Push(start, item(fmt.Sprint("a", i), "a", time.Minute))
	}
	q.Push(start, item("b0", "b", time.Minute))
	ids, _ := serve(q, start, 10)
	require.ElementsMatch(t, []string{"a0", "a1", "b0"}, ids)
	q.Finished("a", 0, time.Second)
	ids, _ = serve(q, start, 10)
	require.Equal(t, []string{"a2"}, ids)
}

func TestRetryGoesFirstAndSkipsDoNotBlock(t *testing.T) {
	q := newQueue(2, nil)
	q.Push(start, item("a", "", time.Minute))
	q.Push(start, item("b", "", time.Minute))
	q.PushFront(item("retry", "", time.Minute))
	var ids []string
	q.Serve(start, func(it Item) Verdict {
		if it.ID == "retry" {
			return Skipped
		}
		ids = append(ids, it.ID)
		return Started
	})
	require.Equal(t, []string{"a", "b"}, ids)
	ids, _ = serve(q, start, 10)
	require.Equal(t, []string{"retry"}, ids)
}

// TestRandomHistories checks that every request ends exactly once, that the
// length is right and that team bounds hold.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		teams := map[string]standing.Team{"a": {Slots: 3}, "b": {Weight: 2}, "c": {Slots: 1, Weight: 5}}
		names := []string{"a", "b", "c"}
		q := newQueue(12, teams)
		now := start
		live, ended := map[string]string{}, map[string]int{}
		running := map[string]int{}
		end := func(refused []Refusal) {
			for _, r := range refused {
				require.Contains(t, live, r.ID, "seed %d", seed)
				delete(live, r.ID)
				ended[r.ID]++
			}
		}
		for step := range 300 {
			now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
			team := names[rng.IntN(3)]
			id := fmt.Sprint(step)
			switch rng.IntN(6) {
			case 0, 1, 2:
				live[id] = team
				end(q.Push(now, Item{ID: id, Team: team, Arrived: now, Deadline: now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)}))
			case 3:
				end(q.Expire(now))
			case 4:
				if len(live) > 0 {
					other := slices.Min(slices.Collect(maps.Keys(live)))
					require.True(t, q.Remove(other, live[other]), "seed %d", seed)
					delete(live, other)
					ended[other]++
				}
			case 5:
				end(q.Serve(now, func(it Item) Verdict {
					if rng.IntN(3) == 0 {
						return NoSlot
					}
					delete(live, it.ID)
					ended[it.ID]++
					running[it.Team]++
					return Started
				}))
			}
			if running[team] > 0 && rng.IntN(2) == 0 {
				running[team]--
				q.Finished(team, 0, 100*time.Millisecond)
			}
			require.Equal(t, len(live), q.Len(), "seed %d", seed)
			require.LessOrEqual(t, running["a"], 3, "seed %d", seed)
			require.LessOrEqual(t, running["c"], 1, "seed %d", seed)
		}
		for id, n := range ended {
			require.Equal(t, 1, n, "seed %d request %s", seed, id)
		}
	}
}
