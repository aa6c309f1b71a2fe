package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// hintLife is how long a hint is passed on after it was seen.
	hintLife = 30 * time.Second
	// maxHints bounds the hints in one ping.
	maxHints = 32
)

// Hint names a backend server that was seen refusing work because it leaves.
type LeavingHint struct {
	Backend string
	// Age is the time since it was seen.
	Age time.Duration
}

// Hint takes a hint, seen here or passed on by a peer.
func (t *Table) AddHint(now time.Time, h LeavingHint) {
	seen := now.Add(-max(0, h.Age))
	if now.Sub(seen) < hintLife && seen.After(t.hints[h.Backend]) {
		t.hints[h.Backend] = seen
	}
}

// Hints returns the newest hints, newest first, and forgets old ones.
func (t *Table) Hints(now time.Time) []LeavingHint {
	maps.DeleteFunc(t.hints, func(_ string, seen time.Time) bool { return now.Sub(seen) >= hintLife })
	names := slices.Sorted(maps.Keys(t.hints))
	slices.SortStableFunc(names, func(a, b string) int { return t.hints[b].Compare(t.hints[a]) })
	names = names[:min(len(names), maxHints)]
	out := make([]LeavingHint, 0, len(names))
	for _, name := range names {
		out = append(out, LeavingHint{Backend: name, Age: now.Sub(t.hints[name])})
	}
	return out
}
