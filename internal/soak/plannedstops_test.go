//go:build e2e

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/standin/taskworker"
)

const (
	// clientsPerHost is how many clients there are for each host. Each uses one connection
	// at a time.
	clientsPerHost = 60
	// At most maxStopping hosts stop or start at once; the others accept connections. In
	// every second seed all hosts may, and the stops of a series come as often as maxRushGap.
	maxStopping = 4
	maxRushGap  = 300 * time.Millisecond
	// stopSeries is the number of series of planned stops that overlap, and maxStopGap the
	// longest time between two stops of a series.
	stopSeries = 2
	maxStopGap = 1500 * time.Millisecond
	// maxChangeGap is the longest time between two reloads, or two configurations, and
	// maxRepeatGap the longest between two SIGTERMs to hosts that may be stopping.
	maxChangeGap = 2 * time.Second
	maxRepeatGap = 800 * time.Millisecond
	// probePeriod is the time between two readiness probes of the load balancer, and
	// maxMisses the misses in a row after which a host gets no new connections.
	probePeriod = time.Second
	maxMisses   = 2
	// A client pauses for up to maxPause before a request, and in shortPauseShare of the
	// cases for up to maxShortPause.
	maxPause        = 3500 * time.Millisecond
	maxShortPause   = 20 * time.Millisecond
	shortPauseShare = 0.3
	// Long jobs take between minLongTime and maxLongTime, in up to maxLongSteps steps. Their
	// callers wait up to maxLongWait longer than twice that.
	minLongTime  = 4 * time.Second
	maxLongTime  = 8 * time.Second
	maxLongWait  = 2 * time.Second
	maxLongSteps = 3
	// visibleTime is how long after its acceptance a stored job may be unknown to a host, and
	// stableTime how long after a host has started again that holds for it.
	visibleTime = 3 * time.Second
	stableTime  = 3 * time.Second
	// lostSlack is how old a request may be that crosses the end of its connection.
	lostSlack = 200 * time.Millisecond
	// lastSixth begins the part of the grace period in which a task that is still at work
	// excuses the end of its connection, if its job was sent within excusedSends of SIGTERM.
	lastSixth    = grace * 5 / 6
	excusedSends = 3 * time.Second
)

// plannedLayout is the fleet of TestPlannedStops.
var plannedLayout = layout{
	zones: zones, hostsPerZone: 3, workersPerZone: 15,
	subnet:       func(n int) string { return fmt.Sprintf("127.0.%d.", n) },
	runTime:      runTimeOf,
	routeTimeout: 2*maxLongTime + maxLongWait,
}

// jobID returns the id of a job whose tasks take the given time.
func jobID(prefix string, runTime time.Duration, client, n int) string {
	return fmt.Sprintf("%s%04x%04x%07x", prefix, runTime.Milliseconds(), client, n)
}

// runTimeOf returns the time that a task takes, which is part of its job's id.
func runTimeOf(task string) time.Duration {
	ms, err := strconv.ParseInt(task[1:5], 16, 64)
	if err != nil || ms == 0 {
		return taskTime
	}
	return time.Duration(ms) * time.Millisecond
}

// TestPlannedStops checks that under planned work each whole request gets a whole answer,
// unless it crosses the end of its connection.
func TestPlannedStops(t *testing.T) {
	bin := buildDaemon(t)
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			plannedStops(t, bin, seed)
		})
	}
}

// plannedFleet is a fleet with its planned work and the requests without an answer.
type plannedFleet struct {
	*fleet
	// stopping bounds the hosts that stop or start at once.
	stopping chan struct{}
	// maxStopGap is the longest time between two stops of a series.
	maxStopGap time.Duration
	// over is closed when the clients leave.
	over chan struct{}

	mu sync.Mutex
	// accepts holds whether the load balancer gives a host new connections.
	accepts map[*host]bool
	// away holds the hosts that stop or start, and stops when each host got SIGTERM.
	away  map[*host]bool
	stops map[*host][]time.Time
	cuts  []cut
}

// cut is a whole request whose connection ended without a whole answer.
type cut struct {
	request
	host        *host
	sent, ended time.Time
	err         error
}

