package configcheck

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/platform"
)

// checkRoutes checks a document as the command does, against the document in force
// unless that is empty.
func checkRoutes(t *testing.T, document, inForce string) Report {
	t.Helper()
	in := RoutesInput{
		Document: []byte(document), Words: platform.ConfigWords, Format: platform.ConfigFormat(),
		MinBodyBytes: platform.FullSpecJobBytes, MaxHeaderBytes: platform.MaxHeaderBytes, InForceUnknown: "not given",
	}
	in.Config, in.Refused = platform.DecodeConfig(in.Document)
	services, err := platform.DefinedServices(in.Document)
	if in.Services = services; err != nil {
		in.ServicesUnknown = err.Error()
	}
	if inForce != "" {
		c, err := platform.DecodeConfig([]byte(inForce))
		require.NoError(t, err)
		in.InForce, in.InForceVersion = []byte(inForce), c.Version
	}
	r, err := CheckRoutes(in)
	require.NoError(t, err)
	return r
}

const goodRoute = `{"name":"r","host":"h","path_prefix":"/a/","timeout_ms":1500,"slo_ms":60,"stretch":1.6,"max_attempts":3,"service":"s"}`

// routesDocument returns a configuration with goodRoute on line 2 and more routes,
// each given with a preceding comma, from line 3 on.
func routesDocument(more string) string {
	return `{"version":8,"routes":[` + "\n" + goodRoute + "\n" + more + `],"services":[{"name":"s","max_conns":64}],"limits":{"max_body_bytes":262144}}`
}

// routeWith returns a second route with a field set, or replaced if goodRoute has it.
func routeWith(field, value string) string {
	fields := map[string]string{
		"name": `"q"`, "host": `"h"`, "path_prefix": `"/b/"`, "timeout_ms": "1500", "slo_ms": "60",
		"stretch": "1.6", "service": `"s"`,
	}
	fields[field] = value
	var members []string
	for name, v := range fields {
		members = append(members, fmt.Sprintf("%q:%s", name, v))
	}
	return ",{" + strings.Join(members, ",") + "}"
}

