package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// evacuatedRetryAfter is the delay after which the caller of a refused request may
// retry while all backend servers are in evacuated zones. Operators readmit zones by
// hand, so that a shorter delay only causes more refusals.
const evacuatedRetryAfter = 3 * time.Second

// SetEvacuated sets the evacuated zones in which all backend servers of the customer
// are; it is empty while a server is elsewhere or no zone is evacuated. If it is not
// empty, new requests and those that wait and were never sent are refused at once.
func (c *Core) SetEvacuated(now time.Time, zones []string) []Action {
	c.evacuatedZones = zones
	if len(zones) == 0 {
		return nil
	}
	var waiting []*activeRequest
	for _, w := range c.requests {
		if w.sends == 0 && c.queue.Remove(w.req.ID, w.req.Team) {
			waiting = append(waiting, w)
		}
	}
	slices.SortFunc(waiting, func(a, b *activeRequest) int { return cmp.Compare(a.req.ID, b.req.ID) })
	var actions []Action
	for _, w := range waiting {
		actions = append(actions, c.refuseEvacuated(w.req.ID)...)
	}
	return c.advance(now, actions)
}

// refuseEvacuated refuses a request that is not in the queue. The decision record
// also has the zones as subjects.
func (c *Core) refuseEvacuated(id string) []Action {
	err := c.requests[id].withKnownRun(errkind.New(errkind.NoBackend,
		"all backend servers of customer %s are in evacuated zones: %s", c.customer, strings.Join(c.evacuatedZones, ", ")))
	delete(c.requests, id)
	subjects := append([]string{id}, c.evacuatedZones...)
	return []Action{
		c.logEvent(decision.PartAdmit, "refuse", "evacuation", err.Detail, subjects...),
		Finish{ID: id, Err: err, RetryAfter: evacuatedRetryAfter},
	}
}
