package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// liveRun is a run that a minion has at work.
type liveRun struct {
	minion string
	run    int
	since  time.Time
}

type taskState struct {
	live map[string]liveRun
	// done is set once a run has ended done, and notedAt when that end was noted.
	done    bool
	notedAt time.Time
	// failed are the runs that ended failed and were noted.
	failed map[int]bool
	starts int
	// failures counts the runs that ended failed, noted or not.
	failures int
}

type jobState struct {
	id         string
	spec       jobSpec
	accepted   time.Time
	rejections int
	others     int
	cancelled  time.Time
	// cancelSent is when the cancelling was sent.
	cancelSent time.Time
	tasks      map[string]*taskState
}

// checker checks the rules from what clients and minions see.
type checker struct {
	w      *world
	mu     sync.Mutex
	jobs   map[string]*jobState
	broken []string
}

func newChecker(w *world) *checker { return &checker{w: w, jobs: map[string]*jobState{}} }

func (c *checker) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.broken = append(c.broken, text)
	c.w.record("BROKEN %s", text)
}

func (c *checker) brokenRules() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}

// submit records that a client is about to send a job.
func (c *checker) submit(spec jobSpec, id string) *jobState {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := &jobState{id: id, spec: spec, tasks: map[string]*taskState{}}
	c.jobs[id] = j
	return j
}

func (j *jobState) task(name string) *taskState {
	t := j.tasks[name]
	if t == nil {
		t = &taskState{live: map[string]liveRun{}, failed: map[int]bool{}}
		j.tasks[name] = t
	}
	return t
}

func stepOf(task string) int {
	parts := strings.Split(task, ".")
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return 0
	}
	return n
}

// cancelBound is cancel_ms of the settings.
const cancelBound = 3 * time.Second

func (c *checker) started(m *minion, r *minionRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.w.record("start %s run %d on %s", r.task, r.run, m.id)
	j := c.jobs[strings.Split(r.task, ".")[0]]
	if j == nil {
		c.fail("UNASKED: %s run %d starts on %s, and no client sent that job", r.task, r.run, m.id)
		return
	}
	t := j.task(r.task)
	for _, other := range t.live {
		c.fail("TWICE: two runs of %s at the same time: run %d on %s since %v, run %d on %s", r.task, other.run, other.minion,
			now.Sub(other.since).Round(time.Millisecond), r.run, m.id)
	}
	t.live[m.id+"/"+strconv.Itoa(r.run)] = liveRun{m.id, r.run, now}
	t.starts++
	if j.spec.BestEffort {
		return
	}
	if !t.notedAt.IsZero() {
		c.fail("TWICE: %s run %d starts on %s %v after its end done was noted", r.task, r.run, m.id, now.Sub(t.notedAt).Round(time.Millisecond))
	}
	if len(t.failed) >= j.spec.MaxAttempts {
		c.fail("BUDGET: %s run %d starts on %s after %d noted failures of %d", r.task, r.run, m.id, len(t.failed), j.spec.MaxAttempts)
	}
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > cancelBound {
		c.fail("UNASKED: %s run %d starts on %s %v after the cancelling was acknowledged", r.task, r.run, m.id, now.Sub(j.cancelled).Round(time.Millisecond))
	}
	if j.accepted.IsZero() && j.others == 0 && j.rejections > 0 {
		c.fail("REFUSED: %s run %d starts on %s, and all attempts were rejected", r.task, r.run, m.id)
	}
	if step := stepOf(r.task); step > 0 {
		for i := range j.spec.Counts[step-1] {
			before := fmt.Sprintf("%s.0.%d.%d", j.id, step-1, i)
			if !j.task(before).done {
				c.fail("ORDER: %s starts before %s has ended done", r.task, before)
			}
		}
	}
}

func (c *checker) ended(m *minion, r *minionRun, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.record("end %s run %d on %s: %s", r.task, r.run, m.id, how)
	if j := c.jobs[strings.Split(r.task, ".")[0]]; j != nil {
		t := j.task(r.task)
		delete(t.live, m.id+"/"+strconv.Itoa(r.run))
		t.done = t.done || how == "done"
		if how == "failed" {
			t.failures++
		}
	}
}

// noted records that the end of a run was taken note of under the lease that it ended under.
func (c *checker) noted(m *minion, task string, run int, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[strings.Split(task, ".")[0]]
	if j == nil {
		return
	}
	t := j.task(task)
	switch how {
	case "done":
		if t.notedAt.IsZero() {
			t.notedAt = time.Now()
		}
		for _, other := range t.live {
			if !j.spec.BestEffort && other.run != run {
				c.fail("TWICE: the end of %s run %d on %s is noted, and run %d is at work on %s", task, run, m.id, other.run, other.minion)
			}
		}
	case "failed":
		t.failed[run] = true
	}
}

// answeredCompleted checks a job that is said to be completed.
func (c *checker) answeredCompleted(j *jobState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for step, count := range j.spec.Counts {
		for i := range count {
			name := fmt.Sprintf("%s.0.%d.%d", j.id, step, i)
			if !j.task(name).done {
				c.fail("MIXED: job %s is shown as completed, and %s has not ended done", j.id, name)
			}
		}
	}
}
