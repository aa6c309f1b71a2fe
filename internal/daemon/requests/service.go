// Package requests serves callers' requests on an entry host: it runs the
// decisions of package dispatch, sends to backend servers and answers.
package requests

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/daemon/pool"
	"github.com/parsleyhill/parsleyhill/internal/decide/dispatch"
	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/settings"
)

// Hosts gives the newest usable host list.
type Hosts interface {
	Hosts() []platform.Host
}

// tickInterval is the time between checks of waiting requests' deadlines and
// of the configuration.
const tickInterval = 20 * time.Millisecond

// Deps are what the service needs.
type Deps struct {
	Settings    settings.Settings
	Incarnation ids.Incarnation
	View        standing.View
	Hosts       Hosts
	Recorder    decision.Recorder
	Pool        *pool.Pool
	// Seed makes ties in routing repeatable.
	Seed uint64
}

// request is one accepted request with its payload.
type request struct {
	dispatch.Request
	customer    string
	contentType string
	body        []byte
	done        chan result
	ctx         context.Context
}

// result ends a request: an answer or an error.
type result struct {
	answer     pool.Answer
	backend    string
	err        *errkind.Error
	retryAfter time.Duration
}

// customer is the state of one customer on this host.
type customer struct {
	core      *dispatch.Core
	requests  map[string]*request
	addresses map[string]string
}

// Service serves requests. It is safe for concurrent use.
type Service struct {
	deps Deps

	mu        sync.Mutex
	customers map[string]*customer
	stopping  bool
	inFlight  sync.WaitGroup
}

// New returns a service that serves nothing until Run.
func New(deps Deps) *Service {
	return &Service{deps: deps, customers: map[string]*customer{}}
}

// Run keeps decisions up to date until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			s.tick(now)
		}
	}
}

// Stop refuses new requests and waits until those in flight are answered or
// ctx ends.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.deps.View.State()
	if state == nil {
		return
	}
	hosts := s.deps.Hosts.Hosts()
	for name, rules := range state.Customers {
		s.refresh(now, name, rules, state, hosts)
	}
}

// refresh brings one customer up to date with the configuration and the host
// list. The lock is held.
func (s *Service) refresh(now time.Time, name string, rules standing.Customer, state *standing.State, hosts []platform.Host) *customer {
	c := s.customer(name, rules)
	c.core.SetRules(rules)
	s.apply(c, c.core.SetBackends(now, c.backends(name, rules, state, hosts)))
	s.apply(c, c.core.Tick(now))
	return c
}

// customer returns the state of the customer, made on first use.
func (s *Service) customer(name string, rules standing.Customer) *customer {
	c, ok := s.customers[name]
	if !ok {
		rng := rand.New(rand.NewPCG(s.deps.Seed, uint64(len(s.customers))))
		selector := route.NewLeast(s.deps.Settings.Zone, rng)
		c = &customer{
			core:      dispatch.New(name, rules, selector),
			requests:  map[string]*request{},
			addresses: map[string]string{},
		}
		s.customers[name] = c
	}
	return c
}

// backends lists the servers that may get new work and notes all addresses.
func (c *customer) backends(name string, rules standing.Customer, state *standing.State, hosts []platform.Host) []route.Backend {
	var backends []route.Backend
	for _, h := range hosts {
		if h.Role != platform.RoleBackend || h.Customer != name {
			continue
		}
		c.addresses[h.Name] = h.Address
		_, drained := state.Drains[h.Name]
		if h.State != platform.HostLive || drained {
			continue
		}
		weight, ok := rules.Weights[h.Name]
		if !ok {
			weight = 1
		}
		backends = append(backends, route.Backend{Name: h.Name, Zone: h.Zone, Slots: h.Slots, Weight: weight})
	}
	return backends
}

// known returns the state of a customer in force, also of one that came into
// force since the last tick. The lock is held.
func (s *Service) known(name string) (*customer, *errkind.Error) {
	if c, ok := s.customers[name]; ok {
		return c, nil
	}
	if state := s.deps.View.State(); state != nil {
		if rules, ok := state.Customers[name]; ok {
			return s.refresh(time.Now(), name, rules, state, s.deps.Hosts.Hosts()), nil
		}
	}
	return nil, errkind.New(errkind.UnknownCustomer, "no customer %q", name)
}

// submit hands a request to the customer's core.
func (s *Service) submit(r *request) *errkind.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return errkind.New(errkind.Stopping, "the entry host is stopping")
	}
	c, err := s.known(r.customer)
	if err != nil {
		return err
	}
	if _, ok := c.requests[r.ID]; ok {
		return errkind.New(errkind.DuplicateUnresolved, "request %s is already in flight", r.ID)
	}
	c.requests[r.ID] = r
	s.inFlight.Add(1)
	s.apply(c, c.core.Arrive(time.Now(), r.Request))
	return nil
}

// apply carries out actions. The lock is held.
func (s *Service) apply(c *customer, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			r := c.requests[a.ID]
			go s.send(c, r, a.Backend, c.addresses[a.Backend])
		case dispatch.Finish:
			s.finish(c, a.ID, result{err: a.Err, retryAfter: a.RetryAfter})
		case dispatch.Note:
			s.deps.Recorder.Record(a.Record)
		}
	}
}

// send sends a request once and reports the outcome.
func (s *Service) send(c *customer, r *request, backend, address string) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.ctx), r.Deadline)
	defer cancel()
	call := pool.Call{ID: r.ID, Address: address, ContentType: r.contentType, Body: r.body}
	answer, err := s.deps.Pool.Send(ctx, call)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.finish(c, r.ID, result{answer: answer, backend: backend})
	}
	s.apply(c, c.core.Done(time.Now(), dispatch.Outcome{ID: r.ID, Backend: backend, Err: err}))
}

// finish ends a request once. The lock is held.
func (s *Service) finish(c *customer, id string, res result) {
	r, ok := c.requests[id]
	if !ok {
		return
	}
	delete(c.requests, id)
	r.done <- res
	s.inFlight.Done()
}
