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
	// onset is when the faults begin.
	onset = 60 * time.Second
)

// behaviour is what a backend server does with a request.
type behaviour struct {
	err *errkind.Error
	// slowBy multiplies run times; 0 means 1.
	slowBy  float64
	frozen  bool
	leaving bool
}

var (
	refuses  = behaviour{err: errkind.New(errkind.BackendRefused, "")}
	leaves   = behaviour{err: errkind.New(errkind.BackendRefused, ""), leaving: true}
	fails    = behaviour{err: errkind.New(errkind.BackendFailed, "")}
	loses    = behaviour{err: errkind.New(errkind.BackendLost, "")}
	unheard  = behaviour{err: errkind.New(errkind.BackendLost, "").WithRun(errkind.NotRun)}
	healthy  = behaviour{}
	freezes  = behaviour{frozen: true}
	slowed   = behaviour{slowBy: 5}
	failure  = map[string]behaviour{"fails": fails, "loses": loses, "is not there": unheard}
	arrivals = 20 * time.Millisecond
)

type pending struct {
	at  time.Time
	out Outcome
}

// site is one entry host's core with backend servers in virtual time.
type site struct {
	core    *Core
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	servers map[string]behaviour
	queue   []pending
	sends   map[string][]time.Duration
	byID    map[string]int
	ends    map[string]*errkind.Error
	running map[string]int
	most    map[string]int
	next    int
	notes   map[string]int
	why     []string
}

func newSite(seed uint64) *site {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &site{
		rng: rng, now: time.Time{}.Add(time.Hour), servers: map[string]behaviour{}, sends: map[string][]time.Duration{},
		byID: map[string]int{}, ends: map[string]*errkind.Error{}, running: map[string]int{}, most: map[string]int{}, notes: map[string]int{},
	}
	s.start = s.now
	s.core = New("tamarind", standing.Customer{}, route.NewLeast("westlands", rng))
	s.list(backends)
	return s
}

func server(i int) string { return fmt.Sprintf("backend-%d", i) }

func (s *site) list(n int) {
	var list []route.Backend
	for i := range n {
		list = append(list, route.Backend{Name: server(i), Slots: slots, Limit: connLimit, Weight: 1})
	}
	s.apply(s.core.SetBackends(s.now, list))
}

func (s *site) elapsed() time.Duration { return s.now.Sub(s.start) }

func (s *site) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			s.send(a)
		case Finish:
			s.ends[a.ID] = a.Err
		case LogEvent:
			s.notes[a.Record.Action]++
			if a.Record.Action == "eject" {
				s.why = append(s.why, a.Record.Why)
			}
		}
	}
}

func (s *site) send(a Send) {
	s.sends[a.Backend] = append(s.sends[a.Backend], s.elapsed())
	s.byID[a.ID]++
	s.running[a.Backend]++
	s.most[a.Backend] = max(s.most[a.Backend], s.running[a.Backend])
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
	s.queue = append(s.queue, pending{s.now.Add(run), out})
}

// run lets requests arrive for d.
func (s *site) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		var due []pending
		s.queue = slices.DeleteFunc(s.queue, func(p pending) bool {
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
		if s.elapsed()%arrivals == 0 {
			s.next++
			s.apply(s.core.Arrive(s.now, Request{ID: fmt.Sprint(s.next), Deadline: s.now.Add(deadline)}))
		}
		s.apply(s.core.Tick(s.now))
	}
}

// after counts the sends to a server after a time.
func (s *site) after(name string, t time.Duration) int {
	n := 0
	for _, at := range s.sends[name] {
		if at > t {
			n++
		}
	}
	return n
}

// busiest returns the server that got most requests.
func (s *site) busiest() string {
	best := server(0)
	for i := range backends {
		if len(s.sends[server(i)]) > len(s.sends[best]) {
			best = server(i)
		}
	}
	return best
}

// maxProbes bounds the probes in d: one for each ejection of 2, 4, 8 ... 60 s.
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
		s := newSite(seed)
		s.run(5 * time.Minute)
		require.Zero(t, s.notes["eject"], "seed %d: %v", seed, s.why)
		require.Empty(t, s.core.Conditions())
	}
}

