// Package jobs runs jobs on an entry host: it claims submissions in the
// platform's log, places their tasks on workers and answers.
package jobs

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/daemon/workers"
	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/decide/place"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/settings"
)

const (
	// leaseTTL is how long a worker's lease holds.
	leaseTTL = 4 * time.Second
	// leaseMargin is kept clear before a lease's end; no task is started in it.
	leaseMargin = time.Second
	// renewInterval is the time between renewals of a lease.
	renewInterval = time.Second
	// readWait bounds one waiting read.
	readWait = 4 * time.Second
	// retryDelay is the time between tries while a service is away.
	retryDelay = 200 * time.Millisecond
	// claimWait bounds the wait for a claim to appear in the log.
	claimWait = 5 * time.Second
)

// Hosts gives the newest usable host list.
type Hosts interface {
	Hosts() []platform.Host
}

// Deps are what the service needs.
type Deps struct {
	Settings    settings.Settings
	Incarnation ids.Incarnation
	View        standing.View
	Hosts       Hosts
	Log         platform.Log
	Workers     *workers.Client
	Recorder    decision.Recorder
	Logger      *log.Logger
	// Owners asks other entry hosts about their jobs.
	Owners Owners
	Seed   uint64
}

// Owners asks the owner of a job about it.
type Owners interface {
	// GetJob returns the owner's document of the job, waiting up to wait for
	// it to close.
	GetJob(ctx context.Context, owner ids.Incarnation, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, error)
}

// Service runs jobs. It is safe for concurrent use.
type Service struct {
	deps Deps

	mu      sync.Mutex
	rng     *rand.Rand
	table   *jobs.Table
	changed chan struct{}
	running map[jobs.Key]*run
	workers map[string]*workerSession
}

// New returns a service that owns no job.
func New(deps Deps) *Service {
	return &Service{
		deps:    deps,
		rng:     rand.New(rand.NewPCG(deps.Seed, 1)),
		table:   jobs.NewTable(),
		changed: make(chan struct{}),
		running: map[jobs.Key]*run{},
		workers: map[string]*workerSession{},
	}
}

// Run follows the job stream and keeps worker sessions until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	go s.keepWorkers(ctx)
	offset := int64(0)
	for ctx.Err() == nil {
		next, err := s.readOnce(ctx, offset)
		if err != nil && ctx.Err() == nil {
			s.deps.Logger.Warn("job stream gives no records", "error", err)
			sleep(ctx, retryDelay)
		}
		offset = next
	}
	return ctx.Err()
}

