package coordinator

import (
	"cmp"
	"slices"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// taskSet holds the tasks of a job. Only those have an object that a host has, or of
// which more is known than that they wait or are done. So the memory of a job does not
// grow with its tasks, except by a bit each once some are done.
type taskSet struct {
	jobID string
	steps []stepTasks
	// tasks are the tasks with an object, sorted by step and index.
	tasks []*task
	// formerRuns is the number of the last run that a former driver may have started.
	formerRuns int
	// doneRuns is the number of runs of the done tasks that have no object any more.
	doneRuns int
}

// stepTasks are the tasks of one step.
type stepTasks struct {
	count int
	// fresh is the number of tasks that wait and have no object, firstFresh a lower bound
	// of their indexes.
	fresh, firstFresh int
	// done has a bit for each task that is done. It is nil if none is.
	done []uint64
}

func newTaskSet(spec fleet.Job) taskSet {
	s := taskSet{jobID: spec.ID, steps: make([]stepTasks, len(spec.Steps))}
	for i, step := range spec.Steps {
		s.steps[i] = stepTasks{count: step.Count, fresh: step.Count}
	}
	return s
}

const wordBits = 64

func (s *stepTasks) isDone(index int) bool {
	return s.done != nil && s.done[index/wordBits]&(1<<(index%wordBits)) != 0
}

func (s *stepTasks) setDone(index int) {
	if s.done == nil {
		s.done = make([]uint64, (s.count+wordBits-1)/wordBits)
	}
	s.done[index/wordBits] |= 1 << (index % wordBits)
}

// taskCount returns the number of the job's tasks.
func (s *taskSet) taskCount() int {
	n := 0
	for i := range s.steps {
		n += s.steps[i].count
	}
	return n
}

// position returns the place in tasks of a task, and whether it is there.
func (s *taskSet) position(step, index int) (int, bool) {
	return slices.BinarySearchFunc(s.tasks, index, func(t *task, index int) int {
		return cmp.Or(cmp.Compare(t.name.Step, step), cmp.Compare(t.name.Index, index))
	})
}

func (s *taskSet) newTask(step, index int) *task {
	return &task{
		name: fleet.TaskName{Job: s.jobID, Step: step, Index: index}, lastRun: s.formerRuns, lastEndedRun: s.formerRuns,
	}
}

// insert gives a fresh task an object, at its place in tasks.
func (s *taskSet) insert(at int, t *task) {
	s.tasks = slices.Insert(s.tasks, at, t)
	s.steps[t.name.Step].fresh--
}

// lookup returns a task, or nil if the job has no such task. It gives a fresh task an object.
// Changes of a done task that has no object have no effect.
func (s *taskSet) lookup(step, index int) *task {
	if step < 0 || step >= len(s.steps) || index < 0 || index >= s.steps[step].count {
		return nil
	}
	at, ok := s.position(step, index)
	switch {
	case ok:
		return s.tasks[at]
	case s.steps[step].isDone(index):
		t := s.newTask(step, index)
		t.state = taskDone
		return t
	}
	t := s.newTask(step, index)
	s.insert(at, t)
	return t
}

// markDone records that a task is done and drops its object, unless keep is set.
func (s *taskSet) markDone(t *task, keep bool) {
	t.state = taskDone
	s.steps[t.name.Step].setDone(t.name.Index)
	if at, ok := s.position(t.name.Step, t.name.Index); ok && !keep {
		s.tasks = slices.Delete(s.tasks, at, at+1)
		s.doneRuns += t.lastRun
	}
}

// idleTasks yields the tasks of a step that no host has, in order. A fresh task gets an
// object if it is not idle afterwards; otherwise the fresh ones after it are left out:
// nothing tells them apart.
func (s *taskSet) idleTasks(step int, yield func(*task) bool) {
	of := &s.steps[step]
	at, _ := s.position(step, 0)
	index, mayOffer := of.firstFresh, of.fresh > 0
	for {
		end := of.count
		if at < len(s.tasks) && s.tasks[at].name.Step == step {
			end = s.tasks[at].name.Index
		}
		for ; mayOffer && index < end; index++ {
			if of.isDone(index) {
				continue
			}
			t := s.newTask(step, index)
			goOn := yield(t)
			if mayOffer = goOn && t.state != taskIdle; t.state != taskIdle {
				s.insert(at, t)
				at++
				of.firstFresh = index + 1
			}
			if !goOn {
				return
			}
		}
		if end == of.count {
			return
		}
		if t := s.tasks[at]; t.state == taskIdle && !yield(t) {
			return
		}
		index = max(index, end+1)
		at++
	}
}

// runCount returns the number of known runs of the job's tasks.
func (s *taskSet) runCount() int {
	n := s.doneRuns
	for _, t := range s.tasks {
		n += t.lastRun
	}
	for i := range s.steps {
		n += s.steps[i].fresh * s.formerRuns
	}
	return n
}
