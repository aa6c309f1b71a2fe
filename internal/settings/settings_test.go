package settings

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// validFile is a file without faults. Tests replace parts of it.
const validFile = `{
  // An entry host in Westlands.
  "host": "entry-1",
  "region": "nairobi",
  "zone": "westlands",
  "listen": {
    "callers": "10.0.0.1:7101",
    "operators": "10.0.0.1:7201",
    "peers": "10.0.0.1:7301",
  },
  "platform": {"log": "http://10.0.9.1:7001", "host_list": "http://10.0.9.1:7001"},
}`

func TestValidFileGetsDefaults(t *testing.T) {
	s, err := Parse("a.json", []byte(validFile+" // the end"), Overrides{})
	require.NoError(t, err)
	require.Equal(t, "entry-1", s.Host)
	require.Equal(t, "10.0.0.1:7301", s.Listen.Peers)
	require.EqualValues(t, DefaultPollMs, s.Platform.PollMs)
	require.Equal(t, DefaultLogLevel, s.Log.Level)
}

func TestEachFaultNamesFileFieldAndReason(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", `"zone":`, `"zoo": 1, "zone":`, `a.json:5: zoo: unknown field`},
		{"unknown nested field", `"peers":`, `"pears": "", "peers":`, `a.json:9: listen.pears: unknown field`},
		{"field set twice", `"zone":`, `"host": "entry-2", "zone":`, `a.json:5: host: is set twice`},
		{"wrong type", `"entry-1"`, `7`, `a.json:3: host: must be a string, not 7`},
		{"null", `"entry-1"`, `null`, `a.json:3: host: must be a string, not null`},
		{"object for a string", `"entry-1"`, `{}`, `a.json:3: host: must be a string, not an object`},
		{"array for an object", `{"log": "http://10.0.9.1:7001", "host_list": "http://10.0.9.1:7001"}`, `[]`, `a.json:11: platform: must be an object, not an array`},
		{"fraction", `"platform": {`, `"platform": {"poll_ms": 1.5, `, `a.json:11: platform.poll_ms: must be a whole number, not 1.5`},
		{"string for a number", `"platform": {`, `"platform": {"poll_ms": "1s", `, `a.json:11: platform.poll_ms: must be a whole number, not the string "1s"`},
		{"missing name", `"host": "entry-1",`, ``, `a.json: host: is missing`},
		{"empty name", `"entry-1"`, `""`, `a.json:3: host: is missing`},
		{"dotted name", `"entry-1"`, `"entry.1"`, `a.json:3: host: "entry.1" is not a name`},
		{"missing address", `"callers": "10.0.0.1:7101",`, ``, `a.json: listen.callers: is missing`},
		{"host name in an address", `10.0.0.1:7101`, `entry-1:7101`, `a.json:7: listen.callers: "entry-1:7101" is not an IP address and a port`},
		{"port 0", `10.0.0.1:7101`, `10.0.0.1:0`, `a.json:7: listen.callers: "10.0.0.1:0" has no port`},
		{"port too high", `10.0.0.1:7101`, `10.0.0.1:70000`, `a.json:7: listen.callers: "10.0.0.1:70000" is not an IP address and a port`},
		{"same address twice", `10.0.0.1:7301`, `10.0.0.1:7101`, `a.json:9: listen.peers: 10.0.0.1:7101 is taken by listen.callers`},
		{"same port on all addresses", `10.0.0.1:7301`, `0.0.0.0:7101`, `a.json:9: listen.peers: 0.0.0.0:7101 is taken by listen.callers`},
		{"missing log service", `"log": "http://10.0.9.1:7001", `, ``, `a.json: platform.log: is missing`},
		{"URL without scheme", `"log": "http://10.0.9.1:7001"`, `"log": "10.0.9.1:7001"`, `a.json:11: platform.log: "10.0.9.1:7001" is not an http or https URL`},
		{"URL with a slash", `"log": "http://10.0.9.1:7001"`, `"log": "http://10.0.9.1:7001/"`, `a.json:11: platform.log: "http://10.0.9.1:7001/" is not a base URL`},
		{"poll of 0", `"platform": {`, `"platform": {"poll_ms": 0, `, `a.json:11: platform.poll_ms: 0 is not between 100 and 60000`},
		{"negative drain", `"zone":`, `"stop": {"drain_ms": -1}, "zone":`, `a.json:5: stop.drain_ms: -1 is not between 0 and 600000`},
		{"seed without port", `"zone":`, `"seeds": ["10.0.0.2:7301", "10.0.0.3"], "zone":`, `a.json:5: seeds[1]: "10.0.0.3" is not an IP address and a port`},
		{"string for an array", `"zone":`, `"seeds": "10.0.0.2:7301", "zone":`, `a.json:5: seeds: must be an array, not a string`},
		{"number in an array", `"zone":`, `"seeds": [7], "zone":`, `a.json:5: seeds[0]: must be a string, not 7`},
		{"no tasks", `"zone":`, `"limits": {"tasks_per_job": 0}, "zone":`, `a.json:5: limits.tasks_per_job: 0 is not between 1 and 100000`},
		{"unknown level", `"zone":`, `"log": {"level": "loud"}, "zone":`, `a.json:5: log.level: "loud" is not one of debug, info, warn, error`},
		{"not JSON", `"zone":`, `zone:`, `a.json: hujson: line 5`},
		{"not an object", validFile, `[]`, `a.json:1: must be an object, not an array`},
		{"empty", validFile, ``, `a.json: hujson:`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw := strings.Replace(validFile, c.old, c.new, 1)
			require.NotEqual(t, validFile, raw)
			_, err := Parse("a.json", []byte(raw), Overrides{})
			var faults Faults
			require.ErrorAs(t, err, &faults)
			require.Len(t, faults, 1, "%v", faults)
			require.Contains(t, faults[0].String(), c.want)
		})
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	raw := `{"host": 1, "colour": "red", "listen": {"callers": "10.0.0.1:1"}, "log": {"format": "xml"}}`
	_, err := Parse("a.json", []byte(raw), Overrides{})
	var fields []string
	var faults Faults
	require.ErrorAs(t, err, &faults)
	for _, f := range faults {
		fields = append(fields, f.Field)
	}
	require.Equal(t, []string{
		"host", "colour", "region", "zone", "listen.operators", "listen.peers", "platform.log", "platform.host_list", "log.format",
	}, fields)
}

func TestOverridesAreValidated(t *testing.T) {
	s, err := Parse("a.json", []byte(validFile), Overrides{LogLevel: "debug", LogFormat: "json"})
	require.NoError(t, err)
	require.Equal(t, Log{Level: "debug", Format: "json"}, s.Log)
	_, err = Parse("a.json", []byte(validFile), Overrides{LogLevel: "loud"})
	require.EqualError(t, err, `command line or environment: log.level: "loud" is not one of debug, info, warn, error`)
}

// FuzzParse checks that no input causes a panic, and that valid settings are
// unchanged after they are encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte(`{"listen": {"callers": {}}, "host": null, "host": []}`))
	f.Add([]byte(`{"limits": {"tasks_per_job": 1e99}} // end`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse("a.json", raw, Overrides{})
		if err != nil {
			var faults Faults
			require.ErrorAs(t, err, &faults)
			require.NotEmpty(t, faults)
			return
		}
		encoded, err := json.Marshal(s)
		require.NoError(t, err)
		decoded, err := Parse("a.json", encoded, Overrides{})
		require.NoError(t, err)
		require.Equal(t, s, decoded)
	})
}
