package requests

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/identity"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/httpjson"
	"github.com/parsleyhill/parsleyhill/internal/httpserve"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// maxIDBytes is the maximum length of a request id.
const maxIDBytes = 256

// Routes registers the endpoints for callers on mux.
func (s *Service) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+callerapi.PathRequests, s.serveRequest)
	mux.HandleFunc("POST "+callerapi.PathIDs, s.serveIDs)
}

func (s *Service) serveRequest(w http.ResponseWriter, r *http.Request) {
	req, err := s.parse(w, r)
	if err != nil {
		errkind.Write(w, req.ID, err, 0)
		return
	}
	w.Header().Set(callerapi.HeaderRequestID, req.ID)
	w.Header().Set(callerapi.HeaderHost, s.deps.Settings.Host)
	result := s.do(r.Context(), req)
	s.countResult(req.customer, result)
	w.Header().Set(callerapi.HeaderExtraMessages, strconv.Itoa(result.ExtraMessages))
	if result.Err != nil {
		errkind.Write(w, req.ID, result.Err, result.RetryAfter)
		return
	}
	h := w.Header()
	h.Set(callerapi.HeaderBackend, result.Answer.Backend)
	h.Set("Content-Type", result.Answer.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(result.Answer.Body)))
	w.WriteHeader(result.Answer.Status)
	// A write fails only if the caller has disconnected, so the error is ignored.
	_, _ = w.Write(result.Answer.Body)
}

// serveIDs mints request ids that carry this host's incarnation.
func (s *Service) serveIDs(w http.ResponseWriter, r *http.Request) {
	count, err := parseInt(callerapi.ParamCount, r.URL.Query().Get(callerapi.ParamCount), 1)
	if err == nil && (count < 1 || count > callerapi.MaxIDs) {
		err = errkind.New(errkind.BadRequest, "parameter %s: %d is not between 1 and %d", callerapi.ParamCount, count, callerapi.MaxIDs)
	}
	name := r.Header.Get(callerapi.HeaderCustomer)
	rules, found := s.rules(name)
	if err == nil && !found {
		err = errkind.New(errkind.UnknownCustomer, "no customer %q", name)
	}
	if err != nil {
		errkind.Write(w, "", err, 0)
		return
	}
	minted := callerapi.IDs{Host: s.deps.Settings.Host, ValidMs: rules.HorizonMs}
	for range count {
		minted.IDs = append(minted.IDs, s.mint())
	}
	httpjson.Write(w, http.StatusOK, minted)
}

func (s *Service) mint() string {
	return ids.NewRequestIDAt(s.deps.Incarnation, time.Since(s.startTime))
}

// rules returns the customer's rules in the configuration in force, and whether
// the customer exists.
func (s *Service) rules(customer string) (standing.Customer, bool) {
	state := s.deps.View.State()
	if state == nil {
		return standing.Customer{}, false
	}
	rules, ok := state.Customers[customer]
	return rules.WithDefaults(), ok
}

// parse reads and validates a whole request before any processing starts. The
// returned request is never nil; on an error its ID is set if it is known.
func (s *Service) parse(w http.ResponseWriter, r *http.Request) (*request, *errkind.Error) {
	h := r.Header
	req := &request{customer: h.Get(callerapi.HeaderCustomer), contentType: h.Get("Content-Type")}
	if err := checkRetryHeaders(h); err != nil {
		return req, err
	}
	attempt, err := parseInt(callerapi.HeaderAttempt, h.Get(callerapi.HeaderAttempt), 0)
	if err != nil {
		return req, err
	}
	req.ID = h.Get(callerapi.HeaderRequestID)
	req.Team = h.Get(callerapi.HeaderTeam)
	req.Idempotent = h.Get(callerapi.HeaderIdempotent) == "true"
	if req.body, err = readBody(w, r, s.deps.Settings.Limits.BodyBytes); err != nil {
		return req, err
	}
	declaredMs, err := parseInt(callerapi.HeaderDeclaredRunTime, h.Get(callerapi.HeaderDeclaredRunTime), 0)
	if err != nil {
		return req, err
	}
	if declaredMs < 0 {
		return req, errkind.New(errkind.BadRequest, "the declared run time of %d ms is negative", declaredMs)
	}
	req.DeclaredRunTime = time.Duration(declaredMs) * time.Millisecond
	if err := s.identify(req, attempt); err != nil {
		return req, err
	}
	if s.deps.View.State() == nil {
		return req, req.preIdentityError(errkind.New(errkind.NotReady, "no configuration yet"))
	}
	rules, ok := s.rules(req.customer)
	if !ok {
		return req, req.preIdentityError(errkind.New(errkind.UnknownCustomer, "no customer %q", req.customer))
	}
	deadline, err := parseDeadline(h.Get(callerapi.HeaderDeadline), rules)
	if err != nil {
		return req, req.preIdentityError(err)
	}
	req.Deadline = time.Now().Add(deadline)
	return req, nil
}

