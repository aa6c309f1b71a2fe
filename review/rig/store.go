package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	partitions    = 12
	storeAnswer   = 4 * time.Millisecond // "4 ms an answer" on the sheet
	appendTime    = 2 * time.Millisecond // append_ms
	newestRecords = 500
	newestBytes   = 1 << 20
)

type record struct {
	key   string
	value []byte
}

type topic struct {
	mu       sync.Mutex // one append at a time
	records  []record
	newest   map[string]int // offset of the newest record of each key
	appended chan struct{}
}

type member struct {
	generation int64
	deadline   time.Time
}

type group struct {
	generation int64
	members    map[string]*member
	owners     map[int]string
}

// store is a stand-in for the platform's metadata store: keyed topics, waiting
// reads and groups, as PROTOCOL.md describes them.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*group
	// slow multiplies the time of each answer (platform_slow).
	slow int
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, groups: map[string]*group{}, slow: 1}
}

// endpoint is the address at which one machine reaches the store. It can be cut off
// alone.
type endpoint struct {
	store   *store
	address string
	server  *http.Server
}

func (s *store) newEndpoint() *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	e := &endpoint{store: s, address: l.Addr().String()}
	e.serve(l)
	return e
}

func (e *endpoint) serve(l net.Listener) {
	e.server = &http.Server{Handler: e.store}
	go e.server.Serve(l)
}

// cut closes the channels and refuses new ones (core_cut with refuse).
func (e *endpoint) cut() { e.server.Close() }

// heal ends the cut.
func (e *endpoint) heal() {
	l, err := net.Listen("tcp", e.address)
	must(err)
	e.serve(l)
}

func (s *store) setSlow(x int) {
	s.mu.Lock()
	s.slow = x
	s.mu.Unlock()
}

// delay holds an answer back for the time that the store takes.
func (s *store) delay() {
	s.mu.Lock()
	d := storeAnswer * time.Duration(s.slow)
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends records as the operator or a minion does.
func (s *store) put(name string, records ...record) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first := len(t.records)
	for _, r := range records {
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = len(t.records) - 1
		}
	}
	close(t.appended)
	t.appended = make(chan struct{})
	return first
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r, q.Get("topic"))
	case "/-/log-newest":
		s.listNewest(w, q.Get("topic"), q.Get("after"))
	case "/-/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		kb, err := strconv.Atoi(q.Get("max_kb"))
		if err != nil {
			kb = 1024
		}
		s.read(w, r, q.Get("topic"), from, kb<<10, time.Duration(wait)*time.Millisecond)
	case "/-/log-join":
		s.join(w, r)
	case "/-/log-leave":
		s.leave(w, r)
	case "/-/log-owners":
		s.listOwners(w, q.Get("group"))
	default:
		http.NotFound(w, r)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []record
	for len(body) > 0 {
		if len(body) < 5 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		size, key := int(binary.BigEndian.Uint32(body)), int(body[4])
		data := body[5 : 4+size]
		records = append(records, record{string(data[:key]), append([]byte(nil), data[key:]...)})
		body = body[4+size:]
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.mu.Lock()
	time.Sleep(appendTime)
	first := s.put(name, records...)
	t.mu.Unlock()
	s.delay()
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end": first + len(records)})
}

func (s *store) listNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(name)
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, k := range keys {
		r := t.records[t.newest[k]]
		if size += len(r.key) + len(r.value); len(items) == newestRecords || len(items) > 0 && size > newestBytes {
			more = true
			break
		}
		items = append(items, item{k, base64.StdEncoding.EncodeToString(r.value), t.newest[k]})
	}
	end := len(t.records)
	s.mu.Unlock()
	s.delay()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string, from, limit int, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		t := s.topic(name)
		changed, behind := t.appended, from < len(t.records)
		s.mu.Unlock()
		if behind || wait == 0 {
			break
		}
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-timeout:
		}
		break
	}
	s.mu.Lock()
	t := s.topic(name)
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i, rec := range t.records[min(from, len(t.records)):] {
		if i > 0 && len(body) > limit {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
		body = append(append(append(body, byte(len(rec.key))), rec.key...), rec.value...)
	}
	s.mu.Unlock()
	s.delay()
	w.Write(body)
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group      string `json:"group"`
		Member     string `json:"member"`
		TTLMs      int64  `json:"ttl_ms"`
		Generation int64  `json:"generation"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g := s.group(body.Group)
	m := g.members[body.Member]
	if m == nil {
		m = &member{}
		g.members[body.Member] = m
		g.generation++
	}
	m.generation, m.deadline = body.Generation, time.Now().Add(time.Duration(body.TTLMs)*time.Millisecond)
	parts := g.assign(body.Group, body.Member)
	generation := g.generation
	s.mu.Unlock()
	s.delay()
	writeJSON(w, http.StatusOK, map[string]any{"generation": generation, "parts": parts})
}

// group returns a group without the members whose time to live is over.
func (s *store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}, owners: map[int]string{}}
		s.groups[name] = g
	}
	for name, m := range g.members {
		if time.Now().After(m.deadline) {
			delete(g.members, name)
			g.generation++
		}
	}
	return g
}

// assign divides the partitions evenly. One that moves is handed over once its
// holder has joined with the present generation, has left or is gone. It returns
// the rows of the caller.
func (g *group) assign(topicName, caller string) [][]any {
	names := make([]string, 0, len(g.members))
	for n := range g.members {
		names = append(names, n)
	}
	sort.Strings(names)
	counts := map[string]int{}
	targets := map[int]string{}
	quota := func(i int) int {
		q := partitions / len(names)
		if i < partitions%len(names) {
			q++
		}
		return q
	}
	quotas := map[string]int{}
	for i, n := range names {
		quotas[n] = quota(i)
	}
	var open []int
	for p := 0; p < partitions; p++ {
		if o := g.owners[p]; g.members[o] != nil && counts[o] < quotas[o] {
			targets[p] = o
			counts[o]++
		} else {
			open = append(open, p)
		}
	}
	for _, p := range open {
		for _, n := range names {
			if counts[n] < quotas[n] {
				targets[p] = n
				counts[n]++
				break
			}
		}
	}
	rows := [][]any{}
	for p := 0; p < partitions; p++ {
		o := g.owners[p]
		if holder := g.members[o]; o != targets[p] && (holder == nil || holder.generation >= g.generation) {
			g.owners[p] = targets[p]
		}
		if g.owners[p] == caller && targets[p] == caller {
			rows = append(rows, []any{topicName, p, 0})
		}
	}
	return rows
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group  string `json:"group"`
		Member string `json:"member"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g := s.group(body.Group)
	if g.members[body.Member] != nil {
		delete(g.members, body.Member)
		g.generation++
	}
	s.mu.Unlock()
	s.delay()
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *store) listOwners(w http.ResponseWriter, name string) {
	s.mu.Lock()
	g := s.group(name)
	rows := [][]any{}
	for p := 0; p < partitions; p++ {
		if o := g.owners[p]; g.members[o] != nil {
			rows = append(rows, []any{name, p, o, 0})
		}
	}
	s.mu.Unlock()
	s.delay()
	writeJSON(w, http.StatusOK, map[string]any{"parts": rows})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
