// Package requests serves callers' requests on an entry host. It executes the
// decisions of packages identity and dispatch, sends requests to backend
// servers and returns their answers.
package requests

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/daemon/backendpool"
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

// Hosts provides the newest usable host list.
type Hosts interface {
	Hosts() []platform.Host
}

const (
	// tickInterval is the interval at which the deadlines of waiting requests
	// are checked.
	tickInterval = 20 * time.Millisecond
	// refreshInterval is the interval at which the configuration, the host list
	// and the peers' leaving hints are read.
	refreshInterval = 200 * time.Millisecond
	// maxRememberedIDs is the maximum number of request ids remembered for one
	// customer.
	maxRememberedIDs = 200_000
	// maxAnswerBytes is the maximum total size of the answers remembered for
	// one customer.
	maxAnswerBytes = 48 << 20
)

// Hints shares among the entry hosts which backend servers are leaving.
type Hints interface {
	// ReportLeaving records that the server announced to this host that it is
	// leaving.
	ReportLeaving(backend string)
	// LeavingBackends returns the servers that any entry host recently reported
	// as leaving.
	LeavingBackends() []string
}

// Deps holds the dependencies and settings of a Service.
type Deps struct {
	Settings    settings.Settings
	Incarnation ids.Incarnation
	View        standing.View
	Hosts       Hosts
	Recorder    decision.Recorder
	Pool        *backendpool.Pool
	// Peers reports the state of the other entry hosts, and PeerClient calls
	// them.
	Peers      Peers
	PeerClient PeerClient
	// Hints may be nil; then no leaving hints are shared.
	Hints Hints
	// Lenders requests slots from other hosts. If it is nil, every request for
	// slots fails.
	Lenders Lenders
	// Seed seeds the random number generators that break ties in routing, so
	// that their choices are repeatable.
	Seed uint64
}

// customer is the state of one customer on this host.
type customer struct {
	name       string
	core       *dispatch.Core
	table      *identity.Table
	active     map[string]*activeRequest
	addresses  map[string]string
	listGuard  eject.ListGuard
	lastListed map[string]platform.Host
	policy     standing.Policy
	rng        *rand.Rand
	// pendingLends holds the requests for slots from other hosts that wait for
	// an offer.
	pendingLends map[lendKey]chan route.Offer
	// slotMessages counts the messages for borrowing slots since the last
	// result. They belong to no single request, so the next result includes
	// them in its extra messages.
	slotMessages int
}

// Service serves callers' requests. It is safe for concurrent use.
type Service struct {
	deps      Deps
	startTime time.Time

	mu        sync.Mutex
	customers map[string]*customer
	stopping  bool
	// interrupted is set once nothing is waited for any more.
	interrupted bool
	// refreshedAt is when the configuration and the host list were last read.
	refreshedAt time.Time
	// claimsRequested is set once this host has begun to ask its peers for the
	// claims made before it started; claimsFetched is set once all have replied
	// or failed.
	claimsRequested bool
	claimsFetched   bool
}

// New returns a service. It becomes ready while Run runs, once the peers' claims
// have been fetched.
func New(deps Deps) *Service {
	return &Service{deps: deps, startTime: time.Now(), customers: map[string]*customer{}}
}

// Run checks deadlines and refreshes the configuration and the host list until
// ctx ends.
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
	if !s.claimsRequested && (len(hosts) > 0 || len(s.deps.Peers.View().Peers) > 0) {
		s.claimsRequested = true
		go s.fetchAllClaims()
	}
	if now.Sub(s.refreshedAt) >= refreshInterval {
		s.refreshedAt = now
		for name, rules := range state.Customers {
			s.refresh(now, name, rules, state, hosts)
		}
	}
	// Requests in progress of removed customers are still completed.
	for _, c := range s.customers {
		s.applyDispatch(c, c.core.Tick(now))
	}
}

// refresh applies the configuration and the host list to one customer. The lock
// is held.
func (s *Service) refresh(now time.Time, name string, rules standing.Customer, state *standing.State, hosts []platform.Host) *customer {
	c := s.customerState(name, rules)
	c.core.SetRules(rules)
	s.refreshSelector(now, c, rules, hosts)
	c.table.SetHorizon(now, horizon(rules))
	c.table.Expire(now)
	backends, evacuated := c.routableBackends(now, rules, state, hosts)
	s.applyDispatch(c, c.core.SetBackends(now, backends))
	s.applyDispatch(c, c.core.SetEvacuated(now, evacuated))
	if s.deps.Hints != nil {
		s.applyDispatch(c, c.core.HintLeaving(now, s.deps.Hints.LeavingBackends()))
	}
	return c
}

