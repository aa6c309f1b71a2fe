// Command rig2 plays one case of a review: it starts entry hosts as processes, together with
// stand-ins for the platform's store, the minions and the clients, and checks rules from what
// these see.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is one play.
type world struct {
	root, dir string
	trouble   bool
	zones     []string
	subnet    string
	store     *store
	links     *links
	minions   []*minion
	hosts     []*entryHost
	check     *checker
	// closing is set once no process is to be started any more.
	closing atomic.Bool
	http    *http.Client
	began   time.Time

	recordMu sync.Mutex
	out      *os.File
	rngMu    sync.Mutex
	rng      *rand.Rand
	counts   map[string]int
}

func (w *world) record(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.out, "%8.3f ", time.Since(w.began).Seconds())
	_, _ = fmt.Fprintf(w.out, format+"\n", args...)
}

func (w *world) count(what string) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	w.counts[what]++
}

func (w *world) float() float64 {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.Float64()
}

func (w *world) intn(n int) int {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.IntN(n)
}

func (w *world) uint64() uint64 {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.Uint64()
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the scenario named by the first argument, with a temporary folder as the second,
// the record as the third, and an optional seed as the fourth.
func run(args []string) int {
	if len(args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 SCENARIO FOLDER RECORD [SEED]")
		return exitNotRun
	}
	play, ok := scenarios[args[0]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", args[0])
		return exitNotRun
	}
	seed := uint64(time.Now().UnixNano())
	if len(args) > 3 {
		n, err := strconv.ParseUint(args[3], 10, 64)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		seed = n
	}
	out, err := os.Create(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w := &world{
		root: root, dir: args[1], trouble: os.Getenv("TROUBLE") != "0", zones: []string{"nbo-embakasi", "nbo-karen", "nbo-westlands"},
		store: newStore(), links: newLinks(), out: out, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)), counts: map[string]int{},
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	w.check = newChecker(w)
	w.record("scenario %s, seed %d, trouble %v", args[0], seed, w.trouble)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer w.stopHosts()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		w.stopHosts()
		os.Exit(exitNotRun)
	}()
	if err := play(ctx, w); err != nil {
		w.record("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	w.stopHosts()
	for _, what := range sortedKeys(w.counts) {
		w.record("count %s: %d", what, w.counts[what])
		fmt.Printf("count %s: %d\n", what, w.counts[what])
	}
	broken := w.check.brokenRules()
	for _, b := range broken[:min(len(broken), 10)] {
		fmt.Println("BROKEN", b)
	}
	w.record("%d breaks", len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

func sortedKeys(m map[string]int) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (w *world) stopHosts() {
	w.closing.Store(true)
	var all sync.WaitGroup
	for _, h := range w.hosts {
		all.Go(func() {
			h.signal(syscall.SIGCONT)
			h.end(syscall.SIGKILL)
		})
	}
	all.Wait()
}

// layout is the size of a fleet.
type layout struct {
	// hosts are the numbers of hosts of the zones.
	hosts                  []int
	minionsPerZone, cpu    int
	maxAttempts, timeoutMs int
}

// build starts the stand-ins and the hosts, and waits until all hosts are ready.
func (w *world) build(ctx context.Context, l layout) error {
	if err := w.chooseSubnet(); err != nil {
		return err
	}
	w.store.put("keyed.op", "config", encode(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-3hwrr6x", "host": queueHost, "path_prefix": queuePrefix, "kind": "non_idempotent", "timeout_ms": l.timeoutMs,
			"slo_ms": 60, "priority": 0, "service": "matchdesk", "max_attempts": l.maxAttempts, "stretch": 1.6,
		}},
		"services": []any{map[string]any{"name": "matchdesk", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_control": false, "standby": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}))
	for z, zone := range w.zones {
		for i := range l.minionsPerZone {
			addr := fmt.Sprintf("%s%d:%d", w.subnet, 100+z, 8100+i)
			m := newMinion(w, fmt.Sprintf("i-%d%08x", z, i), zone, addr, l.cpu, 1-0.005*float64(i%4))
			if err := m.serve(); err != nil {
				return err
			}
			m.heartbeat()
			w.minions = append(w.minions, m)
		}
	}
	go w.every(ctx, 2*time.Millisecond, func() {
		for _, m := range w.minions {
			m.mu.Lock()
			if !m.down {
				m.advance()
			}
			m.mu.Unlock()
		}
	})
	go w.every(ctx, 1500*time.Millisecond, func() {
		for _, m := range w.minions {
			m.heartbeat()
		}
	})
	if err := w.newHosts(ctx, l.hosts); err != nil {
		return err
	}
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if !slices.ContainsFunc(w.hosts, func(h *entryHost) bool { return !h.inRotation() }) {
			time.Sleep(3 * time.Second)
			w.record("all hosts are ready")
			return nil
		}
	}
	return fmt.Errorf("not all hosts are ready after 10 s")
}

func (w *world) every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// chooseSubnet finds loopback addresses whose ports are free.
func (w *world) chooseSubnet() error {
	for n := range 50 {
		subnet := fmt.Sprintf("127.%d.%d.", 64+(os.Getpid()+n)%100, 1+(os.Getpid()/100+n)%250)
		listener, err := listen(subnet + "10:8161")
		if err == nil {
			_ = listener.Close()
			w.subnet = subnet
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

// listen listens at a loopback address.
func listen(addr string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", addr)
}