// TestRouteFindings covers each fault that the check of routes must find: its kind,
// path and line, and a part of the text. A document without a fault has no finding.
func TestRouteFindings(t *testing.T) {
	limits := func(field string) string {
		return strings.Replace(routesDocument(""), `"max_body_bytes":262144`, field, 1)
	}
	services := func(list string) string {
		return strings.Replace(routesDocument(""), `{"name":"s","max_conns":64}`, list, 1)
	}
	with := func(field, value string) string { return routesDocument(routeWith(field, value)) }
	cases := map[string]struct{ document, kind, path, text string }{
		"valid":                        {routesDocument(routeWith("priority", "2")), "", "", ""},
		"fields of others":             {with("retry_budget", "[1]"), "", "", ""},
		"longer prefix":                {with("path_prefix", `"/a/b/"`), "", "", ""},
		"same prefix on another host":  {routesDocument(strings.Replace(routeWith("host", `"i"`), "/b/", "/a/", 1)), "", "", ""},
		"default attempts and timeout": {with("timeout_ms", "0"), "", "", ""},
		"smallest body":                {limits(fmt.Sprintf(`"max_body_bytes":%d`, platform.FullSpecJobBytes)), "", "", ""},

		"comment":           {routesDocument("// none\n"), "error", ":3", "invalid character"},
		"not an object":     {`[1]`, "error", ":1", "array is not allowed"},
		"wrong type":        {with("timeout_ms", `"9"`), "error", "/routes/1/timeout_ms:3", "string is not allowed"},
		"fractional number": {with("priority", "1.5"), "error", "/routes/1/priority:3", "number 1.5 is not allowed"},
		"routes by name":    {`{"routes":{"r":{}}}`, "error", "/routes:1", "object is not allowed"},

		"no route":                 {`{"version":8}`, "out_of_service", "/routes:1", "no route"},
		"replaced member":          {routesDocument(",{\n\"Host\":\"i\"," + routeWith("slo_ms", "60")[2:]), "never_matches", "/routes/1/Host:4", "line 4 sets the same entry"},
		"same host and prefix":     {with("path_prefix", `"/a/"`), "never_matches", "/routes/1/path_prefix:3", `route 0 ("r")`},
		"empty prefix hidden by /": {routesDocument(routeWith("path_prefix", `"/"`) + strings.Replace(routeWith("path_prefix", `""`), `"q"`, `"p"`, 1)), "never_matches", "/routes/2/path_prefix:3", "longer prefix /"},
		"relative prefix":          {with("path_prefix", `"b/"`), "never_matches", "/routes/1/path_prefix:3", "does not start with /"},
		"host with port":           {with("host", `"h:80"`), "never_matches", "/routes/1/host:3", "has a port"},
		"no host":                  {with("host", `""`), "never_matches", "/routes/1/host:3", "host is empty"},
		"undefined service":        {with("service", `"x"`), "never_matches", "/routes/1/service:3", `service "x" is not defined`},
		"service without a route":  {services("{\"name\":\"s\"},\n{\"name\":\"x\"}"), "never_matches", "/services/1/name:4", `no route leads to service "x"`},
		"service defined twice":    {services(`{"name":"s"},{"name":"s"}`), "never_matches", "/services/1/name:3", "by entry 0 already"},

		"timeout below slack":      {with("timeout_ms", "59"), "limit", "/routes/1/timeout_ms:3", "timeout_ms is 59ms, below slo_ms, which is 60ms"},
		"negative timeout":         {with("timeout_ms", "-1"), "limit", "/routes/1/timeout_ms:3", "no bound"},
		"negative slack":           {with("slo_ms", "-1"), "limit", "/routes/1/slo_ms:3", "below 0"},
		"stretch below 1":          {with("stretch", "0.9"), "limit", "/routes/1/stretch:3", "stretch is 0.9"},
		"objective is run time":    {routesDocument(`,{"name":"q","host":"h","path_prefix":"/b/","service":"s"}`), "limit", "/routes/1/slo_ms:3", "no job can meet"},
		"negative priority":        {with("priority", "-1"), "limit", "/routes/1/priority:3", "0 is the most urgent"},
		"attempts of zero":         {with("max_attempts", "0"), "limit", "/routes/1/max_attempts:3", "max_attempts is 0, below 1, and 1 takes effect"},
		"negative attempts":        {with("max_attempts", "-2"), "limit", "/routes/1/max_attempts:3", "is -2"},
		"same name":                {with("name", `"r"`), "limit", "/routes/1/name:3", "same name"},
		"body below a job":         {limits(fmt.Sprintf(`"max_body_bytes":%d`, platform.FullSpecJobBytes-1)), "limit", "/limits/max_body_bytes:3", "longest spec"},
		"negative body limit":      {limits(`"max_body_bytes":-1`), "limit", "/limits/max_body_bytes:3", "no bound"},
		"negative header limit":    {limits(`"max_header_bytes":-1`), "limit", "/limits/max_header_bytes:3", "no bound"},
		"header limit above hosts": {limits(`"max_header_bytes":16385`), "limit", "/limits/max_header_bytes:3", "above the bound of 16384"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := checkRoutes(t, c.document, "")
			if c.kind == "" {
				require.Empty(t, r.Findings)
				return
			}
			requireFinding(t, r, c.kind, c.path, c.text)
		})
	}
}

// TestHiddenRoutesAreThoseThatNeverMatch compares the findings with the routes that
// the daemon's own matching never selects, for each set of three prefixes.
func TestHiddenRoutesAreThoseThatNeverMatch(t *testing.T) {
	prefixes := []string{"", "/", "/a", "/a/", "/a/b/", "b/"}
	for n := range len(prefixes) * len(prefixes) * len(prefixes) {
		chosen := []string{prefixes[n%6], prefixes[n/6%6], prefixes[n/36]}
		var routes []string
		for i, prefix := range chosen {
			routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h","path_prefix":%q,"slo_ms":60,"service":"s"}`, i, prefix))
		}
		document := `{"routes":[` + strings.Join(routes, ",") + `],"services":[{"name":"s"}]}`
		config, err := platform.DecodeConfig([]byte(document))
		require.NoError(t, err)
		matched := map[string]bool{}
		for _, prefix := range prefixes {
			for _, path := range []string{prefix, prefix + "00000000000000a1", prefix + "x"} {
				if !strings.HasPrefix(path, "/") {
					path = "/" + path
				}
				if r, ok := config.Route("h", path); ok {
					matched[r.Name] = true
				}
			}
		}
		r := checkRoutes(t, document, "")
		for i := range chosen {
			hidden := slices.ContainsFunc(r.Findings, func(f Finding) bool { return f.Path == fmt.Sprintf("/routes/%d/path_prefix", i) })
			require.Equal(t, !matched[fmt.Sprintf("r%d", i)], hidden, "route %d of %q", i, chosen)
		}
	}
}

