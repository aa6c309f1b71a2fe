package dispatch

import "github.com/parsleyhill/parsleyhill/internal/decide/workerpool"

// saturationChanged logs that saturation began or ended, with the inputs.
func (d *Dispatcher) saturationChanged(a workerpool.SaturationChanged) {
	message := "saturation ends"
	if a.Saturated {
		message = "saturation begins"
	}
	d.logger.Info(message, "delay", a.Delay, "answer_delay", a.AnswerDelay, "tick_delay", a.TickDelay, "minimum", a.Minimum,
		"unanswered", a.Unanswered, "limit", a.Limit, "lasted", a.Lasted)
}