// Conditions returns a record for each backend server that receives no requests
// or only probes. The record states since when, by which rule and why.
func (s *Service) Conditions() []decision.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []decision.Record
	for _, c := range s.customers {
		records = append(records, c.core.Conditions()...)
	}
	return records
}

// Ready reports whether the service accepts first attempts: the peers' claims
// are fetched and the service is not stopping.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claimsFetched && !s.stopping
}

func horizon(rules standing.Customer) time.Duration {
	return time.Duration(rules.WithDefaults().HorizonMs) * time.Millisecond
}

// lookupCustomer returns the state of a customer that is in the configuration
// in force or was in an earlier one. The lock is held.
func (s *Service) lookupCustomer(name string) (*customer, *errkind.Error) {
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

// customerState returns the state of the customer and creates it on first use.
// Its identity table covers all requests since the service started.
func (s *Service) customerState(name string, rules standing.Customer) *customer {
	c, ok := s.customers[name]
	if !ok {
		rng := rand.New(rand.NewPCG(s.deps.Seed, uint64(len(s.customers))))
		limits := identity.Limits{MaxEntries: maxRememberedIDs, MaxAnswerBytes: maxAnswerBytes}
		c = &customer{
			name:         name,
			core:         dispatch.New(name, rules, s.newSelector(rules.WithDefaults().Policy, rng)),
			policy:       rules.WithDefaults().Policy,
			rng:          rng,
			pendingLends: map[lendKey]chan route.Offer{},
			table:        identity.NewTable(s.startTime, name, s.deps.Incarnation, horizon(rules), limits),
			active:       map[string]*activeRequest{},
			addresses:    map[string]string{},
			lastListed:   map[string]platform.Host{},
		}
		s.customers[name] = c
	}
	return c
}

// listedBackends returns the customer's rows of the host list. If too many
// servers vanish from the list at once, their last known rows are included.
func (c *customer) listedBackends(now time.Time, rules standing.Customer, hosts []platform.Host) []platform.Host {
	var rows []platform.Host
	var names []string
	for _, h := range hosts {
		if h.Role == platform.RoleBackend && h.Customer == c.name {
			rows = append(rows, h)
			names = append(names, h.Name)
			c.lastListed[h.Name] = h
		}
	}
	kept := c.listGuard.Update(now, names, rules.WithDefaults().Eject.MaxShare)
	slices.Sort(kept)
	for _, name := range kept {
		rows = append(rows, c.lastListed[name])
	}
	return rows
}

// routableBackends returns the servers that may receive new requests, and
// stores the addresses of all listed servers. If there would be such servers but
// all are in evacuated zones, it returns the names of these zones.
func (c *customer) routableBackends(now time.Time, rules standing.Customer, state *standing.State, hosts []platform.Host) ([]route.Backend, []string) {
	var backends []route.Backend
	var evacuated []string
	for _, h := range c.listedBackends(now, rules, hosts) {
		c.addresses[h.Name] = h.Address
		_, drained := state.Drains[h.Name]
		if h.State != platform.HostLive || drained {
			continue
		}
		if state.Evacuated(h.Zone) {
			if !slices.Contains(evacuated, h.Zone) {
				evacuated = append(evacuated, h.Zone)
			}
			continue
		}
		weight, ok := rules.Weights[h.Name]
		if !ok {
			weight = 1
		}
		backends = append(backends, route.Backend{
			Name: h.Name, Zone: h.Zone, Slots: h.Slots, Limit: backendpool.ConnsPerBackend, Weight: weight,
		})
	}
	if len(backends) > 0 {
		return backends, nil
	}
	slices.Sort(evacuated)
	return nil, evacuated
}

// applyDispatch executes actions of the dispatch core. The lock is held.
func (s *Service) applyDispatch(c *customer, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			active := c.active[a.ID]
			active.sends++
			if active.sends > 1 {
				active.messages += messagesPerCall
			}
			go s.send(c, active.req, a.Backend, c.addresses[a.Backend])
		case dispatch.Finish:
			s.finish(c, a.ID, identity.Result{Err: a.Err, RetryAfter: a.RetryAfter})
		case dispatch.Borrow:
			c.slotMessages += messagesPerCall
			go s.borrow(c, a.Request)
		case dispatch.Lend:
			c.deliverOffer(a.Offer)
		case dispatch.LogEvent:
			s.deps.Recorder.Record(a.Record)
		}
	}
}

// send sends a request to a backend server once and passes the outcome to the
// dispatch core. It continues until the request's deadline even if the callers
// disconnect.
func (s *Service) send(c *customer, r *request, backend, address string) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	call := backendpool.Call{ID: r.ID, Address: address, ContentType: r.contentType, Body: r.body}
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
	s.applyDispatch(c, c.core.Done(time.Now(), dispatch.Outcome{ID: r.ID, Backend: backend, Err: err, Load: answer.Load, Leaving: answer.Leaving}))
}