func plannedStops(t *testing.T, bin string, seed uint64) {
	f := &plannedFleet{
		fleet: newFleet(t, bin, plannedLayout, nextSubnet()), stopping: make(chan struct{}, maxStopping), maxStopGap: maxStopGap,
		over: make(chan struct{}), accepts: map[*host]bool{}, away: map[*host]bool{}, stops: map[*host][]time.Time{},
	}
	if seed%2 == 1 {
		f.stopping, f.maxStopGap = make(chan struct{}, len(f.hosts)), maxRushGap
	}
	for _, h := range f.hosts {
		require.Eventually(t, func() bool { return f.ready(h) }, recoveryTimeout, 50*time.Millisecond, "%s is not ready", h.name)
		f.accepts[h] = true
	}
	var work, clients sync.WaitGroup
	accepted := make(chan string, 1<<16)
	for _, h := range f.hosts {
		clients.Go(func() { f.probe(h) })
	}
	for i := range clientsPerHost * len(f.hosts) {
		c := &client{plannedFleet: f, number: i, rng: rand.New(rand.NewPCG(seed, uint64(100+i))), accepted: accepted}
		clients.Go(func() { c.run(f.hosts[i%len(f.hosts)]) })
	}
	var late time.Duration
	clients.Go(func() { late = f.lateness() })
	f.beginWork(&work, seed, time.Now().Add(*length))
	work.Wait()
	close(f.over)
	clients.Wait()
	close(accepted)
	f.checkRecovery(accepted)
	for _, c := range f.cuts {
		f.judge(c)
	}
	for _, v := range f.ledger.violations {
		t.Error(v)
	}
	t.Logf("seed %d: %v; timers up to %v late; logs in %s if it failed", seed, f.ledger.counts, late, f.dir)
}

// beginWork begins the planned work: series of stops, reloads and configurations.
func (f *plannedFleet) beginWork(work *sync.WaitGroup, seed uint64, end time.Time) {
	series := func(stream uint64, maxGap time.Duration, one func(rng *rand.Rand)) {
		rng := rand.New(rand.NewPCG(seed, stream))
		work.Go(func() {
			for {
				time.Sleep(time.Duration(rng.Int64N(int64(maxGap))))
				if time.Now().After(end) {
					return
				}
				one(rng)
			}
		})
	}
	for s := range stopSeries {
		var order []int
		series(uint64(11+s), f.maxStopGap, func(rng *rand.Rand) {
			if len(order) == 0 {
				order = rng.Perm(len(f.hosts))
			}
			h := f.hosts[order[0]]
			order = order[1:]
			f.stopping <- struct{}{}
			work.Go(func() {
				defer func() { <-f.stopping }()
				if time.Now().Before(end) {
					f.stop(h)
				}
			})
		})
	}
	series(21, maxChangeGap, func(rng *rand.Rand) { f.reload(f.hosts[rng.IntN(len(f.hosts))]) })
	series(23, maxRepeatGap, func(rng *rand.Rand) { f.stopAgain(f.hosts[rng.IntN(len(f.hosts))]) })
	series(22, maxChangeGap, func(*rand.Rand) {
		f.note("configuration %d", f.version+1)
		f.configure()
	})
}

func (f *plannedFleet) note(format string, args ...any) {
	f.t.Logf("%6.3f s: %s", time.Since(f.ledger.startTime).Seconds(), fmt.Sprintf(format, args...))
}

func (f *plannedFleet) count(what string) {
	f.ledger.locked(func() { f.ledger.counts[what]++ })
}

