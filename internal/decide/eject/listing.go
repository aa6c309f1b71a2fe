package eject

import "time"

// vanishedHold is how long servers stay in service that vanish from the host
// list too many at once.
const vanishedHold = 60 * time.Second

// Listing guards against a host list that lost rows: when more than a share of
// the servers vanish at once, without having been shown as leaving, it is
// taken for an outage of the list. Servers that really died are ejected by
// their failures meanwhile.
type ListGuard struct {
	known   map[string]bool
	missing time.Time
}

// Keep takes the names that the list shows now, in any state, and returns the
// vanished ones to keep in service.
func (l *ListGuard) Update(now time.Time, names []string, maxShare float64) []string {
	shown := map[string]bool{}
	for _, name := range names {
		shown[name] = true
	}
	var vanished []string
	for name := range l.known {
		if !shown[name] {
			vanished = append(vanished, name)
		}
	}
	few := float64(len(vanished)) <= maxShare*float64(len(l.known))
	if few || !l.missing.IsZero() && now.Sub(l.missing) >= vanishedHold {
		l.known, l.missing = shown, time.Time{}
		return nil
	}
	if l.missing.IsZero() {
		l.missing = now
	}
	for name := range shown {
		l.known[name] = true
	}
	return vanished
}
