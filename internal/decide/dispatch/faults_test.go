package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/route"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	backends  = 50
	slots     = 8
	connLimit = 7
	deadline  = 10 * time.Second
	step      = 20 * time.Millisecond
	// faultsBegin is the time from the start at which the faults begin.
	faultsBegin = 60 * time.Second
)

// behaviour is how a backend server responds to requests.
type behaviour struct {
	err *errkind.Error
	// slowBy multiplies run times; 0 means 1.
	slowBy  float64
	frozen  bool
	leaving bool
}

var (
	refuses         = behaviour{err: errkind.New(errkind.BackendRefused, "")}
	leaves          = behaviour{err: errkind.New(errkind.BackendRefused, ""), leaving: true}
	fails           = behaviour{err: errkind.New(errkind.BackendFailed, "")}
	loses           = behaviour{err: errkind.New(errkind.BackendLost, "")}
	unreachable     = behaviour{err: errkind.New(errkind.BackendLost, "").WithRun(errkind.NotRun)}
	healthy         = behaviour{}
	freezes         = behaviour{frozen: true}
	slowed          = behaviour{slowBy: 5}
	failureModes    = map[string]behaviour{"fails": fails, "loses": loses, "is unreachable": unreachable}
	arrivalInterval = 20 * time.Millisecond
)

type scheduledOutcome struct {
	at  time.Time
	out Outcome
}

// simulation runs one entry host's core against backend servers in virtual
// time.
type simulation struct {
	core         *Core
	rng          *rand.Rand
	now          time.Time
	start        time.Time
	servers      map[string]behaviour
	queue        []scheduledOutcome
	sends        map[string][]time.Duration
	sendsByID    map[string]int
	finished     map[string]*errkind.Error
	running      map[string]int
	peakRunning  map[string]int
	arrived      int
	actionCounts map[string]int
	ejectReasons []string
}

func newSimulation(seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{
		rng: rng, now: time.Time{}.Add(time.Hour), servers: map[string]behaviour{}, sends: map[string][]time.Duration{},
		sendsByID: map[string]int{}, finished: map[string]*errkind.Error{}, running: map[string]int{}, peakRunning: map[string]int{}, actionCounts: map[string]int{},
	}
	s.start = s.now
	s.core = New("tamarind", standing.Customer{}, route.NewLeastLoaded("westlands", rng))
	s.setBackends(backends)
	return s
}

func serverName(i int) string { return fmt.Sprintf("backend-%d", i) }

func (s *simulation) setBackends(n int) {
	var list []route.Backend
	for i := range n {
		list = append(list, route.Backend{Name: serverName(i), Slots: slots, Limit: connLimit, Weight: 1})
	}
	s.apply(s.core.SetBackends(s.now, list))
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.start) }

func (s *simulation) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			s.send(a)
		case Finish:
			s.finished[a.ID] = a.Err
		case LogEvent:
			s.actionCounts[a.Record.Action]++
			if a.Record.Action == "eject" {
				s.ejectReasons = append(s.ejectReasons, a.Record.Why)
			}
		}
	}
}

func (s *simulation) send(a Send) {
	s.sends[a.Backend] = append(s.sends[a.Backend], s.elapsed())
	s.sendsByID[a.ID]++
	s.running[a.Backend]++
	s.peakRunning[a.Backend] = max(s.peakRunning[a.Backend], s.running[a.Backend])
	b := s.servers[a.Backend]
	run := 50*time.Millisecond + time.Duration(s.rng.Int64N(int64(950*time.Millisecond)))
	if s.rng.IntN(100) == 0 {
		run = time.Second + time.Duration(s.rng.Int64N(int64(4*time.Second)))
	}
	out := Outcome{ID: a.ID, Backend: a.Backend, Err: b.err, Leaving: b.leaving}
	switch {
	case b.err != nil:
		run = time.Millisecond
	case b.frozen:
		run = deadline
	case b.slowBy > 0:
		run = time.Duration(float64(run) * b.slowBy)
	}
	if run >= deadline {
		run, out.Err = deadline, errkind.New(errkind.Timeout, "")
	}
	s.queue = append(s.queue, scheduledOutcome{s.now.Add(run), out})
}

