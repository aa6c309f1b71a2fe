//go:build e2e

package soak

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	standstillHosts   = flag.Int("standstill-hosts", 6, "entry hosts of a fleet of TestStandstills, in three zones")
	standstillWorkers = flag.Int("standstill-workers", 18, "workers of a fleet of TestStandstills")
	standstillMax     = flag.Duration("standstill-max", 2*time.Second, "longest time for which TestStandstills suspends a host")
)

// standstillZones are the zones of TestStandstills.
var standstillZones = []string{"coast", "hills", "plain"}

const (
	// longPrefix is the first character of the ids of jobs whose task takes longTaskTime.
	longPrefix   = "9"
	longTaskTime = 2 * time.Second
	// longLoad is the share of the workers' room that long tasks take.
	longLoad = 0.45
	// shortPerHost and storedPerHost are the short and the stored jobs each second.
	shortPerHost  = 1.0
	storedPerHost = 0.15
	// A caller waits between minCallerLimit, or a little longer than its task takes, and
	// maxCallerLimit. It sends the job again retryDelay after it saw no answer, maxSends
	// times in all.
	minCallerLimit = 1500 * time.Millisecond
	maxCallerLimit = 3 * time.Second
	callerMargin   = 50 * time.Millisecond
	retryDelay     = 1300 * time.Millisecond
	maxSends       = 4
	// faultsPerHost is the number of faults per host and second. One concerns up to
	// maxTogether hosts.
	faultsPerHost = 0.25
	maxTogether   = 3
	// At most maxStanding hosts stand still at once, each for at least minStandstill.
	maxStanding   = 3
	minStandstill = 100 * time.Millisecond
	// resetShare is the share of standstills in which callers lose their connections, and
	// resetSpread the time within which connections are reset together.
	resetShare  = 0.5
	resetSpread = 200 * time.Millisecond
)

// faultsLog and callersLog take the place of a host's name in timelines.
const (
	faultsLog  = "(faults)"
	callersLog = "(caller)"
)

// TestStandstills checks that no task has two runs at once while hosts stand still, end
// and lose each other, and callers send their jobs again.
func TestStandstills(t *testing.T) {
	require.Zero(t, *standstillHosts%len(standstillZones), "hosts in %d zones", len(standstillZones))
	require.Zero(t, *standstillWorkers%len(standstillZones), "workers in %d zones", len(standstillZones))
	bin := buildDaemon(t)
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			standstills(t, bin, seed)
		})
	}
}

// standstillFleet is a fleet with the records of its faults and of the callers that had
// to send their jobs again.
type standstillFleet struct {
	*fleet

	mu  sync.Mutex
	log []logLine
	// calls holds the functions that break off the open calls to each host.
	calls map[*host]map[int]context.CancelCauseFunc
	sent  int
}

var errReset = errors.New("connection reset")

// noteLeases notes the leases of workers on which a task runs at once.
func (f *standstillFleet) noteLeases(task string, workers []string) {
	for _, w := range f.workers {
		if slices.Contains(workers, w.id) {
			renewed, end := w.standin.Lease()
			f.note(w.id, "lease renewed at %s until %s, with a run of %s", renewed.UTC().Format(clockFormat), end.UTC().Format(clockFormat), task)
		}
	}
}

// open registers a call to a host. The returned function ends the registration.
func (f *standstillFleet) open(h *host, breakOff context.CancelCauseFunc) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	number := f.sent
	if f.calls[h] == nil {
		f.calls[h] = map[int]context.CancelCauseFunc{}
	}
	f.calls[h][number] = breakOff
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.calls[h], number)
	}
}

// resetCallers breaks off the open calls to a host.
func (f *standstillFleet) resetCallers(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, breakOff := range f.calls[h] {
		breakOff(errReset)
	}
}

func (f *standstillFleet) note(who, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, logLine{who, time.Now(), fmt.Sprintf(format, args...)})
}

