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
	state  workerapi.TaskState
	holder string
	cores  int
	run    time.Duration
}

func (s *simulation) worker(name string) *simWorker {
	return s.byName[name]
}

// restart starts a new process that does not know the previous one's tasks and
// counts epochs from the start again.
func (m *simWorker) restart() {
	m.process++
	m.epoch, m.usedCores, m.down = 0, 0, false
	m.waiting = map[string]func(){}
	m.leases = map[string]simLease{}
	m.ledger = map[workerapi.TaskRef]*simTask{}
	m.ended = map[string][]workerapi.Result{}
}

func (m *simWorker) instance() string { return fmt.Sprintf("%s#%d", m.name, m.process) }

func (m *simWorker) lease(holder string, ttl time.Duration, reserve int) workerapi.Lease {
	l, ok := m.leases[holder]
	if !ok || m.sim.elapsed > l.expires {
		m.epoch++
		l.epoch = m.epoch
	}
	l.expires, l.reserve = m.sim.elapsed+ttl, reserve
	m.leases[holder] = l
	return workerapi.Lease{Instance: m.instance(), Epoch: l.epoch, TTLMs: ttl.Milliseconds(), Used: m.usage(holder)}
}

func (m *simWorker) usage(holder string) workerapi.Usage {
	cores := m.usedCores
	for other, l := range m.leases {
		if other != holder && m.sim.elapsed <= l.expires {
			cores += l.reserve
		}
	}
	return workerapi.Usage{Cores: cores}
}

func (m *simWorker) start(call workerapi.StartCall) workerapi.StartReply {
	reply := workerapi.StartReply{}
	for _, t := range call.Tasks {
		reply.Verdicts = append(reply.Verdicts, m.startOne(call, t))
	}
	reply.Used = m.usage(call.Holder)
	return reply
}

func (m *simWorker) startOne(call workerapi.StartCall, t workerapi.Start) workerapi.Verdict {
	l, ok := m.leases[call.Holder]
	r := workerapi.TaskRef{Submission: t.Submission, Task: t.Task}
	switch {
	case call.Instance != m.instance() || !ok || l.epoch != call.Epoch || m.sim.elapsed > l.expires:
		return workerapi.RefusedLease
	case m.ledger[r] != nil:
		return workerapi.RefusedTwice
	case m.usage(call.Holder).Cores+t.Cores > m.cores:
		m.sim.refused++
		return workerapi.RefusedRoom
	}
	l.expires, l.reserve = m.sim.elapsed+time.Duration(call.TTLMs)*time.Millisecond, 0
	m.leases[call.Holder] = l
	m.sim.starts[t.Submission+"/"+t.Task]++
	task := &simTask{state: workerapi.TaskRunning, holder: call.Holder, cores: t.Cores}
	m.ledger[r] = task
	m.usedCores += t.Cores
	process := m.process
	length := m.sim.randomDuration(20*time.Millisecond, 2*time.Second)
	if run, ok := m.sim.runTimes[t.Submission+"/"+t.Task]; ok {
		length = run
	} else if m.sim.chance(0.03) {
		length = simulationEnd
	}
	if m.slowBy > 0 {
		length = time.Duration(float64(length) * m.slowBy)
	}
	task.run = length
	m.sim.after(length, func() {
		if m.process == process && !m.down && task.state == workerapi.TaskRunning {
			state := workerapi.TaskDone
			if m.failing {
				state = workerapi.TaskFailed
			}
			m.end(r, task, state)
		}
	})
	return workerapi.Started
}

func (m *simWorker) end(r workerapi.TaskRef, t *simTask, state workerapi.TaskState) {
	t.state = state
	m.usedCores -= t.cores
	m.ended[t.holder] = append(m.ended[t.holder], workerapi.Result{
		Seq: int64(len(m.ended[t.holder]) + 1), Submission: r.Submission, Task: r.Task, State: state,
		Output: []byte(r.Submission + "/" + r.Task), RunMs: t.run.Milliseconds(),
	})
	if wake, ok := m.waiting[t.holder]; ok {
		delete(m.waiting, t.holder)
		m.sim.after(0, wake)
	}
}

// waitForResults passes the holder's results after seq to give, once there are
// any.
func (m *simWorker) waitForResults(holder string, after int64, give func(workerapi.Results)) {
	page := m.results(holder, after)
	if len(page.Results) > 0 {
		give(page)
		return
	}
	m.waiting[holder] = func() { m.waitForResults(holder, after, give) }
}

func (m *simWorker) states(call workerapi.StopCall, stop bool) []workerapi.TaskState {
	var states []workerapi.TaskState
	for _, r := range call.Tasks {
		t := m.ledger[r]
		switch {
		case call.Instance != m.instance():
			states = append(states, workerapi.TaskUnknown)
			continue
		case t == nil:
			if stop {
				m.ledger[r] = &simTask{state: workerapi.TaskNeverSeen}
			}
			states = append(states, workerapi.TaskNeverSeen)
			continue
		case stop && t.state == workerapi.TaskRunning:
			m.end(r, t, workerapi.TaskStopped)
		}
		states = append(states, t.state)
	}
	return states
}

func (m *simWorker) results(holder string, after int64) workerapi.Results {
	page := workerapi.Results{Instance: m.instance(), Used: m.usage(holder)}
	page.Results = append(page.Results, m.ended[holder][min(int(after), len(m.ended[holder])):]...)
	return page
}

// running returns the number of the holder's tasks that run.
func (m *simWorker) running(holder string) int {
	n := 0
	for _, t := range m.ledger {
		if t.state == workerapi.TaskRunning && t.holder == holder {
			n++
		}
	}
	return n
}
