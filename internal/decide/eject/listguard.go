package eject

import "time"

// vanishedHoldTime is how long servers stay in service after too many vanished
// from the host list at once.
const vanishedHoldTime = 60 * time.Second

// ListGuard guards against a host list that lost entries. If more than a given
// share of the servers vanish at once, without having been listed as leaving, it
// assumes an outage of the list and keeps them in service. Servers that really
// failed are meanwhile ejected for their failures.
type ListGuard struct {
	known        map[string]bool
	missingSince time.Time
}

// Update applies the names that the list shows now, in any state, and returns
// the vanished servers to keep in service. maxShare is the share of the known
// servers that may vanish at once.
func (g *ListGuard) Update(now time.Time, names []string, maxShare float64) []string {
	shown := map[string]bool{}
	for _, name := range names {
		shown[name] = true
	}
	var vanished []string
	for name := range g.known {
		if !shown[name] {
			vanished = append(vanished, name)
		}
	}
	plausible := float64(len(vanished)) <= maxShare*float64(len(g.known))
	if plausible || !g.missingSince.IsZero() && now.Sub(g.missingSince) >= vanishedHoldTime {
		g.known, g.missingSince = shown, time.Time{}
		return nil
	}
	if g.missingSince.IsZero() {
		g.missingSince = now
	}
	for name := range shown {
		g.known[name] = true
	}
	return vanished
}
