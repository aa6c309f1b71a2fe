package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/policy"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/platform"
)

// syncBuffer is a buffer that hosts log to.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *syncBuffer) lines(message string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []string
	for _, line := range strings.Split(b.String(), "\n") {
		if strings.Contains(line, message) {
			lines = append(lines, line)
		}
	}
	return lines
}

// heldAnswer is the answer to a job that was submitted during a start.
type heldAnswer struct {
	status     int
	body       string
	retryAfter string
	took       time.Duration
	err        error
}

// startingFleet is a store and a host that has just started. There are no workers
// yet, and the host has its configuration.
type startingFleet struct {
	*testFleet
	log     *syncBuffer
	started time.Time
}

func newStartingFleet(t *testing.T, settings policy.Settings, storeDown bool) *startingFleet {
	f := &startingFleet{testFleet: newFleet(t, 0, 0), log: &syncBuffer{}}
	f.policies, f.logOutput = settings, f.log
	f.store.SetDown(storeDown)
	f.started = time.Now()
	f.start("host-0")
	f.hosts["host-0"].ConfigChanged(&fleet.Config{Version: 1, Routes: []fleet.Route{{
		Name: "r", Host: "jobs.example", Prefix: "/jobs/", Service: "s",
		Timeout: 1500 * time.Millisecond, LatencySlack: 60 * time.Millisecond, Stretch: 1.6, MaxAttempts: 3,
	}}})
	time.Sleep(10 * time.Millisecond)
	return f
}

// post submits a job of one task of the given estimated length. The request ends after
// 10 s, so that a job that is never answered fails the test.
func (f *startingFleet) post(ctx context.Context, id int, estimate time.Duration) <-chan heldAnswer {
	answers := make(chan heldAnswer, 1)
	body := f.encode(map[string]any{"best_effort": true, "steps": []any{
		map[string]any{"count": 1, "cpu": 14000, "mem_mb": 64, "est_runtime_ms": estimate.Milliseconds()},
	}})
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://host-0:1/jobs/%016x", id), bytes.NewReader(body))
	require.NoError(f.t, err)
	req.Host = "jobs.example"
	go func() {
		defer cancel()
		sent := time.Now()
		resp, err := f.client.Do(req)
		a := heldAnswer{took: time.Since(sent), err: err}
		if err == nil {
			data, readErr := io.ReadAll(resp.Body)
			a.err = readErr
			a.status, a.body, a.retryAfter = resp.StatusCode, string(data), resp.Header.Get("Retry-After")
			_ = resp.Body.Close()
		}
		answers <- a
	}()
	return answers
}

// announceWorker starts a worker whose tasks run for the given time, and reports its entry to the host, which would read
// it up to workersReadInterval (0.7 s) later.
func (f *startingFleet) announceWorker(runTime time.Duration) {
	id := fmt.Sprintf("worker-%d", len(f.workers))
	f.addWorker("z", runTime)
	f.hosts["host-0"].WorkersChanged([]platform.WorkerChange{{ID: id, Worker: &fleet.Worker{
		ID: id, Address: id + ":1", Zone: "z", Service: "s", Labels: []string{"a"},
		Capacity: fleet.Size{MilliCPU: 32000, MemoryMB: 1024},
	}}})
}

func (f *startingFleet) sleepUntil(age time.Duration) { time.Sleep(time.Until(f.started.Add(age))) }

// assertEvents checks the metric of held jobs. Events that are not given did not occur.
func (f *startingFleet) assertEvents(want map[string]int) {
	f.t.Helper()
	page := httptest.NewRecorder()
	f.hosts["host-0"].metrics.handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, pathMetrics, nil))
	events := map[string]int{}
	for line := range strings.Lines(page.Body.String()) {
		var n int
		name, ok := strings.CutPrefix(line, "parsleyhill_held_jobs_total{event=")
		if !ok {
			continue
		}
		event, count, _ := strings.Cut(name, "} ")
		_, err := fmt.Sscan(count, &n)
		require.NoError(f.t, err)
		events[strings.Trim(event, `"`)] = n
	}
	assert.Equal(f.t, want, events)
}

func assertRefused(t *testing.T, a heldAnswer, took time.Duration) {
	t.Helper()
	require.NoError(t, a.err)
	assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	assert.Equal(t, "1", a.retryAfter)
	assert.InDelta(t, took, a.took, float64(tickInterval+time.Millisecond))
}

const (
	longJob   = 900 * time.Millisecond
	mediumJob = 200 * time.Millisecond
	// longShare is half the slack of a long job: 1.6 times its length plus 60 ms,
	// less its length.
	longShare = 300 * time.Millisecond
)

