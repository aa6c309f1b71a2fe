package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/cli"
	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/daemon/supervise"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/settings"
	"github.com/parsleyhill/parsleyhill/internal/standin/backend"
	standinplatform "github.com/parsleyhill/parsleyhill/internal/standin/platform"
	"github.com/parsleyhill/parsleyhill/internal/standin/worker"
)

// testHost is one entry host with stand-ins for every service that it calls.
type testHost struct {
	daemon    *Daemon
	platform  *standinplatform.Server
	backend   *httptest.Server
	worker    *worker.Worker
	callers   http.Handler
	operators http.Handler
}

// newTestHost starts an entry host without ports and confirms a plan that adds
// the customer "tamarind".
func newTestHost(t *testing.T) *testHost {
	t.Helper()
	host := &testHost{worker: worker.New("worker-1", worker.Capacity{Cores: 8, MemoryMB: 8192})}
	host.backend = serveTest(t, backend.New("backend-1", 2, 2).Handler())
	workerServer := serveTest(t, host.worker.Handler())
	host.platform = standinplatform.NewServer([]platform.Host{
		{Name: "entry-1", Role: platform.RoleEntry, Zone: "karen", Address: "127.0.0.1:1", State: platform.HostLive},
		{Name: "backend-1", Role: platform.RoleBackend, Zone: "karen", Address: listenAddress(host.backend), State: platform.HostLive, Customer: "tamarind", Slots: 2},
		{Name: "worker-1", Role: platform.RoleWorker, Zone: "karen", Address: listenAddress(workerServer), State: platform.HostLive, Cores: 8, MemoryMB: 8192},
	})
	// The first read of an empty stream would wait for a record.
	for _, stream := range []platform.Stream{platform.StreamConfig, platform.StreamJobs} {
		_, err := host.platform.Log.Append(t.Context(), stream, [][]byte{[]byte("{}")})
		require.NoError(t, err)
	}
	base := serveTest(t, host.platform.Handler()).URL
	settings := settings.Settings{
		Host: "entry-1", Region: "nairobi", Zone: "karen", Platform: settings.Platform{Log: base, HostList: base},
		Limits: settings.Limits{BodyBytes: 1024, JobBytes: 4096, TasksPerJob: 4},
	}
	host.daemon = New(settings.WithDefaults(), log.New(io.Discard))
	host.callers, host.operators = host.daemon.callerRoutes(), host.daemon.operatorRoutes()
	host.run(t)
	host.confirm(t, config.Intent{Operator: "wanjiru", Verb: config.SetCustomer, Customer: "tamarind", Rules: &standing.Customer{}})
	host.awaitSnapshot(t)
	return host
}

// awaitSnapshot waits until the host has published the snapshot that follows the
// first change. It is appended in the background, so that a test that compares
// the number of appends must not begin before it.
func (host *testHost) awaitSnapshot(t *testing.T) {
	t.Helper()
	for offset := int64(0); ; {
		page, err := host.platform.Log.Read(t.Context(), platform.StreamConfig, offset)
		require.NoError(t, err)
		for _, e := range page.Entries {
			offset = e.Offset
			if bytes.Contains(e.Data, []byte(`"snapshot":`)) {
				return
			}
		}
	}
}

