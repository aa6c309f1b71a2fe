package jobs

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// heartbeatsPerHorizon is how many heartbeats a host without other records
// writes within the horizon.
const heartbeatsPerHorizon = 4

// Tick applies timeouts and retries that are due. The caller must call it every
// few tens of milliseconds.
func (c *Core) Tick(now time.Time) {
	c.expireClaims(now)
	c.closeAbandoned(now)
	c.advanceJobs(now)
	c.advanceWorkers(now)
	c.fleet.Refresh(now)
	c.pruneJobs(now)
	if now.Sub(c.lastRecordAt) > c.cfg.Horizon/heartbeatsPerHorizon {
		c.append(now, Record{Kind: KindHeartbeat})
	}
}

// expireClaims refuses submissions whose claims did not appear in the log in
// time.
func (c *Core) expireClaims(now time.Time) {
	for len(c.claimQueue) > 0 && now.Sub(c.claimQueue[0].claim.requestedAt) >= c.cfg.ClaimTimeout {
		oldest := c.claimQueue[0]
		c.claimQueue = c.claimQueue[1:]
		if c.pending[oldest.key] == oldest.claim {
			c.rejectPending(oldest.key, errkind.New(errkind.LogUnknown, "the claim did not appear in the log within %v", c.cfg.ClaimTimeout))
		}
	}
}

// advanceJobs finishes stops, closes jobs past their deadline, and answers jobs
// and appends their closes again while the log has not confirmed them. It drops
// the task state of resolved jobs.
func (c *Core) advanceJobs(now time.Time) {
	c.unresolved = slices.DeleteFunc(c.unresolved, func(j *job) bool {
		if !j.resolved() || (j.hasTasksOnWorkers() && now.Sub(j.closedAt) <= c.cfg.Horizon) {
			return false
		}
		c.dropTaskState(j)
		return true
	})
	for _, j := range c.unresolved {
		switch {
		case !j.closed && j.stopCause != nil:
			c.finishStop(now, j)
		case !j.closed && !now.Before(j.deadline):
			done, started := j.counts()
			c.fail(now, j, errkind.New(errkind.Timeout, "the deadline passed with %d of %d tasks started and %d complete",
				started, len(j.tasks), done))
		case j.closed && !j.closeFinal && !j.minted:
			if !now.Before(j.answerDeadline) {
				c.answerBeforeLogged(now, j)
			}
			if !now.Before(j.retryAt) {
				c.appendClose(now, j)
			}
		}
	}
}

// advanceWorkers makes workers usable again after a failed call, renews the
// leases of reserved workers, and repeats queries and stops that got no reply.
func (c *Core) advanceWorkers(now time.Time) {
	for _, w := range c.workerList {
		if !w.avoidUntil.IsZero() && w.usable(now) {
			w.avoidUntil = time.Time{}
			c.fleet.SetUsable(w.name, true)
			c.logDecision(decision.PartWorker, "use", "avoid-over", Key{}, []string{w.name}, "the worker may get tasks again")
		}
		if w.reserve != (workerapi.Usage{}) && now.After(w.leaseEnd.Add(-c.cfg.LeaseTTL+c.cfg.RetryInterval)) {
			c.requestLease(w)
		}
		if now.Before(w.retryAt) {
			continue
		}
		c.queryUnconfirmed(now, w)
		stops := w.stopRetries
		w.stopRetries = nil
		c.queueStops(now, w, stops...)
		if len(w.tasks) > 0 {
			c.watchResults(w)
		}
	}
}

// pruneJobs removes submissions and jobs past their retention. A job is kept as
// long as its submission is in the table.
func (c *Core) pruneJobs(now time.Time) {
	c.table.Prune(now, func(k Key) bool {
		j, ok := c.owned[k]
		return ok && !j.closeFinal
	})
	removed := 0
	for _, j := range c.closed {
		_, known := c.table.Lookup(j.key)
		if known || !j.answered || now.Sub(j.closedAt) <= c.cfg.Horizon {
			break
		}
		removed++
		c.removeJob(j)
	}
	clear(c.closed[:removed])
	c.closed = c.closed[removed:]
}

// dropTaskState keeps only the answer of a job. Capacity held for tasks that no
// worker has accounted for is released.
func (c *Core) dropTaskState(j *job) {
	for i := range j.tasks {
		if j.tasks[i].mayBeOnWorker() {
			c.releaseCapacity(taskRef{j, i})
			j.tasks[i].state = taskEnded
		}
	}
	j.spec.Tasks, j.tasks, j.index, j.results, j.racks = nil, nil, nil, nil, nil
	delete(c.byKeyText, j.keyText)
}

func (c *Core) removeJob(j *job) {
	c.dropTaskState(j)
	c.resultBytes -= answerBytes(j.answer)
	delete(c.owned, j.key)
}
