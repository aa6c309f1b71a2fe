// Package evacuation decides which availability zones are evacuated: no task may
// be started on a worker of such a zone. It does no I/O.
//
// The operator's records in the store order the changes. A host learns of them
// from its own reads and from other hosts, possibly repeated, out of order or
// incompletely. Of two statements about one zone the one with the higher offset
// counts, so that all hosts that know the same statements agree, whatever the
// order in which they learned them.
package evacuation

import (
	"maps"
	"slices"
	"strings"
)

// Change is a statement about one zone: whether it is evacuated as of an offset of
// the operator's topic.
type Change struct {
	Zone string
	// Offset is that of the operator's record, or the last offset that a full read
	// covers.
	Offset int64
	// Active is set if no task may be started on the zone's workers.
	Active bool
}

// newerThan reports whether c counts before o, which is about the same zone. If
// the offsets are equal, the statement that the zone is evacuated counts: a start
// that should not happen does more harm than a worker that stays idle.
func (c Change) newerThan(o Change) bool {
	return c.Offset > o.Offset || c.Offset == o.Offset && c.Active && !o.Active
}

// Set is what one host knows about the evacuation of zones. The zero value knows
// nothing. It is not safe for concurrent use.
type Set struct {
	zones map[string]Change
	// listed is set once a full read has been applied, and listedAt is the highest
	// offset that a full read covered.
	listed   bool
	listedAt int64
}

// Listed reports whether a full read of the operator's records has been applied.
// Until then a zone that is not known to be evacuated may be.
func (s *Set) Listed() bool { return s.listed }

// known returns the newest statement about a zone. A zone that no record names is
// not evacuated as of the last full read. It returns false if nothing is known.
func (s *Set) known(zone string) (Change, bool) {
	if c, ok := s.zones[zone]; ok {
		return c, true
	}
	return Change{Zone: zone, Offset: s.listedAt}, s.listed
}

// Apply records a statement and reports whether it changed whether the zone is
// evacuated. A statement that is not newer than the known one has no effect.
func (s *Set) Apply(c Change) bool {
	old, ok := s.known(c.Zone)
	if ok && !c.newerThan(old) {
		return false
	}
	if s.zones == nil {
		s.zones = map[string]Change{}
	}
	s.zones[c.Zone] = c
	return c.Active != old.Active
}

// ApplyList applies a full read that covers the records up to asOf and found the
// keys of the given zones: these are evacuated as of asOf, all others are not. It
// returns the statements that changed whether a zone is evacuated, by zone.
func (s *Set) ApplyList(present map[string]bool, asOf int64) []Change {
	zones := maps.Clone(present)
	if zones == nil {
		zones = map[string]bool{}
	}
	for zone := range s.zones {
		zones[zone] = present[zone]
	}
	var changed []Change
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		c := Change{Zone: zone, Offset: asOf, Active: zones[zone]}
		if s.Apply(c) {
			changed = append(changed, c)
		}
	}
	if !s.listed || asOf > s.listedAt {
		s.listedAt = asOf
	}
	s.listed = true
	return changed
}

// Correction returns the statement to send to a host that made the statement c: it
// is newer and says the opposite. It returns false if there is none.
func (s *Set) Correction(c Change) (Change, bool) {
	own, ok := s.known(c.Zone)
	return own, ok && own.Active != c.Active && own.newerThan(c)
}

// Active reports whether a zone is evacuated.
func (s *Set) Active(zone string) bool { return s.zones[zone].Active }

// Any reports whether any zone is evacuated.
func (s *Set) Any() bool {
	for _, c := range s.zones {
		if c.Active {
			return true
		}
	}
	return false
}

// Readmitted reports whether the zone is in service after an evacuation that this
// host knows of. Its workers may be cold.
func (s *Set) Readmitted(zone string) bool {
	c, ok := s.zones[zone]
	return ok && !c.Active
}

// Changes returns the newest statement about each zone that a record or another
// host has named, by zone.
func (s *Set) Changes() []Change {
	return slices.SortedFunc(maps.Values(s.zones), func(a, b Change) int { return strings.Compare(a.Zone, b.Zone) })
}

// Zones returns the names of the evacuated zones in ascending order.
func (s *Set) Zones() []string {
	var zones []string
	for _, c := range s.Changes() {
		if c.Active {
			zones = append(zones, c.Zone)
		}
	}
	return zones
}