// run advances the virtual time by d while requests arrive.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		var due []scheduledOutcome
		s.queue = slices.DeleteFunc(s.queue, func(p scheduledOutcome) bool {
			if p.at.After(s.now) {
				return false
			}
			due = append(due, p)
			return true
		})
		for _, p := range due {
			s.running[p.out.Backend]--
			s.apply(s.core.Done(s.now, p.out))
		}
		if s.elapsed()%arrivalInterval == 0 {
			s.arrived++
			s.apply(s.core.Arrive(s.now, Request{ID: fmt.Sprint(s.arrived), Deadline: s.now.Add(deadline)}))
		}
		s.apply(s.core.Tick(s.now))
	}
}

// sendsAfter returns the number of sends to a server later than t.
func (s *simulation) sendsAfter(name string, t time.Duration) int {
	n := 0
	for _, at := range s.sends[name] {
		if at > t {
			n++
		}
	}
	return n
}

// busiest returns the server that got the most requests.
func (s *simulation) busiest() string {
	best := serverName(0)
	for i := range backends {
		if len(s.sends[serverName(i)]) > len(s.sends[best]) {
			best = serverName(i)
		}
	}
	return best
}

// maxProbes returns the largest number of probes in d: one for each ejection,
// which last 2, 4, 8 ... 60 s.
func maxProbes(d time.Duration) int {
	probes := 0
	for length := standing.DefaultEjectBaseMs * time.Millisecond; d > 0; length = min(2*length, standing.DefaultEjectMaxMs*time.Millisecond) {
		d -= length
		probes++
	}
	return probes
}

func TestHealthyServersStayInService(t *testing.T) {
	for seed := range uint64(3) {
		s := newSimulation(seed)
		s.run(5 * time.Minute)
		require.Zero(t, s.actionCounts["eject"], "seed %d: %v", seed, s.ejectReasons)
		require.Empty(t, s.core.Conditions())
	}
}

func TestServerThatFailsAtOnceDoesNotAttractWork(t *testing.T) {
	for name, b := range failureModes {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(1)
			s.run(faultsBegin)
			victim := s.busiest()
			s.servers[victim] = b
			s.run(time.Minute)
			most := standing.DefaultEjectFailures + connLimit + maxProbes(time.Minute)
			require.LessOrEqual(t, s.sendsAfter(victim, faultsBegin), most)
			require.Len(t, s.core.Conditions(), 1)
		})
	}
}

func TestFrozenServerGetsNoNewWork(t *testing.T) {
	const within = 5 * time.Second
	for seed := range uint64(3) {
		s := newSimulation(seed)
		s.run(faultsBegin)
		victim := s.busiest()
		s.servers[victim] = freezes
		s.run(time.Minute)
		require.LessOrEqual(t, s.sendsAfter(victim, faultsBegin+within), maxProbes(time.Minute), "seed %d", seed)
		require.Equal(t, 1, len(s.core.Conditions()), "seed %d", seed)
	}
}

func TestSlowServerIsEjectedAndReturns(t *testing.T) {
	for seed := range uint64(3) {
		s := newSimulation(seed)
		s.run(faultsBegin)
		victim := s.busiest()
		s.servers[victim] = slowed
		s.run(4 * time.Minute)
		require.Positive(t, s.actionCounts["eject"], "seed %d", seed)
		const probes = 3
		require.LessOrEqual(t, s.sendsAfter(victim, s.elapsed()-time.Minute), probes*maxProbes(time.Minute), "seed %d", seed)
		s.servers[victim] = healthy
		s.run(2 * time.Minute)
		require.Empty(t, s.core.Conditions(), "seed %d", seed)
		require.Positive(t, s.sendsAfter(victim, s.elapsed()-2*time.Minute), "seed %d", seed)
	}
}

