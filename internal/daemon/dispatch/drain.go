package dispatch

import (
	"context"
	"time"
)

const (
	// stopAccepting is how long a leaving host still accepts requests: the load
	// balancer probes once a second and acts after two probes.
	stopAccepting = 2200 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for closing
	// the remaining connections.
	stopMargin = 500 * time.Millisecond
	// minDrain is the shortest time in which the callers' port finishes requests, if the
	// grace period leaves room for it.
	minDrain = 300 * time.Millisecond
)

// acceptTime is how long this host accepts requests once it is leaving: less than
// stopAccepting if the grace period is short.
func (d *Dispatcher) acceptTime() time.Duration {
	return min(stopAccepting, max(0, d.settings.Grace-stopMargin-minDrain))
}

// drain prepares a planned stop: the host reports that it is not ready, hands
// its workers and its queue over if enough other hosts stay (host.Core), and serves the requests
// that still arrive until the load balancer has reacted. Afterwards the callers' port
// finishes the requests in flight; jobs that are not done by then are answered just
// before it ends.
func (d *Dispatcher) drain() {
	d.logger.Info("planned stop begins", "grace", d.settings.Grace)
	d.leaving.Store(true)
	portEnds := time.Now().Add(d.settings.Grace - stopMargin)
	d.post(func(now time.Time) {
		d.core.Leave(now, portEnds)
		d.refuseHeldForStop(now)
	})
	time.Sleep(d.acceptTime())
	waiting, receiving, serving := d.limits.callers.Phases()
	d.logger.Info("callers' port closes", "connections_waiting", waiting, "connections_receiving", receiving, "connections_serving", serving)
}

const (
	// finalHandOver bounds the time in which this host hands its shards over and leaves its
	// groups after the callers' port has ended, if it has kept its workers until then. It is
	// a part of stopMargin, which the removal of the host's entry needs as well.
	finalHandOver = 150 * time.Millisecond
	// finalShardHandOver is the part of finalHandOver for the shards.
	finalShardHandOver = 100 * time.Millisecond
)

// handOverAtEnd hands the shards and workers over once the callers' port has ended, if no
// other host could take them before. Hosts that stop later, or have just started, may be
// there now.
func (d *Dispatcher) handOverAtEnd(ctx context.Context) error {
	<-ctx.Done()
	timer := time.NewTimer(finalHandOver)
	defer timer.Stop()
	d.handOverShardsAtEnd()
	d.post(func(time.Time) { d.core.HandOver() })
	for d.memberships.Load() > 0 {
		select {
		case <-d.left:
		case <-timer.C:
			d.logger.Warn("groups not left before the end", "groups", d.memberships.Load())
			return ctx.Err()
		}
	}
	return ctx.Err()
}

// handOverShardsAtEnd hands the shards over and waits until that is recorded: the next
// drivers, which may not have started yet, would otherwise wait for a lost one.
func (d *Dispatcher) handOverShardsAtEnd() {
	recorded := make(chan struct{})
	d.post(func(now time.Time) {
		d.core.HandOverShards(now)
		d.shardsRecorded = recorded
	})
	select {
	case <-recorded:
	case <-time.After(finalShardHandOver):
		d.logger.Warn("shards not handed over before the end")
	}
}

// followHandOver makes the memberships end once this host hands over what it owns by them,
// and tells handOverShardsAtEnd when the shards are handed over.
func (d *Dispatcher) followHandOver() {
	if d.shardsRecorded != nil && !d.core.Ledger.HandsOver() {
		close(d.shardsRecorded)
		d.shardsRecorded = nil
	}
	shards, workers := d.core.HandsOver()
	if shards && !d.givesUpShards.Swap(true) {
		wake(d.shardWakeup)
	}
	if workers && !d.givesUpWorkers.Swap(true) {
		_, successors := d.core.Coordinator.HasSuccessors()
		d.logger.Info("workers handed over", "successors", successors)
		d.wakeMemberships()
	}
}
