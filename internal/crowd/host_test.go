//go:build e2e

package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/standin/store"
	"github.com/parsleyhill/parsleyhill/internal/standin/taskworker"
)

const (
	hostIP      = "127.0.9.1"
	callersPort = "8161"
	readyPort   = "8167"
	peersPort   = "7720"
	metricsPort = "9464"
	workers     = 2
	partitions  = 6
	taskTime    = 50 * time.Millisecond
	// maxBodyBytes is the limit on bodies in the configuration.
	maxBodyBytes = 262144
	// fileDescriptors is the part of a process's descriptors that the platform
	// reserves for files.
	fileDescriptors = 200
	// hangTimeout is how long anything may take before it counts as hanging.
	hangTimeout = 30 * time.Second
	// samplePeriod is the time between two samples of the process.
	samplePeriod = 10 * time.Millisecond
	// socketAddress begins the local addresses of the host's sockets in /proc/net/tcp.
	socketAddress = "0109007F:"
)

// limits are the limits of the machine in a host's settings, and the tasks of a job; zero
// leaves the default.
type limits struct{ memoryMB, maxFDs, jobTasks int }

// host is a process of parsleyhilld with a store and workers in the test process.
type host struct {
	t      *testing.T
	limits limits
	cmd    *exec.Cmd
	ended  chan struct{}
	// nextJob numbers the jobs.
	nextJob int

	mu              sync.Mutex
	peakDescriptors int
	// peakUsed is the largest sum of the resident set and the unread bytes, in MB.
	peakUsed float64
}

// daemonPath is the path of the daemon's binary.
var daemonPath string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemonPath = filepath.Join(dir, "parsleyhilld")
	build := exec.Command("go", "build", "-o", daemonPath, "./cmd/parsleyhilld")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// startHost starts a host and waits until it is ready.
