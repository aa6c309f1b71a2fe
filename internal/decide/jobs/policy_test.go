package jobs

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
)

// fleet is one size to try placement at.
type fleet struct {
	workers int
	cores   int
	load    float64
	length  time.Duration
	// slow workers run tasks slowBy times longer.
	slow   int
	slowBy float64
}

// arrival is one job of a trial with its tasks' run times.
type arrival struct {
	at   time.Duration
	spec callerapi.Job
	runs []time.Duration
}

var (
	jobSizes  = []int{10, 10, 10, 10, 10, 40, 40, 40, 160, 670}
	taskCores = []int{1, 1, 1, 1, 1, 1, 1, 2, 2, 4}
)

// arrivals draws jobs that ask for the fleet's load: most tasks take 50 ms to
// a second, one in twenty takes 2 to 5 s.
func (f fleet) arrivals(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 9))
	var list []arrival
	demand := 0.0
	for i := 0; demand < f.load*float64(f.workers*f.cores)*f.length.Seconds(); i++ {
		a := arrival{at: time.Duration(rng.Int64N(int64(f.length)))}
		a.spec = callerapi.Job{Submission: fmt.Sprintf("job-%d", i), Customer: "tamarind", Attempt: 1, DeadlineMs: 50_000}
		cores := taskCores[rng.IntN(len(taskCores))]
		for n := range jobSizes[rng.IntN(len(jobSizes))] {
			run := 50*time.Millisecond + time.Duration(rng.Int64N(int64(950*time.Millisecond)))
			if rng.IntN(20) == 0 {
				run = 2*time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
			}
			a.spec.Tasks = append(a.spec.Tasks, callerapi.Task{Name: fmt.Sprintf("task-%d", n), Cores: cores})
			a.runs = append(a.runs, run)
			demand += float64(cores) * run.Seconds()
		}
		list = append(list, a)
	}
	return list
}

// outcomes are a trial's job times and messages.
type outcomes struct {
	spans    map[Key]time.Duration
	starts   int
	messages int
	refused  int
	appends  int
}

// trial runs the arrivals under a policy on a number of entry hosts.
func (f fleet) trial(list []arrival, hosts int, policy placement.Policy, instant bool) outcomes {
	w := newSizedWorld(1, hosts, f.workers, f.cores, policy)
	w.instant = instant
	for i := range f.slow {
		w.workers[i].slowBy = f.slowBy
	}
	for i, a := range list {
		k := Key{Customer: a.spec.Customer, Submission: a.spec.Submission}
		for n, run := range a.runs {
			w.runs[fmt.Sprintf("%s/task-%d", k, n)] = run
		}
		w.after(time.Second+a.at, func() { w.hosts[i%hosts].submit(a.spec) })
	}
	w.run(f.length + 60*time.Second)
	out := outcomes{spans: map[Key]time.Duration{}, starts: len(w.starts), messages: w.messages, refused: w.refused, appends: len(w.all)}
	for _, g := range w.given {
		if g.answer.State == callerapi.JobComplete {
			out.spans[g.key] = g.at
		}
	}
	for _, a := range list {
		out.spans[Key{Customer: a.spec.Customer, Submission: a.spec.Submission}] -= time.Second + a.at
	}
	return out
}

// against returns the mean and the 99th percentile of job times as multiples
// of the ideal's.
func (o outcomes) against(ideal outcomes) (mean, p99 float64) {
	var ratios []float64
	for k, span := range o.spans {
		ratios = append(ratios, float64(span)/float64(ideal.spans[k]))
		mean += ratios[len(ratios)-1] / float64(len(o.spans))
	}
	slices.Sort(ratios)
	return mean, ratios[len(ratios)*99/100]
}

func (o outcomes) perStart() float64 { return float64(o.messages) / float64(o.starts) }

