package backend

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/parsleyhill/parsleyhill/internal/backendapi"
)

// writeAnswer writes the answer to a request that ran, with the faults that were
// in force when it started.
func (s *Server) writeAnswer(w http.ResponseWriter, id string, faults Faults, work Work) {
	if faults.Drop {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.ledger.Answers[id]++
	load := s.admitted
	s.mu.Unlock()
	reply := fmt.Appendf(nil, "{\"request\":%q,\"backend\":%q,\"run_ms\":%d}\n", id, s.name, work.RunMs)
	s.setHeaders(w.Header(), id, faults, reply)
	w.Header().Set(backendapi.HeaderLoad, strconv.Itoa(load))
	status := http.StatusOK
	if faults.FailAll || work.Fail {
		status = http.StatusInternalServerError
	}
	if faults.AnswerTwice {
		writeAnswerTwice(w, status, reply)
		return
	}
	w.WriteHeader(status)
	if faults.Truncate {
		reply = reply[:len(reply)/2]
	}
	// A failed write means that the caller disconnected; the error has no receiver.
	_, _ = w.Write(reply)
}

func (s *Server) setHeaders(h http.Header, id string, faults Faults, reply []byte) {
	h.Set(backendapi.HeaderRequestID, id)
	if faults.WrongID {
		h.Set(backendapi.HeaderRequestID, id+"-other")
	}
	if !faults.NoDigest {
		h.Set(backendapi.HeaderDigest, backendapi.Digest(reply))
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(reply)))
	if s.isLeaving() {
		h.Set(backendapi.HeaderLeaving, "true")
	}
}

// writeAnswerTwice writes the whole answer twice on one connection, as a faulty
// server may do.
func writeAnswerTwice(w http.ResponseWriter, status int, reply []byte) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	for range 2 {
		// A failed write means that the caller disconnected; the error has no receiver.
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
		_ = w.Header().Write(buffer)
		_, _ = buffer.WriteString("\r\n")
		_, _ = buffer.Write(reply)
	}
	_ = buffer.Flush()
}
