package host

import (
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/evacuation"
)

// Evacuations is a message with statements about the evacuation of zones.
type Evacuations struct{ Changes []evacuation.Change }

// ZoneChanged is an action that reports, for the process log and the metrics, that
// a zone was evacuated or readmitted.
type ZoneChanged struct {
	evacuation.Change
	// From is the host that sent the change, or empty if it was read from the store.
	From string
	// Workers is the number of own workers in the zone, and Runs that of the runs on
	// them, which continue.
	Workers, Runs int
	// Returned is the number of waiting tasks that went back to their jobs' hosts
	// because of this change and others of the same message.
	Returned int
	// Evacuated are the zones that are evacuated now.
	Evacuated []string
}

// ChangeEvacuations applies statements about evacuated zones. From is the host that
// sent them, or empty if they were read from the store. Changes are passed on to all
// linked hosts; a host whose statement is outdated is sent the newer one.
func (c *Core) ChangeEvacuations(now time.Time, from string, statements []evacuation.Change) {
	var changed, corrections []evacuation.Change
	for _, s := range statements {
		if s.Zone == "" {
			c.emit(LogEvent{Message: "evacuation without a zone ignored", Why: fmt.Sprintf("from host %q, offset %d, active %t", from, s.Offset, s.Active)})
			continue
		}
		if newer, ok := c.Evacuations.Correction(s); ok && from != "" {
			corrections = append(corrections, newer)
		}
		if c.Evacuations.Apply(s) {
			changed = append(changed, s)
		}
	}
	if len(corrections) > 0 {
		c.emit(Send{Host: from, Message: Evacuations{Changes: corrections}})
	}
	c.evacuationsChanged(now, from, changed)
}

// ListEvacuations applies a full read of the operator's records up to the offset
// asOf, which found the keys of the given zones.
func (c *Core) ListEvacuations(now time.Time, zones map[string]bool, asOf int64) {
	c.evacuationsChanged(now, "", c.Evacuations.ApplyList(zones, asOf))
}

// evacuationsChanged makes the parts apply the changed set and reports the changes.
func (c *Core) evacuationsChanged(now time.Time, from string, changed []evacuation.Change) {
	if len(changed) == 0 {
		return
	}
	c.emit(Broadcast{Message: Evacuations{Changes: changed}})
	returned := c.Pool.EvacuationsChanged(now)
	c.reportedAt = time.Time{}
	c.Coordinator.EvacuationsChanged(now)
	for _, change := range changed {
		workers, runs := c.Pool.CountZone(change.Zone)
		c.emit(ZoneChanged{
			Change: change, From: from, Workers: workers, Runs: runs, Returned: returned, Evacuated: c.Evacuations.Zones(),
		})
	}
}
