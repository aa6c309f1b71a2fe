package dispatch

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/eject"
	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decision"
)

// refresh passes the listed servers to the selector if the list or the health
// of a server has changed.
func (c *Core) refresh(now time.Time) {
	if !c.detector.PopChanged() && !c.listChanged {
		return
	}
	c.listChanged = false
	serving := make([]route.Backend, 0, len(c.listed))
	for _, b := range c.listed {
		// A server out of service stays in the list, because other hosts may
		// disagree and slot shares are computed from the list.
		b.Excluded = !c.detector.Available(now, b.Name)
		serving = append(serving, b)
	}
	c.selector.SetBackends(now, serving)
}

// setListed stores the servers that the host list and the operators put in
// service.
func (c *Core) setListed(now time.Time, backends []route.Backend) {
	if slices.Equal(c.listed, backends) {
		return
	}
	c.listed = slices.Clone(backends)
	c.listChanged = true
	names := make([]string, 0, len(backends))
	for _, b := range backends {
		names = append(names, b.Name)
	}
	c.detector.SetListed(now, names)
}

// acquire chooses a server for a request and acquires a slot on it. An ejected
// server that is due for a probe comes first; it gets one request at a time,
// which takes no slot.
func (c *Core) acquire(now time.Time, w *activeRequest) (backend, rule string, ok bool) {
	if name, due := c.detector.NextProbe(w.tried); due {
		w.probe = true
		return name, "probe", true
	}
	w.probe = false
	backend, ok = c.selector.Acquire(now, w.tried)
	return backend, string(c.rules.Policy), ok
}

// observe passes the outcome of a send to the detector.
func (c *Core) observe(now time.Time, o Outcome) {
	c.detector.RecordOutcome(now, o.Backend, eject.Outcome{ID: o.ID, Err: o.Err, Leaving: o.Leaving})
}

// ejectionEvents returns the decisions to eject servers or to return them to
// service.
func (c *Core) ejectionEvents() []Action {
	var actions []Action
	for _, r := range c.detector.PopRecords() {
		actions = append(actions, LogEvent{Record: r})
	}
	return actions
}

// HintLeaving records servers that another entry host saw leaving service.
func (c *Core) HintLeaving(now time.Time, names []string) []Action {
	c.detector.HintLeaving(now, names)
	return c.advance(now, nil)
}

// LeavingBackends returns the servers that reported to this host that they are
// leaving service. Leaving hints from other hosts are not included.
func (c *Core) LeavingBackends() []string { return c.detector.LeavingServers() }

// Conditions returns a record for each server that is leaving, ejected or being
// probed, or whose ejection is withheld, with the time of the change, the rule
// and the reason.
func (c *Core) Conditions() []decision.Record { return c.detector.Conditions() }
