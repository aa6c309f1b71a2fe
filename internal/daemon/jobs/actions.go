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
	// resultsPollWait is how long a worker may delay its reply to a long poll
	// for results.
	resultsPollWait = 2 * time.Second
)

// execute executes an action. Calls to workers run on goroutines of their own.
// Once the service has stopped, actions are dropped.
func (s *Service) execute(a jobs.Action) {
	if s.ctx.Err() != nil {
		return
	}
	switch a := a.(type) {
	case jobs.LogEvent:
		s.deps.Recorder.Record(a.Record)
	case jobs.Append:
		s.batcher.add(a.Record)
	case jobs.RequestLease:
		s.calls.Go(func() { s.requestLease(a) })
	case jobs.Start:
		s.calls.Go(func() { s.startTasks(a) })
	case jobs.QueryTasks:
		s.calls.Go(func() { s.queryTasks(a) })
	case jobs.StopTasks:
		s.calls.Go(func() { s.stopTasks(a) })
	case jobs.WatchResults:
		s.calls.Go(func() { s.watchResults(a) })
	}
}

func (s *Service) callContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, timeout)
}

func (s *Service) requestLease(a jobs.RequestLease) {
	ctx, cancel := s.callContext(callTimeout)
	defer cancel()
	metrics.Add("lease_calls", 1)
	call := workerapi.LeaseCall{Holder: string(s.deps.Incarnation), TTLMs: a.TTL.Milliseconds(), Reserve: a.Reserve}
	requestedAt := time.Now()
	lease, err := s.deps.Workers.Lease(ctx, a.Address, call)
	s.handleEvent(func(now time.Time) {
		if err != nil {
			s.core.LeaseFailed(now, a.Worker)
			return
		}
		s.core.LeaseGranted(now, requestedAt, a.Worker, lease)
	})
}

// startTasks sends a start call to a worker, unless the time until which the
// lease allows it has passed: the process may have been paused since the core
// decided.
func (s *Service) startTasks(a jobs.Start) {
	ctx, cancel := s.callContext(callTimeout)
	defer cancel()
	sentAt := time.Now()
	if !sentAt.Before(a.NotAfter) {
		metrics.Add("starts_withheld", 1)
		s.handleEvent(func(now time.Time) { s.core.StartNotSent(now, a.ID, false) })
		return
	}
	metrics.Add("start_calls", 1)
	metrics.Add("starts", int64(len(a.Call.Tasks)))
	reply, err := s.deps.Workers.Start(ctx, a.Address, a.Call)
	s.handleEvent(func(now time.Time) {
		switch {
		case err == nil:
			s.core.StartReplied(now, sentAt, a.ID, reply)
		case err.Run == errkind.NotRun:
			s.core.StartNotSent(now, a.ID, true)
		default:
			s.core.StartReplyLost(now, a.ID)
		}
	})
}

func (s *Service) queryTasks(a jobs.QueryTasks) {
	ctx, cancel := s.callContext(callTimeout)
	defer cancel()
	metrics.Add("ask_calls", 1)
	reply, err := s.deps.Workers.QueryTasks(ctx, a.Address, a.Call)
	s.handleEvent(func(now time.Time) {
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
	s.handleEvent(func(now time.Time) {
		if err != nil {
			s.core.TaskStopFailed(now, a.Worker, a.Call)
			return
		}
		s.core.TasksStopped(now, a.Worker, a.Call, reply.States)
	})
}

// watchResults polls a worker for results while tasks are outstanding there. It
// reads them from the beginning when the worker's instance changes.
func (s *Service) watchResults(a jobs.WatchResults) {
	var after int64
	instance := ""
	for s.ctx.Err() == nil {
		page, err := s.fetchResults(a, after)
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
		s.handleEvent(func(now time.Time) {
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

func (s *Service) fetchResults(a jobs.WatchResults, after int64) (workerapi.Results, *errkind.Error) {
	ctx, cancel := s.callContext(2 * resultsPollWait)
	defer cancel()
	metrics.Add("result_calls", 1)
	return s.deps.Workers.Results(ctx, a.Address, string(s.deps.Incarnation), after, resultsPollWait.Milliseconds())
}
