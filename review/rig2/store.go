package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	partitions   = 12
	appendTime   = 2 * time.Millisecond
	answerTime   = 4 * time.Millisecond
	keepTime     = 20 * time.Second
	pageItems    = 500
	maxCallBytes = 2 << 20
)

type logRecord struct {
	key     string
	value   []byte
	deleted bool
	at      time.Time
}

type logTopic struct {
	first   int64
	records []logRecord
	newest  map[string]int64
	values  map[string][]byte
	changed chan struct{}
	// appending serialises the appends of the only partition.
	appending sync.Mutex
}

type groupMember struct {
	generation int64
	joined     time.Time
	ttl        time.Duration
}

type logGroup struct {
	generation int64
	// shift turns the assignment of the partitions to the members.
	shift   int
	members map[string]*groupMember
	owners  [partitions]string
	// lostAt is the generation in which the owner of a partition stopped being its target.
	lostAt [partitions]int64
}

// store is the platform's store.
type store struct {
	mu     sync.Mutex
	topics map[string]*logTopic
	groups map[string]*logGroup
}

func newStore() *store {
	return &store{topics: map[string]*logTopic{}, groups: map[string]*logGroup{}}
}

func (s *store) topic(name string) *logTopic {
	t := s.topics[name]
	if t == nil {
		t = &logTopic{newest: map[string]int64{}, values: map[string][]byte{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends one record, as the operator or a minion does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(topic), []logRecord{{key: key, value: value, deleted: value == nil}})
}

func (s *store) add(t *logTopic, records []logRecord) {
	now := time.Now()
	for _, r := range records {
		r.at = now
		offset := t.first + int64(len(t.records))
		t.records = append(t.records, r)
		if r.deleted {
			delete(t.newest, r.key)
			delete(t.values, r.key)
		} else {
			t.newest[r.key], t.values[r.key] = offset, r.value
		}
	}
	expired := 0
	for expired < len(t.records) && now.Sub(t.records[expired].at) > keepTime {
		expired++
	}
	t.first += int64(expired)
	t.records = t.records[expired:]
	close(t.changed)
	t.changed = make(chan struct{})
}

// storeFault is what happens to the calls of one host.
type storeFault struct {
	mu sync.Mutex
	// share is the share of the writing calls whose answer is lost. Of these, lateShare are
	// executed 1 to 6 s later.
	share, lateShare float64
	// refuse makes the store answer 503, silent makes it not answer and do nothing.
	refuse, silent bool
}

func (f *storeFault) set(change func(f *storeFault)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// front serves the store to one host.
func (s *store) front(w *world, host string, f *storeFault) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.mu.Lock()
		share, lateShare, refuse, silent := f.share, f.lateShare, f.refuse, f.silent
		f.mu.Unlock()
		writes := r.Method == http.MethodPost
		switch {
		case silent:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case refuse:
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		case writes && share > 0 && w.float() < share:
			if w.float() < lateShare {
				delay := time.Second + time.Duration(w.float()*5*float64(time.Second))
				w.record("store: %s of %s without an answer, done %v later", r.URL.Path, host, delay.Round(time.Millisecond))
				time.AfterFunc(delay, func() { s.serve(discard{}, r, body) })
			} else {
				w.record("store: %s of %s done without an answer", r.URL.Path, host)
				s.serve(discard{}, r, body)
			}
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(answerTime)
		next := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.serve(rw, r, body) })
		if r.Method == http.MethodGet && r.URL.Query().Get("topic") == hostsTopic {
			w.links.readHosts(host, next, rw, r)
			return
		}
		next.ServeHTTP(rw, r)
	})
}

// discard is the answer to a call that gets none.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func (s *store) serve(rw http.ResponseWriter, r *http.Request, body []byte) {
	switch r.URL.Path {
	case "/-/log-append":
		s.append(rw, r, body)
	case "/-/log-read":
		s.read(rw, r)
	case "/-/log-newest":
		s.newest(rw, r)
	case "/-/log-join":
		s.join(rw, body)
	case "/-/log-leave":
		s.leave(rw, body)
	case "/-/log-owners":
		s.owners(rw, r)
	default:
		http.NotFound(rw, r)
	}
}

