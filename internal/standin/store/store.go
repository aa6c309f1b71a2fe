// Package store is a stand-in for the platform's store: keyed topics, reads by
// offset and groups that divide partitions among members, over the store's HTTP
// interface. It works in the virtual time of testing/synctest.
package store

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Record is one record of a keyed topic. A nil value removes the key.
type Record struct {
	Key   string
	Value []byte
}

type topic struct {
	records []Record
	// firstOffset is the first offset still held.
	firstOffset int
	appended    chan struct{}
}

type member struct {
	generation int64
	lastJoin   time.Time
	ttl        time.Duration
}

type group struct {
	generation int64
	members    map[string]*member
	owners     map[int]string
}

// Store is a stand-in for the platform's store.
type Store struct {
	partitions int

	mu        sync.Mutex
	topics    map[string]*topic
	groups    map[string]*group
	down      bool
	hangReads bool
	// hangAppends is set while appends are not answered.
	hangAppends bool
}

// New returns an empty store. Each of its groups assigns this many partitions to
// its members.
func New(partitions int) *Store {
	return &Store{partitions: partitions, topics: map[string]*topic{}, groups: map[string]*group{}}
}

// SetDown sets whether every call is answered with status 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetHangReads sets whether reads that wait block until their caller disconnects.
// Blocked reads stay blocked when hang is set to false.
func (s *Store) SetHangReads(hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangReads = hang
}

// SetHangAppends sets whether appends block, without effect, until their caller
// disconnects.
func (s *Store) SetHangAppends(hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangAppends = hang
}

// Put appends a record to a topic, as an operator or a worker would.
func (s *Store) Put(name string, r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, r)
	close(t.appended)
	t.appended = make(chan struct{})
}

// The topics to which operators and workers write.
const (
	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"
)

// TopicHosts is the topic to which the entry hosts write their entries.
const TopicHosts = "keyed.hosts"

// PutConfig publishes a configuration, as an operator would.
func (s *Store) PutConfig(config []byte) { s.Put(topicOperator, Record{Key: "config", Value: config}) }

// PutOperator publishes a record with a key, as an operator would. An empty value
// removes the key.
func (s *Store) PutOperator(r Record) { s.Put(topicOperator, r) }

// PutWorker publishes a worker's entry, as the worker would.
func (s *Store) PutWorker(id string, entry []byte) {
	s.Put(topicWorkers, Record{Key: id, Value: entry})
}

// CompactOperator compacts the topic of the operator's records.
func (s *Store) CompactOperator() { s.Compact(topicOperator) }

// CompactWorkers compacts the topic of the workers' entries.
func (s *Store) CompactWorkers() { s.Compact(topicWorkers) }

// Compact drops the history of a topic: reads from earlier offsets get status
// 410, while the newest record of each key can still be listed.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstOffset = len(t.records)
}

// Length returns how many records were appended to a topic.
func (s *Store) Length(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).records)
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// PartitionOwner returns the member that owns a partition of a group, or an empty
// string if none does.
func (s *Store) PartitionOwner(name string, partition int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		return g.owners[partition]
	}
	return ""
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/log-newest":
		s.newest(w, r)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-append":
		s.append(w, r)
	case "/-/log-join":
		s.join(w, r)
	case "/-/log-leave":
		s.leave(w, r)
	case "/-/log-owners":
		s.owners(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	last := map[string]item{}
	for offset, record := range t.records {
		if record.Value == nil {
			delete(last, record.Key)
			continue
		}
		last[record.Key] = item{record.Key, record.Value, offset}
	}
	items := []item{}
	for _, i := range last {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b item) int { return a.Offset - b.Offset })
	writeJSON(w, map[string]any{"items": items, "more": false, "end": len(t.records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var wait time.Duration
	if ms := query.Get("wait_ms"); ms != "" {
		n, err := strconv.Atoi(ms)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		wait = time.Duration(n) * time.Millisecond
	}
	if wait > 0 {
		s.mu.Lock()
		t, hang := s.topic(query.Get("topic")), s.hangReads
		changed, behind := t.appended, from < len(t.records)
		s.mu.Unlock()
		if hang {
			<-r.Context().Done()
			return
		}
		if !behind {
			select {
			case <-changed:
			case <-time.After(wait):
			case <-r.Context().Done():
				return
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	if from < t.firstOffset {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]int{"first": t.firstOffset})
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, uint64(t.firstOffset))
	for _, record := range t.records[min(from, len(t.records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.Key)+len(record.Value)))
		body = append(append(append(body, byte(len(record.Key))), record.Key...), record.Value...)
	}
	// A failed write means that the caller disconnected.
	_, _ = w.Write(body)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	hang := s.hangAppends
	s.mu.Unlock()
	if hang {
		<-r.Context().Done()
		return
	}
	for len(body) > 0 {
		if len(body) < 5 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			http.Error(w, "record is longer than the body", http.StatusBadRequest)
			return
		}
		size, key := int(binary.BigEndian.Uint32(body)), int(body[4])
		record := Record{Key: string(body[5 : 5+key])}
		if value := body[5+key : 4+size]; len(value) > 0 {
			record.Value = value
		}
		s.Put(r.URL.Query().Get("topic"), record)
		body = body[4+size:]
	}
	writeJSON(w, struct{}{})
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group      string `json:"group"`
		Member     string `json:"member"`
		TTLMs      int64  `json:"ttl_ms"`
		Generation int64  `json:"generation"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[body.Group]
	if g == nil {
		g = &group{members: map[string]*member{}, owners: map[int]string{}}
		s.groups[body.Group] = g
	}
	g.expire()
	if g.members[body.Member] == nil {
		g.members[body.Member] = &member{}
		g.generation++
	}
	*g.members[body.Member] = member{
		generation: body.Generation, lastJoin: time.Now(), ttl: time.Duration(body.TTLMs) * time.Millisecond,
	}
	writeJSON(w, map[string]any{"generation": g.generation, "parts": g.assign(body.Group, body.Member, s.partitions)})
}

func (g *group) expire() {
	for name, m := range g.members {
		if time.Since(m.lastJoin) > m.ttl {
			delete(g.members, name)
			g.generation++
		}
	}
}

// assign moves each partition to its target member, if its owner has left or has
// joined again with the current generation. It returns the rows of the partitions
// that the named member owns and keeps.
func (g *group) assign(groupName, name string, partitions int) [][]any {
	names := make([]string, 0, len(g.members))
	for n := range g.members {
		names = append(names, n)
	}
	slices.Sort(names)
	rows := [][]any{}
	for p := range partitions {
		target := names[p%len(names)]
		owner := g.members[g.owners[p]]
		if owner == nil || owner.generation >= g.generation {
			g.owners[p] = target
		}
		if g.owners[p] == name && target == name {
			rows = append(rows, []any{groupName, p, 0})
		}
	}
	return rows
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Group  string `json:"group"`
		Member string `json:"member"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[body.Group]; g != nil && g.members[body.Member] != nil {
		delete(g.members, body.Member)
		g.generation++
	}
	writeJSON(w, struct{}{})
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
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
	writeJSON(w, map[string]any{"parts": rows})
}

func writeJSON(w http.ResponseWriter, body any) {
	// A failed write means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