func standstills(t *testing.T, bin string, seed uint64) {
	f := &standstillFleet{fleet: newFleet(t, bin, layout{
		zones:        standstillZones,
		hostsPerZone: *standstillHosts / len(standstillZones), workersPerZone: *standstillWorkers / len(standstillZones),
		subnet: func(n int) string { return fmt.Sprintf("127.%d.%d.", firstLinkNet, n) },
		runTime: func(task string) time.Duration {
			if strings.HasPrefix(task, longPrefix) {
				return longTaskTime
			}
			return taskTime
		},
		proxiesHosts: true,
	}, nextSubnet()), calls: map[*host]map[int]context.CancelCauseFunc{}}
	for _, h := range f.hosts {
		require.Eventually(t, func() bool { return f.ready(h) }, recoveryTimeout, 50*time.Millisecond, "%s is not ready", h.name)
	}
	f.ledger.locked(func() {
		f.ledger.overlapped = func(task string, workers []string) { go f.noteLeases(task, workers) }
	})
	var running sync.WaitGroup
	accepted := make(chan string, 4096)
	began := time.Now()
	f.loadWithRetries(&running, seed, began.Add(*length), accepted)
	for _, fault := range f.drawStandstills(rand.New(rand.NewPCG(seed, 7))) {
		running.Go(func() {
			time.Sleep(time.Until(began.Add(fault.at)))
			f.note(faultsLog, "%s, for %v", fault.name, fault.duration.Round(time.Millisecond))
			fault.begin()
			if fault.end != nil {
				time.Sleep(fault.duration)
				fault.end()
			}
		})
	}
	running.Wait()
	close(accepted)
	f.checkRecovery(accepted)
	f.ledger.locked(func() {
		for _, p := range f.ledger.violations {
			t.Error(p)
		}
		for _, o := range f.ledger.overlaps {
			lines := slices.Clone(f.log)
			for _, e := range f.ledger.history[o.task] {
				lines = append(lines, logLine{e.Worker, e.at, fmt.Sprintf("%s run %d: %s", e.Task, e.Run, e.Kind)})
			}
			text, err := f.explain(o, lines)
			assert.NoError(t, err)
			t.Log(text)
		}
		t.Logf("seed %d: %v; logs in %s if it failed", seed, f.ledger.counts, f.dir)
	})
}

// timedFault is a fault that begins at a time after the start.
type timedFault struct {
	at, duration time.Duration
	name         string
	// end may be nil.
	begin, end func()
}

// drawing draws the faults of a seed.
type drawing struct {
	*standstillFleet
	rng    *rand.Rand
	faults []timedFault
	// standing holds when the last standstill of each host ends.
	standing map[*host]time.Duration
}

func (d *drawing) upTo(limit time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(limit)))
}

func (d *drawing) duration() time.Duration {
	return minStandstill + d.upTo(*standstillMax-minStandstill+1)
}

// add adds a fault. The function end may be nil.
func (d *drawing) add(at, duration time.Duration, name string, begin, end func()) {
	d.faults = append(d.faults, timedFault{at, duration, name, begin, end})
}

// someHosts draws up to maxTogether hosts.
func (d *drawing) someHosts() []*host {
	var hosts []*host
	for _, i := range d.rng.Perm(len(d.hosts))[:1+d.rng.IntN(maxTogether)] {
		hosts = append(hosts, d.hosts[i])
	}
	return hosts
}

// drawStandstills draws the faults of a seed.
func (f *standstillFleet) drawStandstills(rng *rand.Rand) []timedFault {
	d := &drawing{standstillFleet: f, rng: rng, standing: map[*host]time.Duration{}}
	rate := faultsPerHost * float64(len(f.hosts))
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= *length {
			return d.faults
		}
		switch kind := rng.IntN(100); {
		case kind < 50:
			for _, h := range d.someHosts() {
				d.standstill(h, at+d.upTo(*standstillMax/2))
			}
		case kind < 58:
			for _, h := range d.someHosts() {
				d.add(at+d.upTo(resetSpread), 0, "reset of the callers of "+h.name, func() { f.resetCallers(h) }, nil)
			}
		case kind < 64:
			for _, h := range d.someHosts() {
				d.add(at, restartDelay, "kill "+h.name, func() {
					h.markDisrupted()
					f.restart(h, syscall.SIGKILL)
				}, h.markDisrupted)
			}
		case kind < 67:
			h := d.someHosts()[0]
			d.add(at, grace, "stop "+h.name, func() { f.restart(h, syscall.SIGTERM) }, nil)
		case kind < 80:
			d.zonesApart(at)
		case kind < 92:
			d.silence(at)
		default:
			d.ordersLost(at)
		}
	}
}

// standstill suspends a host, unless it or maxStanding others are suspended then. The
// connections of its callers may be reset at its beginning.
func (d *drawing) standstill(h *host, at time.Duration) {
	duration, reset := d.duration(), d.rng.Float64() < resetShare
	others := 0
	for _, until := range d.standing {
		if until > at {
			others++
		}
	}
	if d.standing[h] > at || others >= maxStanding {
		return
	}
	d.standing[h] = at + duration
	d.add(at, duration, "standstill of "+h.name, func() { d.freeze(h, true) }, func() { d.freeze(h, false) })
	if reset {
		d.add(at+d.upTo(resetSpread), 0, "reset of the callers of "+h.name, func() { d.resetCallers(h) }, nil)
	}
}

