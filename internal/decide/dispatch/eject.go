package dispatch

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/eject"
	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decision"
)

// refresh gives the selector the listed servers that may get work, if they
// have changed.
func (c *Core) refresh(now time.Time) {
	if !c.watch.Changed() && !c.relisted {
		return
	}
	c.relisted = false
	serving := make([]route.Backend, 0, len(c.listed))
	for _, b := range c.listed {
		// A server out of service stays listed: other hosts may not agree, and
		// shares of slots rest on the list.
		b.Out = !c.watch.Serves(now, b.Name)
		serving = append(serving, b)
	}
	c.selector.SetBackends(now, serving)
}

// list takes the servers that the host list and the operators put in service.
func (c *Core) list(now time.Time, backends []route.Backend) {
	if slices.Equal(c.listed, backends) {
		return
	}
	c.listed = slices.Clone(backends)
	c.relisted = true
	names := make([]string, 0, len(backends))
	for _, b := range backends {
		names = append(names, b.Name)
	}
	c.watch.SetListed(now, names)
}

// acquire takes a slot on a server, or the only place on one that has to prove
// itself.
func (c *Core) acquire(now time.Time, w *waiting) (backend, rule string, ok bool) {
	if name, due := c.watch.Probe(w.tried); due {
		w.probe = true
		return name, "probe", true
	}
	w.probe = false
	backend, ok = c.selector.Acquire(now, w.tried)
	return backend, string(c.rules.Policy), ok
}

// observe gives the watch the outcome of a send.
func (c *Core) observe(now time.Time, o Outcome) {
	c.watch.Done(now, o.Backend, eject.Outcome{ID: o.ID, Err: o.Err, Leaving: o.Leaving})
}

// explain returns the notes on servers ejected and returned.
func (c *Core) explain() []Action {
	var actions []Action
	for _, r := range c.watch.Notes() {
		actions = append(actions, LogEvent{Record: r})
	}
	return actions
}

// Hint takes servers that another entry host saw leaving.
func (c *Core) HintLeaving(now time.Time, names []string) []Action {
	c.watch.Hint(now, names)
	return c.pump(now, nil)
}

// LeavingBackends returns the servers that told this host that they leave.
func (c *Core) LeavingBackends() []string { return c.watch.Leaving() }

// Conditions returns a record for each server that gets no work, with the time
// since when, the rule and the reason.
func (c *Core) Conditions() []decision.Record { return c.watch.Conditions() }
