package daemon

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/standin/backend"
)

// answered is the answer to a call.
type answered struct {
	status int
	body   string
}

// call makes a call to a handler in the background.
func call(h http.Handler, r *http.Request) <-chan answered {
	answer := make(chan answered, 1)
	go func() {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		answer <- answered{w.Code, w.Body.String()}
	}()
	return answer
}

func requireInterrupted(t *testing.T, a answered) {
	t.Helper()
	var doc errkind.Document
	require.NoError(t, json.Unmarshal([]byte(a.body), &doc), a.body)
	require.Equal(t, errkind.Stopping, doc.Kind, a.body)
	require.Equal(t, errkind.Unknown, doc.Run)
	require.Equal(t, errkind.Lookup(errkind.Stopping).HTTPStatus, a.status)
}

// stop makes a planned stop whose times are over at once.
func (host *testHost) stop() {
	host.daemon.settings.Stop.DrainMs, host.daemon.settings.Stop.GraceMs = 0, 1
	host.daemon.drain()
}

// backendLedger returns what the stand-in for the backend server has done.
func (host *testHost) backendLedger(t *testing.T) backend.Ledger {
	t.Helper()
	resp, err := http.Get(host.backend.URL + "/v1/ledger")
	require.NoError(t, err)
	defer resp.Body.Close()
	var ledger backend.Ledger
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&ledger))
	return ledger
}

func (host *testHost) setBackendFaults(t *testing.T, f backend.Faults) {
	t.Helper()
	resp, err := http.Post(host.backend.URL+"/v1/faults", "application/json", strings.NewReader(encode(t, f)))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// Guards against requests that are cut off without an answer when the grace time of a
// planned stop ends: the port closed under them.
func TestRequestsInWorkAtTheEndOfAStopAreAnswered(t *testing.T) {
	host := newTestHost(t)
	host.setBackendFaults(t, backend.Faults{Frozen: true})
	t.Cleanup(func() { host.setBackendFaults(t, backend.Faults{}) })
	post := func(id, attempt string) *http.Request {
		r := httptest.NewRequest(http.MethodPost, callerapi.PathRequests, strings.NewReader("{}"))
		r.Header = requestHeader(callerapi.HeaderRequestID, id, callerapi.HeaderAttempt, attempt, callerapi.HeaderDeadline, "2000")
		return r
	}
	inWork := call(host.callers, post("r-1", "1"))
	for host.backendLedger(t).Starts["r-1"] == 0 {
	}
	host.stop()
	requireInterrupted(t, <-inWork)
	requireInterrupted(t, <-call(host.callers, post("r-1", "2")))
	late := <-call(host.callers, post("r-2", "1"))
	checkRefused(t, "a new request", errkind.Stopping, late.status, late.body)
	require.Zero(t, host.backendLedger(t).Starts["r-2"])
}

// Guards against submissions, and calls that wait for a job's end, that are cut off
// without an answer when the grace time of a planned stop ends.
func TestJobsInWorkAtTheEndOfAStopAreAnswered(t *testing.T) {
	host := newTestHost(t)
	job := callerapi.Job{Submission: "job-1", Customer: "tamarind", Attempt: 1, DeadlineMs: 3000, Tasks: []callerapi.Task{
		{Name: "task", Cores: 1, Payload: json.RawMessage(`{"run_ms":60000}`)},
	}}
	submitted := call(host.callers, httptest.NewRequest(http.MethodPost, callerapi.PathJobs, strings.NewReader(encode(t, job))))
	for len(host.worker.Starts()) == 0 {
	}
	lookUp := func() *http.Request {
		return httptest.NewRequest(http.MethodGet, callerapi.PathJobs+"/tamarind/job-1?wait_ms=60000", nil)
	}
	waiting := call(host.callers, lookUp())
	host.stop()
	requireInterrupted(t, <-submitted)
	for _, a := range []answered{<-waiting, <-call(host.callers, lookUp())} {
		var found callerapi.JobAnswer
		require.NoError(t, json.Unmarshal([]byte(a.body), &found))
		require.Equal(t, callerapi.JobRunning, found.State, a.body)
	}
	job.Submission = "job-2"
	late := <-call(host.callers, httptest.NewRequest(http.MethodPost, callerapi.PathJobs, strings.NewReader(encode(t, job))))
	checkRefused(t, "a new job", errkind.Stopping, late.status, late.body)
}

// Guards against callers that keep sending on open connections until the port closes
// under a request.
func TestAnswersOfAStoppingHostCloseTheConnection(t *testing.T) {
	host := newTestHost(t)
	for _, c := range []struct {
		stopping bool
		want     string
	}{{false, ""}, {true, "close"}} {
		host.daemon.stopping.Store(c.stopping)
		w := httptest.NewRecorder()
		host.callers.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/ready", nil))
		require.Equal(t, c.want, w.Header().Get("Connection"))
	}
}
