package jobs

import (
	"context"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/decide/place"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

// workerSession is this host's lease on one worker.
type workerSession struct {
	host    platform.Host
	view    place.Worker
	epoch   int64
	expires time.Time
	seq     int64
	tasks   map[jobs.Key]map[string]callerapi.Task
}

// keepWorkers opens a session to each listed worker until ctx ends.
func (s *Service) keepWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range s.deps.Hosts.Hosts() {
			if h.Role == platform.RoleWorker {
				s.open(ctx, h)
			}
		}
		sleep(ctx, renewInterval)
	}
}

func (s *Service) open(ctx context.Context, h platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w, ok := s.workers[h.Name]; ok {
		w.host = h
		return
	}
	w := &workerSession{
		host: h,
		view: place.Worker{
			Name: h.Name, Zone: h.Zone, Rack: h.Rack, Cores: h.Cores, MemoryMB: h.MemoryMB, Accelerators: h.Accelerators,
		},
		tasks: map[jobs.Key]map[string]callerapi.Task{},
	}
	s.workers[h.Name] = w
	go s.renew(ctx, w)
	go s.collect(ctx, w)
}

// renew keeps the lease until ctx ends.
func (s *Service) renew(ctx context.Context, w *workerSession) {
	call := workerapi.LeaseCall{Holder: string(s.deps.Incarnation), TTLMs: leaseTTL.Milliseconds()}
	for ctx.Err() == nil {
		asked := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, renewInterval)
		lease, err := s.deps.Workers.Lease(callCtx, w.host.Address, call)
		cancel()
		if err == nil {
			s.mu.Lock()
			w.epoch = lease.Epoch
			w.expires = asked.Add(time.Duration(lease.TTLMs) * time.Millisecond)
			s.placeAll()
			s.mu.Unlock()
		}
		sleep(ctx, renewInterval)
	}
}

// usable returns the workers whose lease holds. The lock is held.
func (s *Service) usable(now time.Time) []*place.Worker {
	var usable []*place.Worker
	for _, w := range s.workers {
		if w.host.State == platform.HostLive && now.Add(leaseMargin).Before(w.expires) {
			usable = append(usable, &w.view)
		}
	}
	return usable
}

// send starts tasks in one message.
func (s *Service) send(r *run, w *workerSession, tasks []int) {
	s.mu.Lock()
	call := workerapi.StartCall{Holder: string(s.deps.Incarnation), Epoch: w.epoch}
	for _, i := range tasks {
		t := r.job.Tasks[i]
		call.Tasks = append(call.Tasks, workerapi.Start{
			Submission: r.key.String(), Task: t.Name, Cores: t.Cores, MemoryMB: t.MemoryMB,
			Accelerators: t.Accelerators, Payload: t.Payload,
		})
		w.hold(r.key, t)
	}
	lapsed := !time.Now().Add(leaseMargin).Before(w.expires)
	s.mu.Unlock()
	if lapsed {
		s.unsent(r, w, tasks)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseMargin)
	defer cancel()
	reply, err := s.deps.Workers.Start(ctx, w.host.Address, call)
	switch {
	case err != nil && err.Run == errkind.NotRun:
		s.unsent(r, w, tasks)
	case err != nil:
		s.fail(r.key, err)
	default:
		s.verdicts(r, w, tasks, reply)
	}
}

// unsent puts tasks back that were never started.
func (s *Service) unsent(r *run, w *workerSession, tasks []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range tasks {
		w.release(r.key, r.job.Tasks[i].Name)
		r.states[i] = taskWaiting
	}
}

func (s *Service) verdicts(r *run, w *workerSession, tasks []int, reply workerapi.StartReply) {
	var refused []int
	for n, i := range tasks {
		if reply.Verdicts[n] != workerapi.Started {
			refused = append(refused, i)
		}
	}
	s.unsent(r, w, refused)
}

// collect reads ended tasks until ctx ends.
func (s *Service) collect(ctx context.Context, w *workerSession) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, 2*readWait)
		page, err := s.deps.Workers.Results(callCtx, w.host.Address, string(s.deps.Incarnation), w.seq, readWait.Milliseconds())
		cancel()
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		s.mu.Lock()
		for _, res := range page.Results {
			w.seq = res.Seq
			s.ended(w, res)
		}
		s.placeAll()
		s.mu.Unlock()
	}
}

// ended takes the end of one task. The lock is held.
func (s *Service) ended(w *workerSession, res workerapi.Result) {
	for k, r := range s.running {
		if k.String() != res.Submission {
			continue
		}
		w.release(k, res.Task)
		if err := r.finish(w.host.Name, res); err != nil {
			s.closeLocked(r, err)
		}
		if r.left == 0 {
			s.closeLocked(r, nil)
		}
		return
	}
}

func (w *workerSession) hold(k jobs.Key, t callerapi.Task) {
	if w.tasks[k] == nil {
		w.tasks[k] = map[string]callerapi.Task{}
	}
	w.tasks[k][t.Name] = t
}

// release counts a task out of the worker's room once.
func (w *workerSession) release(k jobs.Key, task string) {
	t, ok := w.tasks[k][task]
	if !ok {
		return
	}
	w.view.Give(t)
	delete(w.tasks[k], task)
	if len(w.tasks[k]) == 0 {
		delete(w.tasks, k)
	}
}