// A restart of all hosts: 540 jobs were refused because no host had workers, although
// these followed within 0.3 s. Jobs that can wait must be served, with answer times
// that count from their arrival.
func TestHeldJobRunsOnceCapacityIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStartingFleet(t, policy.Settings{}, false)
		defer f.stopAll()
		long, medium := f.post(t.Context(), 1, longJob), f.post(t.Context(), 2, mediumJob)
		assertRefused(t, <-medium, 0)
		time.Sleep(50 * time.Millisecond)
		status, state := f.call(http.MethodGet, "host-0", "/jobs/0000000000000001", nil)
		assert.Equal(t, http.StatusOK, status)
		assert.JSONEq(t, `{"state":"running"}`, state)
		status, waiting := f.call(http.MethodGet, "host-0", "/jobs/", nil)
		assert.Equal(t, http.StatusOK, status)
		assert.JSONEq(t, `{"waiting":1}`, waiting)
		f.sleepUntil(100 * time.Millisecond)
		f.announceWorker(taskTime)
		a := <-long
		require.NoError(t, a.err)
		assert.Equal(t, http.StatusOK, a.status, a.body)
		assert.Equal(t, map[string]int{"0000000000000001.0.0.0": 1}, f.startCounts())
		f.assertEvents(map[string]int{eventHeld: 1, eventSubmitted: 1, eventNotHeld: 1})
		answered := f.log.lines("job answered")
		require.Len(t, answered, 1)
		assert.Contains(t, answered[0], "objective=1.5s")
		took, err := time.ParseDuration(strings.Fields(answered[0][strings.Index(answered[0], "took=")+len("took="):])[0])
		require.NoError(t, err)
		assert.InDelta(t, a.took, took, float64(tickInterval), "the time until the caller has its answer includes the time held")
		f.sleepUntil(1100 * time.Millisecond)
		steps := f.log.lines("steps of the start")
		require.Len(t, steps, 1)
		assert.Contains(t, steps[0], "peer_reached=missing", "there is no other host")
		assert.Equal(t, 1, strings.Count(steps[0], "missing"))
		assert.Contains(t, steps[0], "held=1 submitted=1 refused=0 cancelled=0 not_held=1")
	})
}

// Workers are adopted one after another, and the first has room for two of the jobs.
// Submitted at once, the others would be refused although workers for them follow. A
// job that arrives meanwhile must wait behind them and not be refused either.
func TestHeldJobsWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStartingFleet(t, policy.Settings{}, false)
		defer f.stopAll()
		var held []<-chan heldAnswer
		for i := range 11 {
			held = append(held, f.post(t.Context(), i+1, longJob))
		}
		f.sleepUntil(100 * time.Millisecond)
		for i := range 6 {
			f.announceWorker(taskTime)
			time.Sleep(15 * time.Millisecond)
			if i == 1 {
				held = append(held, f.post(t.Context(), 12, longJob))
			}
		}
		for _, answers := range held {
			a := <-answers
			require.NoError(t, a.err)
			assert.Equal(t, http.StatusOK, a.status, a.body)
		}
		for task, n := range f.startCounts() {
			assert.Equal(t, 1, n, task)
		}
		assert.Len(t, f.startCounts(), 12)
		f.assertEvents(map[string]int{eventHeld: 12, eventSubmitted: 12})
	})
}

// The fleet has less capacity than its callers need: the jobs without room are refused
// while they have slack left, and none of them runs.
func TestHeldJobsWithoutRoomAreRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStartingFleet(t, policy.Settings{}, false)
		defer f.stopAll()
		var held []<-chan heldAnswer
		for i := range 12 {
			held = append(held, f.post(t.Context(), i+1, longJob))
		}
		f.announceWorker(longJob)
		served := 0
		for _, answers := range held {
			a := <-answers
			if a.status == http.StatusOK {
				served++
				continue
			}
			require.NoError(t, a.err)
			assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
			assert.NotEmpty(t, a.retryAfter)
			assert.Less(t, a.took, 2*longShare, "refused with slack left, when its share has passed or at the second check")
		}
		time.Sleep(2 * time.Second)
		assert.Len(t, f.startCounts(), served)
		assert.Equal(t, 2, served, "the worker has room for two")
		f.assertEvents(map[string]int{eventHeld: 12, eventSubmitted: 12})
	})
}

// Capacity that comes after the hold time: the caller was told that nothing ran, and
// may have submitted the job elsewhere.
func TestHeldJobRefusedInTimeNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStartingFleet(t, policy.Settings{}, false)
		defer f.stopAll()
		assertRefused(t, <-f.post(t.Context(), 1, longJob), longShare)
		f.announceWorker(taskTime)
		f.sleepUntil(1500 * time.Millisecond)
		assert.Empty(t, f.startCounts())
		f.assertEvents(map[string]int{eventHeld: 1, eventRefused: 1})
		status, answer := f.submit("host-0", "00000000000000ff", 1)
		assert.Equal(t, http.StatusOK, status, answer)
	})
}

