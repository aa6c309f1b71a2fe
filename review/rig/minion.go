package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat  = 1500 * time.Millisecond // heartbeat_ms
	maxHold    = 1000                    // max_hold_ms
	listedEnds = 500                     // "500 at a time"
)

// work is what a task's spec tells the minion: how long it runs, how often it
// fails, and how much room it takes.
type work struct {
	ms, cpu int
	fails   bool
}

// spec encodes work. The dispatcher passes it on as it is.
func spec(ms, cpu int, fails bool) string {
	return fmt.Sprintf("ms=%d cpu=%d fails=%v", ms, cpu, fails)
}

func parseSpec(s string) (k work) {
	fmt.Sscanf(s, "ms=%d cpu=%d fails=%t", &k.ms, &k.cpu, &k.fails)
	return k
}

// event is something that happened to a run at a minion.
type event struct {
	at     time.Time
	minion string
	life   int64
	task   string
	run    int
	// kind is start, done, failed, stopped, lapsed, lost (the minion crashed) or
	// noted (the end was acknowledged; lapsed tells that the minion's lease lapsed
	// between the end and its acknowledgement).
	kind   string
	end    string
	lapsed bool
}

type run struct {
	task    string
	number  int
	work    work
	started time.Time
	timer   *time.Timer
}

type endedRun struct {
	seq  int64
	run  *run
	how  string
	at   time.Time
	note bool
}

// minion is a stand-in for one minion, as PROTOCOL.md describes it.
type minion struct {
	id, zone string
	address  string
	cpu      int
	rig      *rig

	mu       sync.Mutex
	up       bool
	server   *http.Server
	born     time.Time
	beats    int64
	fence    int64
	running  map[string]*run
	blocked  map[string]int
	ended    []endedRun
	seq      int64
	changed  chan struct{}
	leaseEnd time.Time
	// lapsedAt is the end of the last span in which no lease was held.
	lapsedAt time.Time
	used     int
}

func (r *rig) addMinion(id, zone string, cpu int) *minion {
	m := &minion{id: id, zone: zone, cpu: cpu, rig: r}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	m.address = l.Addr().String()
	r.minions = append(r.minions, m)
	m.begin(l)
	go m.beat()
	go m.watchLease()
	return m
}

// begin starts a life.
func (m *minion) begin(l net.Listener) {
	m.mu.Lock()
	m.born, m.fence, m.seq, m.ended, m.used = time.Now(), 0, 0, nil, 0
	m.running, m.blocked, m.changed = map[string]*run{}, map[string]int{}, make(chan struct{})
	m.leaseEnd, m.lapsedAt, m.up = time.Time{}, time.Time{}, true
	m.server = &http.Server{Handler: http.HandlerFunc(m.serve)}
	go m.server.Serve(l)
	m.mu.Unlock()
	m.register()
}

// crash ends the minion's process: its connections close and what ran is gone.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	for _, r := range m.running {
		r.timer.Stop()
		m.note(r, "lost", "", false)
	}
	m.running = map[string]*run{}
	server := m.server
	m.mu.Unlock()
	server.Close()
}

// restart begins another life under the same id and address.
func (m *minion) restart() {
	l, err := net.Listen("tcp", m.address)
	must(err)
	m.begin(l)
}

// labelOfFirstZone is the label of the minions of zone z1. The others are of another
// kind.
const labelOfFirstZone = "kind-b"

func (m *minion) kind() string {
	if m.zone == "z1" {
		return labelOfFirstZone
	}
	return "kind-a"
}

func (m *minion) register() {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.beats++
	entry, err := json.Marshal(map[string]any{
		"service": serviceName, "addr": m.address, "zone": m.zone, "version": "1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "seq": m.beats, "born": m.born.UnixMilli(), "machine": "m-" + m.id,
		"capacity": map[string]int{"cpu": m.cpu, "mem_mb": 131072, "gpu": 0}, "labels": []string{m.kind(), "rack-" + m.zone},
	})
	m.mu.Unlock()
	must(err)
	m.rig.store.put("keyed.servers", record{m.id, entry})
}

func (m *minion) beat() {
	for range time.Tick(heartbeat) {
		m.register()
	}
}

