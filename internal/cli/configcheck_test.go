package cli

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/configcheck"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// configHost answers queries for the status and the host list.
func configHost(state *standing.State, hosts config.ListedHosts) *fakeHost {
	return &fakeHost{handler: func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case operator.PathStatus:
			respondWith(operator.Status{Host: "entry-1", State: state})(w, r)
		case operator.PathHosts:
			respondWith(hosts)(w, r)
		default:
			http.NotFound(w, r)
		}
	}}
}

// TestConfigCheckExitStatus covers the exit status for each combination of
// findings and sources. A source that cannot be read exits with 2, and the checks
// without it are made and printed nevertheless.
func TestConfigCheckExitStatus(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	state := &standing.State{Version: 7, Offset: 9, Customers: map[string]standing.Customer{"t": {QueueLimit: 200}}}
	stateJSON, err := json.Marshal(state)
	require.NoError(t, err)
	hosts := config.ListedHosts{Backends: []config.Backend{{Name: "b1", Customer: "t"}}}
	f := fakeHosts{
		"ok:1": configHost(state, hosts), "new:1": configHost(nil, hosts), "nolist:1": configHost(state, config.ListedHosts{}),
		"leaving:1": {handler: respondWithError(errkind.New(errkind.Stopping, "stopping"))}, "down:1": {refuseDial: true},
	}
	good := write("good.json", `{"operator": "wanjiru", "verb": "set_customer", "customer": "t", "rules": {"queue_limit": 300}} // fewer`)
	bad := write("bad.json", `{"operator": "wanjiru", "verb": "drain",} // no host`)
	rules := write("rules.json", `{"queue_limit": 300}`)
	stateFile, statusFile := write("state.json", string(stateJSON)), write("status.json", `{"host": "entry-1", "state": `+string(stateJSON)+`}`)
	hostsFile := write("hosts.json", `{"hosts": [{"name": "b1", "role": "backend", "customer": "t", "slots": 4}]}`)
	const routes = `"routes": [{"name": "r", "host": "h", "path_prefix": "/a/", "slo_ms": 60, "service": "s"}], "services": [{"name": "s"}]}`
	platform, platformInForce := write("routes.json", `{"version": 8, `+routes), write("inforce.json", `{"version": 7, `+routes)
	platformComment := write("comment.json", `{"version": 8, `+routes+" // none")
	const difference = "changed /customers/t/queue_limit from 200 to 300"
	cases := []struct {
		args   string
		status int
		out    string
	}{
		{good, exitOK, "not checked: the difference from the version in force: -against is not given"},
		{bad, exitFindings, bad + `:1: /host: error: drain needs "host"; add "host"`},
		{"-against http://ok:1 " + good, exitOK, difference},
		{"-against http://down:1,http://ok:1 " + good, exitOK, difference},
		{"-against " + stateFile + " -hosts " + hostsFile + " " + good, exitOK, difference},
		{"-against " + statusFile + " " + good, exitOK, difference},
		{"-customer t -against http://ok:1 " + rules, exitOK, rules + ":1: /queue_limit: " + difference},
		{"-customer x -against http://ok:1 " + rules, exitFindings, "customer x has no usable backend server"},
		{"-run-ms 20000 " + good, exitFindings, "deadline_ms is 10000, below the expected run time"},
		{"-against http://down:1 " + good, exitUsage, "not checked: the difference from the version in force: peer_unreachable"},
		{"-against http://leaving:1 " + bad, exitUsage, `drain needs "host"`},
		{"-against http://new:1 " + good, exitUsage, "entry-1 has no configuration yet"},
		{"-against http://nolist:1 " + good, exitUsage, "no host is listed"},
		{"-against " + rules + " " + good, exitUsage, "neither a status of an entry host nor the state in it"},
		{"-hosts " + filepath.Join(dir, "none") + " " + good, exitUsage, "not checked: the checks against the host list"},
		{filepath.Join(dir, "none"), exitUsage, ""},
		{write("broken.json", "{"), exitUsage, ""},
		{"-platform " + platform, exitOK, "not checked: the difference from the version in force: -against is not given"},
		{"-platform -against " + platformInForce + " " + platform, exitOK, platform + ":1: /version: changed /version from 7 to 8"},
		{"-platform -against " + platform + " " + platformInForce, exitFindings, "/version: error: version 7 is not above version 8 in force"},
		{"-platform " + platformComment, exitFindings, ":1: error: decode configuration"},
		{"-platform -against " + platformComment + " " + platform, exitUsage, "not checked: the difference"},
		{"-platform -against http://ok:1 " + platform, exitUsage, ""},
		{"-platform -customer t " + platform, exitUsage, ""},
		{"-platform " + filepath.Join(dir, "broken.json"), exitUsage, ""},
	}
	for _, c := range cases {
		got := run(t, f, "", append([]string{"config", "check"}, strings.Fields(c.args)...)...)
		require.Equal(t, c.status, got.status, "%s: %s%s", c.args, got.out, got.err)
		require.Contains(t, got.out, c.out, c.args)
		require.Equal(t, c.status == exitUsage, got.err != "", c.args)

		asJSON := run(t, f, "", append([]string{"config", "check", "-json"}, strings.Fields(c.args)...)...)
		require.Equal(t, c.status, asJSON.status, c.args)
		if got.out != "" {
			var r configcheck.Report
			require.NoError(t, json.Unmarshal([]byte(asJSON.out), &r), c.args)
			if c.status != exitUsage {
				require.Equal(t, c.status == exitFindings, len(r.Findings) > 0, c.args)
			}
		}
	}
	for _, host := range f {
		for _, call := range host.calls {
			require.Equal(t, http.MethodGet, call.method, "the check must not change anything")
		}
	}
}

// TestConfigCheckPrintsNoControlCharacters guards a terminal against names in a
// file that was received from elsewhere.
func TestConfigCheckPrintsNoControlCharacters(t *testing.T) {
	got := run(t, nil, `{"\u001b[2J\n": 1}`, "config", "check", "-")
	require.Equal(t, exitFindings, got.status)
	require.NotContains(t, got.out, "\x1b")
	require.Contains(t, got.out, "/\ufffd[2J\ufffd: error: the field is not known")
}
