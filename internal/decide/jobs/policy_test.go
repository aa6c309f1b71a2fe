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

// trialFleet describes a fleet and its load for a placement trial.
type trialFleet struct {
	workers  int
	cores    int
	load     float64
	duration time.Duration
	// slow is the number of workers that take slowBy times as long for a task.
	slow   int
	slowBy float64
}

// arrival is one job of a trial, with the run times of its tasks.
type arrival struct {
	at       time.Duration
	spec     callerapi.Job
	runTimes []time.Duration
}

var (
	jobSizes  = []int{10, 10, 10, 10, 10, 40, 40, 40, 160, 670}
	taskCores = []int{1, 1, 1, 1, 1, 1, 1, 2, 2, 4}
)

// arrivals returns random jobs that add up to the fleet's load: most tasks take
// 50 ms to 1 s, one in twenty takes 2 to 5 s.
func (f trialFleet) arrivals(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 9))
	var list []arrival
	demand := 0.0
	for i := 0; demand < f.load*float64(f.workers*f.cores)*f.duration.Seconds(); i++ {
		a := arrival{at: time.Duration(rng.Int64N(int64(f.duration)))}
		a.spec = callerapi.Job{Submission: fmt.Sprintf("job-%d", i), Customer: "tamarind", Attempt: 1, DeadlineMs: 50_000}
		cores := taskCores[rng.IntN(len(taskCores))]
		for n := range jobSizes[rng.IntN(len(jobSizes))] {
			run := 50*time.Millisecond + time.Duration(rng.Int64N(int64(950*time.Millisecond)))
			if rng.IntN(20) == 0 {
				run = 2*time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
			}
			a.spec.Tasks = append(a.spec.Tasks, callerapi.Task{Name: fmt.Sprintf("task-%d", n), Cores: cores})
			a.runTimes = append(a.runTimes, run)
			demand += float64(cores) * run.Seconds()
		}
		list = append(list, a)
	}
	return list
}

// trialResult holds the job times and message counts of a trial.
type trialResult struct {
	jobTimes map[Key]time.Duration
	starts   int
	messages int
	refused  int
	appends  int
}

// trial runs the arrivals under a policy with the given number of entry hosts.
func (f trialFleet) trial(list []arrival, hosts int, policy placement.Policy, instant bool) trialResult {
	s := newSizedSimulation(1, hosts, f.workers, f.cores, policy)
	s.instant = instant
	for i := range f.slow {
		s.workers[i].slowBy = f.slowBy
	}
	for i, a := range list {
		k := Key{Customer: a.spec.Customer, Submission: a.spec.Submission}
		for n, run := range a.runTimes {
			s.runTimes[fmt.Sprintf("%s/task-%d", k, n)] = run
		}
		s.after(time.Second+a.at, func() { s.hosts[i%hosts].submit(a.spec) })
	}
	s.run(f.duration + 60*time.Second)
	out := trialResult{jobTimes: map[Key]time.Duration{}, starts: len(s.starts), messages: s.messages, refused: s.refused, appends: len(s.allRecords)}
	for _, reply := range s.replies {
		if reply.answer.State == callerapi.JobComplete {
			out.jobTimes[reply.key] = reply.at
		}
	}
	for _, a := range list {
		out.jobTimes[Key{Customer: a.spec.Customer, Submission: a.spec.Submission}] -= time.Second + a.at
	}
	return out
}

// relativeTo returns the mean and the 99th percentile of job times as multiples
// of those in the ideal result.
func (o trialResult) relativeTo(ideal trialResult) (mean, p99 float64) {
	var ratios []float64
	for k, jobTime := range o.jobTimes {
		ratios = append(ratios, float64(jobTime)/float64(ideal.jobTimes[k]))
		mean += ratios[len(ratios)-1] / float64(len(o.jobTimes))
	}
	slices.Sort(ratios)
	return mean, ratios[len(ratios)*99/100]
}

func (o trialResult) perStart() float64 { return float64(o.messages) / float64(o.starts) }

