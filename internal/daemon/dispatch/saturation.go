package dispatch

import (
	"github.com/parsleyhill/parsleyhill/internal/decide/host"
	"github.com/parsleyhill/parsleyhill/internal/decide/workerpool"
)

// yieldChanged makes the host leave the groups of its workers and report itself as not
// ready, or the reverse. It goes on serving the callers that still come.
func (d *Dispatcher) yieldChanged(a host.YieldChanged) {
	d.yielding.Store(a.Active)
	message := "work taken up again"
	if a.Active {
		message = "work given to other hosts"
	}
	d.logger.Warn(message, "for", a.For, "hosts_in_zone", a.Others, "saturated", a.SaturatedOthers)
	d.wakeMemberships()
}

// saturationChanged logs that saturation began or ended, with the inputs.
func (d *Dispatcher) saturationChanged(a workerpool.SaturationChanged) {
	message := "saturation ends"
	if a.Saturated {
		message = "saturation begins"
	}
	d.logger.Info(message, "delay", a.Delay, "answer_delay", a.AnswerDelay, "tick_delay", a.TickDelay, "minimum", a.Minimum,
		"unanswered", a.Unanswered, "limit", a.Limit, "lasted", a.Lasted)
}
