// Package backend is a small stand-in for a backend server: it runs requests
// in a fixed number of slots and counts the starts and answers of each.
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

// maxBodyBytes is how much of a request body is read; the rest is ignored.
const maxBodyBytes = 16 << 20

// Work is the request body that the stand-in interprets. Any other body runs
// for the default time.
type Work struct {
	// RunMs is the run time in milliseconds.
	RunMs int64 `json:"run_ms"`
	// Fail makes the server answer status 500 after the run.
	Fail bool `json:"fail,omitempty"`
}

// Faults selects the failures that the stand-in simulates.
type Faults struct {
	// FailAll answers every request with status 500 at once, without its run
	// time.
	FailAll bool `json:"fail_all"`
	// Frozen starts requests but answers none until it is cleared.
	Frozen bool `json:"frozen"`
	// SlowBy multiplies run times; 0 means 1.
	SlowBy float64 `json:"slow_by"`
	// Leaving refuses new requests and sets the header that announces leaving
	// on every response.
	Leaving bool `json:"leaving"`
	// Truncate sends complete headers but only the first half of each body.
	Truncate bool `json:"truncate"`
	// WrongID answers with the id of another request.
	WrongID bool `json:"wrong_id"`
	// Drop closes the connection after the run instead of answering.
	Drop bool `json:"drop"`
	// AnswerTwice writes each answer twice on its connection.
	AnswerTwice bool `json:"answer_twice"`
	// NoDigest omits the digest header from answers.
	NoDigest bool `json:"no_digest"`
}

// Ledger counts the requests that the server started, answered and refused.
type Ledger struct {
	// Starts counts starts by request id.
	Starts map[string]int `json:"starts"`
	// Answers counts answers by request id.
	Answers map[string]int `json:"answers"`
	// Refused counts requests that were not started.
	Refused int `json:"refused"`
	// AfterLeaving counts requests that arrived more than leavingGrace after
	// the server began to leave.
	AfterLeaving int `json:"after_leaving"`
}

// leavingGrace is how long new requests may still arrive after the server began
// to leave.
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

// New returns a server that runs up to slots requests at once and queues up to
// queueLimit more.
func New(name string, slots, queueLimit int) *Server {
	unfrozen := make(chan struct{})
	close(unfrozen)
	return &Server{
		name:       name,
		queueLimit: queueLimit,
		slots:      make(chan struct{}, slots),
		unfrozen:   unfrozen,
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

// execute runs one request that holds a slot. The work continues after the
// caller disconnects, as on a real server.
func (s *Server) execute(w http.ResponseWriter, id string, body []byte) {
	faults, unfrozen := s.start(id)
	work := Work{RunMs: 50}
	_ = json.Unmarshal(body, &work)
	if !faults.FailAll {
		time.Sleep(runTime(work, faults))
		<-unfrozen
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

// admit counts a request as admitted, or returns why it is refused.
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

// SetFaults replaces the faults in force. Requests that have started keep the
// faults they started with.
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

// Starts returns how many times the request with this id was started.
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
