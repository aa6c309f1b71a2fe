package requests

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/dispatch"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// Routes adds the callers' paths to mux.
func (s *Service) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+callerapi.PathRequests, s.serveRequest)
}

func (s *Service) serveRequest(w http.ResponseWriter, r *http.Request) {
	req, err := s.parse(w, r)
	if err != nil {
		errkind.Write(w, "", err, 0)
		return
	}
	w.Header().Set(callerapi.HeaderRequestID, req.ID)
	w.Header().Set(callerapi.HeaderHost, s.deps.Settings.Host)
	if err := s.submit(req); err != nil {
		errkind.Write(w, req.ID, err, 0)
		return
	}
	res := <-req.done
	if res.err != nil {
		errkind.Write(w, req.ID, res.err, res.retryAfter)
		return
	}
	h := w.Header()
	h.Set(callerapi.HeaderBackend, res.backend)
	h.Set("Content-Type", res.answer.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(res.answer.Body)))
	w.WriteHeader(res.answer.Status)
	// A failed write means that the caller has gone; there is nobody to tell.
	_, _ = w.Write(res.answer.Body)
}

// parse checks a request whole before anything is done with it.
func (s *Service) parse(w http.ResponseWriter, r *http.Request) (*request, *errkind.Error) {
	state := s.deps.View.State()
	if state == nil {
		return nil, errkind.New(errkind.NotReady, "no configuration yet")
	}
	h := r.Header
	name := h.Get(callerapi.HeaderCustomer)
	rules, ok := state.Customers[name]
	if !ok {
		return nil, errkind.New(errkind.UnknownCustomer, "no customer %q", name)
	}
	deadline, err := parseDeadline(h.Get(callerapi.HeaderDeadline), rules.WithDefaults())
	if err != nil {
		return nil, err
	}
	declaredMs, err := parseMs(callerapi.HeaderDeclared, h.Get(callerapi.HeaderDeclared), 0)
	if err != nil {
		return nil, err
	}
	if declaredMs < 0 {
		return nil, errkind.New(errkind.BadRequest, "the declared run time is %d ms", declaredMs)
	}
	if err := checkMarks(h); err != nil {
		return nil, err
	}
	body, err := readBody(w, r, s.deps.Settings.Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	id := h.Get(callerapi.HeaderRequestID)
	if id == "" {
		id = ids.NewRequest(s.deps.Incarnation)
	}
	return &request{
		Request: dispatch.Request{
			ID:         id,
			Team:       h.Get(callerapi.HeaderTeam),
			Idempotent: h.Get(callerapi.HeaderIdempotent) == "true",
			Deadline:   time.Now().Add(deadline),
			Declared:   time.Duration(declaredMs) * time.Millisecond,
		},
		customer:    name,
		contentType: h.Get("Content-Type"),
		body:        body,
		done:        make(chan result, 1),
		ctx:         r.Context(),
	}, nil
}

// maxIDBytes bounds the length of a caller's id.
const maxIDBytes = 256

// checkMarks checks the headers that say how a request may be sent again, so
// that no typing error turns into a second run.
func checkMarks(h http.Header) *errkind.Error {
	idempotent := h.Get(callerapi.HeaderIdempotent)
	attempt, err := strconv.Atoi(h.Get(callerapi.HeaderAttempt))
	switch {
	case idempotent != "" && idempotent != "true" && idempotent != "false":
		return errkind.New(errkind.BadRequest, "header %s is neither true nor false", callerapi.HeaderIdempotent)
	case h.Get(callerapi.HeaderAttempt) != "" && (err != nil || attempt < 1):
		return errkind.New(errkind.BadRequest, "header %s is no number from 1", callerapi.HeaderAttempt)
	case len(h.Get(callerapi.HeaderRequestID)) > maxIDBytes:
		return errkind.New(errkind.BadRequest, "header %s is longer than %d bytes", callerapi.HeaderRequestID, maxIDBytes)
	}
	return nil
}

func parseDeadline(text string, rules standing.Customer) (time.Duration, *errkind.Error) {
	ms, err := parseMs(callerapi.HeaderDeadline, text, rules.DeadlineMs)
	if err != nil {
		return 0, err
	}
	if ms <= 0 {
		return 0, errkind.New(errkind.DeadlinePassed, "the deadline is %d ms away", ms)
	}
	return time.Duration(min(ms, rules.MaxDeadlineMs)) * time.Millisecond, nil
}

func parseMs(name, text string, unset int64) (int64, *errkind.Error) {
	if text == "" {
		return unset, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errkind.Wrap(errkind.BadRequest, err, "header %s", name)
	}
	return ms, nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *errkind.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.TooLarge, "the body is larger than %d bytes", limit)
	case err != nil:
		return nil, errkind.Wrap(errkind.BadRequest, err, "read body")
	}
	return body, nil
}
