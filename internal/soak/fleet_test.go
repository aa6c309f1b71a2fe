//go:build e2e

package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/standin/store"
	"github.com/parsleyhill/parsleyhill/internal/standin/taskworker"
)

const (
	partitions = 6
	taskTime   = 120 * time.Millisecond
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// restartDelay is how long the platform takes to start a host again.
	restartDelay = 200 * time.Millisecond
	// disruptionWindow is how long after a disruption of a host its callers may
	// still see broken connections.
	disruptionWindow = 2 * time.Second
)

// layout is the size and form of a fleet.
type layout struct {
	zones                        []string
	hostsPerZone, workersPerZone int
	// subnet returns the prefix of the addresses of the hosts of fleet number n.
	subnet func(n int) string
	// runTime returns how long a task takes.
	runTime func(task string) time.Duration
	// proxiesHosts is set if the streams between hosts pass through proxies.
	proxiesHosts bool
	// routeTimeout is the longest time of a job; zero means callTimeout.
	routeTimeout time.Duration
}

var zones = []string{"east", "west"}

// soakLayout is the fleet of TestSoak.
var soakLayout = layout{
	zones: zones, hostsPerZone: 2, workersPerZone: 4,
	subnet:  func(n int) string { return fmt.Sprintf("127.0.%d.", n) },
	runTime: func(string) time.Duration { return taskTime },
}

// host is one entry host, a process of parsleyhilld.
type host struct {
	name, ip string
	zone     string
	// number is the last part of the host's address.
	number       int
	settingsPath string
	log          *os.File
	store        *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// ending is the process that is being stopped or killed, or nil.
	ending *exec.Cmd
	// disruptedAt is when the host last began or ended an unplanned fault.
	disruptedAt time.Time
	frozen      bool
	// stoppedAt is when the last process of the host ended.
	stoppedAt time.Time
}

type worker struct {
	id      string
	zone    string
	standin *taskworker.Worker
	proxy   *proxy
	// away is set while the worker is down after a crash.
	away atomic.Bool
}

// fleet is a small deployment. Hosts are processes of their own. The store and the
// workers run in the test process behind proxies.
type fleet struct {
	t       *testing.T
	layout  layout
	bin     string
	dir     string
	store   *store.Store
	workers []*worker
	hosts   []*host
	// links holds the proxies between the hosts, or is nil if there are none.
	links   *hostLinks
	ledger  *ledger
	client  *http.Client
	version int
}

