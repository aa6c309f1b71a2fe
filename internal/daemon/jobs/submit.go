package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// ErrOwnerGone proves that the process that owned a job has ended.
var ErrOwnerGone = errors.New("the owner's process is gone")

// settleWait bounds the wait for the log to take a close of a lost job.
const settleWait = 2 * time.Second

// Submit claims and runs a job, or joins the one with the same submission, and
// returns when it is closed or ctx ends.
func (s *Service) Submit(ctx context.Context, job callerapi.Job, digest string) (callerapi.JobAnswer, *errkind.Error) {
	k := jobs.Key{Customer: job.Customer, Submission: job.Submission}
	deadline := time.Duration(job.DeadlineMs) * time.Millisecond
	// The answer of a job that ends at its deadline still has to arrive.
	ctx, cancel := context.WithTimeout(ctx, deadline+2*settleWait)
	defer cancel()
	o, ok := s.await(ctx, k, func(now time.Time) *errkind.Error { return s.core.Submit(now, job, digest) })
	return s.finish(ctx, k, o, ok, deadline)
}

// Wait returns the job's answer when it is closed, or its state after wait.
func (s *Service) Wait(ctx context.Context, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, *errkind.Error) {
	s.mu.Lock()
	view := s.core.Lookup(time.Now(), k)
	s.mu.Unlock()
	switch view.Status {
	case jobs.StatusClosed:
		return view.Answer, view.Err
	case jobs.StatusRemote:
		return s.ask(ctx, k, view.Owner, view.Address, wait)
	case jobs.StatusLocal:
		return s.waitHere(ctx, k, view.Answer, wait)
	}
	return callerapi.JobAnswer{}, errkind.New(errkind.UnknownSubject, "no job %s is known here", k).WithRun(errkind.Unknown)
}

func (s *Service) waitHere(ctx context.Context, k jobs.Key, running callerapi.JobAnswer, wait time.Duration) (callerapi.JobAnswer, *errkind.Error) {
	if wait <= 0 {
		return running, nil
	}
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	o, ok := s.await(waiting, k, func(now time.Time) *errkind.Error { s.core.ResendAnswer(now, k); return nil })
	if !ok {
		return running, nil
	}
	return s.finish(ctx, k, o, ok, wait)
}

// Cancel ends a job, and returns what became of it.
func (s *Service) Cancel(ctx context.Context, k jobs.Key) (callerapi.JobAnswer, *errkind.Error) {
	o, ok := s.await(ctx, k, func(now time.Time) *errkind.Error { return s.core.Cancel(now, k) })
	if !ok || o.owner == "" {
		return s.finish(ctx, k, o, ok, 0)
	}
	answer, err := s.deps.Owners.CancelJob(ctx, o.owner, o.address, k)
	if err == nil {
		return answer, nil
	}
	return s.silent(ctx, k, o.owner, err)
}

// finish turns the outcome of a wait into an answer.
func (s *Service) finish(ctx context.Context, k jobs.Key, o outcome, ok bool, wait time.Duration) (callerapi.JobAnswer, *errkind.Error) {
	switch {
	case !ok:
		return callerapi.JobAnswer{}, errkind.New(errkind.LogUnknown, "job %s was not settled in time; ask for it by its id", k)
	case o.err != nil:
		return callerapi.JobAnswer{}, o.err
	case o.owner != "":
		return s.ask(ctx, k, o.owner, o.address, wait)
	}
	return o.answer, nil
}

// ask asks the owner of a job.
func (s *Service) ask(ctx context.Context, k jobs.Key, owner ids.Incarnation, address string, wait time.Duration) (callerapi.JobAnswer, *errkind.Error) {
	answer, err := s.deps.Owners.GetJob(ctx, owner, address, k, wait)
	if err == nil {
		return answer, nil
	}
	return s.silent(ctx, k, owner, err)
}

// silent answers for an owner that could not be reached.
func (s *Service) silent(ctx context.Context, k jobs.Key, owner ids.Incarnation, cause error) (callerapi.JobAnswer, *errkind.Error) {
	metrics.Add("owners_silent", 1)
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	o, ok := s.await(ctx, k, func(now time.Time) *errkind.Error {
		return s.core.OwnerUnreachable(now, k, owner, errors.Is(cause, ErrOwnerGone))
	})
	switch {
	case !ok || o.owner != "":
		return callerapi.JobAnswer{}, errkind.Wrap(errkind.OwnerUnreachable, cause,
			"entry host %s owns the job and could not be reached, and the log has not settled it", owner.Host())
	case o.err != nil:
		return callerapi.JobAnswer{}, o.err
	}
	return o.answer, nil
}

// Local returns the job's document if this host owns it, waiting up to wait
// for it to close.
func (s *Service) Local(ctx context.Context, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, bool) {
	s.mu.Lock()
	view := s.core.Lookup(time.Now(), k)
	s.mu.Unlock()
	switch view.Status {
	case jobs.StatusClosed:
		return view.Answer, view.Err == nil
	case jobs.StatusLocal:
		answer, err := s.waitHere(ctx, k, view.Answer, wait)
		return answer, err == nil
	}
	return callerapi.JobAnswer{}, false
}

// CancelLocal cancels the job if this host owns it.
func (s *Service) CancelLocal(ctx context.Context, k jobs.Key) (callerapi.JobAnswer, bool) {
	s.mu.Lock()
	view := s.core.Lookup(time.Now(), k)
	s.mu.Unlock()
	if view.Status != jobs.StatusLocal && view.Status != jobs.StatusClosed {
		return callerapi.JobAnswer{}, false
	}
	answer, err := s.Cancel(ctx, k)
	return answer, err == nil
}
