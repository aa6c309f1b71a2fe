package dispatch

import "github.com/parsleyhill/parsleyhill/internal/decide/workerpool"

// speedSpread publishes how much the workers of a service differ, and logs when
// speeds start or cease to decide.
func (d *Dispatcher) speedSpread(a workerpool.SpeedSpread) {
	active := 0.0
	if a.Active {
		active = 1
	}
	d.metrics.speedSpread.WithLabelValues(a.Service).Set(a.Spread)
	d.metrics.speedActive.WithLabelValues(a.Service).Set(active)
	if a.Changed {
		d.logger.Info("placement by speed changed", "service", a.Service, "active", a.Active, "spread", a.Spread,
			"stretch", a.Stretch, "workers", a.Known)
	}
}

// waitForFast logs and counts a task that waits for a fast worker.
func (d *Dispatcher) waitForFast(a workerpool.WaitForFast) {
	d.metrics.fastWaits.Inc()
	d.logger.Info("task waits for a fast worker", "task", a.Task, "worker", a.Worker, "wait", a.Wait, "ends_in", a.Finish,
		"other", a.Other, "ends_in_there", a.OtherFinish, "left", a.Left, "estimate", a.Estimate)
}
