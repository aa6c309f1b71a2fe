package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/daemon/journal"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/settings"
)

type fixedView struct{ state *standing.State }

func (v fixedView) State() *standing.State { return v.state }

// TestDecisionLineHasAllFields checks that each decision is logged as one line
// with its part, ids, inputs and configuration version, in every format.
func TestDecisionLineHasAllFields(t *testing.T) {
	for _, format := range []string{"text", "json", "logfmt"} {
		var out bytes.Buffer
		view := fixedView{&standing.State{Version: 41}}
		j := journal.New("entry-1", New(&out, settings.Log{Level: "info", Format: format}), view, 10)
		for _, part := range []decision.Part{decision.PartRoute, decision.PartPlace, decision.PartRetry, decision.PartEject} {
			out.Reset()
			j.Record(decision.Record{Part: part, Action: "send", Why: "2 of 8 slots taken", Subjects: []string{"valve-7", "backend-3"}})
			line := out.String()
			require.Equal(t, 1, strings.Count(line, "\n"), line)
			for _, want := range []string{string(part), "send", "valve-7", "backend-3", "2 of 8 slots taken", "41"} {
				require.Contains(t, line, want)
			}
			require.Equal(t, format == "json", json.Valid([]byte(line)), line)
		}
	}
}

// TestCallerCannotForgeLogLine guards against log injection: an id chosen by a
// caller contains a newline and the text of another log line.
func TestCallerCannotForgeLogLine(t *testing.T) {
	for _, format := range []string{"json", "logfmt"} {
		var out bytes.Buffer
		j := journal.New("entry-1", New(&out, settings.Log{Level: "info", Format: format}), fixedView{}, 10)
		j.Record(decision.Record{Part: decision.PartJob, Action: "claim", Subjects: []string{"batch\nlevel=error msg=forged"}})
		require.Equal(t, 1, strings.Count(out.String(), "\n"), out.String())
	}
}

func TestLevelFiltersLowerLevels(t *testing.T) {
	var out bytes.Buffer
	logger := New(&out, settings.Log{Level: "warn", Format: "text"})
	logger.Info("routine")
	logger.WithPrefix("config").Warn("log service gives no records")
	require.NotContains(t, out.String(), "routine")
	require.Contains(t, out.String(), "config: log service gives no records")
}

// sink discards lines. The benchmark cannot use io.Discard, for which the logger
// skips formatting.
type sink struct{}

func (sink) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkDecisionLine measures recording and logging one decision.
func BenchmarkDecisionLine(b *testing.B) {
	for _, format := range []string{"text", "json", "logfmt"} {
		b.Run(format, func(b *testing.B) {
			view := fixedView{&standing.State{Version: 41}}
			j := journal.New("entry-1", New(sink{}, settings.Log{Level: "info", Format: format}), view, 1000)
			record := decision.Record{
				Part: decision.PartRoute, Action: "send", Rule: "least", Why: "2 of 8 slots taken, 0 wait",
				Subjects: []string{"valve-7", "backend-3"}, Customer: "tamarind",
			}
			b.ReportAllocs()
			for b.Loop() {
				j.Record(record)
			}
		})
	}
}