func startHost(t *testing.T, l limits) *host {
	dir := t.TempDir()
	s := store.New(partitions)
	s.PutConfig(encode(map[string]any{
		"version": 1, "limits": map[string]int{"max_body_bytes": maxBodyBytes, "max_header_bytes": 16384},
		"routes": []any{map[string]any{
			"name": "r", "host": "jobs.example", "path_prefix": "/jobs/", "service": "s",
			"slo_ms": 10000, "stretch": 2, "max_attempts": 4, "timeout_ms": hangTimeout.Milliseconds(),
		}},
	}))
	for i := range workers {
		w := taskworker.New(fmt.Sprintf("w-%d", i), taskTime)
		s.PutWorker(fmt.Sprintf("w-%d", i), encode(map[string]any{
			"service": "s", "addr": serve(t, w), "zone": "east", "state": "ready", "born": w.StartTimeMs(),
			"capacity": map[string]int{"cpu": 32000, "mem_mb": 4096}, "labels": []string{"a"},
		}))
	}
	path := filepath.Join(dir, "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(fmt.Sprintf(`node: h
ip: %q
zone: east
zones: {east: r}
listen: {front: "%s:%s", ready_addr: "%s:%s"}
port_range: [%s, 7735]
limits: {memory_mb: %d, max_fds: %d, cpu_share: 1, cores: 1}
bounds: {max_hold_ms: 1000, grace_s: 6, status_s: 120}
client_limits: {job_tasks: %d}
platform: {addr: %q, parts: %d, min_ttl_ms: 1000}
`, hostIP, hostIP, callersPort, hostIP, readyPort, peersPort, l.memoryMB, l.maxFDs, l.jobTasks, serve(t, s), partitions)), 0o600))
	logFile, err := os.Create(filepath.Join(dir, "log"))
	require.NoError(t, err)

	h := &host{t: t, limits: l, ended: make(chan struct{})}
	h.cmd = exec.Command(daemonPath, "-platform")
	h.cmd.Env = []string{"PARSLEYHILL_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH")}
	h.cmd.Stdout, h.cmd.Stderr = logFile, logFile
	require.NoError(t, h.cmd.Start())
	go func() {
		defer close(h.ended)
		_ = h.cmd.Wait()
	}()
	go h.sampleUntilEnd()
	t.Cleanup(func() {
		h.stop()
		_ = logFile.Close()
		if data, err := os.ReadFile(logFile.Name()); err == nil && t.Failed() {
			t.Logf("end of the host's log:\n%s", data[max(0, len(data)-4000):])
		}
	})
	require.Eventually(t, h.ready, hangTimeout, 50*time.Millisecond, "the host is not ready")
	return h
}

// stop ends the process.
func (h *host) stop() {
	_ = h.cmd.Process.Kill()
	<-h.ended
}

func serve(t *testing.T, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// do sends a request on a connection of its own and returns the status and the
// body of the answer.
func do(method, address, path string, body io.Reader) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return 0, "", err
	}
	req.Host = "jobs.example"
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// ready reports whether the host's readiness check succeeds.
func (h *host) ready() bool {
	status, _, err := h.probe()
	return err == nil && status == http.StatusOK
}

func (h *host) probe() (int, string, error) {
	return do(http.MethodGet, net.JoinHostPort(hostIP, readyPort), "/-/readiness", nil)
}

// jobBody returns the body of a best-effort job of one task, padded to a size in
// bytes.
func jobBody(size int) []byte {
	body := encode(map[string]any{"best_effort": true, "spec": "x", "steps": []any{
		map[string]any{"count": 1, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": taskTime.Milliseconds()},
	}})
	return append(body, bytes.Repeat([]byte{' '}, max(0, size-len(body)))...)
}

// requireJob submits a job with a body and requires that it completes.
func (h *host) requireJob(body io.Reader) {
	h.t.Helper()
	h.nextJob++
	path := fmt.Sprintf("/jobs/1%015x", h.nextJob)
	status, reply, err := do(http.MethodPost, net.JoinHostPort(hostIP, callersPort), path, body)
	require.NoError(h.t, err)
	require.Equal(h.t, http.StatusOK, status, reply)
	require.JSONEq(h.t, `{"state":"completed"}`, reply)
}

// requireServing requires that the process lives within its limits, and that it
// serves an ordinary job and a readiness probe.
func (h *host) requireServing() {
	h.t.Helper()
	h.requireWithinLimits()
	h.requireJob(bytes.NewReader(jobBody(0)))
	status, reply, err := h.probe()
	require.NoError(h.t, err, "readiness probe")
	require.Equal(h.t, http.StatusOK, status, "readiness probe: %s", reply)
	h.requireWithinLimits()
}

// requireWithinLimits requires that the process lives, and that its memory and its
// descriptors have stayed within its limits since it started.
func (h *host) requireWithinLimits() {
	h.t.Helper()
	select {
	case <-h.ended:
		require.Fail(h.t, "the process has ended", "%v", h.cmd.ProcessState)
	default:
	}
	used, descriptors := h.sample()
	memory, found := h.memoryMB("VmHWM:")
	require.True(h.t, found, "no peak memory in the status of the process")
	h.t.Logf("peak memory %.0f MB of %d, with unread bytes %.0f MB, peak descriptors %d of %d",
		memory, h.limits.memoryMB, used, descriptors, h.limits.maxFDs-fileDescriptors)
	require.Less(h.t, memory, float64(h.limits.memoryMB), "peak memory in MB")
	// The platform counts bytes that have been received and not yet read.
	require.Less(h.t, used, float64(h.limits.memoryMB), "peak memory with unread bytes in MB")
	require.Less(h.t, descriptors, h.limits.maxFDs-fileDescriptors, "peak number of descriptors")
}

// memoryMB returns a size from the status of the process, if there is one.
func (h *host) memoryMB(name string) (float64, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == name {
			kb, err := strconv.ParseFloat(fields[1], 64)
			return kb / 1024, err == nil
		}
	}
	return 0, false
}

// unreadMB returns the bytes that the host's sockets have received and that the
// process has not read.
func unreadMB() float64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	total := 0.0
	for line := range strings.Lines(string(data)) {
		const localAddress, state, queues, listening = 1, 3, 4, "0A"
		fields := strings.Fields(line)
		if len(fields) <= queues || !strings.HasPrefix(fields[localAddress], socketAddress) || fields[state] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queues], ":")
		if n, err := strconv.ParseInt(received, 16, 64); err == nil {
			total += float64(n)
		}
	}
	return total / (1 << 20)
}

// sampleUntilEnd samples the process until it ends.
func (h *host) sampleUntilEnd() {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-h.ended:
			return
		case <-ticker.C:
			h.sample()
		}
	}
}

// sample returns the largest memory with unread bytes, in MB, and the largest number
// of open descriptors seen so far, with the present ones.
func (h *host) sample() (used float64, descriptors int) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	resident, found := h.memoryMB("VmRSS:")
	unread := unreadMB()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.peakDescriptors = max(h.peakDescriptors, len(entries))
	}
	if found {
		h.peakUsed = max(h.peakUsed, resident+unread)
	}
	return h.peakUsed, h.peakDescriptors
}
