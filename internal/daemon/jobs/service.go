// Package jobs runs jobs on an entry host: it carries out what the core
// decides, against the platform's log, the workers and the other entry hosts.
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
	// hostsInterval is the time between readings of the host list.
	hostsInterval = 500 * time.Millisecond
	// idlePoll is the time between looks at whether a planned stop is done.
	idlePoll = 25 * time.Millisecond
)

// metrics are the counters of this part.
var metrics = expvar.NewMap("parsleyhill.jobs")

// Hosts gives the newest usable host list.
type Hosts interface {
	Hosts() []platform.Host
}

// Owners asks the owner of a job about it.
type OwnerClient interface {
	// GetJob returns the owner's document of the job, waiting up to wait for
	// it to close. Address is where the owner listened; if it is empty the
	// directory is asked. An error that wraps ErrOwnerGone proves that the
	// owner's process has ended.
	GetJob(ctx context.Context, owner ids.Incarnation, address string, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, error)
	// CancelJob has the owner cancel the job, and returns its document.
	CancelJob(ctx context.Context, owner ids.Incarnation, address string, k jobs.Key) (callerapi.JobAnswer, error)
}

// Deps are what the service needs.
type Deps struct {
	Settings    settings.Settings
	Incarnation ids.Incarnation
	View        standing.View
	Hosts       Hosts
	Log         platform.Log
	Workers     *workerclient.Client
	Recorder    decision.Recorder
	Logger      *log.Logger
	// Owners asks other entry hosts about their jobs.
	Owners OwnerClient
	Seed   uint64
	// Core holds the times of the decisions; zero fields take defaults.
	Core jobs.Config
}

// Service runs jobs. It is safe for concurrent use.
type Service struct {
	deps   Deps
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	batch  *batch

	mu      sync.Mutex
	core    *jobs.Core
	waiters map[jobs.Key]map[chan outcome]struct{}
}

// New returns a service that owns no job.
func New(deps Deps) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	cfg := deps.Core
	cfg.Self = deps.Incarnation
	cfg.Address = deps.Settings.Listen.Peers
	s := &Service{
		deps: deps, ctx: ctx, cancel: cancel,
		core:    jobs.NewCore(time.Now(), cfg, rand.New(rand.NewPCG(deps.Seed, 1))),
		waiters: map[jobs.Key]map[chan outcome]struct{}{},
	}
	s.batch = newBatch(deps.Log, s.appended)
	return s
}

// Run follows the job stream and the workers until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.follow(ctx) })
	group.Go(func() error { return s.batch.run(ctx) })
	group.Go(func() error { return s.tick(ctx) })
	group.Go(func() error { return s.readHosts(ctx) })
	return group.Wait()
}

// Stop takes no new job and waits until the owned ones are closed and nothing
// is held at a worker, or ctx ends.
func (s *Service) Stop(ctx context.Context) error {
	s.do(func(time.Time) { s.core.StopAccepting() })
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
		case <-time.After(idlePoll):
		}
	}
}

func (s *Service) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.do(s.core.Tick)
		select {
		case <-ctx.Done():
			s.cancel()
			s.calls.Wait()
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// do gives one event to the core and carries out what follows.
func (s *Service) do(event func(now time.Time)) {
	s.mu.Lock()
	now := time.Now()
	event(now)
	actions := s.core.PopActions(now)
	for _, a := range actions {
		s.deliver(a)
	}
	s.mu.Unlock()
	for _, a := range actions {
		s.carry(a)
	}
}

// outcome is what becomes of a wait for a submission.
type outcome struct {
	answer   callerapi.JobAnswer
	notAfter time.Time
	owner    ids.Incarnation
	address  string
	err      *errkind.Error
}

// deliver wakes those who wait for a submission. The lock is held.
func (s *Service) deliver(a jobs.Action) {
	switch a := a.(type) {
	case jobs.Answer:
		s.wake(a.Key, outcome{answer: a.Answer, notAfter: a.NotAfter})
	case jobs.OwnedElsewhere:
		s.wake(a.Key, outcome{owner: a.Owner, address: a.Address})
	case jobs.Refused:
		s.wake(a.Key, outcome{err: a.Err})
	}
}

func (s *Service) wake(k jobs.Key, o outcome) {
	for ch := range s.waiters[k] {
		select {
		case ch <- o:
		default:
		}
	}
}

// join adds a waiter. The lock is held.
func (s *Service) join(k jobs.Key) chan outcome {
	ch := make(chan outcome, 1)
	if s.waiters[k] == nil {
		s.waiters[k] = map[chan outcome]struct{}{}
	}
	s.waiters[k][ch] = struct{}{}
	return ch
}

func (s *Service) leave(k jobs.Key, ch chan outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters[k], ch)
	if len(s.waiters[k]) == 0 {
		delete(s.waiters, k)
	}
}

// await gives an event to the core and waits for what becomes of the
// submission. It returns false if ctx ended first.
func (s *Service) await(ctx context.Context, k jobs.Key, event func(now time.Time) *errkind.Error) (outcome, bool) {
	var ch chan outcome
	var refused *errkind.Error
	s.do(func(now time.Time) {
		ch = s.join(k)
		refused = event(now)
	})
	defer s.leave(k, ch)
	if refused != nil {
		return outcome{err: refused}, true
	}
	for {
		select {
		case o := <-ch:
			if o.notAfter.IsZero() || time.Now().Before(o.notAfter) {
				return o, true
			}
			s.do(func(time.Time) { s.core.AnswerExpired(k) })
		case <-ctx.Done():
			return outcome{}, false
		}
	}
}

func (s *Service) readHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		infos, entries := s.workerInfos()
		quotas := quotasOf(s.deps.View.State(), len(entries))
		s.do(func(now time.Time) {
			s.core.UpdateWorkers(now, infos, entries)
			s.core.SetQuotas(quotas)
		})
		sleep(ctx, hostsInterval)
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
