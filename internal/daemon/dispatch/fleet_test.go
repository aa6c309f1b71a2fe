package dispatch

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/policy"
	"github.com/parsleyhill/parsleyhill/internal/standin/memnet"
	"github.com/parsleyhill/parsleyhill/internal/standin/store"
	"github.com/parsleyhill/parsleyhill/internal/standin/taskworker"
	"github.com/parsleyhill/parsleyhill/platform"
)

const (
	taskTime   = 100 * time.Millisecond
	partitions = 4
)

var logOutput io.Writer = io.Discard

// testFleet is a fleet of hosts, workers and a store on an in-memory network.
type testFleet struct {
	t       *testing.T
	zones   []string
	net     *memnet.Network
	store   *store.Store
	workers []*taskworker.Worker
	// hosts are the dispatchers by name of their host, also after their stop.
	hosts map[string]*Dispatcher
	// mu guards stops where hosts stop at the same time.
	mu      sync.Mutex
	stops   map[string]func()
	servers []*http.Server
	client  *http.Client
	// policies and logOutput apply to hosts that are started later.
	policies  policy.Settings
	logOutput io.Writer
	// cores is the processor time of hosts that are started later, in cores.
	cores float64
	// grace is the grace period of hosts that are started later, or zero for stopGrace.
	grace time.Duration
}

func newFleet(t *testing.T, hosts, workers int) *testFleet {
	return newFleetInZones(t, []string{"z"}, hosts, workers)
}

// newFleetInZones returns a fleet whose hosts and workers take turns in the zones.
func newFleetInZones(t *testing.T, zones []string, hosts, workers int) *testFleet {
	f := &testFleet{t: t, zones: zones, net: memnet.New(), store: store.New(partitions), hosts: map[string]*Dispatcher{}, stops: map[string]func(){}, logOutput: logOutput}
	f.client = &http.Client{Transport: &http.Transport{DialContext: f.net.Dial, DisableKeepAlives: true}}
	f.serve("store:1", f.store)
	f.configure(1, "/jobs/")
	for i := range workers {
		f.addWorker(zones[i%len(zones)], taskTime)
	}
	for i := range hosts {
		f.startIn(fmt.Sprintf("host-%d", i), zones[i%len(zones)])
	}
	time.Sleep(time.Second)
	return f
}

// addWorker starts a worker whose tasks run for the given time, and announces it in
// the store.
func (f *testFleet) addWorker(zone string, runTime time.Duration) {
	id := fmt.Sprintf("worker-%d", len(f.workers))
	w := taskworker.New(id, runTime)
	f.workers = append(f.workers, w)
	f.serve(id+":1", w)
	f.store.PutWorker(id, f.encode(map[string]any{
		"service": "s", "addr": id + ":1", "zone": zone, "state": "ready",
		"capacity": map[string]int{"cpu": 32000, "mem_mb": 1024}, "labels": []string{"a"},
	}))
}

func (f *testFleet) encode(v any) []byte {
	data, err := json.Marshal(v)
	require.NoError(f.t, err)
	return data
}

func (f *testFleet) configure(version int, prefix string) {
	f.store.PutConfig(f.encode(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r", "host": "jobs.example", "path_prefix": prefix, "service": "s",
			"slo_ms": 60, "stretch": 1.6, "max_attempts": 3, "timeout_ms": 1500,
		}},
		"services": []any{map[string]any{"name": "s"}},
		"limits":   map[string]any{"max_body_bytes": 4096, "max_header_bytes": 8192},
	}))
}

func (f *testFleet) serve(address string, h http.Handler) {
	server := &http.Server{Handler: h}
	listener := f.net.Listen(address)
	go func() { _ = server.Serve(listener) }()
	f.servers = append(f.servers, server)
}

// start runs a host in the first zone until its function in stops is called.
func (f *testFleet) start(name string) { f.startIn(name, f.zones[0]) }

