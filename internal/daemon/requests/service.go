// Package requests serves callers' requests on an entry host: it runs the
// decisions of packages identity and dispatch, sends to backend servers and
// answers.
package requests

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/daemon/pool"
	"github.com/parsleyhill/parsleyhill/internal/decide/dispatch"
	"github.com/parsleyhill/parsleyhill/internal/decide/eject"
	"github.com/parsleyhill/parsleyhill/internal/decide/identity"
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

const (
	// tickInterval is the time between checks of waiting requests' deadlines.
	tickInterval = 20 * time.Millisecond
	// refreshInterval is the time between readings of the configuration, the
	// host list and the peers' hints.
	refreshInterval = 200 * time.Millisecond
	// maxIDs bounds the request ids remembered for one customer.
	maxIDs = 200_000
	// maxAnswerBytes bounds the answers remembered for one customer.
	maxAnswerBytes = 48 << 20
)

// Hints passes on, between entry hosts, which backend servers are leaving.
type Hints interface {
	// SawLeaving takes a server that told this host that it leaves.
	ReportLeaving(backend string)
	// LeavingBackends returns the servers that an entry host lately saw leaving.
	LeavingBackends() []string
}

// Deps are what the service needs.
type Deps struct {
	Settings    settings.Settings
	Incarnation ids.Incarnation
	View        standing.View
	Hosts       Hosts
	Recorder    decision.Recorder
	Pool        *pool.Pool
	// Fleet knows the other entry hosts, and Remote calls them.
	Peers      Peers
	PeerClient PeerClient
	// Hints may be nil.
	Hints Hints
	// Lenders lends this host slots of others; nil means that none does.
	Lenders Lenders
	// Seed makes ties in routing repeatable.
	Seed uint64
}

// customer is the state of one customer on this host.
type customer struct {
	name      string
	core      *dispatch.Core
	table     *identity.Table
	work      map[string]*work
	addresses map[string]string
	listing   eject.Listing
	rows      map[string]platform.Host
	policy    standing.Policy
	rng       *rand.Rand
	// lends are the asks of other hosts that wait for an answer.
	lends map[lendKey]chan route.Offer
	// askMessages counts the messages of asks for slots since the last result.
	// They serve no single request; the next result is charged with them.
	askMessages int
}

// Service serves requests. It is safe for concurrent use.
type Service struct {
	deps    Deps
	started time.Time

	mu        sync.Mutex
	customers map[string]*customer
	stopping  bool
	// refreshed is when the configuration and the host list were last taken.
	refreshed time.Time
	// learning and learned are set when the peers are and were asked for the
	// claims made before this host started.
	learning bool
	learned  bool
}

// New returns a service that serves nothing until Run.
func New(deps Deps) *Service {
	return &Service{deps: deps, started: time.Now(), customers: map[string]*customer{}}
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

func (s *Service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.deps.View.State()
	if state == nil {
		return
	}
	hosts := s.deps.Hosts.Hosts()
	if !s.learning && (len(hosts) > 0 || len(s.deps.Peers.View().Peers) > 0) {
		s.learning = true
		go s.learn()
	}
	if now.Sub(s.refreshed) >= refreshInterval {
		s.refreshed = now
		for name, rules := range state.Customers {
			s.refresh(now, name, rules, state, hosts)
		}
	}
	// Customers that were removed are served to the end of what they have.
	for _, c := range s.customers {
		s.apply(c, c.core.Tick(now))
	}
}

// refresh brings one customer up to date with the configuration and the host
// list. The lock is held.
func (s *Service) refresh(now time.Time, name string, rules standing.Customer, state *standing.State, hosts []platform.Host) *customer {
	c := s.customer(name, rules)
	c.core.SetRules(rules)
	s.share(now, c, rules, hosts)
	c.table.SetHorizon(now, horizon(rules))
	c.table.Expire(now)
	s.apply(c, c.core.SetBackends(now, c.backends(now, rules, state, hosts)))
	if s.deps.Hints != nil {
		s.apply(c, c.core.HintLeaving(now, s.deps.Hints.LeavingBackends()))
	}
	return c
}

// Conditions returns a record for each backend server that gets no work or
// only probes: since when, by which rule and why.
func (s *Service) Conditions() []decision.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []decision.Record
	for _, c := range s.customers {
		records = append(records, c.core.Conditions()...)
	}
	return records
}

// Ready returns whether the service may take first attempts.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learned && !s.stopping
}

func horizon(rules standing.Customer) time.Duration {
	return time.Duration(rules.WithDefaults().HorizonMs) * time.Millisecond
}