// serveTest serves a handler until the test ends.
func serveTest(t *testing.T, h http.Handler) *httptest.Server {
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

func listenAddress(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// run starts the parts of the entry host except its ports.
func (host *testHost) run(t *testing.T) {
	var parts []supervise.Part
	for _, p := range host.daemon.parts() {
		if !strings.HasSuffix(p.Name, "port") {
			parts = append(parts, p)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- supervise.Run(ctx, log.New(io.Discard), parts...) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
}

// confirm plans and confirms an intent. It plans again while the plan has
// warnings, as it has until the configuration and the host list are read.
func (host *testHost) confirm(t *testing.T, i config.Intent) {
	t.Helper()
	var plan config.Plan
	for plan.ID == "" || len(plan.Warnings) > 0 {
		plan = config.Plan{}
		_, answer := post(t, host.operators, operator.PathPlans, nil, encode(t, i))
		require.NoError(t, json.Unmarshal([]byte(answer), &plan))
	}
	status, answer := post(t, host.operators, operator.PathConfirms, nil, encode(t, plan))
	require.Equal(t, http.StatusOK, status, answer)
}

func encode(t *testing.T, v any) string {
	data, err := json.Marshal(v)
	require.NoError(t, err)
	return string(data)
}

// postReady posts repeatedly until the entry host is ready.
func postReady(t *testing.T, h http.Handler, path, body string) (int, string) {
	t.Helper()
	for {
		status, answer := post(t, h, path, nil, body)
		if status != http.StatusServiceUnavailable {
			return status, answer
		}
	}
}

func post(t *testing.T, h http.Handler, path string, header http.Header, body string) (int, string) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for name, values := range header {
		r.Header[name] = values
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// requestHeader returns the headers of a valid request, with the given pairs of
// name and value set on top.
func requestHeader(pairs ...string) http.Header {
	h := http.Header{}
	h.Set(callerapi.HeaderCustomer, "tamarind")
	h.Set(callerapi.HeaderAttempt, "1")
	for i := 0; i < len(pairs); i += 2 {
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

// checkRefused checks that an answer is an error of the given kind that reports
// its work as not run. The test continues after a failed check.
func checkRefused(t *testing.T, name string, kind errkind.Kind, status int, answer string) {
	t.Helper()
	var doc errkind.Document
	// An answer that is not an error document fails the checks below.
	_ = json.Unmarshal([]byte(answer), &doc)
	assert.Equal(t, kind, doc.Kind, "%s: %s", name, answer)
	assert.Equal(t, errkind.NotRun, doc.Run, name)
	assert.Equal(t, errkind.Lookup(kind).HTTPStatus, status, name)
	assert.NotEmpty(t, doc.Detail, name)
}

func TestBadRequestsAreRefusedAsNotRun(t *testing.T) {
	host := newTestHost(t)
	cases := []struct {
		name   string
		header http.Header
		body   string
		kind   errkind.Kind
	}{
		{"no customer", requestHeader(callerapi.HeaderCustomer, ""), "{}", errkind.UnknownCustomer},
		{"unknown customer", requestHeader(callerapi.HeaderCustomer, "nobody"), "{}", errkind.UnknownCustomer},
		{"body too large", requestHeader(), strings.Repeat("x", 1025), errkind.TooLarge},
		{"deadline passed", requestHeader(callerapi.HeaderDeadline, "-5"), "{}", errkind.DeadlinePassed},
		{"deadline of 0", requestHeader(callerapi.HeaderDeadline, "0"), "{}", errkind.DeadlinePassed},
		{"deadline is not a number", requestHeader(callerapi.HeaderDeadline, "soon"), "{}", errkind.BadRequest},
		{"deadline out of range", requestHeader(callerapi.HeaderDeadline, "99999999999999999999"), "{}", errkind.BadRequest},
		{"declared run time is not a number", requestHeader(callerapi.HeaderDeclaredRunTime, "short"), "{}", errkind.BadRequest},
		{"declared run time is negative", requestHeader(callerapi.HeaderDeclaredRunTime, "-1"), "{}", errkind.BadRequest},
		{"attempt is not a number", requestHeader(callerapi.HeaderAttempt, "first", callerapi.HeaderRequestID, "r-1"), "{}", errkind.BadRequest},
		{"attempt of 0", requestHeader(callerapi.HeaderAttempt, "0", callerapi.HeaderRequestID, "r-1"), "{}", errkind.BadRequest},
		{"idempotent is neither true nor false", requestHeader(callerapi.HeaderIdempotent, "maybe"), "{}", errkind.BadRequest},
		{"id too long", requestHeader(callerapi.HeaderRequestID, strings.Repeat("x", 300)), "{}", errkind.BadRequest},
	}
	for _, c := range cases {
		status, answer := post(t, host.callers, callerapi.PathRequests, c.header, c.body)
		checkRefused(t, c.name, c.kind, status, answer)
	}
	resp, err := http.Get(host.backend.URL + "/v1/ledger")
	require.NoError(t, err)
	defer resp.Body.Close()
	var ledger backend.Ledger
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&ledger))
	require.Empty(t, ledger.Starts)
	status, answer := post(t, host.callers, callerapi.PathRequests, requestHeader(callerapi.HeaderRequestID, "r-1"), `{"run_ms":1}`)
	require.Equal(t, http.StatusOK, status, answer)
}

// job returns the document of a job with the given tasks, a JSON list without
// its brackets.
func job(submission, tasks string) string {
	return fmt.Sprintf(`{"submission":%q,"attempt":1,"customer":"tamarind","tasks":[%s]}`, submission, tasks)
}

// runJob runs a job of two tasks once the entry host has read the job stream.
func (host *testHost) runJob(t *testing.T) {
	t.Helper()
	good := job("good", `{"name":"a","cores":1},{"name":"b","cores":1}`)
	status, answer := postReady(t, host.callers, callerapi.PathJobs, good)
	require.Equal(t, http.StatusOK, status, answer)
	require.Contains(t, answer, `"state":"complete"`)
}

func TestBadJobsAreRefusedAsNotRun(t *testing.T) {
	host := newTestHost(t)
	host.runJob(t)
	appends := host.platform.Log.Appends()
	fiveTasks := strings.Repeat(`{"name":"a"},`, 4) + `{"name":"a"}`
	cases := []struct {
		name string
		body string
		kind errkind.Kind
	}{
		{"not JSON", `{"submission`, errkind.BadRequest},
		{"empty", ``, errkind.BadRequest},
		{"an array", `[]`, errkind.BadRequest},
		{"trailing data after the document", job("x", `{"name":"a"}`) + `{}`, errkind.BadRequest},
		{"unknown field", `{"submission":"x","colour":1}`, errkind.BadRequest},
		{"wrong type", `{"submission":7}`, errkind.BadRequest},
		{"too large", job(strings.Repeat("x", 5000), `{"name":"a"}`), errkind.TooLarge},
		{"unknown customer", `{"submission":"x","customer":"nobody","tasks":[{"name":"a"}]}`, errkind.UnknownCustomer},
		{"no tasks", job("x", ``), errkind.BadRequest},
		{"too many tasks", job("x", fiveTasks), errkind.BadRequest},
		{"duplicate task names", job("x", `{"name":"a"},{"name":"a"}`), errkind.BadRequest},
		{"task without a name", job("x", `{"cores":1}`), errkind.BadRequest},
		{"negative resource request", job("x", `{"name":"a","cores":-1}`), errkind.BadRequest},
		{"negative run time", job("x", `{"name":"a","run_ms":-1}`), errkind.BadRequest},
		{"deadline passed", `{"submission":"x","customer":"tamarind","deadline_ms":-1,"tasks":[{"name":"a"}]}`, errkind.DeadlinePassed},
		{"negative attempt", `{"submission":"x","customer":"tamarind","attempt":-1,"tasks":[{"name":"a"}]}`, errkind.BadRequest},
	}
	for _, c := range cases {
		status, answer := post(t, host.callers, callerapi.PathJobs, nil, c.body)
		checkRefused(t, c.name, c.kind, status, answer)
	}
	require.Equal(t, map[string]int{"tamarind/good/a": 1, "tamarind/good/b": 1}, host.worker.Starts())
	require.Equal(t, appends, host.platform.Log.Appends(), "a refused job left a record in the log")
}

// TestJobsThatFitNoWorkerFailAsNotRun checks that a job with a task that exceeds
// the capacity of every worker fails at once, with a reason, and that none of
// its tasks start.
func TestJobsThatFitNoWorkerFailAsNotRun(t *testing.T) {
	host := newTestHost(t)
	host.runJob(t)
	started := host.worker.Starts()
	tooLarge := []string{`{"name":"b","cores":9}`, `{"name":"b","memory_mb":8193}`, `{"name":"b","accelerators":1}`}
	for i, task := range tooLarge {
		status, answer := post(t, host.callers, callerapi.PathJobs, nil, job(fmt.Sprint("x-", i), `{"name":"a"},`+task))
		var got callerapi.JobAnswer
		require.NoError(t, json.Unmarshal([]byte(answer), &got))
		require.Equal(t, http.StatusOK, status, answer)
		require.Equal(t, callerapi.JobFailed, got.State, answer)
		require.Equal(t, string(errkind.TaskUnplaceable), got.ErrorKind)
		require.Equal(t, string(errkind.NotRun), got.Run)
		require.Contains(t, got.Reason, "task b")
		require.Empty(t, got.Results)
	}
	require.Equal(t, started, host.worker.Starts())
}

func TestBadOperatorCallsAreRefused(t *testing.T) {
	host := newTestHost(t)
	var plan config.Plan
	_, answer := post(t, host.operators, operator.PathPlans, nil, `{"operator":"wanjiru","verb":"drain","host":"backend-1"}`)
	require.NoError(t, json.Unmarshal([]byte(answer), &plan))
	altered := plan
	altered.Intent.Host = "backend-2"
	cases := []struct {
		name string
		path string
		body string
		kind errkind.Kind
	}{
		{"not JSON", operator.PathPlans, `{`, errkind.BadRequest},
		{"unknown field", operator.PathPlans, `{"colour":1}`, errkind.BadRequest},
		{"too large", operator.PathPlans, `{"reason":"` + strings.Repeat("x", 2<<20) + `"}`, errkind.TooLarge},
		{"no operator", operator.PathPlans, `{"verb":"drain","host":"backend-1"}`, errkind.PlanInvalid},
		{"no host", operator.PathPlans, `{"operator":"w","verb":"drain"}`, errkind.PlanInvalid},
		{"unknown verb", operator.PathPlans, `{"operator":"w","verb":"explode"}`, errkind.PlanInvalid},
		{"undrain of a host in service", operator.PathPlans, `{"operator":"w","verb":"undrain","host":"backend-1"}`, errkind.PlanRejected},
		{"no zone", operator.PathPlans, `{"operator":"w","verb":"evacuate_zone"}`, errkind.PlanInvalid},
		{"readmission of a zone in service", operator.PathPlans, `{"operator":"w","verb":"readmit_zone","zone":"karen"}`, errkind.PlanRejected},
		{"altered plan", operator.PathConfirms, encode(t, altered), errkind.PlanInvalid},
		{"empty plan", operator.PathConfirms, `{}`, errkind.PlanInvalid},
	}
	appends := host.platform.Log.Appends()
	for _, c := range cases {
		status, answer := post(t, host.operators, c.path, nil, c.body)
		checkRefused(t, c.name, c.kind, status, answer)
	}
	status, answer := post(t, host.callers, operator.PathPlans, nil, `{}`)
	checkRefused(t, "callers' port", errkind.WrongPort, status, answer)
	require.Equal(t, appends, host.platform.Log.Appends())
}

// entryTransport routes the tool's calls to the callers' and the operators'
// handler of an entry host, by port.
type entryTransport struct{ host *testHost }

func (e entryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	if r.URL.Port() == "7101" {
		e.host.callers.ServeHTTP(w, r)
	} else {
		e.host.operators.ServeHTTP(w, r)
	}
	return w.Result(), nil
}

// TestToolAgainstEntryHost runs the command-line tool against an entry host:
// ready, plan, confirm, status, request, job and explain.
func TestToolAgainstEntryHost(t *testing.T) {
	host := newTestHost(t)
	host.runJob(t)
	tool := func(stdin string, args ...string) string {
		var out, errOut strings.Builder
		tool := cli.Tool{In: strings.NewReader(stdin), Out: &out, Err: &errOut, Transport: entryTransport{host}}
		require.Zero(t, tool.Run(t.Context(), args), "%v: %s", args, errOut.String())
		return out.String()
	}
	require.Contains(t, tool("", "ready"), "1 entry hosts are ready")
	plan := tool("", "plan", "set-team", "tamarind", "rigs", "-slots", "2", "-operator", "wanjiru", "-reason", "share", "-json")
	var confirmed operator.PlanResult
	require.NoError(t, json.Unmarshal([]byte(tool(plan, "confirm", "-json", "-")), &confirmed))
	require.Contains(t, tool("", "plan", "outcome", confirmed.Plan), "is accepted")
	require.Contains(t, tool("", "ids", "-customer", "tamarind"), "ph.entry-1~")
	version := strconv.FormatInt(confirmed.Version, 10)
	require.Contains(t, tool("", "status", "-wait-version", version), "version "+version)
	require.Contains(t, tool("", "request", "-customer", "tamarind", "-team", "rigs", "-id", "pair-1", `{"run_ms":1}`), "pair-1 answered by backend-1")
	require.Contains(t, tool(job("batch-1", `{"name":"a"}`), "job", "submit", "-"), "batch-1 is complete")
	require.Contains(t, tool("", "job", "status", "-customer", "tamarind", "batch-1"), "is complete")
	for _, id := range []string{"pair-1", "batch-1", "backend-1", "worker-1"} {
		require.NotContains(t, tool("", "explain", id), ": 0 decisions", id)
	}
}

func TestReadyPathReportsReason(t *testing.T) {
	host := newTestHost(t)
	fresh := New(host.daemon.settings, log.New(io.Discard))
	cases := []struct {
		daemon  *Daemon
		leaving bool
		kind    errkind.Kind
		detail  string
	}{
		{fresh, false, errkind.NotReady, "no configuration"},
		{host.daemon, true, errkind.Stopping, "planned stop"},
	}
	for _, c := range cases {
		c.daemon.stopping.Store(c.leaving)
		w := httptest.NewRecorder()
		c.daemon.callerRoutes().ServeHTTP(w, httptest.NewRequest(http.MethodGet, callerapi.PathReady, nil))
		checkRefused(t, c.detail, c.kind, w.Code, w.Body.String())
		require.Contains(t, w.Body.String(), c.detail)
	}
}