func (f *testFleet) startIn(name, zone string) {
	network := Network{Dial: f.net.Dial, Listen: func(_ context.Context, _, address string) (net.Listener, error) {
		return f.net.Listen(address), nil
	}}
	s := platform.Settings{
		Host: name, Zone: zone, Zones: f.zones, CallersAddress: name + ":1", ReadyAddress: name + ":2",
		PeersAddress: name + ":3", MetricsAddress: name + ":4", StoreAddress: "store:1",
		MaxLease: time.Second, Grace: cmp.Or(f.grace, stopGrace), Partitions: partitions, Cores: f.cores, JobRetention: 2 * time.Minute,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	d := New(s, f.policies, log.New(f.logOutput), network)
	f.hosts[name] = d
	go func() { done <- d.Run(ctx) }()
	f.stops[name] = func() {
		cancel()
		require.NoError(f.t, <-done)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.stops, name)
	}
}

func (f *testFleet) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
	f.client.CloseIdleConnections()
	for _, s := range f.servers {
		require.NoError(f.t, s.Close())
	}
	// Abandoned requests still have to end.
	time.Sleep(5 * time.Second)
}

// submit submits a best-effort job with the given number of tasks and returns
// the status and body of the answer.
func (f *testFleet) submit(host, id string, tasks int) (int, string) {
	body := f.encode(map[string]any{"best_effort": true, "spec": "x", "steps": []any{
		map[string]any{"count": tasks, "cpu": 14000, "mem_mb": 64, "est_runtime_ms": taskTime.Milliseconds()},
	}})
	return f.call(http.MethodPost, host, "/jobs/"+id, body)
}

func (f *testFleet) call(method, host, path string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+host+":1"+path, bytes.NewReader(body))
	require.NoError(f.t, err)
	req.Host = "jobs.example"
	req.Header.Set("X-Deadline-Ms", "2000")
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return resp.StatusCode, string(answer)
}

func (f *testFleet) startCounts() map[string]int {
	counts := map[string]int{}
	for _, w := range f.workers {
		for task, n := range w.Started() {
			counts[task] += n
		}
	}
	return counts
}

func TestJobRunsOnceOverAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 6)
		defer f.stopAll()
		started := time.Now()
		status, answer := f.submit("host-0", "00000000000000a1", 10)
		assert.Equal(t, http.StatusOK, status)
		assert.JSONEq(t, `{"state":"completed"}`, answer)
		assert.Less(t, time.Since(started), 2*taskTime, "ten tasks fit in parallel")
		assert.Len(t, f.startCounts(), 10)
		for task, n := range f.startCounts() {
			assert.Equal(t, 1, n, task)
		}
	})
}

func TestCallerStatusCodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		defer f.stopAll()
		job := f.encode(map[string]any{"best_effort": true, "steps": []any{map[string]any{"count": 1, "cpu": 1}}})
		gang := f.encode(map[string]any{"best_effort": true, "steps": []any{map[string]any{"count": 2, "cpu": 1, "gang": true}}})
		schedule := f.encode(map[string]any{"repeats": 2, "steps": []any{map[string]any{"count": 1, "cpu": 1}}})
		stored := f.encode(map[string]any{"steps": []any{map[string]any{"count": 1, "cpu": 1}}})
		for _, c := range []struct {
			name, method, path string
			body               []byte
			status             int
		}{
			{"unknown queue", http.MethodPost, "/other/00000000000000a1", job, http.StatusNotFound},
			{"id too short", http.MethodPost, "/jobs/a1", job, http.StatusBadRequest},
			{"id not hexadecimal", http.MethodPost, "/jobs/zzzzzzzzzzzzzzzz", job, http.StatusBadRequest},
			{"no job", http.MethodPost, "/jobs/00000000000000a1", []byte("{"), http.StatusBadRequest},
			{"no steps", http.MethodPost, "/jobs/00000000000000a1", []byte("{}"), http.StatusBadRequest},
			{"body too large", http.MethodPost, "/jobs/00000000000000a1", make([]byte, 5000), http.StatusRequestEntityTooLarge},
			{"header too large", http.MethodPost, "/jobs/00000000000000a1?" + strings.Repeat("x", 9000), job, http.StatusRequestHeaderFieldsTooLarge},
			{"gang", http.MethodPost, "/jobs/00000000000000a1", gang, http.StatusServiceUnavailable},
			{"stored schedule", http.MethodPost, "/jobs/00000000000000a3", schedule, http.StatusServiceUnavailable},
			{"state of no job", http.MethodGet, "/jobs/00000000000000a1", nil, http.StatusGone},
			{"cancel of no job", http.MethodDelete, "/jobs/00000000000000a1", nil, http.StatusGone},
			{"waiting jobs", http.MethodGet, "/jobs/", nil, http.StatusOK},
			{"other method", http.MethodPut, "/jobs/00000000000000a1", nil, http.StatusMethodNotAllowed},
			{"stored job", http.MethodPost, "/jobs/00000000000000a2", stored, http.StatusOK},
		} {
			status, answer := f.call(c.method, "host-0", c.path, c.body)
			assert.Equal(t, c.status, status, "%s: %s", c.name, answer)
		}
	})
}