// TestDifferenceOfRoutes guards against a difference by position, which would show
// all routes after an inserted one as changed.
func TestDifferenceOfRoutes(t *testing.T) {
	const inForce = `{"version":7,"routes":[{"name":"old","host":"h","path_prefix":"/o/","service":"s"},` + goodRoute + `],
		"services":[{"name":"s","max_conns":32},{"name":"t"}],"limits":{"max_body_bytes":262144}}`
	r := checkRoutes(t, strings.Replace(routesDocument(`,{"name":"a/b","slo_ms":60}`), `"slo_ms":60,`, "", 1), inForce)
	require.EqualValues(t, 7, *r.Base)
	var got []string
	for _, d := range r.Changes {
		got = append(got, fmt.Sprintf("%s %s %v %v at %s:%d", d.Action, d.Field, d.Old, d.New, d.Path, d.Line))
	}
	require.Equal(t, []string{
		"added /routes/a~1b/name <nil> a/b at /routes/1/name:3",
		"added /routes/a~1b/slo_ms <nil> 60 at /routes/1/slo_ms:3",
		"removed /routes/old/host h <nil> at /routes:1",
		"removed /routes/old/name old <nil> at /routes:1",
		"removed /routes/old/path_prefix /o/ <nil> at /routes:1",
		"removed /routes/old/service s <nil> at /routes:1",
		"removed /routes/r/slo_ms 60 <nil> at /routes/0:2",
		"changed /services/s/max_conns 32 64 at /services/0/max_conns:3",
		"removed /services/t/name t <nil> at /services:3",
		"changed /version 7 8 at /version:1",
	}, got)
	require.Empty(t, r.Missing)
}

// TestVersionHasToRise guards against a configuration that hosts would ignore.
func TestVersionHasToRise(t *testing.T) {
	inForce := func(version int) string { return fmt.Sprintf(`{"version":%d}`, version) }
	require.Empty(t, checkRoutes(t, routesDocument(""), inForce(7)).Findings)
	for _, version := range []int{8, 9} {
		r := checkRoutes(t, routesDocument(""), inForce(version))
		require.Len(t, r.Findings, 1)
		require.Equal(t, Invalid, r.Findings[0].Kind)
		require.Equal(t, "/version", r.Findings[0].Path)
		require.Contains(t, r.Findings[0].Text, fmt.Sprintf("not above version %d", version))
	}
}

// TestRouteChecksNotMade covers the checks that the report must name as not made.
func TestRouteChecksNotMade(t *testing.T) {
	require.Equal(t, []string{"the difference from the version in force: not given"}, checkRoutes(t, routesDocument(""), "").Missing)
	refused := checkRoutes(t, `{"version":"8"}`, `{"version":7}`)
	require.Len(t, refused.Missing, 2)
	require.Nil(t, refused.Base)
	services := checkRoutes(t, strings.Replace(routesDocument(""), `"name":"s",`, `"name":7,`, 1), `{"version":7}`)
	require.Empty(t, services.Findings, "the daemon does not read services")
	require.Len(t, services.Missing, 1)
	require.Contains(t, services.Missing[0], "the comparison of routes with services")
}

// TestRouteReportIsRepeatable guards against output that follows the iteration order
// of maps, and against positions that repeated names or nested lists confuse.
func TestRouteReportIsRepeatable(t *testing.T) {
	document := routesDocument("," + goodRoute + `,{"tags":["x",{"name":"y"}]},null`)
	first := checkRoutes(t, document, `{"routes":[{},null],"tags":[3,[]]}`)
	require.NotEmpty(t, first.Changes)
	for range 20 {
		require.Equal(t, first, checkRoutes(t, document, `{"routes":[{},null],"tags":[3,[]]}`))
	}
}
