package jobs

import (
	"fmt"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// model is a worker that counts starts over all its processes.
type model struct {
	world    *world
	name     string
	process  int
	cores    int
	slowBy   float64
	waiting  map[string]func()
	down     bool
	failing  bool
	epoch    int64
	leases   map[string]modelLease
	ledger   map[workerapi.TaskRef]*modelTask
	ended    map[string][]workerapi.Result
	usedCore int
}

type modelLease struct {
	epoch   int64
	expires time.Duration
	reserve int
}

type modelTask struct {
	state  workerapi.TaskState
	holder string
	cores  int
	run    time.Duration
}

func (w *world) worker(name string) *model {
	return w.byName[name]
}

// restart begins a new process that knows nothing of the old one's tasks and
// counts epochs from the start again.
func (m *model) restart() {
	m.process++
	m.epoch, m.usedCore, m.down = 0, 0, false
	m.waiting = map[string]func(){}
	m.leases = map[string]modelLease{}
	m.ledger = map[workerapi.TaskRef]*modelTask{}
	m.ended = map[string][]workerapi.Result{}
}

func (m *model) instance() string { return fmt.Sprintf("%s#%d", m.name, m.process) }

func (m *model) lease(holder string, ttl time.Duration, reserve int) workerapi.Lease {
	l, ok := m.leases[holder]
	if !ok || m.world.at > l.expires {
		m.epoch++
		l.epoch = m.epoch
	}
	l.expires, l.reserve = m.world.at+ttl, reserve
	m.leases[holder] = l
	return workerapi.Lease{Instance: m.instance(), Epoch: l.epoch, TTLMs: ttl.Milliseconds(), Used: m.usage(holder)}
}

func (m *model) usage(holder string) workerapi.Usage {
	cores := m.usedCore
	for other, l := range m.leases {
		if other != holder && m.world.at <= l.expires {
			cores += l.reserve
		}
	}
	return workerapi.Usage{Cores: cores}
}

func (m *model) start(call workerapi.StartCall) workerapi.StartReply {
	reply := workerapi.StartReply{}
	for _, t := range call.Tasks {
		reply.Verdicts = append(reply.Verdicts, m.startOne(call, t))
	}
	reply.Used = m.usage(call.Holder)
	return reply
}

func (m *model) startOne(call workerapi.StartCall, t workerapi.Start) workerapi.Verdict {
	l, ok := m.leases[call.Holder]
	r := workerapi.TaskRef{Submission: t.Submission, Task: t.Task}
	switch {
	case call.Instance != m.instance() || !ok || l.epoch != call.Epoch || m.world.at > l.expires:
		return workerapi.RefusedLease
	case m.ledger[r] != nil:
		return workerapi.RefusedTwice
	case m.usage(call.Holder).Cores+t.Cores > m.cores:
		m.world.refused++
		return workerapi.RefusedRoom
	}
	l.expires, l.reserve = m.world.at+time.Duration(call.TTLMs)*time.Millisecond, 0
	m.leases[call.Holder] = l
	m.world.starts[t.Submission+"/"+t.Task]++
	task := &modelTask{state: workerapi.TaskRunning, holder: call.Holder, cores: t.Cores}
	m.ledger[r] = task
	m.usedCore += t.Cores
	process := m.process
	length := m.world.between(20*time.Millisecond, 2*time.Second)
	if run, ok := m.world.runs[t.Submission+"/"+t.Task]; ok {
		length = run
	} else if m.world.chance(0.03) {
		length = worldEnd
	}
	if m.slowBy > 0 {
		length = time.Duration(float64(length) * m.slowBy)
	}
	task.run = length
	m.world.after(length, func() {
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

func (m *model) end(r workerapi.TaskRef, t *modelTask, state workerapi.TaskState) {
	t.state = state
	m.usedCore -= t.cores
	m.ended[t.holder] = append(m.ended[t.holder], workerapi.Result{
		Seq: int64(len(m.ended[t.holder]) + 1), Submission: r.Submission, Task: r.Task, State: state,
		Output: []byte(r.Submission + "/" + r.Task), RunMs: t.run.Milliseconds(),
	})
	if wake, ok := m.waiting[t.holder]; ok {
		delete(m.waiting, t.holder)
		m.world.after(0, wake)
	}
}

// whenEnded gives the holder's results after seq, once there are any.
func (m *model) whenEnded(holder string, after int64, give func(workerapi.Results)) {
	page := m.results(holder, after)
	if len(page.Results) > 0 {
		give(page)
		return
	}
	m.waiting[holder] = func() { m.whenEnded(holder, after, give) }
}

func (m *model) states(call workerapi.StopCall, stop bool) []workerapi.TaskState {
	var states []workerapi.TaskState
	for _, r := range call.Tasks {
		t := m.ledger[r]
		switch {
		case call.Instance != m.instance():
			states = append(states, workerapi.TaskUnknown)
			continue
		case t == nil:
			if stop {
				m.ledger[r] = &modelTask{state: workerapi.TaskNeverSeen}
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

func (m *model) results(holder string, after int64) workerapi.Results {
	page := workerapi.Results{Instance: m.instance(), Used: m.usage(holder)}
	page.Results = append(page.Results, m.ended[holder][min(int(after), len(m.ended[holder])):]...)
	return page
}

// running counts the holder's tasks that run.
func (m *model) running(holder string) int {
	n := 0
	for _, t := range m.ledger {
		if t.state == workerapi.TaskRunning && t.holder == holder {
			n++
		}
	}
	return n
}