// A host that is stopped as planned answers its jobs in flight, no task starts
// twice, and the other host takes over the workers.
func TestPlannedStopAnswersJobsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 6)
		defer f.stopAll()
		statuses := make(chan int, 20)
		for i := range 20 {
			go func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				status, _ := f.submit("host-0", fmt.Sprintf("%016x", i+1), 4)
				statuses <- status
			}()
		}
		time.Sleep(250 * time.Millisecond)
		f.stops["host-0"]()
		for range 20 {
			assert.Equal(t, http.StatusOK, <-statuses)
		}
		for task, n := range f.startCounts() {
			assert.Equal(t, 1, n, task)
		}
		status, _ := f.submit("host-1", "00000000000000ff", 10)
		assert.Equal(t, http.StatusOK, status)
	})
}

func TestConfigurationAppliesAfterHungRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		defer f.stopAll()
		f.store.SetHangReads(true)
		time.Sleep(time.Second)
		f.store.SetHangReads(false)
		f.configure(2, "/later/")
		time.Sleep(2 * time.Second)
		status, answer := f.call(http.MethodGet, "host-0", "/later/", nil)
		assert.Equal(t, http.StatusOK, status, answer)
		status, _ = f.call(http.MethodGet, "host-0", "/jobs/", nil)
		assert.Equal(t, http.StatusNotFound, status)
	})
}

func TestHostsServeWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4)
		defer f.stopAll()
		f.store.SetDown(true)
		for i := range 10 {
			status, answer := f.submit("host-1", fmt.Sprintf("%016x", i+1), 4)
			assert.Equal(t, http.StatusOK, status, answer)
			time.Sleep(500 * time.Millisecond)
		}
		f.store.CompactWorkers()
		f.store.SetDown(false)
		time.Sleep(time.Second)
		status, _ := f.submit("host-0", "00000000000000ff", 4)
		assert.Equal(t, http.StatusOK, status)
	})
}

func TestTaskOfAFailingWorkerRunsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		defer f.stopAll()
		f.workers[0].SetFailing(true)
		for i := range 4 {
			status, answer := f.submit("host-0", fmt.Sprintf("%016x", i+1), 2)
			assert.Equal(t, http.StatusOK, status)
			assert.JSONEq(t, `{"state":"completed"}`, answer)
		}
	})
}

