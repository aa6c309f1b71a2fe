package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

const (
	// formerLossTTL is how long the crashes under the tasks of a best-effort job are
	// remembered: longer than callers go on submitting a job again.
	formerLossTTL = 30 * time.Second
	// maxFormerLosses bounds the number of jobs whose crashes are remembered.
	maxFormerLosses = 4096
)

// formerLoss is the crashes under the tasks of one job.
type formerLoss struct {
	at     time.Time
	losses map[fleet.TaskName][]quarantine.Loss
}

// formerLosses holds the crashes under tasks of best-effort jobs, by job. It
// includes those that other hosts reported.
type formerLosses map[string]*formerLoss

// add remembers a crash. Expired entries are removed once there is no space left;
// without space, the crash is not remembered.
func (f formerLosses) add(now time.Time, task fleet.TaskName, l quarantine.Loss) {
	if f[task.Job] == nil {
		if len(f) >= maxFormerLosses {
			f.expire(now)
		}
		if len(f) >= maxFormerLosses {
			return
		}
		f[task.Job] = &formerLoss{losses: map[fleet.TaskName][]quarantine.Loss{}}
	}
	f[task.Job].at = now
	f[task.Job].losses[task] = append(f[task.Job].losses[task], l)
}

func (f formerLosses) expire(now time.Time) {
	for job, l := range f {
		if now.Sub(l.at) >= formerLossTTL {
			delete(f, job)
		}
	}
}

// LossShared records that a worker crashed under a run of a best-effort job that
// another host answered.
func (c *Coordinator) LossShared(now time.Time, task fleet.TaskName, l quarantine.Loss) {
	c.former.add(now, task, l)
}

// recallLosses adds the crashes of a job's former submissions to its tasks.
func (c *Coordinator) recallLosses(now time.Time, j *job) {
	former := c.former[j.spec.ID]
	if former == nil || now.Sub(former.at) >= formerLossTTL {
		return
	}
	for _, name := range slices.SortedFunc(maps.Keys(former.losses), fleet.TaskName.Compare) {
		t := j.lookup(name.Step, name.Index)
		if t == nil {
			continue
		}
		for _, l := range former.losses[name] {
			t.losses.Add(now, l)
		}
		c.judge(j, t)
	}
}
