package dispatch

import "github.com/parsleyhill/parsleyhill/internal/decide/workerpool"

// sharedOrder publishes and logs that waiting tasks are ordered by the shares of
// their routes: one line per second and service.
func (d *Dispatcher) sharedOrder(a workerpool.SharedOrder) {
	active := 0.0
	if a.Active {
		active = 1
	}
	d.metrics.sharedOrder.WithLabelValues(a.Service).Set(active)
	for route, n := range a.ReturnedLate {
		d.metrics.returnedLate.WithLabelValues(a.Service, route).Add(float64(n))
	}
	d.logger.Info("queue ordered by shares of routes", "service", a.Service, "active", a.Active, "changed", a.Changed, "for", a.For,
		"waiting", a.Waiting, "late", a.Late, "held_worker", a.HeldWorker, "routes", a.Routes, "returned_late", a.ReturnedLate)
}
