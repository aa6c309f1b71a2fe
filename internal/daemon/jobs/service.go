// Package jobs runs jobs on an entry host: it feeds events to the decision core of
// package decide/jobs and executes the resulting actions against the platform's
// log, the workers and the other entry hosts.
package jobs

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/daemon/workerclient"
	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/settings"
)

const (
	// tickInterval is the time between ticks of the core.
	tickInterval = 25 * time.Millisecond
	// hostListInterval is the time between reads of the host list.
	hostListInterval = 500 * time.Millisecond
	// idlePollInterval is the time between checks whether a planned stop is
	// complete.
	idlePollInterval = 25 * time.Millisecond
)

// metrics are the counters of the package.
var metrics = expvar.NewMap("parsleyhill.jobs")

// Hosts provides the newest usable host list.
type Hosts interface {
	Hosts() []platform.Host
}

// OwnerClient calls the entry host that owns a job.
type OwnerClient interface {
	// GetJob returns the owner's document of the job, waiting up to wait for
	// the job to close. Address is the address on which the owner listened; if
	// it is empty, it is looked up. An error that wraps ErrOwnerEnded proves
	// that the owner's process has ended.
	GetJob(ctx context.Context, owner ids.Incarnation, address string, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, error)
	// CancelJob cancels the job at its owner and returns the job's document.
	CancelJob(ctx context.Context, owner ids.Incarnation, address string, k jobs.Key) (callerapi.JobAnswer, error)
}

// Deps are the dependencies and settings of a service.
type Deps struct {
	Settings    settings.Settings
	Incarnation ids.Incarnation
	View        standing.View
	Hosts       Hosts
	Log         platform.Log
	Workers     *workerclient.Client
	Recorder    decision.Recorder
	Logger      *log.Logger
	// Owners calls other entry hosts about the jobs that they own.
	Owners OwnerClient
	Seed   uint64
	// Core configures the decision core; zero fields take defaults. New sets
	// Self and Address.
	Core jobs.Config
}

// Service runs jobs. It is safe for concurrent use.
type Service struct {
	deps    Deps
	ctx     context.Context
	cancel  context.CancelFunc
	calls   sync.WaitGroup
	batcher *batcher
	// waiting ends when callers are no longer kept waiting.
	waiting   context.Context
	interrupt context.CancelFunc

	mu      sync.Mutex
	core    *jobs.Core
	waiters map[jobs.Key]map[chan outcome]struct{}
}

// New returns a service that owns no job.
func New(deps Deps) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	waiting, interrupt := context.WithCancel(context.Background())
	cfg := deps.Core
	cfg.Self = deps.Incarnation
	cfg.Address = deps.Settings.Listen.Peers
	s := &Service{
		deps: deps, ctx: ctx, cancel: cancel, waiting: waiting, interrupt: interrupt,
		core:    jobs.NewCore(time.Now(), cfg, rand.New(rand.NewPCG(deps.Seed, 1))),
		waiters: map[jobs.Key]map[chan outcome]struct{}{},
	}
	s.batcher = newBatcher(deps.Log, s.handleAppend)
	return s
}

// Run follows the job stream and the host list and runs the jobs until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.followStream(ctx) })
	group.Go(func() error { return s.batcher.run(ctx) })
	group.Go(func() error { return s.tick(ctx) })
	group.Go(func() error { return s.followHostList(ctx) })
	return group.Wait()
}

// Stop refuses new jobs and waits until the jobs that this host owns are closed
// and it holds nothing at a worker. It returns ctx's error if ctx ends first.
func (s *Service) Stop(ctx context.Context) error {
	s.handleEvent(func(time.Time) { s.core.StopAccepting() })
	for {
		s.mu.Lock()
		idle := s.core.Idle()
		s.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(idlePollInterval):
		}
	}
}

// Interrupt answers all callers that still wait, and those that follow, before the
// ports close under them: with what is known of their jobs, which may go on.
func (s *Service) Interrupt() { s.interrupt() }

// untilInterrupted returns a context that also ends when the service is interrupted.
func (s *Service) untilInterrupted(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.waiting, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// tick ticks the core until ctx ends, then cancels the calls to workers and waits
// for them to return.
func (s *Service) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.handleEvent(s.core.Tick)
		select {
		case <-ctx.Done():
			s.cancel()
			s.calls.Wait()
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// handleEvent passes one event to the core and executes the resulting actions.
func (s *Service) handleEvent(event func(now time.Time)) {
	s.mu.Lock()
	now := time.Now()
	event(now)
	actions := s.core.PopActions(now)
	for _, a := range actions {
		s.notifyWaiters(a)
	}
	s.mu.Unlock()
	for _, a := range actions {
		s.execute(a)
	}
}

// outcome is the result of waiting for a submission: an answer that may be sent
// before notAfter, the owner on another entry host, or an error.
type outcome struct {
	answer   callerapi.JobAnswer
	notAfter time.Time
	owner    ids.Incarnation
	address  string
	err      *errkind.Error
}

// expired reports whether an answer may no longer be sent.
func (o outcome) expired() bool { return !o.notAfter.IsZero() && !time.Now().Before(o.notAfter) }

// notifyWaiters passes an outcome to the waiters for a submission. The caller
// holds the lock.
func (s *Service) notifyWaiters(a jobs.Action) {
	switch a := a.(type) {
	case jobs.Answer:
		s.notify(a.Key, outcome{answer: a.Answer, notAfter: a.NotAfter})
	case jobs.OwnedElsewhere:
		s.notify(a.Key, outcome{owner: a.Owner, address: a.Address})
	case jobs.Refused:
		s.notify(a.Key, outcome{err: a.Err})
	}
}

func (s *Service) notify(k jobs.Key, o outcome) {
	for ch := range s.waiters[k] {
		select {
		case ch <- o:
		default:
		}
	}
}

// addWaiter adds a waiter for a submission. The caller holds the lock.
func (s *Service) addWaiter(k jobs.Key) chan outcome {
	ch := make(chan outcome, 1)
	if s.waiters[k] == nil {
		s.waiters[k] = map[chan outcome]struct{}{}
	}
	s.waiters[k][ch] = struct{}{}
	return ch
}

func (s *Service) removeWaiter(k jobs.Key, ch chan outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters[k], ch)
	if len(s.waiters[k]) == 0 {
		delete(s.waiters, k)
	}
}

// await passes an event to the core and waits for the outcome of the submission.
// It returns false if ctx ended first.
func (s *Service) await(ctx context.Context, k jobs.Key, event func(now time.Time) *errkind.Error) (outcome, bool) {
	var ch chan outcome
	var refusal *errkind.Error
	s.handleEvent(func(now time.Time) {
		ch = s.addWaiter(k)
		refusal = event(now)
	})
	defer s.removeWaiter(k, ch)
	if refusal != nil {
		return outcome{err: refusal}, true
	}
	for {
		select {
		case o := <-ch:
			if !o.expired() {
				return o, true
			}
			s.handleEvent(func(time.Time) { s.core.AnswerExpired(k) })
		case <-ctx.Done():
			select {
			case o := <-ch:
				return o, !o.expired()
			default:
				return outcome{}, false
			}
		}
	}
}

func (s *Service) followHostList(ctx context.Context) error {
	for ctx.Err() == nil {
		workers, entryHosts := s.currentHosts()
		quotas := quotaShares(s.deps.View.State(), len(entryHosts))
		s.handleEvent(func(now time.Time) {
			s.core.UpdateWorkers(now, workers, entryHosts)
			s.core.SetQuotas(quotas)
		})
		sleep(ctx, hostListInterval)
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