func TestEjectedServerReturnsWithOneRequestAtATime(t *testing.T) {
	s := newSimulation(1)
	s.run(faultsBegin)
	victim := s.busiest()
	s.servers[victim] = fails
	s.run(10 * time.Second)
	s.servers[victim] = healthy
	s.peakRunning[victim] = 0
	for len(s.core.Conditions()) > 0 && s.elapsed() < faultsBegin+time.Minute {
		s.run(step)
		require.LessOrEqual(t, s.peakRunning[victim], 1)
	}
	require.Empty(t, s.core.Conditions())
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Run("reported in its own refusal", func(t *testing.T) {
		s := newSimulation(1)
		s.run(faultsBegin)
		victim := s.busiest()
		s.servers[victim] = leaves
		s.run(30 * time.Second)
		require.LessOrEqual(t, s.sendsAfter(victim, faultsBegin), connLimit)
		require.Equal(t, []string{victim}, s.core.LeavingBackends())
		require.Empty(t, s.finished, "every refused request ran elsewhere")
	})
	t.Run("reported by a peer", func(t *testing.T) {
		s := newSimulation(1)
		s.run(faultsBegin)
		victim := s.busiest()
		s.apply(s.core.HintLeaving(s.now, []string{victim, "unknown"}))
		s.run(30 * time.Second)
		require.Zero(t, s.sendsAfter(victim, faultsBegin))
		require.Empty(t, s.core.LeavingBackends(), "a leaving hint is not passed on")
	})
	t.Run("no longer in the host list", func(t *testing.T) {
		s := newSimulation(1)
		s.run(faultsBegin)
		s.setBackends(backends - 1)
		s.run(30 * time.Second)
		require.Zero(t, s.sendsAfter(serverName(backends-1), faultsBegin))
	})
}

func TestEjectedShareIsBounded(t *testing.T) {
	s := newSimulation(1)
	s.run(faultsBegin)
	for i := range backends / 2 {
		s.servers[serverName(i)] = fails
	}
	s.run(time.Minute)
	out := 0
	for _, c := range s.core.Conditions() {
		if c.Action != "ejection withheld" {
			out++
		}
	}
	require.Equal(t, int(standing.DefaultEjectMaxShare*backends), out)
}

func TestRefusalsByAllServersCauseNoRetryStorm(t *testing.T) {
	s := newSimulation(1)
	s.run(faultsBegin)
	for i := range backends {
		s.servers[serverName(i)] = refuses
	}
	before, arrived := total(s.sendsByID), s.arrived
	s.run(30 * time.Second)
	const burst = 20
	require.LessOrEqual(t, total(s.sendsByID)-before, s.arrived-arrived+burst+backends*slots)
	for id, err := range s.finished {
		require.Equal(t, errkind.NotRun, err.Run, id)
	}
}

func total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// TestResentOnlyIfSafe guards against a second send of a request that is not
// idempotent and may have run. It draws random faults and checks each further
// send against the run state known from the earlier ones.
func TestResentOnlyIfSafe(t *testing.T) {
	states := []errkind.RunState{errkind.NotRun, errkind.Unknown, errkind.Ran}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		core := New("tamarind", standing.Customer{}, route.NewLeastLoaded("westlands", rng))
		now := time.Time{}.Add(time.Hour)
		all := []route.Backend{{Name: "a", Slots: 2, Weight: 1}, {Name: "b", Slots: 2, Weight: 1}, {Name: "c", Slots: 2, Weight: 1}}
		core.SetBackends(now, all[:1+seed%3])
		r := Request{ID: "r", Idempotent: seed%2 == 0, Deadline: now.Add(time.Second)}
		known := errkind.NotRun
		actions := core.Arrive(now, r)
		for ended := false; !ended; {
			var out Outcome
			for _, a := range actions {
				switch a := a.(type) {
				case Send:
					require.True(t, r.Idempotent || known == errkind.NotRun, "seed %d", seed)
					err := errkind.New(errkind.BackendLost, "").WithRun(states[rng.IntN(len(states))])
					if slices.Index(states, err.Run) > slices.Index(states, known) {
						known = err.Run
					}
					out = Outcome{ID: "r", Backend: a.Backend, Err: err}
				case Finish:
					require.Equal(t, known, a.Err.Run, "seed %d", seed)
					ended = true
				}
			}
			now = now.Add(20 * time.Millisecond)
			if out.ID != "" {
				actions = core.Done(now, out)
				continue
			}
			actions = core.Tick(now)
		}
	}
}