// A restart while the store is away: the reads do not end, and callers must not wait
// for them longer than their share of the slack, and not at all after the hold period.
func TestStartWithoutStoreRefusesHeldJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStartingFleet(t, policy.Settings{}, true)
		defer f.stopAll()
		long, medium := f.post(t.Context(), 1, longJob), f.post(t.Context(), 2, mediumJob)
		assertRefused(t, <-medium, 0)
		assertRefused(t, <-long, longShare)
		f.sleepUntil(750 * time.Millisecond)
		assertRefused(t, <-f.post(t.Context(), 3, longJob), 250*time.Millisecond)
		assertRefused(t, <-f.post(t.Context(), 4, longJob), 0)
		f.assertEvents(map[string]int{eventHeld: 2, eventRefused: 2, eventNotHeld: 1})
		f.announceWorker(taskTime)
		f.store.SetDown(false)
		f.sleepUntil(5 * time.Second)
		assert.Empty(t, f.startCounts())
		status, answer := f.submit("host-0", "00000000000000ff", 1)
		assert.Equal(t, http.StatusOK, status, answer)
		steps := f.log.lines("steps of the start")
		require.Len(t, steps, 2, "when the hold period ends, and when the host is ready")
		assert.Contains(t, steps[0], "ready=missing")
		assert.NotContains(t, steps[1], "ready=missing")
	})
}

// A caller that disconnects, or cancels its job, while the job is held must find that
// no task of it starts later.
func TestDisconnectAndCancelRemoveHeldJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStartingFleet(t, policy.Settings{}, false)
		defer f.stopAll()
		ctx, disconnect := context.WithCancel(t.Context())
		disconnected, cancelled, again := f.post(ctx, 1, longJob), f.post(t.Context(), 2, longJob), f.post(t.Context(), 3, longJob)
		time.Sleep(20 * time.Millisecond)
		disconnect()
		require.ErrorIs(t, (<-disconnected).err, context.Canceled)
		status, answer := f.call(http.MethodDelete, "host-0", "/jobs/0000000000000002", nil)
		assert.Equal(t, http.StatusOK, status, answer)
		assert.Equal(t, http.StatusGatewayTimeout, (<-cancelled).status)
		last := f.post(t.Context(), 3, longJob)
		assert.Equal(t, http.StatusGatewayTimeout, (<-again).status, "as for a job that is submitted again while it runs")
		f.announceWorker(taskTime)
		assert.Equal(t, http.StatusOK, (<-last).status)
		f.sleepUntil(2 * time.Second)
		assert.Equal(t, map[string]int{"0000000000000003.0.0.0": 1}, f.startCounts())
		f.assertEvents(map[string]int{eventHeld: 4, eventCancelled: 3, eventSubmitted: 1})
	})
}

// A planned stop during the start: held jobs are refused while their callers can still
// try another host, and none runs here or on the next owner of the workers.
func TestPlannedStopRefusesHeldJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStartingFleet(t, policy.Settings{}, false)
		defer f.stopAll()
		held := []<-chan heldAnswer{f.post(t.Context(), 1, longJob), f.post(t.Context(), 2, longJob)}
		f.sleepUntil(100 * time.Millisecond)
		stopped := make(chan struct{})
		go func() {
			f.stops["host-0"]()
			close(stopped)
		}()
		for _, answers := range held {
			assertRefused(t, <-answers, 90*time.Millisecond)
		}
		f.announceWorker(taskTime)
		assertRefused(t, <-f.post(t.Context(), 3, longJob), 0)
		<-stopped
		f.assertEvents(map[string]int{eventHeld: 2, eventRefused: 2, eventNotHeld: 1})
		f.start("host-0")
		time.Sleep(2 * time.Second)
		assert.Empty(t, f.startCounts())
	})
}

// With the policy off, jobs that arrive during a start are refused immediately.
func TestJobsAreNotHeldWithPolicyOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStartingFleet(t, policy.Settings{FastRecovery: policy.Off}, false)
		defer f.stopAll()
		assertRefused(t, <-f.post(t.Context(), 1, longJob), 0)
		f.announceWorker(taskTime)
		f.sleepUntil(1500 * time.Millisecond)
		assert.Empty(t, f.startCounts())
		f.assertEvents(map[string]int{})
		assert.Len(t, f.log.lines("job refused"), 1)
		for _, message := range []string{"job held", "job not held", "steps of the start"} {
			assert.Empty(t, f.log.lines(message))
		}
	})
}