func (s *Service) readOnce(ctx context.Context, offset int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	page, err := s.deps.Log.Read(ctx, platform.StreamJobs, offset)
	if errors.Is(err, platform.ErrTrimmed) {
		return page.First - 1, nil
	}
	if err != nil {
		return offset, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range page.Entries {
		offset = e.Offset
		r, err := jobs.DecodeRecord(e.Data)
		if err != nil {
			s.deps.Logger.Error("skipped a job record", "offset", e.Offset, "error", err)
			continue
		}
		s.table.Fold(time.Now(), r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, nil
}

// waitEntry waits until cond holds for the submission's entry.
func (s *Service) waitEntry(ctx context.Context, k jobs.Key, cond func(jobs.Entry) bool) (jobs.Entry, error) {
	for {
		s.mu.Lock()
		e, ok := s.table.Lookup(k)
		changed := s.changed
		s.mu.Unlock()
		if ok && cond(e) {
			return e, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return e, ctx.Err()
		}
	}
}

// Submit claims and runs a job, or joins the one with the same submission, and
// returns when it is closed or ctx ends.
func (s *Service) Submit(ctx context.Context, job callerapi.Job) (callerapi.JobAnswer, *errkind.Error) {
	k := jobs.Key{Customer: job.Customer, Submission: job.Submission}
	owner, err := s.claim(ctx, job, k)
	if err != nil {
		return callerapi.JobAnswer{}, err
	}
	if owner == s.deps.Incarnation {
		s.start(job, k)
	}
	return s.Wait(ctx, k, time.Duration(job.DeadlineMs)*time.Millisecond)
}

// claim returns the owner of the submission, this host if its claim is first.
func (s *Service) claim(ctx context.Context, job callerapi.Job, k jobs.Key) (ids.Incarnation, *errkind.Error) {
	s.mu.Lock()
	e, ok := s.table.Lookup(k)
	s.mu.Unlock()
	if ok {
		return e.Owner, nil
	}
	record := jobs.Record{Kind: jobs.KindClaim, Key: k, Owner: s.deps.Incarnation, LeaseMs: job.DeadlineMs}
	data, err := record.Encode()
	if err != nil {
		return "", errkind.Wrap(errkind.Internal, err, "encode claim").WithRun(errkind.NotRun)
	}
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	_, err = s.deps.Log.Append(ctx, platform.StreamJobs, [][]byte{data})
	if errors.Is(err, platform.ErrUnavailable) {
		return "", errkind.Wrap(errkind.LogUnavailable, err, "the job was not claimed")
	}
	e, err = s.waitEntry(ctx, k, func(jobs.Entry) bool { return true })
	if err != nil {
		return "", errkind.Wrap(errkind.LogUnknown, err, "the claim of job %s was not read back", k)
	}
	return e.Owner, nil
}

// Wait returns the job's answer when it is closed, or its state after wait.
func (s *Service) Wait(ctx context.Context, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, *errkind.Error) {
	s.mu.Lock()
	e, ok := s.table.Lookup(k)
	r := s.running[k]
	s.mu.Unlock()
	switch {
	case !ok:
		return callerapi.JobAnswer{}, errkind.New(errkind.UnknownSubject, "no job %s", k)
	case r != nil:
		return r.wait(ctx, wait), nil
	case e.Owner == s.deps.Incarnation:
		return callerapi.JobAnswer{}, errkind.New(errkind.OwnerLost, "job %s is no longer held", k)
	}
	answer, err := s.deps.Owners.GetJob(ctx, e.Owner, k, wait)
	if err != nil {
		return callerapi.JobAnswer{}, errkind.Wrap(errkind.OwnerUnreachable, err, "entry host %s owns the job", e.Owner.Host())
	}
	return answer, nil
}

// Local returns the job's answer if this host owns it, waiting up to wait for
// it to close.
func (s *Service) Local(ctx context.Context, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, bool) {
	s.mu.Lock()
	r := s.running[k]
	s.mu.Unlock()
	if r == nil {
		return callerapi.JobAnswer{}, false
	}
	return r.wait(ctx, wait), true
}

// start runs the job unless it already runs here.
func (s *Service) start(job callerapi.Job, k jobs.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[k] != nil {
		return
	}
	r := newRun(job, k, s.deps.Settings.Host)
	s.running[k] = r
	s.note(decision.PartJob, "own", "first-claim", "this host's claim is first in the log", k)
	s.placeAll()
	time.AfterFunc(time.Duration(job.DeadlineMs)*time.Millisecond, func() {
		s.fail(k, errkind.New(errkind.Timeout, "the job's deadline passed"))
	})
}

func (s *Service) note(part decision.Part, action, rule, why string, k jobs.Key, subjects ...string) {
	subjects = append([]string{k.Submission}, subjects...)
	s.deps.Recorder.Record(decision.Record{
		Part: part, Action: action, Rule: rule, Why: why, Subjects: subjects, Customer: k.Customer,
	})
}

// placeAll places what fits of all waiting tasks. The lock is held.
func (s *Service) placeAll() {
	for _, r := range s.running {
		s.place(r)
	}
}

func (s *Service) place(r *run) {
	batches := map[string][]int{}
	candidates := s.usable(time.Now())
	for _, i := range r.waiting() {
		t := r.job.Tasks[i]
		if len(candidates) > 0 && !anyCouldFit(candidates, t) {
			s.closeLocked(r, errkind.New(errkind.TaskUnplaceable, "task %s fits no worker", t.Name))
			return
		}
		w := place.Pick(candidates, t, s.rng)
		if w == nil {
			continue
		}
		w.Take(t)
		r.states[i] = taskSent
		batches[w.Name] = append(batches[w.Name], i)
		s.note(decision.PartPlace, "start", "most-free", "most free cores", r.key, t.Name, w.Name)
	}
	for name, tasks := range batches {
		go s.send(r, s.workers[name], tasks)
	}
}

func anyCouldFit(workers []*place.Worker, t callerapi.Task) bool {
	for _, w := range workers {
		if w.CouldFit(t) {
			return true
		}
	}
	return false
}

// fail closes the job as failed.
func (s *Service) fail(k jobs.Key, err *errkind.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.running[k]; r != nil {
		s.closeLocked(r, err)
	}
}

// closeLocked closes the job once: complete if err is nil.
func (s *Service) closeLocked(r *run, err *errkind.Error) {
	if r.closed {
		return
	}
	r.close(err)
	s.note(decision.PartJob, "close", string(r.answer.State), r.answer.Reason, r.key)
	record := jobs.Record{
		Kind: jobs.KindClose, Key: r.key, Owner: s.deps.Incarnation, State: r.answer.State,
		ErrorKind: r.answer.ErrorKind, Run: r.answer.Run, Reason: r.answer.Reason,
	}
	go s.publish(record)
}

func (s *Service) publish(r jobs.Record) {
	data, err := r.Encode()
	if err != nil {
		s.deps.Logger.Error("could not encode a close", "job", r.Key, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimWait)
	defer cancel()
	if _, err := s.deps.Log.Append(ctx, platform.StreamJobs, [][]byte{data}); err != nil {
		s.deps.Logger.Warn("close not recorded", "job", r.Key, "error", err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
