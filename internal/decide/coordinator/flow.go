package coordinator

import "time"

// saturatedHost is the reason given for refusing a job whose tasks cannot be
// started in time over the host's own link.
const saturatedHost = "host is saturated"

// refuseSaturated refuses a job, before anything is sent for it, whose last first
// task is not expected to start in time while this host is saturated. The
// expectation follows the rate at which tasks of admitted jobs start.
func (c *Coordinator) refuseSaturated(now time.Time, j *job) bool {
	if !c.cfg.Flow.Saturated() {
		return false
	}
	ahead := c.unstartedTasks(j)
	if ahead == 0 {
		return false
	}
	wait := c.cfg.Flow.StartWait(now, ahead+j.spec.Steps[0].Count-1)
	if wait+c.cfg.Flow.Delay()+j.criticalPath <= j.objective {
		return false
	}
	j.expectedWait = wait
	c.refuse(now, j, Saturated, saturatedHost)
	return true
}

// unstartedTasks returns the number of tasks of other jobs that could start and
// have not.
func (c *Coordinator) unstartedTasks(except *job) int {
	n := 0
	for _, j := range c.jobs {
		if j == except {
			continue
		}
		for _, t := range j.tasks {
			if t.state == taskOffered || t.state == taskIdle && j.stepReady(t.name.Step) {
				n++
			}
		}
		for step := range j.steps {
			if fresh := j.steps[step].fresh; fresh > 0 && j.stepReady(step) {
				n += fresh
			}
		}
	}
	return n
}

// avoidSaturated reports whether a host should be offered less because it is
// saturated. This host's own tasks don't pass its link before they are started.
func (c *Coordinator) avoidSaturated(h *host) bool {
	return c.cfg.Flow != nil && h.report.Saturated && h.name != c.cfg.Self
}
