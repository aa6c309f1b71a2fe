package coordinator

import (
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// handoverStage is how far the handover of a stored job to its next driver is.
type handoverStage int

const (
	// notHandedOver means that the job is not being handed over.
	notHandedOver handoverStage = iota
	// handoverPaused means that no task is offered and that offered ones are taken back.
	handoverPaused
	// handoverListed means that the list of runs is being recorded. No run is claimed any
	// more: the next driver would not know of it.
	handoverListed
)

// PauseStored begins the handover of stored jobs: it offers none of their tasks any
// more and asks for those back that have not started.
func (c *Coordinator) PauseStored(ids []string) {
	for _, id := range ids {
		j, ok := c.jobs[id]
		if !ok {
			continue
		}
		j.handover = handoverPaused
		var hosts []string
		for _, t := range j.tasks {
			if t.state == taskOffered && !slices.Contains(hosts, t.host) {
				hosts = append(hosts, t.host)
			}
		}
		for _, name := range hosts {
			c.flushOffers(name)
			c.emit(Recall{Host: name, Job: id})
		}
	}
}

// StoredRuns returns the runs of stored jobs that go on, or may, and the tasks of which
// it is not known whether a host has started them.
func (c *Coordinator) StoredRuns(ids []string) (running []ledger.HandedRun, unsettled []fleet.TaskName) {
	for _, id := range ids {
		j, ok := c.jobs[id]
		if !ok {
			continue
		}
		for _, t := range j.tasks {
			switch {
			case t.state == taskOffered || t.atWorker() && t.worker == "":
				unsettled = append(unsettled, t.name)
			case t.atWorker():
				running = append(running, ledger.HandedRun{
					RunID: fleet.RunID{Task: t.name, Run: t.lastRun}, Owner: t.host, Worker: t.worker, Fence: t.fence, Exclusive: t.exclusive,
				})
			}
		}
	}
	return running, unsettled
}

// HandoverListed ends the claims of runs of stored jobs, because the list of their runs
// is being recorded for their next driver.
func (c *Coordinator) HandoverListed(ids []string) {
	for _, id := range ids {
		if j, ok := c.jobs[id]; ok {
			j.handover = handoverListed
		}
	}
}

// LetGoStored removes stored jobs that are handed over. It withdraws their unsettled
// tasks and leaves their runs to the next driver.
func (c *Coordinator) LetGoStored(now time.Time, ids []string) {
	for _, id := range ids {
		j, ok := c.jobs[id]
		if !ok {
			continue
		}
		delete(c.jobs, id)
		for _, t := range j.tasks {
			delete(c.suspects, t)
			if t.state == taskOffered {
				c.flushOffers(t.host)
				c.emit(WithdrawTask{Host: t.host, Task: t.name})
			}
		}
		c.emitAnswer(now, j, errkind.New(errkind.Cancelled, "handed over"), 0, "handed over")
	}
}

// adoptHanded takes over the runs of a job that its previous driver has handed over, and
// claims them.
func (c *Coordinator) adoptHanded(now time.Time, j *job, stored ledger.Drive) {
	for _, r := range stored.Running {
		_, t := c.find(r.Task)
		if t == nil || t.state == taskDone {
			continue
		}
		t.lastRun, t.lastEndedRun, t.mayHaveRun = r.Run, r.Run-1, true
		t.worker, t.fence, t.exclusive = r.Worker, r.Fence, r.Exclusive
		t.incarnation, _, _ = c.workers.Worker(r.Worker)
		if h, ok := c.hosts[r.Owner]; !ok || !h.connected {
			t.state, t.orphanEndsAt = taskOrphaned, now.Add(c.orphanTimeout())
			continue
		}
		t.state, t.host, j.started = taskStarted, r.Owner, true
		j.addOfferedHost(r.Owner)
		c.emit(Claim{
			Host: r.Owner, Claim: offer.Claim{Worker: r.Worker, Task: c.offerTask(j, t)},
			Before: ClaimedTask{State: "handed over", Host: r.Owner, Worker: r.Worker},
		})
	}
	for _, name := range stored.Unsettled {
		if _, t := c.find(name); t != nil && t.state == taskIdle {
			t.state, t.mayHaveRun, t.orphanEndsAt = taskOrphaned, true, now.Add(c.orphanTimeout())
		}
	}
}