// newFleet starts a fleet whose hosts have addresses in the loopback subnet of the
// given number.
func newFleet(t *testing.T, bin string, l layout, subnet int) *fleet {
	dir, err := os.MkdirTemp("", "soak-")
	require.NoError(t, err)
	f := &fleet{
		t: t, layout: l, bin: bin, dir: dir, store: store.New(partitions), ledger: newLedger(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	storeAddress := f.serve(f.store)
	f.configure()
	if l.proxiesHosts {
		f.links = newHostLinks(f, l.subnet(subnet))
	}
	for z, zone := range l.zones {
		for i := range l.workersPerZone {
			w := &worker{id: fmt.Sprintf("w-%s-%d", zone, i), zone: zone}
			w.standin = taskworker.New(w.id, taskTime)
			w.standin.SetRunTime(l.runTime)
			w.standin.Observe(f.ledger.observe)
			// The clocks of workers may run up to 2 % slow.
			w.standin.SetClockRate(1 - 0.005*float64(i%4))
			w.proxy = newProxy(t, "127.0.0.1:0", f.serve(w.standin))
			f.workers = append(f.workers, w)
			f.ledger.zoneOf[w.id] = zone
			f.register(w)
		}
		for i := range l.hostsPerZone {
			number := z*l.hostsPerZone + i + 1
			h := &host{name: fmt.Sprintf("h-%s-%d", zone, i), zone: zone, number: number, ip: l.subnet(subnet) + fmt.Sprint(number)}
			h.store = newProxy(t, "127.0.0.1:0", storeAddress)
			if f.links != nil {
				h.store = newProxy(t, "127.0.0.1:0", f.serve(f.links.storeFor(h, f.store)))
			}
			h.settingsPath = filepath.Join(dir, h.name+".yaml")
			require.NoError(t, os.WriteFile(h.settingsPath, []byte(f.settings(h, zone)), 0o600))
			h.log, err = os.Create(filepath.Join(dir, h.name+".log"))
			require.NoError(t, err)
			f.hosts = append(f.hosts, h)
			f.start(h)
		}
	}
	f.ledger.locked(func() {
		f.ledger.deadlyStarted = func(id string) {
			for _, w := range f.workers {
				if w.id == id {
					time.AfterFunc(deadlyDelay, func() { f.crash(w) })
				}
			}
		}
	})
	t.Cleanup(f.stopAll)
	return f
}

const (
	// deadlyDelay is the time from the start of a deadly task to the crash.
	deadlyDelay = 10 * time.Millisecond
	// crashTime is how long a crashed worker is away.
	crashTime = 2 * time.Second
)

// crash ends a worker's process for crashTime. It does nothing while the worker is
// away.
func (f *fleet) crash(w *worker) {
	if !w.away.CompareAndSwap(false, true) {
		return
	}
	// The runs are over before the hosts can notice the end of the process.
	w.standin.Restart()
	w.proxy.endProcess()
	time.AfterFunc(crashTime, func() {
		w.standin.Restart()
		if err := w.proxy.startProcess(); err != nil {
			f.ledger.locked(func() { f.ledger.fail("worker %s does not start again: %v", w.id, err) })
		}
		f.register(w)
		w.away.Store(false)
	})
}

func (f *fleet) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	if w, ok := handler.(*taskworker.Worker); ok {
		server.ConnContext = w.ConnContext
	}
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func (f *fleet) settings(h *host, zone string) string {
	regions := make([]string, 0, len(f.layout.zones))
	for _, z := range f.layout.zones {
		regions = append(regions, z+": r")
	}
	return fmt.Sprintf(`node: %q
ip: %q
zone: %q
zones: {%s}
listen: {front: "%s:8161", ready_addr: "%s:8167"}
port_range: [7720, 7735]
limits: {memory_mb: 284}
bounds: {max_hold_ms: 1000, grace_s: %v, status_s: 120}
platform: {addr: %q, parts: %d, min_ttl_ms: 1000}
`, h.name, h.ip, zone, strings.Join(regions, ", "), h.ip, h.ip, grace.Seconds(), h.store.address(), partitions)
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// configure stores the next version of the configuration, in which the latency target
// grows.
func (f *fleet) configure() {
	f.version++
	f.store.PutConfig(encode(map[string]any{"version": f.version, "routes": []any{map[string]any{
		"name": "r", "host": "jobs.example", "path_prefix": "/jobs/", "service": "s",
		"slo_ms": 99 + f.version, "stretch": 2, "max_attempts": 4,
		"timeout_ms": cmp.Or(f.layout.routeTimeout, callTimeout).Milliseconds(),
	}}}))
}

// register stores a worker's entry, as the worker itself would.
func (f *fleet) register(w *worker) {
	f.store.PutWorker(w.id, encode(map[string]any{
		"service": "s", "addr": w.proxy.address(), "zone": w.zone, "state": "ready", "born": w.standin.StartTimeMs(),
		"capacity": map[string]int{"cpu": tasksPerWorker*10000 + 5000, "mem_mb": 4096}, "labels": []string{"a"},
	}))
}

// start starts a host's process.
func (f *fleet) start(h *host) {
	cmd := exec.Command(f.bin, "-platform")
	cmd.Env = []string{"PARSLEYHILL_NODE_FILE=" + h.settingsPath, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	require.NoError(f.t, cmd.Start())
	h.mu.Lock()
	h.cmd, h.frozen = cmd, false
	h.mu.Unlock()
}

// signal sends a signal to a host's process, also while it is being stopped: a process
// that was suspended before has to be resumed, or it never handles the SIGTERM.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, cmd := range []*exec.Cmd{h.cmd, h.ending} {
		if cmd != nil {
			_ = cmd.Process.Signal(s)
		}
	}
}

// markDisrupted records that callers of the host may now see broken connections.
func (h *host) markDisrupted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disruptedAt = time.Now()
}

// undisrupted reports whether the host is not frozen and has not been disrupted
// since disruptionWindow before the given time.
func (h *host) undisrupted(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.frozen && h.disruptedAt.Before(since.Add(-disruptionWindow))
}

// accepting reports whether the host's port should have accepted connections
// without a break since disruptionWindow before the given time.
func (h *host) accepting(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd != nil && h.stoppedAt.Before(since.Add(-disruptionWindow))
}

// restart sends a signal to a host's process, waits for its end and starts it
// again. A process that has not ended in time is killed.
func (f *fleet) restart(h *host, s syscall.Signal) {
	h.mu.Lock()
	cmd := h.cmd
	if cmd != nil {
		h.cmd, h.ending = nil, cmd
	}
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	signalled := time.Now()
	_ = cmd.Process.Signal(s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Only the end of the process matters here, not its status.
		_ = cmd.Wait()
	}()
	select {
	case <-done:
	case <-time.After(grace + time.Second):
		if !h.undisrupted(signalled) {
			break
		}
		f.ledger.locked(func() { f.ledger.fail("host %s has not ended %v after signal %v", h.name, grace, s) })
	}
	// A process suspended by SIGSTOP handles no SIGTERM and ends only by SIGKILL.
	_ = cmd.Process.Kill()
	<-done
	h.mu.Lock()
	h.ending = nil
	h.stoppedAt = time.Now()
	h.mu.Unlock()
	time.Sleep(restartDelay)
	f.start(h)
}

func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		h.mu.Lock()
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
		}
		h.mu.Unlock()
		_ = h.log.Close()
	}
	f.client.CloseIdleConnections()
	if !f.t.Failed() {
		_ = os.RemoveAll(f.dir)
	}
}

// ready reports whether a host's readiness check succeeds.
func (f *fleet) ready(h *host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ip+":8167/-/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
