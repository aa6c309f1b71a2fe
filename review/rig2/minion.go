package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxHold    = time.Second
	stopTime   = 50 * time.Millisecond
	endsAtOnce = 500
)

type minionRun struct {
	task, spec string
	run        int
	begun      time.Time
	// endsAt and how tell when and how the run ends if nothing else ends it.
	endsAt   time.Time
	how      string
	stopping bool
}

// minion is one server. Its state is that of its present life.
type minion struct {
	w          *world
	id, zone   string
	rack, kind string
	addr       string
	cpu        int
	rate       float64

	mu      sync.Mutex
	life    int
	down    bool
	born    time.Time
	fence   int64
	lease   time.Duration
	lapses  int
	runs    map[string]*minionRun
	blocked map[string]int
	ended   [][]any
	// endLapses is the number of lapses of the lease when each end was listed.
	endLapses map[int64]int
	seq       int64
	beat      int64
	draining  bool
	changed   chan struct{}
	conns     map[net.Conn]bool
	// lateShare is the share of the orders that get no answer and are done 2 to 12 s later,
	// lostShare of those that are done and get no answer.
	lateShare, lostShare float64
}

func newMinion(w *world, id, zone, addr string, cpu int, rate float64) *minion {
	m := &minion{w: w, id: id, zone: zone, rack: "r-" + zone, kind: "a", addr: addr, cpu: cpu, rate: rate, conns: map[net.Conn]bool{}}
	m.begin()
	return m
}

// begin starts a life that knows nothing of the one before.
func (m *minion) begin() {
	m.life++
	m.down, m.born = false, time.Now()
	m.fence, m.lease, m.seq, m.ended = 0, 0, 0, nil
	m.runs, m.blocked, m.endLapses = map[string]*minionRun{}, map[string]int{}, map[int64]int{}
	m.changed = make(chan struct{})
}

func (m *minion) clock() time.Duration { return time.Duration(float64(time.Since(m.born)) * m.rate) }

// advance ends what is due.
func (m *minion) advance() {
	now := time.Now()
	lapsed := m.clock() >= m.lease
	if lapsed && len(m.runs) > 0 {
		m.lapses++
	}
	for _, r := range m.runs {
		switch {
		case lapsed:
			m.end(r, "lapsed")
		case !now.Before(r.endsAt):
			m.end(r, r.how)
		}
	}
}

func (m *minion) end(r *minionRun, how string) {
	delete(m.runs, runKey(r.task, r.run))
	m.blocked[r.task] = max(m.blocked[r.task], r.run)
	m.seq++
	m.ended = append(m.ended, []any{m.seq, r.task, r.run, how, ""})
	m.endLapses[m.seq] = m.lapses
	m.w.check.ended(m, r, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// crash ends the life and all its connections.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return
	}
	m.down = true
	for _, r := range m.runs {
		m.w.check.ended(m, r, "lost")
	}
	m.runs = map[string]*minionRun{}
	for c := range m.conns {
		_ = c.Close()
	}
	m.w.record("minion %s crashes", m.id)
}

// restart begins a new life under the same id.
func (m *minion) restart() {
	m.mu.Lock()
	if !m.down {
		m.mu.Unlock()
		return
	}
	m.begin()
	m.mu.Unlock()
	m.w.record("minion %s starts again", m.id)
	m.heartbeat()
}

// heartbeat writes the minion's entry.
func (m *minion) heartbeat() {
	m.mu.Lock()
	if m.down {
		m.mu.Unlock()
		return
	}
	m.beat++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	entry := encode(map[string]any{
		"service": "matchdesk", "addr": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": m.cpu, "mem_mb": 131072, "gpu": 0}, "labels": []string{m.kind, m.rack},
		"clock_ms": m.clock().Milliseconds(), "born": m.born.UnixMilli(), "seq": m.beat,
	})
	m.mu.Unlock()
	m.w.store.put("keyed.servers", m.id, entry)
}

type lifeKey struct{}

