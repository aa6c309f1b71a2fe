//go:build e2e

package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/standin/taskworker"
)

// tasksPerWorker is how many tasks of this test fit on one worker at once.
const tasksPerWorker = 2

// ledger records what workers and callers see, and checks it against the
// guarantees of the system.
type ledger struct {
	startTime time.Time

	mu sync.Mutex
	// running holds the current runs by task; load counts them by worker.
	running      map[string][]activeRun
	load         map[string]int
	done         map[string]bool
	acknowledged map[string]bool
	// lastStart is when a task of the job last started.
	lastStart map[string]time.Time
	// crashes counts the workers that crashed under a task, and startsAfterLimit
	// its starts after crashLimit of them.
	crashes, startsAfterLimit map[string]int
	// deadlyStarted, if set, is called with the worker on which a deadly task
	// starts. It must not block.
	deadlyStarted func(worker string)
	// zoneOf holds each worker's zone, and evacuated since when a zone is evacuated.
	zoneOf    map[string]string
	evacuated map[string]time.Time
	// storeAway is the sum of the times in which the store was away for some host.
	storeAway  time.Duration
	violations []string
	overlaps   []overlap
	// overlapped, if set, is called with the workers of a task that runs twice at once. It
	// must not block.
	overlapped func(task string, workers []string)
	// history holds the events of each task.
	history map[string][]timedEvent
	counts  map[string]int
}

// activeRun is a run that has started and not ended.
type activeRun struct {
	worker  string
	number  int
	started time.Time
}

func (r activeRun) String() string {
	return fmt.Sprintf("run %d on %s since %s", r.number, r.worker, r.started.UTC().Format(clockFormat))
}

// timedEvent is an event of a worker with its time.
type timedEvent struct {
	taskworker.Event
	at time.Time
}

// clockFormat is the format of times in violations. The hosts' logs have the same times.
const clockFormat = "15:04:05.000"

// overlap is a start of a task while other runs of it were active.
type overlap struct {
	task   string
	active []activeRun
	second activeRun
}

func newLedger() *ledger {
	return &ledger{
		startTime: time.Now(), running: map[string][]activeRun{}, load: map[string]int{}, done: map[string]bool{},
		acknowledged: map[string]bool{}, lastStart: map[string]time.Time{}, counts: map[string]int{},
		crashes: map[string]int{}, startsAfterLimit: map[string]int{},
		history: map[string][]timedEvent{}, zoneOf: map[string]string{}, evacuated: map[string]time.Time{},
	}
}

// storedPrefix is the first character of the ids of stored jobs.
const storedPrefix = "5"

// A task that crashes its workers is started fewer than startsBeyondLimit times
// more once crashLimit workers have crashed under it.
const (
	crashLimit        = 3
	startsBeyondLimit = 3
)

// deadlyPrefix is the beginning of the ids of the stored jobs whose first task
// crashes each worker that starts it.
const deadlyPrefix = storedPrefix + "d"

func deadly(task string) bool {
	return strings.HasPrefix(task, deadlyPrefix) && strings.HasSuffix(task, ".0.0.0")
}

// checkCrashes checks the start of a task that crashed its workers. The caller
// must hold l.mu.
func (l *ledger) checkCrashes(e taskworker.Event) {
	if !strings.HasPrefix(e.Task, storedPrefix) || l.crashes[e.Task] < crashLimit {
		return
	}
	l.startsAfterLimit[e.Task]++
	if l.startsAfterLimit[e.Task] >= startsBeyondLimit {
		l.fail("task %s starts on %s (run %d) for time %d after %d workers have crashed under it",
			e.Task, e.Worker, e.Run, l.startsAfterLimit[e.Task], crashLimit)
	}
}

// observe records an event of a worker and checks it.
func (l *ledger) observe(e taskworker.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, _, _ := strings.Cut(e.Task, ".")
	l.history[e.Task] = append(l.history[e.Task], timedEvent{e, time.Now()})
	switch e.Kind {
	case taskworker.Started:
		l.counts["starts"]++
		run := activeRun{worker: e.Worker, number: e.Run, started: time.Now()}
		if active := l.running[e.Task]; len(active) > 0 {
			l.overlaps = append(l.overlaps, overlap{task: e.Task, active: slices.Clone(active), second: run})
			l.fail("task %s starts on %s (run %d) while another run is active: %v", e.Task, e.Worker, e.Run, active)
			if l.overlapped != nil {
				workers := []string{e.Worker}
				for _, r := range active {
					workers = append(workers, r.worker)
				}
				l.overlapped(e.Task, workers)
			}
		}
		if strings.HasPrefix(job, storedPrefix) && l.acknowledged[e.Task] {
			l.fail("task %s starts on %s (run %d) after its end was acknowledged", e.Task, e.Worker, e.Run)
		}
		l.checkCrashes(e)
		l.checkZone(e.Worker, e.Task, e.Run)
		if deadly(e.Task) && l.deadlyStarted != nil {
			l.deadlyStarted(e.Worker)
		}
		l.running[e.Task] = append(l.running[e.Task], run)
		l.load[e.Worker]++
		if l.load[e.Worker] > tasksPerWorker {
			l.fail("worker %s has %d tasks, but only %d fit", e.Worker, l.load[e.Worker], tasksPerWorker)
		}
		l.lastStart[job] = time.Now()
	case taskworker.Acknowledged:
		l.acknowledged[e.Task] = true
	default:
		l.running[e.Task] = slices.DeleteFunc(l.running[e.Task], func(r activeRun) bool {
			return r.worker == e.Worker && r.number == e.Run
		})
		if len(l.running[e.Task]) == 0 {
			delete(l.running, e.Task)
		}
		l.load[e.Worker]--
		switch e.Kind {
		case "done":
			l.done[e.Task] = true
			l.counts["done"]++
		case "lost":
			l.crashes[e.Task]++
			l.counts["lost"]++
		}
	}
}

// fail records the violation of a guarantee. The caller must hold l.mu.
func (l *ledger) fail(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf("%6.3f s: ", time.Since(l.startTime).Seconds())+fmt.Sprintf(format, args...))
}

// locked calls f with l.mu held.
func (l *ledger) locked(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// completed checks that all tasks of a job are done when a caller is told that the
// job completed.
func (l *ledger) completed(job string, steps, width int) {
	l.locked(func() {
		l.counts["completed"]++
		for step := range steps {
			for i := range width {
				if task := fmt.Sprintf("%s.0.%d.%d", job, step, i); !l.done[task] {
					l.fail("job %s was reported complete, but task %s is not done", job, task)
				}
			}
		}
	})
}

// notRun checks that no task of a job has started since its request was sent when
// the caller is told that the job did not run.
func (l *ledger) notRun(job string, sent time.Time) {
	l.locked(func() {
		l.counts["not run"]++
		if l.lastStart[job].After(sent) {
			l.fail("job %s was reported as not run, but a task started %v after the request", job, l.lastStart[job].Sub(sent))
		}
	})
}
