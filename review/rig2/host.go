package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	graceS       = 6
	restartDelay = 200 * time.Millisecond
	// missesOut is the number of missed probes after which a host gets no new connections.
	missesOut = 2
)

// entryHost is a machine with one process of the daemon.
type entryHost struct {
	w              *world
	name, zone, ip string
	storeAddr      string
	fault          *storeFault
	settings       string
	log            *os.File

	// restarting is held while the process is ended and started again.
	restarting sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	misses int
	ready  bool
}

func (h *entryHost) writeSettings(zones []string) error {
	regions := make([]string, 0, len(zones))
	for _, z := range zones {
		regions = append(regions, fmt.Sprintf("  %s: \"nairobi\"\n", z))
	}
	text := fmt.Sprintf(`node: %q
role: "entry"
machine_class: "frontend"
serves:
  - "frontend"
ip: %q
zone: %q
region: "nairobi"
zones:
%slisten:
  front: "%s:8161"
  ready_addr: "%s:8167"
port_range:
  - 7720
  - 7735
bootstrap: true
limits:
  cpu_share: 0.4
  cores: 1
  memory_mb: 284
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
bounds:
  drain_ms: 2000
  grace_s: %d
  lost_slack_ms: 200
  config_apply_ms: 2000
  max_hold_ms: 1000
  stop_ms: 50
  cancel_ms: 3000
  visible_ms: 3000
  finish_s: 14
  status_s: 120
  slowdown_factor: 1.5
  retry_delay_ms: 1300
orders: "call"
platform:
  addr: %q
  form: "log"
  writes_per_s: 600
  reads_per_s: 2000
  parts: %d
  append_ms: 2.0
  record_bytes: 262144
  call_bytes: 2097152
  keep_s: 20
  part_mb: 200
  min_ttl_ms: 1000
`, h.name, h.ip, h.zone, strings.Join(regions, ""), h.ip, h.ip, graceS, h.storeAddr, partitions)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process as the deploy file says, from the root of the repository. The
// platform shows the processes of a machine one core.
func (h *entryHost) start() error {
	cmd := exec.CommandContext(context.Background(), "target/parsleyhilld", "-platform", "-policy", "deploy/policy.json")
	cmd.Dir = h.w.root
	cmd.Env = []string{"PARSLEYHILL_NODE_FILE=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + h.w.dir, "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.w.closing.Load() {
		return errors.New("the play ends")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd = cmd
	return nil
}

func (h *entryHost) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// freeze stops the process for a while.
func (h *entryHost) freeze(d time.Duration) {
	h.w.record("host %s frozen for %v", h.name, d)
	h.signal(syscall.SIGSTOP)
	time.Sleep(d)
	h.signal(syscall.SIGCONT)
	h.w.record("host %s goes on", h.name)
}

// end ends the process and waits for that; a stop is followed by SIGKILL after the grace period.
func (h *entryHost) end(s syscall.Signal) {
	h.mu.Lock()
	cmd := h.cmd
	h.cmd = nil
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	kill := time.AfterFunc(graceS*time.Second, func() { _ = cmd.Process.Kill() })
	_ = cmd.Wait()
	kill.Stop()
}

// restart ends the process by a signal and starts it again.
func (h *entryHost) restart(s syscall.Signal) {
	if !h.restarting.TryLock() {
		return
	}
	defer h.restarting.Unlock()
	h.w.record("host %s gets %v", h.name, s)
	h.end(s)
	h.w.record("host %s has ended", h.name)
	time.Sleep(restartDelay)
	if err := h.start(); err != nil {
		h.w.record("host %s does not start: %v", h.name, err)
	}
}

// probe asks for the readiness once a second until ctx is done.
func (h *entryHost) probe(ctx context.Context) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		good := false
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ip+":8167/-/readiness", nil)
		if err != nil {
			return
		}
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
			good = resp.StatusCode == http.StatusOK
		}
		h.mu.Lock()
		if good {
			h.misses, h.ready = 0, true
		} else if h.misses++; h.misses >= missesOut {
			h.ready = false
		}
		h.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func (h *entryHost) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

// newHosts prepares and starts the entry hosts.
func (w *world) newHosts(ctx context.Context, counts []int) error {
	for z, zone := range w.zones {
		for i := range counts[z] {
			h := &entryHost{w: w, zone: zone, name: fmt.Sprintf("frontend-%s-%d", zone, i+1), ip: fmt.Sprintf("%s%d", w.subnet, 10*(z+1)+i), fault: &storeFault{}}
			listener, err := listen("127.0.0.1:0")
			if err != nil {
				return err
			}
			h.storeAddr = listener.Addr().String()
			server := &http.Server{Handler: w.store.front(w, h.name, h.fault), ReadHeaderTimeout: time.Minute}
			go func() { _ = server.Serve(listener) }()
			h.settings = filepath.Join(w.dir, h.name+".yaml")
			if err := h.writeSettings(w.zones); err != nil {
				return err
			}
			if h.log, err = os.Create(filepath.Join(w.dir, h.name+".log")); err != nil {
				return err
			}
			w.hosts = append(w.hosts, h)
		}
	}
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if a != b {
				if err := w.links.open(a, b); err != nil {
					return err
				}
			}
		}
	}
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
		go h.probe(ctx)
	}
	return nil
}