// serve serves the minion until the process ends. A connection belongs to one life.
func (m *minion) serve() error {
	listener, err := listen(m.addr)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: m, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.down {
				_ = c.Close()
			}
			m.conns[c] = true
			return context.WithValue(ctx, lifeKey{}, m.life)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				m.mu.Lock()
				delete(m.conns, c)
				m.mu.Unlock()
			}
		},
	}
	go func() { _ = server.Serve(listener) }()
	return nil
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

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var call minionCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != m.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	life, _ := r.Context().Value(lifeKey{}).(int)
	order := r.URL.Path == "/-/run-start" || r.URL.Path == "/-/run-stop"
	m.mu.Lock()
	late, lost := m.lateShare, m.lostShare
	m.mu.Unlock()
	if order && late > 0 && m.w.float() < late {
		delay := 2*time.Second + time.Duration(m.w.float()*10*float64(time.Second))
		m.w.record("minion %s leaves %s %s run %d unanswered, done %v later", m.id, r.URL.Path, call.Task, call.Run, delay.Round(time.Millisecond))
		time.AfterFunc(delay, func() { m.execute(life, r.URL.Path, call) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/-/hold" && call.WaitMs > 0 {
		m.wait(r.Context(), life, call)
	}
	status, body := m.execute(life, r.URL.Path, call)
	if body == nil || order && lost > 0 && m.w.float() < lost {
		if body != nil {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// wait takes the lease of a call and waits until there is an end to list.
func (m *minion) wait(ctx context.Context, life int, call minionCall) {
	m.mu.Lock()
	if m.life != life || m.down {
		m.mu.Unlock()
		return
	}
	m.advance()
	if call.Fence >= m.fence {
		m.fence = call.Fence
		m.grant(call.UntilMs)
		m.acknowledge(call.AckSeq)
	}
	changed, ready := m.changed, call.Fence < m.fence || len(m.ended) > 0
	m.mu.Unlock()
	if ready {
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	case <-time.After(time.Duration(min(call.WaitMs, 2000)) * time.Millisecond):
	}
}

func (m *minion) grant(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, m.clock()+maxHold)
	m.lease = max(m.lease, until)
}

func (m *minion) acknowledge(upTo int64) {
	kept := m.ended[:0:0]
	for _, e := range m.ended {
		seq, _ := e[0].(int64)
		if seq > upTo {
			kept = append(kept, e)
			continue
		}
		task, _ := e[1].(string)
		run, _ := e[2].(int)
		how, _ := e[3].(string)
		if m.endLapses[seq] == m.lapses && m.clock() < m.lease {
			m.w.check.noted(m, task, run, how)
		}
		delete(m.endLapses, seq)
	}
	m.ended = kept
}

// execute does a call for one life. It returns no body if that life has ended.
func (m *minion) execute(life int, path string, call minionCall) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life != life || m.down {
		return 0, nil
	}
	m.advance()
	body := map[string]any{"clock_ms": m.clock().Milliseconds(), "born": m.born.UnixMilli()}
	if call.Fence < m.fence {
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	m.fence = call.Fence
	switch path {
	case "/-/run-start":
		return m.start(call, body)
	case "/-/run-stop":
		m.blocked[call.Task] = max(m.blocked[call.Task], call.Run)
		if r := m.runs[runKey(call.Task, call.Run)]; r != nil && !r.stopping {
			left := time.Duration(m.w.float() * float64(stopTime))
			r.stopping, r.how, r.endsAt = true, "stopped", time.Now().Add(left)
		}
	case "/-/hold":
		m.grant(call.UntilMs)
		m.acknowledge(call.AckSeq)
		running := [][]any{}
		for _, r := range m.runs {
			percent := min(99, int(100*float64(time.Since(r.begun))/float64(r.endsAt.Sub(r.begun))))
			running = append(running, []any{r.task, r.run, "", percent, 1000})
		}
		body["running"], body["ended_runs"] = running, m.ended[:min(len(m.ended), endsAtOnce)]
		if len(m.ended) == 0 {
			body["ended_runs"] = [][]any{}
		}
	}
	return http.StatusOK, body
}

func (m *minion) start(call minionCall, body map[string]any) (int, map[string]any) {
	if m.runs[runKey(call.Task, call.Run)] != nil {
		m.grant(call.UntilMs)
		return http.StatusOK, body
	}
	if call.Run <= m.blocked[call.Task] {
		m.grant(call.UntilMs)
		body["reason"] = "old"
		return http.StatusConflict, body
	}
	if time.Duration(call.UntilMs)*time.Millisecond <= m.clock() {
		body["reason"] = "late"
		return http.StatusConflict, body
	}
	m.grant(call.UntilMs)
	var spec taskSpec
	if err := json.Unmarshal([]byte(call.Spec), &spec); err != nil {
		return http.StatusBadRequest, body
	}
	now := time.Now()
	r := &minionRun{task: call.Task, spec: call.Spec, run: call.Run, begun: now, endsAt: now.Add(time.Duration(spec.Ms) * time.Millisecond), how: "done"}
	if spec.Fail > 0 && m.w.float() < spec.Fail {
		r.how = "failed"
	}
	m.runs[runKey(r.task, r.run)] = r
	m.w.check.started(m, r)
	return http.StatusOK, body
}

// taskSpec is what the tasks of a job do.
type taskSpec struct {
	Ms   int     `json:"ms"`
	Fail float64 `json:"fail"`
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func runKey(task string, run int) string { return fmt.Sprintf("%s/%d", task, run) }
