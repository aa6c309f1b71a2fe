// Package backend is a small stand-in for a backend server: it runs requests
// in a fixed number of slots and keeps a ledger of what it started.
package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/backendapi"
	"github.com/parsleyhill/parsleyhill/internal/httpjson"
)

// maxBody bounds what is read of one request.
const maxBodyBytes = 16 << 20

// Work is the body that the stand-in understands. Any other body runs for
// the default time.
type Work struct {
	// RunMs is the run time in milliseconds.
	RunMs int64 `json:"run_ms"`
	// Fail makes the server answer status 500 after the run.
	Fail bool `json:"fail,omitempty"`
}

// Faults are the failures that the stand-in brings about.
type Faults struct {
	// FailAll answers every request with status 500 at once.
	FailAll bool `json:"fail_all"`
	// Frozen starts requests and answers none until it is cleared.
	Frozen bool `json:"frozen"`
	// SlowBy multiplies run times; 0 means 1.
	SlowBy float64 `json:"slow_by"`
	// Leaving refuses new requests and says so.
	Leaving bool `json:"leaving"`
	// Truncate cuts answers in half after their headers.
	Truncate bool `json:"truncate"`
	// WrongID answers with another request's id.
	WrongID bool `json:"wrong_id"`
	// Drop closes the connection after the run instead of answering.
	Drop bool `json:"drop"`
	// AnswerTwice writes each answer twice on its connection.
	AnswerTwice bool `json:"answer_twice"`
	// NoDigest leaves the digest out.
	NoDigest bool `json:"no_digest"`
}

// Ledger counts what the server did.
type Ledger struct {
	// Starts counts starts by request id.
	Starts map[string]int `json:"starts"`
	// Answers counts answers by request id.
	Answers map[string]int `json:"answers"`
	// Refused counts requests that were not started.
	Refused int `json:"refused"`
	// AfterLeaving counts requests that arrived more than LeavingGrace after
	// the server began to leave.
	AfterLeaving int `json:"after_leaving"`
}

// leavingGrace is how long after leaving new work may still arrive.
const leavingGrace = 5 * time.Second

// Server is one backend server.
type Server struct {
	name       string
	queueLimit int
	slots      chan struct{}

	mu           sync.Mutex
	faults       Faults
	unfrozen     chan struct{}
	admitted     int
	leavingSince time.Time
	ledger       Ledger
}

// New returns a server that runs slots requests at once and holds up to queue
// more.
func New(name string, slots, queue int) *Server {
	thawed := make(chan struct{})
	close(thawed)
	return &Server{
		name:       name,
		queueLimit: queue,
		slots:      make(chan struct{}, slots),
		unfrozen:   thawed,
		ledger:     Ledger{Starts: map[string]int{}, Answers: map[string]int{}},
	}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+backendapi.PathRun, s.run)
	mux.HandleFunc("GET /v1/ledger", s.getLedger)
	mux.HandleFunc("POST /v1/faults", s.postFaults)
	return mux
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(backendapi.HeaderRequestID)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if refusal := s.admit(); refusal != "" {
		s.refuse(w, id, refusal)
		return
	}
	defer s.release()
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.execute(w, id, body)
}

// execute runs one request that holds a slot. The work goes on when the
// caller hangs up, as real work does.
func (s *Server) execute(w http.ResponseWriter, id string, body []byte) {
	faults, thawed := s.start(id)
	work := Work{RunMs: 50}
	_ = json.Unmarshal(body, &work)
	if !faults.FailAll {
		time.Sleep(runTime(work, faults))
		<-thawed
	}
	s.writeAnswer(w, id, faults, work)
}

func runTime(work Work, faults Faults) time.Duration {
	factor := faults.SlowBy
	if factor == 0 {
		factor = 1
	}
	return time.Duration(float64(work.RunMs) * factor * float64(time.Millisecond))
}

func (s *Server) refuse(w http.ResponseWriter, id string, refusal backendapi.Refusal) {
	w.Header().Set(backendapi.HeaderRequestID, id)
	w.Header().Set(backendapi.HeaderRefused, string(refusal))
	if refusal == backendapi.RefusedLeaving {
		w.Header().Set(backendapi.HeaderLeaving, "true")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// enter counts a request in, or returns why it is refused.
func (s *Server) admit() backendapi.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Leaving {
		s.ledger.Refused++
		if time.Since(s.leavingSince) > leavingGrace {
			s.ledger.AfterLeaving++
		}
		return backendapi.RefusedLeaving
	}
	if s.admitted >= cap(s.slots)+s.queueLimit {
		s.ledger.Refused++
		return backendapi.RefusedBusy
	}
	s.admitted++
	return ""
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted--
}

func (s *Server) start(id string) (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Starts[id]++
	return s.faults, s.unfrozen
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Leaving
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Leaving && !s.faults.Leaving {
		s.leavingSince = time.Now()
	}
	if f.Frozen && !s.faults.Frozen {
		s.unfrozen = make(chan struct{})
	}
	if !f.Frozen && s.faults.Frozen {
		close(s.unfrozen)
	}
	s.faults = f
}

// Starts returns how often the request was started.
func (s *Server) Starts(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Starts[id]
}

func (s *Server) getLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, s.ledger)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !httpjson.Read(w, r, &f) {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