func (s *store) append(rw http.ResponseWriter, r *http.Request, body []byte) {
	topic := r.URL.Query().Get("topic")
	if len(body) > maxCallBytes || topic == "keyed.op" || topic == "keyed.servers" {
		rw.WriteHeader(http.StatusForbidden)
		return
	}
	var records []logRecord
	for len(body) > 0 {
		if len(body) < 5 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		size, key := int(binary.BigEndian.Uint32(body)), int(body[4])
		value := slices.Clone(body[5+key : 4+size])
		records = append(records, logRecord{key: string(body[5 : 5+key]), value: value, deleted: len(value) == 0})
		body = body[4+size:]
	}
	s.mu.Lock()
	t := s.topic(topic)
	s.mu.Unlock()
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := t.first + int64(len(t.records))
	s.add(t, records)
	answer(rw, map[string]any{"offset": offset, "end": t.first + int64(len(t.records))})
}

func (s *store) read(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	maxKB := 1024
	if n, err := strconv.Atoi(query.Get("max_kb")); err == nil {
		maxKB = n
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; waiting; {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		changed, there := t.changed, from < t.first+int64(len(t.records))
		s.mu.Unlock()
		if there {
			break
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	if from < t.first {
		rw.WriteHeader(http.StatusGone)
		answer(rw, map[string]any{"first": t.first})
		return
	}
	end := t.first + int64(len(t.records))
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for _, record := range t.records[min(from, end)-t.first:] {
		if len(out) > maxKB<<10 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.key)+len(record.value)))
		out = append(append(append(out, byte(len(record.key))), record.key...), record.value...)
	}
	_, _ = rw.Write(out)
}

func (s *store) newest(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(t.values[key]), "offset": t.newest[key],
		})
	}
	answer(rw, map[string]any{"items": items, "more": len(keys) > pageItems, "end": t.first + int64(len(t.records))})
}

func (s *store) join(rw http.ResponseWriter, body []byte) {
	var call struct {
		Group      string `json:"group"`
		Member     string `json:"member"`
		TTLMs      int64  `json:"ttl_ms"`
		Generation int64  `json:"generation"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[call.Group]
	if g == nil {
		g = &logGroup{members: map[string]*groupMember{}}
		s.groups[call.Group] = g
	}
	g.expire()
	if g.members[call.Member] == nil {
		g.members[call.Member] = &groupMember{}
		g.generation++
	}
	*g.members[call.Member] = groupMember{generation: call.Generation, joined: time.Now(), ttl: time.Duration(call.TTLMs) * time.Millisecond}
	g.deal()
	rows := [][]any{}
	for p, owner := range g.owners {
		if owner == call.Member && g.target(p) == call.Member {
			rows = append(rows, []any{call.Group, p, 0})
		}
	}
	answer(rw, map[string]any{"generation": g.generation, "parts": rows})
}

func (g *logGroup) expire() {
	for name, m := range g.members {
		if time.Since(m.joined) > m.ttl {
			delete(g.members, name)
			g.generation++
		}
	}
}

// target returns the member to which a partition is to belong.
func (g *logGroup) target(partition int) string {
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	if len(names) == 0 {
		return ""
	}
	slices.SortFunc(names, strings.Compare)
	return names[(partition+g.shift)%len(names)]
}

// deal moves the partitions whose owner has left, or has joined with the generation in which
// it is not their target any more.
func (g *logGroup) deal() {
	for p, owner := range g.owners {
		target := g.target(p)
		if owner == target {
			g.lostAt[p] = 0
			continue
		}
		if g.lostAt[p] == 0 {
			g.lostAt[p] = g.generation
		}
		if m := g.members[owner]; m == nil || m.generation >= g.lostAt[p] {
			g.owners[p], g.lostAt[p] = target, 0
		}
	}
}

func (s *store) leave(rw http.ResponseWriter, body []byte) {
	var call struct {
		Group  string `json:"group"`
		Member string `json:"member"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[call.Group]; g != nil && g.members[call.Member] != nil {
		delete(g.members, call.Member)
		g.generation++
	}
	answer(rw, map[string]any{})
}

func (s *store) owners(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	name := r.URL.Query().Get("group")
	if g := s.groups[name]; g != nil {
		g.expire()
		for p, owner := range g.owners {
			if g.members[owner] != nil {
				rows = append(rows, []any{name, p, owner, 0})
			}
		}
	}
	answer(rw, map[string]any{"parts": rows})
}

func answer(rw http.ResponseWriter, body any) {
	// A failed write means that the caller has left.
	_ = json.NewEncoder(rw).Encode(body)
}

// rebalance reassigns all partitions of all groups at once, each to the next member; back
// makes every second time undo the one before.
func (s *store) rebalance(back bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		g.expire()
		g.generation++
		g.shift++
		if back {
			g.shift %= 2
		}
		for p := range g.owners {
			g.owners[p], g.lostAt[p] = g.target(p), 0
		}
	}
}

// compact forgets the history of all topics. The newest record of each key stays.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first += int64(len(t.records))
		t.records = nil
	}
}
