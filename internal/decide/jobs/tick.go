package jobs

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// beatsPerHorizon is how many records a quiet host writes in one horizon.
const beatsPerHorizon = 4

// Tick does what is due. It is called every few tens of milliseconds.
func (c *Core) Tick(now time.Time) {
	c.tickClaims(now)
	c.tickAbandoned(now)
	c.tickJobs(now)
	c.tickWorkers(now)
	c.fleet.Refresh(now)
	c.forget(now)
	if now.Sub(c.lastRecord) > c.cfg.Horizon/beatsPerHorizon {
		c.append(now, Record{Kind: KindHeartbeat})
	}
}

// tickClaims gives up claims that did not appear in time.
func (c *Core) tickClaims(now time.Time) {
	for len(c.claims) > 0 && now.Sub(c.claims[0].p.asked) >= c.cfg.ClaimTimeout {
		oldest := c.claims[0]
		c.claims = c.claims[1:]
		if c.pending[oldest.key] == oldest.p {
			c.giveUp(oldest.key, errkind.New(errkind.LogUnknown, "the claim did not appear in the log within %v", c.cfg.ClaimTimeout))
		}
	}
}

// tickJobs closes jobs whose time is over and repeats what was not confirmed.
func (c *Core) tickJobs(now time.Time) {
	c.open = slices.DeleteFunc(c.open, func(j *job) bool {
		if !j.settled() || (j.busy() && now.Sub(j.closedAt) <= c.cfg.Horizon) {
			return false
		}
		c.shrink(j)
		return true
	})
	for _, j := range c.open {
		switch {
		case !j.closed && j.ending != nil:
			c.finishEnding(now, j)
		case !j.closed && !now.Before(j.deadline):
			done, started := j.counts()
			c.fail(now, j, errkind.New(errkind.Timeout, "the deadline passed with %d of %d tasks started and %d complete",
				started, len(j.tasks), done))
		case j.closed && !j.confirmed && !j.minted:
			if !now.Before(j.answerBy) {
				c.replyUnrecorded(now, j)
			}
			if !now.Before(j.retryAt) {
				c.publishClose(now, j)
			}
		}
	}
}

// tickWorkers repeats questions and stops that were not answered, and lets
// workers back in.
func (c *Core) tickWorkers(now time.Time) {
	for _, w := range c.list {
		if !w.downUntil.IsZero() && w.usable(now) {
			w.downUntil = time.Time{}
			c.fleet.SetUsable(w.name, true)
			c.note(decision.PartWorker, "use", "avoid-over", Key{}, []string{w.name}, "the worker may get tasks again")
		}
		if w.reserve != (workerapi.Usage{}) && now.After(w.expires.Add(-c.cfg.LeaseTTL+c.cfg.RetryInterval)) {
			c.askLease(w)
		}
		if now.Before(w.retryAt) {
			continue
		}
		c.askDoubts(now, w)
		stops := w.stops
		w.stops = nil
		c.stopAt(now, w, stops...)
		if len(w.tasks) > 0 {
			c.watch(w)
		}
	}
}

// forget drops what is older than the memory. A job is kept as long as its
// submission is remembered.
func (c *Core) forget(now time.Time) {
	c.table.Prune(now, func(k Key) bool {
		j, ok := c.owned[k]
		return ok && !j.confirmed
	})
	kept := 0
	for _, j := range c.closed {
		_, known := c.table.Lookup(j.key)
		if known || !j.answered || now.Sub(j.closedAt) <= c.cfg.Horizon {
			break
		}
		kept++
		c.drop(j)
	}
	clear(c.closed[:kept])
	c.closed = c.closed[kept:]
}

// shrink keeps only the answer of a job. Tasks that no worker has accounted for
// are let go.
func (c *Core) shrink(j *job) {
	for i := range j.tasks {
		if j.tasks[i].atWorker() {
			c.release(ref{j, i})
			j.tasks[i].state = taskEnded
		}
	}
	j.spec.Tasks, j.tasks, j.index, j.results, j.racks = nil, nil, nil, nil, nil
	delete(c.byText, j.text)
}

// drop forgets a closed job.
func (c *Core) drop(j *job) {
	c.shrink(j)
	c.resultBytes -= answerBytes(j.answer)
	delete(c.owned, j.key)
}
