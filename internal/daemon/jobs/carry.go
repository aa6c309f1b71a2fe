package jobs

import (
	"context"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

const (
	// callTimeout bounds one call to a worker.
	callTimeout = time.Second
	// resultsWait is how long a worker holds a reading of results open.
	resultsWait = 2 * time.Second
)

// carry does what an action says. Calls run on goroutines of their own.
func (s *Service) carry(a jobs.Action) {
	if s.ctx.Err() != nil {
		return
	}
	switch a := a.(type) {
	case jobs.LogEvent:
		s.deps.Recorder.Record(a.Record)
	case jobs.Append:
		s.batch.add(a.Record)
	case jobs.RequestLease:
		s.calls.Go(func() { s.askLease(a) })
	case jobs.Start:
		s.calls.Go(func() { s.start(a) })
	case jobs.QueryTasks:
		s.calls.Go(func() { s.askTasks(a) })
	case jobs.StopTasks:
		s.calls.Go(func() { s.stopTasks(a) })
	case jobs.WatchResults:
		s.calls.Go(func() { s.watch(a) })
	}
}

func (s *Service) callContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, timeout)
}

func (s *Service) askLease(a jobs.RequestLease) {
	ctx, cancel := s.callContext(callTimeout)
	defer cancel()
	metrics.Add("lease_calls", 1)
	call := workerapi.LeaseCall{Holder: string(s.deps.Incarnation), TTLMs: a.TTL.Milliseconds(), Reserve: a.Reserve}
	asked := time.Now()
	lease, err := s.deps.Workers.Lease(ctx, a.Address, call)
	s.do(func(now time.Time) {
		if err != nil {
			s.core.LeaseFailed(now, a.Worker)
			return
		}
		s.core.LeaseGranted(now, asked, a.Worker, lease)
	})
}

// start sends tasks, unless the lease has come too near its end since the core
// decided: the process may have been paused in between.
func (s *Service) start(a jobs.Start) {
	ctx, cancel := s.callContext(callTimeout)
	defer cancel()
	sent := time.Now()
	if !sent.Before(a.NotAfter) {
		metrics.Add("starts_withheld", 1)
		s.do(func(now time.Time) { s.core.StartNotSent(now, a.ID, false) })
		return
	}
	metrics.Add("start_calls", 1)
	metrics.Add("starts", int64(len(a.Call.Tasks)))
	reply, err := s.deps.Workers.Start(ctx, a.Address, a.Call)
	s.do(func(now time.Time) {
		switch {
		case err == nil:
			s.core.StartReplied(now, sent, a.ID, reply)
		case err.Run == errkind.NotRun:
			s.core.StartNotSent(now, a.ID, true)
		default:
			s.core.StartReplyLost(now, a.ID)
		}
	})
}

func (s *Service) askTasks(a jobs.QueryTasks) {
	ctx, cancel := s.callContext(callTimeout)
	defer cancel()
	metrics.Add("ask_calls", 1)
	reply, err := s.deps.Workers.QueryTasks(ctx, a.Address, a.Call)
	s.do(func(now time.Time) {
		if err != nil {
			s.core.TaskQueryFailed(now, a.Worker, a.Call)
			return
		}
		s.core.TasksQueried(now, a.Worker, a.Call, reply.States)
	})
}

func (s *Service) stopTasks(a jobs.StopTasks) {
	ctx, cancel := s.callContext(callTimeout)
	defer cancel()
	metrics.Add("stop_calls", 1)
	reply, err := s.deps.Workers.Stop(ctx, a.Address, a.Call)
	s.do(func(now time.Time) {
		if err != nil {
			s.core.TaskStopFailed(now, a.Worker, a.Call)
			return
		}
		s.core.TasksStopped(now, a.Worker, a.Call, reply.States)
	})
}

// watch reads a worker's results while tasks are outstanding there.
func (s *Service) watch(a jobs.WatchResults) {
	var after int64
	instance := ""
	for s.ctx.Err() == nil {
		page, err := s.results(a, after)
		if err == nil && page.Instance != instance && instance != "" {
			after = 0
		}
		if err != nil {
			sleep(s.ctx, retryDelay)
		} else {
			instance = page.Instance
			for _, res := range page.Results {
				after = res.Seq
			}
		}
		outstanding := false
		s.do(func(now time.Time) {
			if err == nil {
				s.core.TasksEnded(now, a.Worker, page)
			}
			outstanding = s.core.AwaitingResults(a.Worker)
		})
		if !outstanding {
			return
		}
	}
}

func (s *Service) results(a jobs.WatchResults, after int64) (workerapi.Results, *errkind.Error) {
	ctx, cancel := s.callContext(2 * resultsWait)
	defer cancel()
	metrics.Add("result_calls", 1)
	return s.deps.Workers.Results(ctx, a.Address, string(s.deps.Incarnation), after, resultsWait.Milliseconds())
}
