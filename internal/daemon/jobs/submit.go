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

// ErrOwnerEnded reports, with proof, that the process that owned a job has
// ended.
var ErrOwnerEnded = errors.New("the owner's process has ended")

// resolveTimeout bounds the wait for the log to record the close of a job whose
// owner is lost.
const resolveTimeout = 2 * time.Second

// Submit claims and runs a job, or waits for the job with the same submission.
// It returns when the job is closed or ctx ends.
func (s *Service) Submit(ctx context.Context, job callerapi.Job, digest string) (callerapi.JobAnswer, *errkind.Error) {
	k := jobs.Key{Customer: job.Customer, Submission: job.Submission}
	deadline := time.Duration(job.DeadlineMs) * time.Millisecond
	// The margin leaves time for the answer to a job that ends at its deadline.
	ctx, cancel := context.WithTimeout(ctx, deadline+2*resolveTimeout)
	defer cancel()
	ctx, release := s.untilInterrupted(ctx)
	defer release()
	o, ok := s.await(ctx, k, func(now time.Time) *errkind.Error { return s.core.Submit(now, job, digest) })
	return s.answerFor(ctx, k, o, ok, deadline)
}

// Wait returns the job's answer when the job is closed, or its state after wait.
func (s *Service) Wait(ctx context.Context, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, *errkind.Error) {
	ctx, release := s.untilInterrupted(ctx)
	defer release()
	s.mu.Lock()
	view := s.core.Lookup(time.Now(), k)
	s.mu.Unlock()
	switch view.Status {
	case jobs.StatusClosed:
		return view.Answer, view.Err
	case jobs.StatusRemote:
		return s.askOwner(ctx, k, view.Owner, view.Address, wait)
	case jobs.StatusLocal:
		return s.waitLocal(ctx, k, view.Answer, wait)
	}
	return callerapi.JobAnswer{}, errkind.New(errkind.UnknownSubject, "no job %s is known here", k).WithRun(errkind.Unknown)
}

func (s *Service) waitLocal(ctx context.Context, k jobs.Key, running callerapi.JobAnswer, wait time.Duration) (callerapi.JobAnswer, *errkind.Error) {
	if wait <= 0 {
		return running, nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	o, ok := s.await(waitCtx, k, func(now time.Time) *errkind.Error { s.core.ResendAnswer(now, k); return nil })
	if !ok {
		return running, nil
	}
	return s.answerFor(ctx, k, o, ok, wait)
}

// Cancel cancels a job, at its owner if that is another entry host, and returns
// the job's answer.
func (s *Service) Cancel(ctx context.Context, k jobs.Key) (callerapi.JobAnswer, *errkind.Error) {
	ctx, release := s.untilInterrupted(ctx)
	defer release()
	o, ok := s.await(ctx, k, func(now time.Time) *errkind.Error { return s.core.Cancel(now, k) })
	if !ok || o.owner == "" {
		return s.answerFor(ctx, k, o, ok, 0)
	}
	answer, err := s.deps.Owners.CancelJob(ctx, o.owner, o.address, k)
	if err == nil {
		return answer, nil
	}
	return s.ownerUnreachable(ctx, k, o.owner, err)
}

func errInterrupted(k jobs.Key) *errkind.Error {
	return errkind.New(errkind.Stopping, "the entry host stops before the outcome of job %s is known; look the job up by its submission", k).
		WithRun(errkind.Unknown)
}

// answerFor converts the outcome of a wait to an answer. It asks the owner, with
// the given wait, if that is another entry host. If ok is false there is no
// outcome.
func (s *Service) answerFor(ctx context.Context, k jobs.Key, o outcome, ok bool, wait time.Duration) (callerapi.JobAnswer, *errkind.Error) {
	switch {
	case !ok && s.waiting.Err() != nil:
		return callerapi.JobAnswer{}, errInterrupted(k)
	case !ok:
		return callerapi.JobAnswer{}, errkind.New(errkind.LogUnknown, "the outcome of job %s was not known in time; look the job up by its submission", k)
	case o.err != nil:
		return callerapi.JobAnswer{}, o.err
	case o.owner != "":
		return s.askOwner(ctx, k, o.owner, o.address, wait)
	}
	return o.answer, nil
}

// askOwner gets the job's answer from its owner.
func (s *Service) askOwner(ctx context.Context, k jobs.Key, owner ids.Incarnation, address string, wait time.Duration) (callerapi.JobAnswer, *errkind.Error) {
	answer, err := s.deps.Owners.GetJob(ctx, owner, address, k, wait)
	if err == nil {
		return answer, nil
	}
	return s.ownerUnreachable(ctx, k, owner, err)
}

// ownerUnreachable answers for an owner that could not be reached: with the
// job's outcome if the core can resolve it, or else with an error.
func (s *Service) ownerUnreachable(ctx context.Context, k jobs.Key, owner ids.Incarnation, cause error) (callerapi.JobAnswer, *errkind.Error) {
	if s.waiting.Err() != nil {
		// This host has ended the call, which says nothing of the owner.
		return callerapi.JobAnswer{}, errInterrupted(k)
	}
	metrics.Add("owners_silent", 1)
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	o, ok := s.await(ctx, k, func(now time.Time) *errkind.Error {
		return s.core.OwnerUnreachable(now, k, owner, errors.Is(cause, ErrOwnerEnded))
	})
	switch {
	case !ok || o.owner != "":
		return callerapi.JobAnswer{}, errkind.Wrap(errkind.OwnerUnreachable, cause,
			"entry host %s owns the job and could not be reached, and the log holds no outcome yet", owner.Host())
	case o.err != nil:
		return callerapi.JobAnswer{}, o.err
	}
	return o.answer, nil
}

// Local returns the document of a job that this host owns or knows to be
// closed. It waits at most wait for an owned job to close. It returns false for
// any other job, and if the job's answer is an error.
func (s *Service) Local(ctx context.Context, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, bool) {
	s.mu.Lock()
	view := s.core.Lookup(time.Now(), k)
	s.mu.Unlock()
	switch view.Status {
	case jobs.StatusClosed:
		return view.Answer, view.Err == nil
	case jobs.StatusLocal:
		ctx, release := s.untilInterrupted(ctx)
		defer release()
		answer, err := s.waitLocal(ctx, k, view.Answer, wait)
		return answer, err == nil
	}
	return callerapi.JobAnswer{}, false
}

// CancelLocal cancels a job that this host owns. It returns the document of an
// owned or closed job. It returns false for any other job, and if the job's answer
// is an error.
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
