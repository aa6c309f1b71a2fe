package coordinator

import (
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// registration is the registration of a worker and when it last arrived.
type registration struct {
	fleet.Worker
	heardAt time.Time
}

// registry holds the present registrations of workers. It implements
// quarantine.Registry.
type registry struct {
	byID map[string]*registration
	// byAddress holds the ID of the worker that started last at an address.
	byAddress map[string]string
}

func newRegistry() registry {
	return registry{byID: map[string]*registration{}, byAddress: map[string]string{}}
}

func (r *registry) empty() bool { return len(r.byID) == 0 }

func (r *registry) update(now time.Time, w fleet.Worker) {
	r.byID[w.ID] = &registration{w, now}
	if holder, ok := r.byID[r.byAddress[w.Address]]; !ok || holder.Address != w.Address || holder.StartTime <= w.StartTime {
		r.byAddress[w.Address] = w.ID
	}
}

func (r *registry) remove(id string) {
	address := r.get(id).Address
	delete(r.byID, id)
	if r.byAddress[address] == id {
		delete(r.byAddress, address)
	}
}

// Worker implements quarantine.Registry.
func (r *registry) Worker(id string) (fleet.Worker, time.Time, bool) {
	w, ok := r.byID[id]
	if !ok {
		return fleet.Worker{}, time.Time{}, false
	}
	return w.Worker, w.heardAt, true
}

// get returns the registration of a worker, or an empty one.
func (r *registry) get(id string) *registration {
	if w, ok := r.byID[id]; ok {
		return w
	}
	return &registration{}
}

// WorkerAt implements quarantine.Registry.
func (r *registry) WorkerAt(address string) string { return r.byAddress[address] }

func (r *registry) hasLabel(id, label string) bool {
	return label == "" || r.get(id).HasLabel(label)
}

// addLoss records that a run of a task was lost with its worker.
func (c *Coordinator) addLoss(now time.Time, j *job, t *task, l quarantine.Loss) {
	t.losses.Add(now, l)
	c.recordLoss(now, j, t, l)
	c.judge(j, t)
}

// addOrphanLoss records that nobody has found a run of an orphaned task. Its
// worker may have crashed together with the loss of the owner.
func (c *Coordinator) addOrphanLoss(now time.Time, j *job, t *task) {
	if w := t.incarnation; w.ID != "" && !w.Draining {
		c.addLoss(now, j, t, quarantine.Loss{Run: t.lastRun, Worker: w.ID, Address: w.Address, StartTime: w.StartTime, Orphaned: true})
	}
}

// recordLoss makes a loss known to the host that may have the job next: by the log
// for a stored job, by a message for one that its caller may submit again.
func (c *Coordinator) recordLoss(now time.Time, j *job, t *task, l quarantine.Loss) {
	if !j.stored {
		if l.Fate == quarantine.Crashed {
			c.former.add(now, t.name, l)
			c.emit(ShareLoss{Task: t.name, Loss: l})
		}
		return
	}
	if l.Fate == quarantine.Crashed || l.Fate == quarantine.Unknown && !l.Orphaned {
		c.emit(RecordLoss{Task: t.name, Loss: l})
	}
}

// judge updates the verdict on a task.
func (c *Coordinator) judge(j *job, t *task) {
	if t.losses.Open() {
		c.suspects[t] = j
	} else {
		delete(c.suspects, t)
	}
	if verdict := t.losses.Verdict(); verdict != t.verdict {
		t.verdict = verdict
		c.emit(TaskJudged{Task: t.name, Verdict: verdict, Crashes: t.losses.Crashes()})
	}
}

// resolveLosses determines what became of lost workers from their registrations.
func (c *Coordinator) resolveLosses(now time.Time) {
	if len(c.suspects) == 0 {
		return
	}
	for _, j := range c.jobsByArrival() {
		for _, t := range j.tasks {
			if c.suspects[t] != j {
				continue
			}
			for _, l := range t.losses.Resolve(now, &c.workers) {
				c.recordLoss(now, j, t, l)
			}
			c.judge(j, t)
		}
	}
}

// giveUpDeadly answers a job with a task that crashes its workers. It reports
// whether there is one.
func (c *Coordinator) giveUpDeadly(now time.Time, j *job) bool {
	for _, t := range j.tasks {
		if t.verdict == quarantine.GiveUp && t.state == taskIdle {
			c.answer(now, j, errkind.New(errkind.TaskFailed, "%d workers crashed under task %s", t.losses.Crashes(), t.name), 0)
			return true
		}
	}
	return false
}

// hasExclusiveRun reports whether a task of the job runs, or waits to run, alone
// on a worker. A job risks one worker at a time.
func (j *job) hasExclusiveRun() bool {
	for _, t := range j.tasks {
		if t.exclusive && (t.state == taskOffered || t.state == taskStarted) {
			return true
		}
	}
	return false
}