// BenchmarkPolicies compares placement policies on eight entry hosts with an
// ideal: one entry host whose messages take no time.
func BenchmarkPolicies(b *testing.B) {
	fleets := []trialFleet{
		{workers: 50, cores: 32, load: 0.7, duration: 15 * time.Second},
		{workers: 50, cores: 32, load: 0.95, duration: 15 * time.Second},
		{workers: 880, cores: 48, load: 0.75, duration: 5 * time.Second},
	}
	for _, f := range fleets {
		list := f.arrivals(1)
		ideal := f.trial(list, 1, placement.PolicyMostFree, true)
		for _, policy := range []placement.Policy{placement.PolicyHome, placement.PolicyMostFree, placement.PolicyRandom} {
			b.Run(fmt.Sprintf("%d-workers/load-%.2f/%s", f.workers, f.load, policy), func(b *testing.B) {
				for b.Loop() {
					got := f.trial(list, 8, policy, false)
					mean, p99 := got.relativeTo(ideal)
					b.ReportMetric(mean, "x-ideal-mean")
					b.ReportMetric(p99, "x-ideal-p99")
					b.ReportMetric(got.perStart(), "calls/start")
					b.ReportMetric(float64(got.refused)/float64(got.starts), "refused/start")
					b.ReportMetric(float64(got.starts)/f.duration.Seconds(), "starts/s")
				}
			})
		}
	}
}

// stragglerSeeds is the number of seeds averaged over.
const stragglerSeeds = 5

// BenchmarkStragglers measures job times when some workers are slow.
func BenchmarkStragglers(b *testing.B) {
	for _, slow := range []int{0, 1, 5} {
		f := trialFleet{workers: 50, cores: 32, load: 0.5, duration: 15 * time.Second, slow: slow, slowBy: 10}
		b.Run(fmt.Sprintf("%d-of-50-slow", slow), func(b *testing.B) {
			for b.Loop() {
				mean, p99 := 0.0, 0.0
				for seed := range uint64(stragglerSeeds) {
					list := f.arrivals(seed)
					ideal := trialFleet{workers: 50, cores: 32, duration: f.duration}.trial(list, 1, placement.PolicyMostFree, true)
					m, p := f.trial(list, 8, placement.PolicyHome, false).relativeTo(ideal)
					mean += m / stragglerSeeds
					p99 += p / stragglerSeeds
				}
				b.ReportMetric(mean, "x-ideal-mean")
				b.ReportMetric(p99, "x-ideal-p99")
			}
		})
	}
}

// TestMessagesPerStart bounds the calls to workers. One start and the read of
// its result are two calls; tasks sent in one message share them.
func TestMessagesPerStart(t *testing.T) {
	f := trialFleet{workers: 50, cores: 32, load: 0.7, duration: 5 * time.Second}
	list := f.arrivals(2)
	got := f.trial(list, 8, placement.PolicyHome, false)
	require.Len(t, got.jobTimes, len(list))
	require.Less(t, got.perStart(), 2.0)
}

// largeTaskTime loads a fleet with more small tasks than it can run, and
// returns how long a task that needs a whole worker takes to complete.
func largeTaskTime(hosts int, reserve time.Duration) time.Duration {
	s := newSizedSimulation(1, hosts, 16, 32, placement.PolicyHome)
	for _, h := range s.hosts {
		h.core.cfg.ReserveAfter = reserve
	}
	overload := trialFleet{workers: 16, cores: 32, load: 1.5, duration: 20 * time.Second}
	for i, a := range overload.arrivals(3) {
		for n, run := range a.runTimes {
			s.runTimes[fmt.Sprintf("tamarind/%s/task-%d", a.spec.Submission, n)] = run
			a.spec.Tasks[n].Cores = 1
		}
		s.after(time.Second+a.at, func() { s.hosts[i%hosts].submit(a.spec) })
	}
	large := callerapi.Job{
		Submission: "large", Customer: "tamarind", Attempt: 1, DeadlineMs: 50_000,
		Tasks: []callerapi.Task{{Name: "task-0", Cores: 32}},
	}
	s.runTimes["tamarind/large/task-0"] = 500 * time.Millisecond
	began := 8 * time.Second
	s.after(began, func() { s.hosts[0].submit(large) })
	s.run(70 * time.Second)
	for _, reply := range s.replies {
		if reply.key.Submission == "large" && reply.answer.State == callerapi.JobComplete {
			return reply.at - began
		}
	}
	return s.elapsed
}

// TestLargeTaskIsNotStarvedBySmallOnes bounds the time of a task that needs a
// whole worker by twice the sum of the longest small task, the wait before a
// worker is reserved, and its own run time.
func TestLargeTaskIsNotStarvedBySmallOnes(t *testing.T) {
	const bound = 2 * (5*time.Second + 300*time.Millisecond + 500*time.Millisecond)
	for _, hosts := range []int{1, 8} {
		withReservation := largeTaskTime(hosts, 300*time.Millisecond)
		t.Logf("%d hosts: %v with a worker reserved, %v without", hosts, withReservation, largeTaskTime(hosts, time.Hour))
		require.Less(t, withReservation, bound, "%d hosts", hosts)
	}
}