// identify sets the request's arrival and mints an id for a request without
// one. Attempt 0 means that the request carries no attempt number.
func (s *Service) identify(req *request, attempt int64) *errkind.Error {
	rules, _ := s.rules(req.customer)
	minted := req.ID == ""
	if minted {
		req.ID = s.mint()
	}
	unmarkedFirst := attempt == 0 && req.from == "" && rules.Unmarked == standing.UnmarkedFirstAttempt
	req.arrival = identity.Arrival{
		ID:           req.ID,
		FirstAttempt: minted || attempt == 1 || unmarkedFirst,
		Idempotent:   req.Idempotent,
		Fingerprint:  fingerprint(req),
	}
	if !ids.IsMinted(req.ID) {
		return nil
	}
	origin, err := ids.ParseMinted(req.ID)
	age := time.Since(s.startTime) - origin.Age
	if err != nil || origin.By == s.deps.Incarnation && age < 0 {
		return errkind.New(errkind.BadRequest, "id %q was not minted by an entry host", req.ID)
	}
	req.arrival.Minter, req.arrival.IDAge = origin.By, age
	return nil
}

func validID(id string) bool {
	for _, r := range id {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return len(id) <= maxIDBytes
}

// fingerprint returns a hash of the request's content, which detects different
// requests that carry the same id.
func fingerprint(req *request) string {
	d := xxhash.New()
	// Writing to a hash never fails.
	_, _ = fmt.Fprintf(d, "%d %s %t ", len(req.contentType), req.contentType, req.Idempotent)
	_, _ = d.Write(req.body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// checkRetryHeaders checks the headers that control retries, so that a mistyped
// header is refused rather than causing a second run.
func checkRetryHeaders(h http.Header) *errkind.Error {
	idempotent := h.Get(callerapi.HeaderIdempotent)
	attempt, err := strconv.Atoi(h.Get(callerapi.HeaderAttempt))
	switch {
	case idempotent != "" && idempotent != "true" && idempotent != "false":
		return errkind.New(errkind.BadRequest, "header %s must be true or false", callerapi.HeaderIdempotent)
	case h.Get(callerapi.HeaderAttempt) != "" && (err != nil || attempt < 1):
		return errkind.New(errkind.BadRequest, "header %s must be a positive integer", callerapi.HeaderAttempt)
	case !validID(h.Get(callerapi.HeaderRequestID)):
		return errkind.New(errkind.BadRequest, "header %s must have at most %d printable ASCII characters without spaces", callerapi.HeaderRequestID, maxIDBytes)
	}
	return nil
}

func parseDeadline(text string, rules standing.Customer) (time.Duration, *errkind.Error) {
	ms, err := parseInt(callerapi.HeaderDeadline, text, rules.DeadlineMs)
	if err != nil {
		return 0, err
	}
	if ms <= 0 {
		return 0, errkind.New(errkind.DeadlinePassed, "the deadline passed: Parsleyhill-Deadline-Ms is %d", ms)
	}
	return time.Duration(min(ms, rules.MaxDeadlineMs)) * time.Millisecond, nil
}

func parseInt(name, text string, defaultValue int64) (int64, *errkind.Error) {
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, errkind.Wrap(errkind.BadRequest, err, "%s", name)
	}
	return n, nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *errkind.Error) {
	body, err := io.ReadAll(httpserve.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.TooLarge, "the body is larger than %d bytes", limit)
	case err != nil:
		return nil, errkind.Wrap(errkind.BadRequest, err, "read body")
	}
	return body, nil
}