// known returns the state of a customer of the configuration in force, also
// if it was in force before. The lock is held.
func (s *Service) known(name string) (*customer, *errkind.Error) {
	if c, ok := s.customers[name]; ok {
		return c, nil
	}
	state := s.deps.View.State()
	if state == nil {
		return nil, errkind.New(errkind.NotReady, "no configuration yet")
	}
	rules, ok := state.Customers[name]
	if !ok {
		return nil, errkind.New(errkind.UnknownCustomer, "no customer %q", name)
	}
	return s.refresh(time.Now(), name, rules, state, s.deps.Hosts.Hosts()), nil
}

// customer returns the state of the customer, made on first use. What it
// remembers of request ids is whole since the service started.
func (s *Service) customer(name string, rules standing.Customer) *customer {
	c, ok := s.customers[name]
	if !ok {
		rng := rand.New(rand.NewPCG(s.deps.Seed, uint64(len(s.customers))))
		limits := identity.Limits{MaxEntries: maxIDs, MaxAnswerBytes: maxAnswerBytes}
		c = &customer{
			name:      name,
			core:      dispatch.New(name, rules, s.selector(rules.WithDefaults().Policy, rng)),
			policy:    rules.WithDefaults().Policy,
			rng:       rng,
			lends:     map[lendKey]chan route.Offer{},
			table:     identity.NewTable(s.started, name, s.deps.Incarnation, horizon(rules), limits),
			work:      map[string]*work{},
			addresses: map[string]string{},
			rows:      map[string]platform.Host{},
		}
		s.customers[name] = c
	}
	return c
}

// listed returns the customer's rows of the host list, and the last known rows
// of servers that vanished from it too many at once.
func (c *customer) listed(now time.Time, rules standing.Customer, hosts []platform.Host) []platform.Host {
	var rows []platform.Host
	var names []string
	for _, h := range hosts {
		if h.Role == platform.RoleBackend && h.Customer == c.name {
			rows = append(rows, h)
			names = append(names, h.Name)
			c.rows[h.Name] = h
		}
	}
	kept := c.listing.Keep(now, names, rules.WithDefaults().Eject.MaxShare)
	slices.Sort(kept)
	for _, name := range kept {
		rows = append(rows, c.rows[name])
	}
	return rows
}

// backends lists the servers that may get new work and notes all addresses.
func (c *customer) backends(now time.Time, rules standing.Customer, state *standing.State, hosts []platform.Host) []route.Backend {
	var backends []route.Backend
	for _, h := range c.listed(now, rules, hosts) {
		c.addresses[h.Name] = h.Address
		_, drained := state.Drains[h.Name]
		if h.State != platform.HostLive || drained {
			continue
		}
		weight, ok := rules.Weights[h.Name]
		if !ok {
			weight = 1
		}
		backends = append(backends, route.Backend{
			Name: h.Name, Zone: h.Zone, Slots: h.Slots, Limit: pool.ConnsPerBackend, Weight: weight,
		})
	}
	return backends
}

// apply carries out actions of the dispatch core. The lock is held.
func (s *Service) apply(c *customer, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			w := c.work[a.ID]
			w.sends++
			if w.sends > 1 {
				w.messages += messagesPerCall
			}
			go s.send(c, w.req, a.Backend, c.addresses[a.Backend])
		case dispatch.Finish:
			s.finish(c, a.ID, identity.Result{Err: a.Err, RetryAfter: a.RetryAfter})
		case dispatch.Borrow:
			c.askMessages += messagesPerCall
			go s.borrow(c, a.Ask)
		case dispatch.Lend:
			c.answer(a.Offer)
		case dispatch.LogEvent:
			s.deps.Recorder.Record(a.Record)
		}
	}
}

// send sends a request once and reports the outcome. Callers that hang up do
// not stop it.
func (s *Service) send(c *customer, r *request, backend, address string) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	call := pool.Call{ID: r.ID, Address: address, ContentType: r.contentType, Body: r.body}
	answer, err := s.deps.Pool.Send(ctx, call)
	if answer.Leaving && s.deps.Hints != nil {
		s.deps.Hints.ReportLeaving(backend)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.finish(c, r.ID, identity.Result{Answer: identity.Answer{
			Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body, Backend: backend,
		}})
	}
	s.apply(c, c.core.Done(time.Now(), dispatch.Outcome{ID: r.ID, Backend: backend, Err: err, Load: answer.Load, Leaving: answer.Leaving}))
}