// When a caller disconnects, the tasks of its best-effort job are stopped.
func TestCallerDisconnectStopsItsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4)
		defer f.stopAll()
		ctx, cancel := context.WithCancel(context.Background())
		body := f.encode(map[string]any{"best_effort": true, "steps": []any{map[string]any{"count": 4, "cpu": 14000, "est_runtime_ms": 100}}})
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://host-0:1/jobs/00000000000000a1", bytes.NewReader(body))
		require.NoError(t, err)
		req.Host = "jobs.example"
		time.AfterFunc(taskTime/2, cancel)
		_, err = f.client.Do(req)
		require.ErrorIs(t, err, context.Canceled)
		time.Sleep(20 * time.Millisecond)
		for _, w := range f.workers {
			assert.Zero(t, w.Running())
		}
	})
}

// The cancellation of a best-effort job was confirmed by another host than the one where
// its caller waits, and stopped nothing.
func TestBestEffortJobIsCancelledAtAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4)
		defer f.stopAll()
		step := func(after ...int) map[string]any {
			return map[string]any{"count": 1, "cpu": 14000, "est_runtime_ms": 100, "after": after}
		}
		const id = "00000000000000a1"
		body := f.encode(map[string]any{"best_effort": true, "steps": []any{step(), step(0), step(1), step(2)}})
		answered := make(chan int, 1)
		go func() {
			status, _ := f.call(http.MethodPost, "host-0", "/jobs/"+id, body)
			answered <- status
		}()
		time.Sleep(taskTime / 2)
		status, _ := f.call(http.MethodDelete, "host-1", "/jobs/"+id, nil)
		assert.Contains(t, []int{http.StatusOK, http.StatusGone}, status)
		assert.Equal(t, http.StatusGatewayTimeout, <-answered)
		time.Sleep(20 * time.Millisecond)
		for _, w := range f.workers {
			assert.Zero(t, w.Running())
		}
		// A repeated request that arrives late must not start the job.
		status, _ = f.call(http.MethodPost, "host-0", "/jobs/"+id, body)
		assert.Equal(t, http.StatusGatewayTimeout, status)
		assert.Len(t, f.startCounts(), 1)
	})
}

// Each host owned as many workers as any other, and those with a fifth of a core were at
// their limit while those with four times as much idled.
func TestStrongerHostOwnsMoreWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 120)
		defer f.stopAll()
		f.cores = 0.192
		f.start("weak-1")
		f.start("weak-2")
		f.cores = 0.8
		f.start("strong")
		time.Sleep(3 * time.Second)
		owned := map[string]int{}
		for name, d := range f.hosts {
			d.postAndWait(func(time.Time) { owned[name] = len(d.core.Pool.WorkerIDs()) })
		}
		assert.Equal(t, 120, owned["strong"]+owned["weak-1"]+owned["weak-2"])
		assert.Greater(t, owned["strong"], 2*max(owned["weak-1"], owned["weak-2"]))
		f.stops["strong"]()
		time.Sleep(time.Second)
		owned["weak-1"] = 0
		for name, d := range f.hosts {
			if name != "strong" {
				d.postAndWait(func(time.Time) { owned[name] = len(d.core.Pool.WorkerIDs()) })
			}
		}
		assert.Equal(t, 120, owned["weak-1"]+owned["weak-2"])
	})
}

func TestMemberNamesLeadBackToTheirHost(t *testing.T) {
	for member, host := range map[string]string{
		memberName("a", 0): "a", memberName("a", 3): "a", memberName("b~x", 2): "b~x", "b~x": "b~x", "~1": "~1", "b~0": "b~0", "": "",
	} {
		assert.Equal(t, host, hostOfMember(member), member)
	}
	assert.NotEqual(t, memberName("a", 0), memberName("a", 1))
}

// A host writes its entry only once, because each write makes all other hosts
// read. It writes the entry again if the entry was removed.
func TestHostEntryIsWrittenAgainOnlyAfterItsRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.stopAll()
		time.Sleep(time.Minute)
		assert.Equal(t, 1, f.store.Length(store.TopicHosts))
		f.store.Put(store.TopicHosts, store.Record{Key: "host-0"})
		time.Sleep(10 * time.Second)
		assert.Equal(t, 3, f.store.Length(store.TopicHosts), "the entry, its removal and the entry")
	})
}