// BenchmarkPolicies compares placement policies on eight entry hosts with the
// ideal: one entry host that knows everything at once.
func BenchmarkPolicies(b *testing.B) {
	fleets := []fleet{
		{workers: 50, cores: 32, load: 0.7, length: 15 * time.Second},
		{workers: 50, cores: 32, load: 0.95, length: 15 * time.Second},
		{workers: 880, cores: 48, load: 0.75, length: 5 * time.Second},
	}
	for _, f := range fleets {
		list := f.arrivals(1)
		ideal := f.trial(list, 1, placement.PolicyMostFree, true)
		for _, policy := range []placement.Policy{placement.PolicyHome, placement.PolicyMostFree, placement.PolicyRandom} {
			b.Run(fmt.Sprintf("%d-workers/load-%.2f/%s", f.workers, f.load, policy), func(b *testing.B) {
				for b.Loop() {
					got := f.trial(list, 8, policy, false)
					mean, p99 := got.against(ideal)
					b.ReportMetric(mean, "x-ideal-mean")
					b.ReportMetric(p99, "x-ideal-p99")
					b.ReportMetric(got.perStart(), "calls/start")
					b.ReportMetric(float64(got.refused)/float64(got.starts), "refused/start")
					b.ReportMetric(float64(got.starts)/f.length.Seconds(), "starts/s")
				}
			})
		}
	}
}

// stragglerSeeds is the number of arrival lists averaged over.
const stragglerSeeds = 5

// BenchmarkStragglers measures job times with slow workers among the others.
func BenchmarkStragglers(b *testing.B) {
	for _, slow := range []int{0, 1, 5} {
		f := fleet{workers: 50, cores: 32, load: 0.5, length: 15 * time.Second, slow: slow, slowBy: 10}
		b.Run(fmt.Sprintf("%d-of-50-slow", slow), func(b *testing.B) {
			for b.Loop() {
				mean, p99 := 0.0, 0.0
				for seed := range uint64(stragglerSeeds) {
					list := f.arrivals(seed)
					ideal := fleet{workers: 50, cores: 32, length: f.length}.trial(list, 1, placement.PolicyMostFree, true)
					m, p := f.trial(list, 8, placement.PolicyHome, false).against(ideal)
					mean += m / stragglerSeeds
					p99 += p / stragglerSeeds
				}
				b.ReportMetric(mean, "x-ideal-mean")
				b.ReportMetric(p99, "x-ideal-p99")
			}
		})
	}
}

// TestMessagesPerStart bounds the calls to workers: one start with its result
// is two calls, and tasks that travel together share them.
func TestMessagesPerStart(t *testing.T) {
	f := fleet{workers: 50, cores: 32, load: 0.7, length: 5 * time.Second}
	list := f.arrivals(2)
	got := f.trial(list, 8, placement.PolicyHome, false)
	require.Len(t, got.spans, len(list))
	require.Less(t, got.perStart(), 2.0)
}

// largeTaskWait floods a fleet with small tasks, more than it can run, and
// returns how long a task waits that needs a whole worker.
func largeTaskWait(hosts int, reserve time.Duration) time.Duration {
	w := newSizedWorld(1, hosts, 16, 32, placement.PolicyHome)
	for _, h := range w.hosts {
		h.core.cfg.ReserveAfter = reserve
	}
	flood := fleet{workers: 16, cores: 32, load: 1.5, length: 20 * time.Second}
	for i, a := range flood.arrivals(3) {
		for n, run := range a.runs {
			w.runs[fmt.Sprintf("tamarind/%s/task-%d", a.spec.Submission, n)] = run
			a.spec.Tasks[n].Cores = 1
		}
		w.after(time.Second+a.at, func() { w.hosts[i%hosts].submit(a.spec) })
	}
	large := callerapi.Job{
		Submission: "large", Customer: "tamarind", Attempt: 1, DeadlineMs: 50_000,
		Tasks: []callerapi.Task{{Name: "task-0", Cores: 32}},
	}
	w.runs["tamarind/large/task-0"] = 500 * time.Millisecond
	began := 8 * time.Second
	w.after(began, func() { w.hosts[0].submit(large) })
	w.run(70 * time.Second)
	for _, g := range w.given {
		if g.key.Submission == "large" && g.answer.State == callerapi.JobComplete {
			return g.at - began
		}
	}
	return w.at
}

// TestLargeTaskIsNotStarvedBySmallOnes bounds the wait of a task that needs a
// whole worker by the longest small task, the wait before a worker is kept and
// its own run, twice over.
func TestLargeTaskIsNotStarvedBySmallOnes(t *testing.T) {
	const bound = 2 * (5*time.Second + 300*time.Millisecond + 500*time.Millisecond)
	for _, hosts := range []int{1, 8} {
		kept := largeTaskWait(hosts, 300*time.Millisecond)
		t.Logf("%d hosts: %v with a worker kept, %v without", hosts, kept, largeTaskWait(hosts, time.Hour))
		require.Less(t, kept, bound, "%d hosts", hosts)
	}
}
