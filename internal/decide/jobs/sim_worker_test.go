package jobs

import (
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// simWorker is a simulated worker. It counts starts across all its processes.
type simWorker struct {
	sim       *simulation
	name      string
	process   int
	cores     int
	slowBy    float64
	waiting   map[string]func()
	down      bool
	failing   bool
	epoch     int64
	leases    map[string]simLease
	ledger    map[workerapi.TaskRef]*simTask
	ended     map[string][]workerapi.Result
	usedCores int
}

type simLease struct {
	epoch   int64
	expires time.Duration
	reserve int
}

type simTask struct {
	state   workerapi.TaskState
	holder  string
	cores   int
	runTime time.Duration
}

func (s *simulation) worker(name string) *simWorker {
	return s.byName[name]
}

// restart starts a new process that does not know the previous one's tasks and
// counts epochs from the start again.
func (w *simWorker) restart() {
	w.process++
	w.epoch, w.usedCores, w.down = 0, 0, false
	w.waiting = map[string]func(){}
	w.leases = map[string]simLease{}
	w.ledger = map[workerapi.TaskRef]*simTask{}
	w.ended = map[string][]workerapi.Result{}
}

func (w *simWorker) instance() string { return fmt.Sprintf("%s#%d", w.name, w.process) }

func (w *simWorker) lease(holder string, ttl time.Duration, reserve int) workerapi.Lease {
	l, ok := w.leases[holder]
	if !ok || w.sim.elapsed > l.expires {
		w.epoch++
		l.epoch = w.epoch
	}
	l.expires, l.reserve = w.sim.elapsed+ttl, reserve
	w.leases[holder] = l
	return workerapi.Lease{Instance: w.instance(), Epoch: l.epoch, TTLMs: ttl.Milliseconds(), Used: w.usage(holder)}
}

func (w *simWorker) usage(holder string) workerapi.Usage {
	cores := w.usedCores
	for other, l := range w.leases {
		if other != holder && w.sim.elapsed <= l.expires {
			cores += l.reserve
		}
	}
	return workerapi.Usage{Cores: cores}
}

func (w *simWorker) start(call workerapi.StartCall) workerapi.StartReply {
	reply := workerapi.StartReply{}
	for _, t := range call.Tasks {
		reply.Verdicts = append(reply.Verdicts, w.startOne(call, t))
	}
	reply.Used = w.usage(call.Holder)
	return reply
}

func (w *simWorker) startOne(call workerapi.StartCall, t workerapi.Start) workerapi.Verdict {
	l, ok := w.leases[call.Holder]
	r := workerapi.TaskRef{Submission: t.Submission, Task: t.Task}
	switch {
	case call.Instance != w.instance() || !ok || l.epoch != call.Epoch || w.sim.elapsed > l.expires:
		return workerapi.RefusedLeaseExpired
	case w.ledger[r] != nil:
		return workerapi.RefusedAlreadyStarted
	case w.usage(call.Holder).Cores+t.Cores > w.cores:
		w.sim.refused++
		return workerapi.RefusedNoCapacity
	}
	l.expires, l.reserve = w.sim.elapsed+time.Duration(call.TTLMs)*time.Millisecond, 0
	w.leases[call.Holder] = l
	w.sim.starts[t.Submission+"/"+t.Task]++
	task := &simTask{state: workerapi.TaskRunning, holder: call.Holder, cores: t.Cores}
	w.ledger[r] = task
	w.usedCores += t.Cores
	process := w.process
	runTime := w.sim.randomDuration(20*time.Millisecond, 2*time.Second)
	if run, ok := w.sim.runTimes[t.Submission+"/"+t.Task]; ok {
		runTime = run
	} else if w.sim.chance(0.03) {
		runTime = simulationEnd
	}
	if w.slowBy > 0 {
		runTime = time.Duration(float64(runTime) * w.slowBy)
	}
	task.runTime = runTime
	w.sim.after(runTime, func() {
		if w.process == process && !w.down && task.state == workerapi.TaskRunning {
			state := workerapi.TaskDone
			if w.failing {
				state = workerapi.TaskFailed
			}
			w.end(r, task, state)
		}
	})
	return workerapi.Started
}

func (w *simWorker) end(r workerapi.TaskRef, t *simTask, state workerapi.TaskState) {
	t.state = state
	w.usedCores -= t.cores
	w.ended[t.holder] = append(w.ended[t.holder], workerapi.Result{
		Seq: int64(len(w.ended[t.holder]) + 1), Submission: r.Submission, Task: r.Task, State: state,
		Output: []byte(r.Submission + "/" + r.Task), RunMs: t.runTime.Milliseconds(),
	})
	if wake, ok := w.waiting[t.holder]; ok {
		delete(w.waiting, t.holder)
		w.sim.after(0, wake)
	}
}

// waitForResults passes the holder's results after seq to deliver, once there
// are any.
func (w *simWorker) waitForResults(holder string, after int64, deliver func(workerapi.Results)) {
	page := w.results(holder, after)
	if len(page.Results) > 0 {
		deliver(page)
		return
	}
	w.waiting[holder] = func() { w.waitForResults(holder, after, deliver) }
}

func (w *simWorker) states(call workerapi.StopCall, stop bool) []workerapi.TaskState {
	var states []workerapi.TaskState
	for _, r := range call.Tasks {
		t := w.ledger[r]
		switch {
		case call.Instance != w.instance():
			states = append(states, workerapi.TaskUnknown)
			continue
		case t == nil:
			if stop {
				w.ledger[r] = &simTask{state: workerapi.TaskNeverSeen}
			}
			states = append(states, workerapi.TaskNeverSeen)
			continue
		case stop && t.state == workerapi.TaskRunning:
			w.end(r, t, workerapi.TaskStopped)
		}
		states = append(states, t.state)
	}
	return states
}

func (w *simWorker) results(holder string, after int64) workerapi.Results {
	page := workerapi.Results{Instance: w.instance(), Used: w.usage(holder)}
	page.Results = append(page.Results, w.ended[holder][min(int(after), len(w.ended[holder])):]...)
	return page
}

// running returns the number of the holder's tasks that run.
func (w *simWorker) running(holder string) int {
	n := 0
	for _, t := range w.ledger {
		if t.state == workerapi.TaskRunning && t.holder == holder {
			n++
		}
	}
	return n
}
