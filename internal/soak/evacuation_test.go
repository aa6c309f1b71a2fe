//go:build e2e

package soak

import (
	"math/rand/v2"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/standin/store"
)

const (
	// evacuateBound is the time within which the operator expects an evacuation to be
	// in force, and evacuateMargin covers a start under way and a busy machine.
	evacuateBound  = 5 * time.Second
	evacuateMargin = time.Second
	// evacuationStream separates the draws of evacuations from those of the faults, so
	// that each seed keeps its faults.
	evacuationStream = 6
	// An evacuation lasts between minEvacuation and minEvacuation+evacuationRange: long
	// enough for starts after the bound to be noticed.
	minEvacuation   = evacuateBound + evacuateMargin + 500*time.Millisecond
	evacuationRange = 2 * time.Second
)

// drawEvacuation draws a zone, and when and how long it is evacuated.
func drawEvacuation(seed uint64, within time.Duration) (zone string, at, duration time.Duration) {
	rng := rand.New(rand.NewPCG(seed, evacuationStream))
	at = time.Duration(rng.Int64N(int64(within / 2)))
	return zones[rng.IntN(len(zones))], at, minEvacuation + time.Duration(rng.Int64N(int64(evacuationRange)))
}

// evacuate writes the operator's record that evacuates or readmits a zone.
func (f *fleet) evacuate(zone string, active bool) {
	record := store.Record{Key: "evacuate/" + zone}
	if active {
		record.Value = []byte("{}")
		f.ledger.locked(func() {
			f.ledger.evacuated[zone] = time.Now()
			f.ledger.counts["evacuations"]++
		})
	} else {
		// The check ends before the record is written, because hosts may start tasks as
		// soon as they read it.
		f.ledger.locked(func() { delete(f.ledger.evacuated, zone) })
	}
	f.store.PutOperator(record)
}

// checkZone checks that a start on a worker is not in a zone that has been evacuated
// for longer than the bound, to which the time is added that the store was away. The
// caller must hold l.mu.
func (l *ledger) checkZone(worker, task string, run int) {
	since, ok := l.evacuated[l.zoneOf[worker]]
	if !ok {
		return
	}
	l.counts["starts in evacuated zones"]++
	if late := time.Since(since); late > evacuateBound+evacuateMargin+l.storeAway {
		l.fail("task %s starts on %s (run %d) %v after zone %s was evacuated", task, worker, run, late, l.zoneOf[worker])
	}
}
