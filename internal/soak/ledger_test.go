//go:build e2e

package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/standin/taskworker"
)

// tasksPerWorker is how many of the soak's tasks fit on one worker.
const tasksPerWorker = 2

// ledger checks what workers and callers see.
type ledger struct {
	begun time.Time

	mu sync.Mutex
	// running counts the runs of a task, load those of a worker.
	running map[string]int
	load    map[string]int
	done    map[string]bool
	noted   map[string]bool
	// started is when a job's last task started.
	started  map[string]time.Time
	problems []string
	counts   map[string]int
}

func newLedger() *ledger {
	return &ledger{
		begun: time.Now(), running: map[string]int{}, load: map[string]int{}, done: map[string]bool{},
		noted: map[string]bool{}, started: map[string]time.Time{}, counts: map[string]int{},
	}
}

// storedPrefix begins the ids of stored jobs.
const storedPrefix = "5"

// observe takes an event of a worker.
func (l *ledger) observe(e taskworker.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, _, _ := strings.Cut(e.Task, ".")
	switch e.Kind {
	case taskworker.Started:
		l.counts["starts"]++
		if l.running[e.Task] > 0 {
			l.fail("task %s starts on %s (run %d) while another run goes on", e.Task, e.Worker, e.Run)
		}
		if strings.HasPrefix(job, storedPrefix) && l.noted[e.Task] {
			l.fail("task %s starts on %s (run %d) after its end was taken note of", e.Task, e.Worker, e.Run)
		}
		l.running[e.Task]++
		l.load[e.Worker]++
		if l.load[e.Worker] > tasksPerWorker {
			l.fail("worker %s is given %d tasks, %d fit", e.Worker, l.load[e.Worker], tasksPerWorker)
		}
		l.started[job] = time.Now()
	case taskworker.Acknowledged:
		l.noted[e.Task] = true
	default:
		l.running[e.Task]--
		l.load[e.Worker]--
		if e.Kind == "done" {
			l.done[e.Task] = true
		}
	}
}

// fail notes a broken promise. The lock is held.
func (l *ledger) fail(format string, args ...any) {
	l.problems = append(l.problems, fmt.Sprintf("%6.3f s: ", time.Since(l.begun).Seconds())+fmt.Sprintf(format, args...))
}

// check calls a check with the lock held.
func (l *ledger) check(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
}

// completed checks that all tasks of a job are done.
func (l *ledger) completed(job string, steps, width int) {
	l.check(func() {
		l.counts["completed"]++
		for step := range steps {
			for i := range width {
				if task := fmt.Sprintf("%s.0.%d.%d", job, step, i); !l.done[task] {
					l.fail("job %s is said to be complete, task %s is not done", job, task)
				}
			}
		}
	})
}

// notRun checks that nothing of a job has started since its request was sent.
func (l *ledger) notRun(job string, sent time.Time) {
	l.check(func() {
		l.counts["not run"]++
		if l.started[job].After(sent) {
			l.fail("job %s is said not to have run, a task started %v after the request", job, l.started[job].Sub(sent))
		}
	})
}