// stop stops a host as planned and returns when it is ready again. It does nothing if the
// host stops or starts.
func (f *plannedFleet) stop(h *host) {
	f.mu.Lock()
	away := f.away[h]
	if !away {
		f.away[h] = true
		f.stops[h] = append(f.stops[h], time.Now())
	}
	f.mu.Unlock()
	if away {
		return
	}
	f.note("stop %s", h.name)
	f.restart(h, syscall.SIGTERM)
	for limit := time.Now().Add(recoveryTimeout); !f.ready(h) && time.Now().Before(limit); {
		time.Sleep(20 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away[h] = false
}

// stopAgain sends SIGTERM to a host that is stopping already, as a service manager or a
// second operator may.
func (f *plannedFleet) stopAgain(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ending == nil {
		return
	}
	f.note("stop %s again", h.name)
	_ = h.ending.Process.Signal(syscall.SIGTERM)
}

// reload sends SIGHUP to a host. A process that has just been started would be ended by it.
func (f *plannedFleet) reload(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note("reload %s", h.name)
	if !f.away[h] {
		h.signal(syscall.SIGHUP)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ending != nil {
		_ = h.ending.Process.Signal(syscall.SIGHUP)
	}
}

// probe probes a host's readiness as the load balancer does.
func (f *plannedFleet) probe(h *host) {
	for misses := 0; ; {
		began := time.Now()
		if misses++; f.ready(h) {
			misses = 0
		}
		f.mu.Lock()
		f.accepts[h] = misses < maxMisses
		f.mu.Unlock()
		select {
		case <-f.over:
			return
		case <-time.After(time.Until(began.Add(probePeriod))):
		}
	}
}

// lateness returns how late a timer of this process was at most: the clients see the end
// of a connection that late.
func (f *plannedFleet) lateness() (late time.Duration) {
	const period = 5 * time.Millisecond
	for began := time.Now(); ; began = time.Now() {
		select {
		case <-f.over:
			return late
		case <-time.After(period):
			late = max(late, time.Since(began)-period)
		}
	}
}

// choose draws a host that gets new connections, or returns nil.
func (f *plannedFleet) choose(rng *rand.Rand) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range rng.Perm(len(f.hosts)) {
		if h := f.hosts[i]; f.accepts[h] {
			return h
		}
	}
	return nil
}

// judge checks a request without an answer.
func (f *plannedFleet) judge(c cut) {
	stop, stopped := f.ledger.startTime, false
	for _, s := range f.stops[c.host] {
		if s.Before(c.ended) {
			stop, stopped = s, true
		}
	}
	age := c.ended.Sub(c.sent)
	f.ledger.locked(func() {
		runs := f.ledger.runsOf(c.job)
		passedOn := c.method == http.MethodPost && slices.ContainsFunc(runs, func(r taskRun) bool {
			return c.bestEffort || r.began.Before(c.ended)
		})
		atWork := slices.ContainsFunc(runs, func(r taskRun) bool {
			return r.began.Before(c.ended) && r.ended.After(stop.Add(lastSixth))
		})
		switch {
		case !passedOn && age <= lostSlack:
			what := "crossed the end of the connection early"
			if stopped && c.ended.After(stop.Add(lastSixth)) {
				what = "crossed the end of the process"
			}
			f.ledger.counts[what]++
			f.ledger.counts["oldest that crossed, ms"] = max(f.ledger.counts["oldest that crossed, ms"], int(age.Milliseconds()))
		case stopped && atWork && c.sent.Before(stop.Add(excusedSends)):
			f.ledger.counts["cut at work in the last sixth"]++
		default:
			text := ""
			for _, r := range runs {
				text += fmt.Sprintf("; run %d of %s on %s from %.3f s to %.3f s %s",
					r.number, r.task, r.worker, r.began.Sub(stop).Seconds(), r.ended.Sub(stop).Seconds(), r.result)
			}
			f.ledger.fail("%s %s got no answer from %s: sent %.3f s, and connection ended %.3f s, after SIGTERM (%t) at %s, %v after its last byte: %v%s",
				c.what, c.job, c.host.name, c.sent.Sub(stop).Seconds(), c.ended.Sub(stop).Seconds(), stopped, stop.UTC().Format(clockFormat), age, c.err, text)
		}
	})
}

// taskRun is a run of a task, with the time at which it ended and why.
type taskRun struct {
	task, worker, result string
	number               int
	began, ended         time.Time
}

// runsOf returns the runs of a job's tasks. The caller must hold l.mu.
func (l *ledger) runsOf(job string) []taskRun {
	var runs []taskRun
	for task, events := range l.history {
		if !strings.HasPrefix(task, job+".") {
			continue
		}
		for i, e := range events {
			if e.Kind != taskworker.Started {
				continue
			}
			r := taskRun{task: task, worker: e.Worker, number: e.Run, began: e.at, ended: time.Now()}
			for _, later := range events[i+1:] {
				if later.Worker == r.worker && later.Run == r.number {
					r.ended, r.result = later.at, later.Kind
					break
				}
			}
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b taskRun) int { return a.began.Compare(b.began) })
	return runs
}