func (m *minion) watchLease() {
	for range time.Tick(2 * time.Millisecond) {
		m.mu.Lock()
		if now := time.Now(); m.up && now.After(m.leaseEnd) {
			m.lapsedAt = now
			for _, r := range m.sorted() {
				m.end(r, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) sorted() []*run {
	list := make([]*run, 0, len(m.running))
	for _, r := range m.running {
		list = append(list, r)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].started.Before(list[k].started) })
	return list
}

func (m *minion) note(r *run, kind, end string, lapsed bool) {
	m.rig.observe(event{
		at: time.Now(), minion: m.id, life: m.born.UnixMilli(), task: r.task, run: r.number, kind: kind, end: end, lapsed: lapsed,
	})
}

func (m *minion) end(r *run, how string) {
	r.timer.Stop()
	delete(m.running, r.task)
	m.used -= r.work.cpu
	m.blocked[r.task] = max(m.blocked[r.task], r.number)
	m.seq++
	m.ended = append(m.ended, endedRun{seq: m.seq, run: r, how: how, at: time.Now()})
	m.note(r, how, "", false)
	close(m.changed)
	m.changed = make(chan struct{})
}

type minionCall struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"until_ms"`
	Fence   int64  `json:"fence"`
	AckSeq  int64  `json:"ack_seq"`
	WaitMs  int64  `json:"wait_ms"`
}

func (m *minion) serve(w http.ResponseWriter, r *http.Request) {
	var c minionCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	born := m.born
	if !m.up {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, reason := m.execute(r.URL.Path, c)
	// A call that waits is answered at the first end that is not acknowledged.
	if wait := time.After(time.Duration(c.WaitMs) * time.Millisecond); status == http.StatusOK && c.WaitMs > 0 {
		for len(m.ended) == 0 && wait != nil {
			changed := m.changed
			m.mu.Unlock()
			select {
			case <-changed:
			case <-wait:
				wait = nil
			case <-r.Context().Done():
				return
			}
			m.mu.Lock()
		}
	}
	if m.born != born || !m.up {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := map[string]any{"clock_ms": time.Since(m.born).Milliseconds(), "born": m.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	if status == http.StatusOK && r.URL.Path == "/-/hold" {
		m.list(body)
	}
	m.mu.Unlock()
	writeJSON(w, status, body)
}

func (m *minion) execute(path string, c minionCall) (int, string) {
	if c.Fence < m.fence {
		return http.StatusConflict, "fence"
	}
	m.fence = c.Fence
	now := time.Now()
	clock := now.Sub(m.born).Milliseconds()
	if c.UntilMs > clock {
		if now.After(m.leaseEnd) {
			m.lapsedAt = now
			for _, r := range m.sorted() {
				m.end(r, "lapsed")
			}
		}
		if until := now.Add(time.Duration(min(c.UntilMs-clock, maxHold)) * time.Millisecond); until.After(m.leaseEnd) {
			m.leaseEnd = until
		}
	}
	switch path {
	case "/-/run-start":
		old := m.running[c.Task]
		switch {
		case old != nil && old.number == c.Run:
			return http.StatusOK, ""
		case c.Run <= m.blocked[c.Task] || old != nil:
			return http.StatusConflict, "old"
		case c.UntilMs <= clock:
			return http.StatusConflict, "late"
		}
		k := parseSpec(c.Spec)
		r := &run{task: c.Task, number: c.Run, work: k, started: now}
		how := "done"
		if k.fails {
			how = "failed"
		}
		r.timer = time.AfterFunc(time.Duration(k.ms)*time.Millisecond, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.running[r.task] == r {
				m.end(r, how)
			}
		})
		m.running[c.Task] = r
		m.used += k.cpu
		if m.used > m.cpu {
			m.rig.logf("OVER %s holds %d of %d", m.id, m.used, m.cpu)
		}
		m.note(r, "start", "", false)
	case "/-/run-stop":
		if r := m.running[c.Task]; r != nil && r.number <= c.Run {
			m.end(r, "stopped")
		}
		m.blocked[c.Task] = max(m.blocked[c.Task], c.Run)
	case "/-/hold":
		m.acknowledge(now, c.AckSeq)
	default:
		return http.StatusBadRequest, ""
	}
	return http.StatusOK, ""
}

func (m *minion) acknowledge(now time.Time, seq int64) {
	n := 0
	for n < len(m.ended) && m.ended[n].seq <= seq {
		e := m.ended[n]
		m.note(e.run, "noted", e.how, now.After(m.leaseEnd) || m.lapsedAt.After(e.at))
		n++
	}
	m.ended = m.ended[n:]
}

func (m *minion) list(body map[string]any) {
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.sorted() {
		percent := min(99, int(time.Since(r.started).Milliseconds()*100/int64(max(1, r.work.ms))))
		running = append(running, []any{r.task, r.number, "", percent, r.work.cpu})
	}
	for _, e := range m.ended[:min(len(m.ended), listedEnds)] {
		ended = append(ended, []any{e.seq, e.run.task, e.run.number, e.how, ""})
	}
	body["running"], body["ended_runs"] = running, ended
}

// jobOf returns the job's id of a task's name.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
