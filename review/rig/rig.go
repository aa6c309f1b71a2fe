package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "desk"
	queueHost   = "queue.example"
	queuePrefix = "/desk/"
	graceS      = 6
)

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(2)
	}
}

// rig is one small deployment: a store, minions, and the project's program as a
// process for each machine.
type rig struct {
	root, temp string
	began      time.Time
	store      *store
	minions    []*minion
	hosts      []*host

	mu     sync.Mutex
	events []event
	out    *bufio.Writer
	spawn  chan func()
}

func newRig(root, dir string) *rig {
	temp, err := os.MkdirTemp("", "review-")
	must(err)
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	must(err)
	r := &rig{root: root, temp: temp, began: time.Now(), out: bufio.NewWriter(f), spawn: make(chan func())}
	r.store = newStore()
	// The kernel ends a process with the thread that started it, so that one thread
	// starts all of them and stays.
	go func() {
		runtime.LockOSThread()
		for f := range r.spawn {
			f()
		}
	}()
	return r
}

// logf writes a line to record.txt.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(time.Now(), fmt.Sprintf(format, args...))
}

func (r *rig) line(at time.Time, text string) {
	fmt.Fprintf(r.out, "%9.3f %s\n", at.Sub(r.began).Seconds(), text)
}

func (r *rig) observe(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
	text := fmt.Sprintf("%s %s run %d %s", e.minion, e.task, e.run, e.kind)
	if e.kind == "noted" {
		text += fmt.Sprintf(" (%s, lease lapsed between: %v)", e.end, e.lapsed)
	}
	r.line(e.at, text)
}

// seen returns the events so far.
func (r *rig) seen() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

// finish ends all processes, writes the verdict and ends the program.
func (r *rig) finish(status int, format string, args ...any) {
	for _, h := range r.hosts {
		h.kill()
	}
	r.logf("VERDICT %d: "+format, append([]any{status}, args...)...)
	r.mu.Lock()
	r.out.Flush()
	fmt.Printf(format+"\n", args...)
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.temp)
	} else {
		fmt.Println("logs:", r.temp)
	}
	os.Exit(status)
}

// config writes a configuration with one queue, as the operator does.
func (r *rig) config(maxAttempts int) {
	data, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "desk", "host": queueHost, "path_prefix": queuePrefix, "service": serviceName, "timeout_ms": 30000,
			"slo_ms": 60, "stretch": 1.6, "priority": 0, "max_attempts": maxAttempts,
		}},
		"services": []map[string]any{{"name": serviceName, "admission_control": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
	})
	must(err)
	r.store.put("keyed.op", record{"config", data})
}

