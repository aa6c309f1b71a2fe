package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// hintTTL is how long a hint is passed on after the refusal was seen.
	hintTTL = 30 * time.Second
	// maxHints bounds the hints in one ping.
	maxHints = 32
)

// LeavingHint names a backend server that refused work because it is leaving.
type LeavingHint struct {
	Backend string
	// Age is the time since the refusal was seen.
	Age time.Duration
}

// AddHint stores a hint that this host observed or a peer passed on. An expired
// hint, or one older than the stored one, is ignored.
func (t *Table) AddHint(now time.Time, h LeavingHint) {
	seen := now.Add(-max(0, h.Age))
	if now.Sub(seen) < hintTTL && seen.After(t.hints[h.Backend]) {
		t.hints[h.Backend] = seen
	}
}

// Hints deletes expired hints and returns the newest of the others, at most
// maxHints, newest first.
func (t *Table) Hints(now time.Time) []LeavingHint {
	maps.DeleteFunc(t.hints, func(_ string, seen time.Time) bool { return now.Sub(seen) >= hintTTL })
	names := slices.Sorted(maps.Keys(t.hints))
	slices.SortStableFunc(names, func(a, b string) int { return t.hints[b].Compare(t.hints[a]) })
	names = names[:min(len(names), maxHints)]
	out := make([]LeavingHint, 0, len(names))
	for _, name := range names {
		out = append(out, LeavingHint{Backend: name, Age: now.Sub(t.hints[name])})
	}
	return out
}
