package dispatch

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/parsleyhill/parsleyhill/internal/decide/nearwait"
)

// nearDecision logs and counts a decision about a task that names a rack, of an
// owner of workers or of the job's host. A start
// near the data is logged with its start.
func (d *Dispatcher) nearDecision(by string, a nearwait.Report) {
	action := a.Decision.Action
	d.metrics.nearDecisions.WithLabelValues(by, action.String(), string(a.Decision.Reason)).Inc()
	if by == "owner" && action != nearwait.WaitNear {
		d.metrics.nearWaits.WithLabelValues(action.String()).Observe(a.Inputs.Now.Sub(a.Inputs.Since).Seconds())
	}
	level := log.InfoLevel
	if action == nearwait.StartNear {
		level = log.DebugLevel
	}
	in := &a.Inputs
	after := func(t time.Time) time.Duration { return t.Sub(in.Now) }
	fields := []any{
		"by", by, "task", a.Task, "rack", a.Rack, "action", action, "why", a.Decision.Reason, "worker", a.Worker, "ahead", a.Ahead,
		"waited", in.Now.Sub(in.Since), "run_time", in.RunTime, "slowdown", in.Slowdown, "others_run_time", in.OthersRunTime,
		"near_free", in.Near.Free, "elsewhere_free", in.Elsewhere.Free, "start_by_in", after(in.StartBy), "deadline_in", after(in.Deadline),
	}
	if in.Near.Known {
		fields = append(fields, "near_in", after(in.Near.At))
	}
	if in.Elsewhere.Known {
		fields = append(fields, "elsewhere_in", after(in.Elsewhere.At))
	}
	if action == nearwait.WaitNear {
		fields = append(fields, "until_in", after(a.Decision.Until))
	}
	d.logger.Log(level, "rack decision", fields...)
}