// zonesApart ends the connections between two zones: they are reset at both ends, or at
// one end only, while everything between the zones is dropped.
func (d *drawing) zonesApart(at time.Duration) {
	zones := d.rng.Perm(len(standstillZones))
	oneEnd, duration := d.rng.IntN(2) == 0, d.duration()
	for _, a := range d.inZone(standstillZones[zones[0]]) {
		for _, b := range d.inZone(standstillZones[zones[1]]) {
			begin := at + d.upTo(resetSpread)
			if !oneEnd {
				d.add(begin, 0, "reset between "+a.name+" and "+b.name, func() { d.links.reset(a, b) }, nil)
				continue
			}
			d.add(begin, duration, "cut from "+b.name+" with a reset at "+a.name,
				func() { d.links.cut(a, b) }, func() { d.links.set(a, b, passThrough) })
		}
	}
	if oneEnd && d.rng.IntN(2) == 0 {
		d.ordersLost(at + d.upTo(time.Second))
	}
}

// silence drops what two hosts send, or what one of them sends to the other.
func (d *drawing) silence(at time.Duration) {
	order := d.rng.Perm(len(d.hosts))
	a, b, m, name := d.hosts[order[0]], d.hosts[order[1]], dropAll, "silence between %s and %s"
	if d.rng.IntN(2) == 0 {
		m, name = dropReplies, "%s hears nothing from %s"
	}
	d.add(at, d.duration(), fmt.Sprintf(name, a.name, b.name),
		func() { d.links.set(a, b, m) }, func() { d.links.set(a, b, passThrough) })
}

// ordersLost drops what is sent to some workers, or their replies.
func (d *drawing) ordersLost(at time.Duration) {
	m, what := dropRequests, "requests"
	if d.rng.IntN(4) == 0 {
		m, what = dropReplies, "replies"
	}
	duration := d.duration()
	for _, i := range d.rng.Perm(len(d.workers))[:1+d.rng.IntN(len(d.workers)/3)] {
		w := d.workers[i]
		d.add(at, duration, w.id+" loses "+what, func() { w.proxy.set(m) }, func() { w.proxy.set(passThrough) })
	}
}

// loadWithRetries submits jobs until end.
func (f *standstillFleet) loadWithRetries(running *sync.WaitGroup, seed uint64, end time.Time, accepted chan<- string) {
	send := func(perSecond float64, stream uint64, one func(rng *rand.Rand, n int)) {
		rng := rand.New(rand.NewPCG(seed, stream))
		running.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
				single := rand.New(rand.NewPCG(seed+uint64(n), stream))
				running.Go(func() { one(single, n) })
			}
		})
	}
	hosts, room := float64(len(f.hosts)), float64(tasksPerWorker*len(f.workers))
	send(longLoad*room/longTaskTime.Seconds(), 8, func(rng *rand.Rand, n int) {
		f.submitAgain(rng, fmt.Sprintf(longPrefix+"%015x", n), longTaskTime)
	})
	send(shortPerHost*hosts, 9, func(rng *rand.Rand, n int) {
		f.submitAgain(rng, fmt.Sprintf("1%015x", n), taskTime)
	})
	send(storedPerHost*hosts, 10, func(rng *rand.Rand, n int) {
		f.submitStored(rng, fmt.Sprintf(storedPrefix+"%015x", n), accepted)
	})
}

// submitAgain submits a best-effort job of one task, and again to another host after no
// answer, a broken connection, 502 or 504.
func (f *standstillFleet) submitAgain(rng *rand.Rand, id string, runTime time.Duration) {
	minLimit := max(minCallerLimit, runTime+callerMargin)
	limit := minLimit + time.Duration(rng.Int64N(int64(maxCallerLimit-minLimit)))
	body := encode(map[string]any{"best_effort": true, "spec": "x", "steps": []any{
		map[string]any{"count": 1, "cpu": 11000, "mem_mb": 64, "est_runtime_ms": runTime.Milliseconds()},
	}})
	at := rng.IntN(len(f.hosts))
	for sends := 1; ; sends++ {
		h, sent := f.hosts[at], time.Now()
		status, state, err := f.callWithin(h, id, limit, body)
		lost := err != nil || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
		if sends > 1 || lost {
			f.note(callersLog, "job %s: send %d to %s at %s with limit %v: status %d %s, error %v", id, sends, h.name,
				sent.UTC().Format(clockFormat), limit, status, state, err)
		}
		switch {
		case status == http.StatusOK && state == "completed":
			f.ledger.completed(id, 1, 1)
			return
		case status == http.StatusServiceUnavailable && sends == 1:
			f.ledger.notRun(id, sent)
			return
		case !lost || sends == maxSends:
			return
		}
		f.ledger.locked(func() { f.ledger.counts["sent again"]++ })
		time.Sleep(retryDelay)
		at = (at + 1 + rng.IntN(len(f.hosts)-1)) % len(f.hosts)
	}
}

// callWithin submits a job and waits for the answer until the limit.
func (f *standstillFleet) callWithin(h *host, id string, limit time.Duration, body []byte) (int, string, error) {
	ctx, breakOff := context.WithCancelCause(context.Background())
	defer f.open(h, breakOff)()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.ip+":8161/jobs/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "jobs.example"
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, "", cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	var reply struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &reply)
	return resp.StatusCode, reply.State, nil
}