// host is one machine with a process of the project's program.
type host struct {
	rig              *rig
	name, zone, ip   string
	front, ready     string
	firstPort        int
	settings, output string
	store            *endpoint

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// usedIPs counts the loopback addresses in use: each machine has one of its own,
// because the program's metrics port is fixed.
var usedIPs int

func freeIP() string {
	for {
		usedIPs++
		ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, os.Getpid()/200%250, usedIPs)
		l, err := net.Listen("tcp", ip+":9464")
		if err == nil {
			l.Close()
			return ip
		}
	}
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func (r *rig) addHost(name, zone string) *host {
	h := &host{rig: r, name: name, zone: zone, ip: freeIP(), store: r.store.newEndpoint()}
	h.front = fmt.Sprintf("%s:%d", h.ip, freePort(h.ip))
	h.ready = fmt.Sprintf("%s:%d", h.ip, freePort(h.ip))
	h.firstPort = freePort(h.ip)
	h.settings, h.output = filepath.Join(r.temp, name+".yaml"), filepath.Join(r.temp, name+".log")
	must(os.WriteFile(h.settings, []byte(fmt.Sprintf(`node: %q
role: "entry"
machine_class: "frontend"
serves: ["frontend"]
ip: %q
zone: %q
region: "r"
zones: {"z1": "r", "z2": "r", "z3": "r"}
listen: {front: %q, ready_addr: %q}
port_range: [%d, %d]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
bounds: {stable_window_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, config_apply_ms: 2000, max_hold_ms: 1000, stop_ms: 50, cancel_ms: 3000, visible_ms: 3000, finish_s: 14, status_s: 120, slowdown_factor: 1.5, fencing: false, lease_ms: 3000, retry_delay_ms: 1300}
orders: "call"
platform: {addr: %q, form: "log", writes_per_s: 600, reads_per_s: 2000, parts: %d, append_ms: 2.0, part_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, call_bytes: 2097152, keep_s: 300, part_mb: 200, min_ttl_ms: 1000}
`, name, h.ip, zone, h.front, h.ready, h.firstPort, h.firstPort+15, h.store.address, partitions)), 0o600))
	r.hosts = append(r.hosts, h)
	return h
}

// start starts the program with the command of the deploy file.
func (h *host) start() {
	out, err := os.OpenFile(h.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(filepath.Join(h.rig.root, "target/parsleyhilld"), "-platform", "-policy", "deploy/policy.json")
	cmd.Dir, cmd.Stdout, cmd.Stderr = h.rig.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PARSLEYHILL_NODE_FILE=" + h.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	h.rig.spawn <- func() { err := cmd.Start(); go func() { done <- err }() }
	must(<-done)
	out.Close()
	ended := make(chan struct{})
	go func() {
		cmd.Wait()
		close(ended)
	}()
	h.mu.Lock()
	h.process, h.ended = cmd, ended
	h.mu.Unlock()
	h.rig.logf("%s started", h.name)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	cmd := h.process
	h.mu.Unlock()
	if cmd != nil {
		h.rig.logf("%s gets %v", h.name, s)
		cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.wait()
}

func (h *host) wait() {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after grace_s.
func (h *host) stop() {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.ended:
	case <-time.After(graceS * time.Second):
		h.kill()
	}
	h.rig.logf("%s has ended", h.name)
}

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.ready + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all hosts and waits until they are ready and have settled.
func (r *rig) startAll() {
	for _, h := range r.hosts {
		h.start()
	}
	limit := time.Now().Add(15 * time.Second)
	for _, h := range r.hosts {
		for !h.isReady() {
			if time.Now().After(limit) {
				log, _ := os.ReadFile(h.output)
				r.logf("output of %s:\n%s", h.name, log)
				r.finish(2, "%s is not ready", h.name)
			}
			select {
			case <-h.ended:
				// The platform starts a process that has ended again.
				r.logf("%s has ended by itself", h.name)
				h.start()
			default:
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
}

// client sends requests to hosts and records them.
type client struct {
	rig  *rig
	http http.Client
}

func (r *rig) newClient() *client {
	return &client{rig: r, http: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

type answer struct {
	status int
	body   []byte
	err    error
	at     time.Time
}

func (a answer) state() string {
	var b struct{ State string }
	json.Unmarshal(a.body, &b)
	return b.State
}

func (c *client) call(h *host, method, id string, body any) answer {
	var data []byte
	if body != nil {
		var err error
		data, err = json.Marshal(body)
		must(err)
	}
	req, err := http.NewRequest(method, "http://"+h.front+queuePrefix+id, bytes.NewReader(data))
	must(err)
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	c.rig.logf("client %s %s to %s", method, id, h.name)
	resp, err := c.http.Do(req)
	if err != nil {
		c.rig.logf("client %s %s to %s: no answer: %v", method, id, h.name, err)
		return answer{err: err, at: time.Now()}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	c.rig.logf("client %s %s to %s: %d %s", method, id, h.name, resp.StatusCode, got)
	return answer{resp.StatusCode, got, err, time.Now()}
}

// submit sends a job until it is accepted, to the hosts in turn.
func (c *client) submit(first int, id string, job map[string]any) bool {
	for try := 0; try < 20; try++ {
		h := c.rig.hosts[(first+try)%len(c.rig.hosts)]
		a := c.call(h, "POST", id, job)
		if a.err == nil && a.status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// jobID returns the id of the n-th job.
func jobID(n int) string { return fmt.Sprintf("%08x%08x", 0x5c0e7a21, n) }

func step(count, cpu, ms int, after ...int) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "mem_mb": 8, "est_runtime_ms": ms}
	if len(after) > 0 {
		s["after"] = after
	}
	return s
}

func job(ms, cpu int, fails bool, steps ...map[string]any) map[string]any {
	return map[string]any{"spec": spec(ms, cpu, fails), "steps": steps}
}