func TestServerThatFailsAtOnceDoesNotAttractWork(t *testing.T) {
	for name, b := range failure {
		t.Run(name, func(t *testing.T) {
			s := newSite(1)
			s.run(onset)
			victim := s.busiest()
			s.servers[victim] = b
			s.run(time.Minute)
			most := standing.DefaultEjectFailures + connLimit + maxProbes(time.Minute)
			require.LessOrEqual(t, s.after(victim, onset), most)
			require.Len(t, s.core.Conditions(), 1)
		})
	}
}

func TestFrozenServerGetsNoNewWork(t *testing.T) {
	const within = 5 * time.Second
	for seed := range uint64(3) {
		s := newSite(seed)
		s.run(onset)
		victim := s.busiest()
		s.servers[victim] = freezes
		s.run(time.Minute)
		require.LessOrEqual(t, s.after(victim, onset+within), maxProbes(time.Minute), "seed %d", seed)
		require.Equal(t, 1, len(s.core.Conditions()), "seed %d", seed)
	}
}

func TestSlowServerIsEjectedAndReturns(t *testing.T) {
	for seed := range uint64(3) {
		s := newSite(seed)
		s.run(onset)
		victim := s.busiest()
		s.servers[victim] = slowed
		s.run(4 * time.Minute)
		require.Positive(t, s.notes["eject"], "seed %d", seed)
		const probes = 3
		require.LessOrEqual(t, s.after(victim, s.elapsed()-time.Minute), probes*maxProbes(time.Minute), "seed %d", seed)
		s.servers[victim] = healthy
		s.run(2 * time.Minute)
		require.Empty(t, s.core.Conditions(), "seed %d", seed)
		require.Positive(t, s.after(victim, s.elapsed()-2*time.Minute), "seed %d", seed)
	}
}

func TestEjectedServerReturnsWithOneRequestAtATime(t *testing.T) {
	s := newSite(1)
	s.run(onset)
	victim := s.busiest()
	s.servers[victim] = fails
	s.run(10 * time.Second)
	s.servers[victim] = healthy
	s.most[victim] = 0
	for len(s.core.Conditions()) > 0 && s.elapsed() < onset+time.Minute {
		s.run(step)
		require.LessOrEqual(t, s.most[victim], 1)
	}
	require.Empty(t, s.core.Conditions())
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Run("seen by its own refusal", func(t *testing.T) {
		s := newSite(1)
		s.run(onset)
		victim := s.busiest()
		s.servers[victim] = leaves
		s.run(30 * time.Second)
		require.LessOrEqual(t, s.after(victim, onset), connLimit)
		require.Equal(t, []string{victim}, s.core.LeavingBackends())
		require.Empty(t, s.ends, "every refused request ran elsewhere")
	})
	t.Run("seen by a peer", func(t *testing.T) {
		s := newSite(1)
		s.run(onset)
		victim := s.busiest()
		s.apply(s.core.HintLeaving(s.now, []string{victim, "unknown"}))
		s.run(30 * time.Second)
		require.Zero(t, s.after(victim, onset))
		require.Empty(t, s.core.LeavingBackends(), "a hint is not passed on")
	})
	t.Run("no longer in the host list", func(t *testing.T) {
		s := newSite(1)
		s.run(onset)
		s.list(backends - 1)
		s.run(30 * time.Second)
		require.Zero(t, s.after(server(backends-1), onset))
	})
}

func TestEjectedShareIsBounded(t *testing.T) {
	s := newSite(1)
	s.run(onset)
	for i := range backends / 2 {
		s.servers[server(i)] = fails
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
	s := newSite(1)
	s.run(onset)
	for i := range backends {
		s.servers[server(i)] = refuses
	}
	before, arrived := total(s.byID), s.next
	s.run(30 * time.Second)
	const burst = 20
	require.LessOrEqual(t, total(s.byID)-before, s.next-arrived+burst+backends*slots)
	for id, err := range s.ends {
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

// TestSentTwiceOnlyWithProof draws random faults and checks each send after
// the first against what was known of the last one.
func TestResentOnlyIfSafe(t *testing.T) {
	states := []errkind.RunState{errkind.NotRun, errkind.Unknown, errkind.Ran}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		core := New("tamarind", standing.Customer{}, route.NewLeast("westlands", rng))
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
