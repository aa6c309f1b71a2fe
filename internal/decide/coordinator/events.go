package coordinator

import (
	"fmt"
	"slices"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Submit takes a job. Patience is how long the caller waits; zero means that
// it did not say, and the queue's timeout holds. It reports false if the job is
// already here.
func (s *Coordinator) Submit(now time.Time, spec fleet.Job, route fleet.Route, patience time.Duration) bool {
	if _, ok := s.jobs[spec.ID]; ok {
		return false
	}
	limit := defaultPatience
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if patience > 0 {
		limit = patience
	}
	s.seq++
	j := newJob(now, s.seq, spec, route, now.Add(limit))
	s.jobs[spec.ID] = j
	if err := s.fits(j); err != nil {
		s.answer(now, j, err, 0)
		return true
	}
	j.wait = s.expectedWait(j)
	if j.wait > s.tolerance(j, limit) {
		s.refuse(now, j, noRoom)
		return true
	}
	s.offerJob(now, j)
	return true
}

// noRoom is why a job is refused for want of room.
const noRoom = "no room in time"

// tolerance is the longest expected wait with which a job is taken.
func (s *Coordinator) tolerance(j *job, limit time.Duration) time.Duration {
	return min(time.Duration(admitFactor*float64(j.objective)), limit) - j.chain - hop
}

// fits reports why the job is refused whatever room there is, or nil.
func (s *Coordinator) fits(j *job) *errkind.Error {
	if len(s.workers) == 0 {
		return errkind.New(errkind.NotReady, "no worker is known")
	}
	if j.spec.Unsupported != "" {
		return errkind.New(errkind.NotReady, "the job asks for %s, which is not served", j.spec.Unsupported)
	}
	return nil
}

const (
	// minRetryAfter is the shortest time that the header can name.
	minRetryAfter = time.Second
	// maxRetryAfter bounds it when no room is known at all: hosts and workers
	// come back within some seconds.
	maxRetryAfter = 3 * time.Second
)

// refuse answers a job of which nothing has run.
func (s *Coordinator) refuse(now time.Time, j *job, why string) {
	s.answer(now, j, errkind.New(errkind.Overloaded, "%s", why), j.retryAfter())
}

// retryAfter is when the caller of a refused job may come back: once room is
// expected.
func (j *job) retryAfter() time.Duration { return min(max(j.wait, minRetryAfter), maxRetryAfter) }

// answer ends a job and withdraws what is left of it.
func (s *Coordinator) answer(now time.Time, j *job, err *errkind.Error, retryAfter time.Duration) {
	delete(s.jobs, j.spec.ID)
	why := ""
	if err != nil {
		why = err.Detail
	}
	// Every host that was offered something hears of the end, also where a run
	// is believed to be over.
	for _, name := range j.hosts {
		s.flush(name)
		if err != nil || slices.Contains(j.atHosts(), name) {
			s.emit(Withdraw{Host: name, Job: j.spec.ID})
		}
	}
	s.emit(Answer{
		Job: j.spec.ID, Stored: j.stored, Err: err, RetryAfter: retryAfter,
		Failed: err != nil && err.Kind == errkind.TaskFailed,
		Summary: Summary{
			Route: j.route.Name, Tasks: len(j.tasks), Runs: j.runs(), Elapsed: now.Sub(j.arrived),
			Objective: j.objective, ExpectedWait: j.wait, Why: why,
		},
	})
}

// Cancel ends a job whose caller has gone.
func (s *Coordinator) Cancel(now time.Time, id string) {
	if j, ok := s.jobs[id]; ok {
		s.answer(now, j, errkind.New(errkind.Cancelled, "the caller has gone"), 0)
	}
}

// Outcome takes an owner's word about a task.
func (s *Coordinator) HandleOutcome(now time.Time, from string, o offer.Outcome) {
	j, t := s.find(o.Task)
	if t == nil || t.state == taskDone {
		return
	}
	// A word from an owner that no longer has the task counts only if it ends it.
	if t.host != from && o.Result != offer.Done {
		return
	}
	t.runs = max(t.runs, o.Run)
	t.ran = t.ran || o.MayHaveRun
	if o.Worker != "" {
		t.worker, t.fence = o.Worker, o.Fence
	}
	t.failed = max(t.failed, o.FailedRuns)
	switch o.Result {
	case offer.Started:
		t.state = taskStarted
		s.begin(now, j, from)
	case offer.Done:
		s.taskDone(now, j, t)
	case offer.Failed:
		s.answer(now, j, errkind.New(errkind.TaskFailed, "task %s failed %d times, last on worker %s",
			o.Task, o.FailedRuns, o.Worker), 0)
	case offer.Returned:
		t.state, t.host, t.over = taskIdle, "", t.runs
		if o.Worker == "" {
			t.pass(from, now)
		}
		s.review(now, j)
	case offer.Orphaned:
		t.state, t.host, t.overAt = taskOrphaned, "", now.Add(min(o.MaxRemaining+orphanMargin, s.leaseOver()))
		s.review(now, j)
	}
}

// passTime is how long a host that gave a task back is not asked again for it.
const passTime = 100 * time.Millisecond

func (t *task) pass(host string, now time.Time) {
	if t.refusedBy == nil {
		t.refusedBy = map[string]time.Time{}
	}
	t.refusedBy[host] = now.Add(passTime)
}

func (s *Coordinator) find(name fleet.TaskName) (*job, *task) {
	j, ok := s.jobs[name.Job]
	if !ok || name.Step < 0 || name.Step >= len(j.spec.Steps) || name.Index < 0 || name.Index >= j.spec.Steps[name.Step].Count {
		return nil, nil
	}
	return j, j.tasks[j.first[name.Step]+name.Index]
}

// begin notes that a task of a job has started: where others wait, they go
// first from now on, and none is recalled.
func (s *Coordinator) begin(now time.Time, j *job, from string) {
	if j.begun {
		return
	}
	j.begun = true
	j.recalled = time.Time{}
	told := map[string]bool{from: true}
	for _, t := range j.tasks {
		if t.state == taskOffered && !told[t.host] {
			told[t.host] = true
			s.emit(JobStarted{Host: t.host, Job: j.spec.ID})
		}
	}
	s.offerJob(now, j)
}

func (s *Coordinator) taskDone(now time.Time, j *job, t *task) {
	t.state = taskDone
	j.begun, j.recalled = true, time.Time{}
	step := t.name.Step
	j.left[step]--
	if j.done() {
		s.answer(now, j, nil, 0)
		return
	}
	if j.left[step] == 0 {
		s.offerJob(now, j)
	}
}

// Sighted takes what a new owner found on a worker. It claims the runs of
// tasks that are waited for, takes note of the ends, and knows that what is not
// listed is over: the former owner's orders no longer reach the worker.
func (s *Coordinator) HandleInventory(now time.Time, from string, sight offer.Inventory) {
	listed := make(map[fleet.TaskName]bool, len(sight.Running))
	for _, r := range sight.Running {
		listed[r.Task] = true
		s.claim(from, sight, r)
	}
	for _, e := range sight.Ended {
		j, t := s.find(e.Task)
		if t == nil || t.state == taskDone || t.runs > e.Run || t.elsewhere(sight.Worker) {
			continue
		}
		t.ran = true
		if e.Reason == fleet.EndedDone && j.stored {
			// The new owner records it; until then it counts as at the worker.
			listed[e.Task] = true
			t.runs, t.state, t.host, t.worker, t.fence = e.Run, taskStarted, from, sight.Worker, sight.Fence
			continue
		}
		if e.Reason == fleet.EndedDone {
			s.taskDone(now, j, t)
			continue
		}
		if e.Reason == fleet.EndedFailed && t.worker == sight.Worker && !listed[e.Task] {
			t.failed++
		}
		t.runs = max(t.runs, e.Run)
	}
	for _, j := range s.sorted() {
		lost := false
		for _, t := range j.tasks {
			if !t.atWorker() || t.worker != sight.Worker || t.fence >= sight.Fence || listed[t.name] {
				continue
			}
			lost = true
			if j.stored {
				// It may have ended, been recorded and been forgotten there.
				t.state, t.host, t.overAt = taskOrphaned, "", now.Add(-takeoverTime)
				continue
			}
			t.state, t.host, t.over = taskIdle, "", t.runs
		}
		if lost {
			s.review(now, j)
		}
	}
}

// claim claims a run found on a worker if its task is still waited for.
func (s *Coordinator) claim(from string, sight offer.Inventory, r fleet.RunID) {
	worker := sight.Worker
	j, t := s.find(r.Task)
	if t == nil || t.state == taskDone || t.state == taskIdle || t.runs > r.Run || t.over >= r.Run || t.elsewhere(worker) {
		return
	}
	if t.atWorker() && t.fence >= sight.Fence {
		return
	}
	t.runs, t.state, t.host, t.worker, t.fence, t.ran = r.Run, taskStarted, from, worker, sight.Fence, true
	j.offeredTo(from)
	s.emit(Claim{Host: from, Claim: offer.Claim{Worker: worker, Task: s.task(j, t)}})
}

// review decides what becomes of a job that has lost tasks.
func (s *Coordinator) review(now time.Time, j *job) {
	if s.jobs[j.spec.ID] != j {
		return
	}
	for _, t := range j.tasks {
		if t.state == taskOrphaned && s.orphanOver(now, j, t) {
			t.state = taskIdle
			t.runs++
			t.over, t.ran = t.runs, true
		}
	}
	switch {
	case s.hopeless(now, j):
		s.giveUp(now, j)
		return
	case !j.recalled.IsZero() && j.idle():
		s.giveUp(now, j)
		return
	}
	s.offerJob(now, j)
}

// hopeless reports whether a job can no longer end while its caller waits.
func (s *Coordinator) hopeless(now time.Time, j *job) bool {
	for _, t := range j.tasks {
		step := j.spec.Steps[t.name.Step]
		if t.state == taskOrphaned && t.overAt.Add(step.Estimate+hop).After(j.deadline) {
			// Only a claim could save it, and one comes soon or not at all.
			return t.runs == 0 || now.Add(step.Estimate).After(j.deadline)
		}
	}
	return false
}

// giveUp answers a job that cannot be done. Only a job of which nothing can
// have run is said not to have run.
func (s *Coordinator) giveUp(now time.Time, j *job) {
	if j.notRun() {
		s.refuse(now, j, noRoom)
		return
	}
	s.answer(now, j, errkind.New(errkind.Timeout, "tasks were lost with their owner or worker"), 0)
}

// Tick offers what is idle and gives up what is hopeless.
func (s *Coordinator) Tick(now time.Time) {
	for _, j := range s.sorted() {
		switch {
		case now.After(j.deadline):
			s.answer(now, j, errkind.New(errkind.Timeout, "%s", fmt.Sprintf("not done after %v", now.Sub(j.arrived))), 0)
		default:
			s.recall(now, j)
			s.review(now, j)
		}
	}
}

// recall asks the tasks of a job back that has not begun and will not be of
// use: while the caller has lost little, if it will be late, and once half of
// the caller's patience is gone, in any case.
func (s *Coordinator) recall(now time.Time, j *job) {
	waited := now.Sub(j.arrived)
	if j.stored {
		return
	}
	patience := j.deadline.Sub(j.arrived)
	due := !j.recalled.IsZero() || waited > time.Duration(patienceShare*float64(patience))
	if !due && !j.judged && waited >= time.Duration(recallShare*float64(j.objective))-hop {
		j.judged = true
		j.wait = s.expectedWait(j)
		due = waited+j.wait+j.chain > time.Duration(lateFactor*float64(j.objective))
	}
	if !due || j.begun || now.Sub(j.recalled) < recallPause {
		return
	}
	j.recalled = now
	for _, name := range j.atHosts() {
		s.flush(name)
		s.emit(Recall{Host: name, Job: j.spec.ID})
	}
}
