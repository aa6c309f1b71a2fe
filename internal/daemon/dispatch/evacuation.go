package dispatch

import (
	"slices"
	"time"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
	"github.com/parsleyhill/parsleyhill/internal/decide/evacuation"
	"github.com/parsleyhill/parsleyhill/internal/decide/host"
)

// EvacuationChanged implements platform.EventHandler.
func (d *Dispatcher) EvacuationChanged(c evacuation.Change) {
	d.post(func(now time.Time) { d.core.ChangeEvacuations(now, "", []evacuation.Change{c}) })
}

// EvacuationsListed implements platform.EventHandler.
func (d *Dispatcher) EvacuationsListed(zones map[string]bool, asOf int64) {
	d.post(func(now time.Time) {
		d.core.ListEvacuations(now, zones, asOf)
		if !d.evacuationsListed.Swap(true) {
			d.startupReadEnded()
		}
	})
}

// zoneChanged logs and counts the evacuation or readmission of a zone.
func (d *Dispatcher) zoneChanged(a host.ZoneChanged) {
	message, active := "zone readmitted", 0.0
	if a.Active {
		message, active = "zone evacuated", 1
	}
	source := "store"
	if a.From != "" {
		source = "host " + a.From
	}
	d.metrics.zoneEvacuated.WithLabelValues(a.Zone).Set(active)
	d.logger.Info(message, "zone", a.Zone, "offset", a.Offset, "source", source, "workers", a.Workers, "runs", a.Runs,
		"returned", a.Returned, "evacuated", a.Evacuated)
	if a.Active && !slices.Contains(d.settings.Zones, a.Zone) {
		d.logger.Warn("evacuated zone is not in the settings", "zone", a.Zone, "zones", d.settings.Zones)
	}
}

func evacuationsToProto(changes []evacuation.Change) []*dispatchv1.Evacuation {
	var out []*dispatchv1.Evacuation
	for _, c := range changes {
		out = append(out, &dispatchv1.Evacuation{Zone: c.Zone, Offset: c.Offset, Active: c.Active})
	}
	return out
}

func evacuationsFromProto(changes []*dispatchv1.Evacuation) host.Evacuations {
	var m host.Evacuations
	for _, c := range changes {
		m.Changes = append(m.Changes, evacuation.Change{Zone: c.GetZone(), Offset: c.GetOffset(), Active: c.GetActive()})
	}
	return m
}
