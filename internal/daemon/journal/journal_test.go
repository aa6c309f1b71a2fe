package journal

import (
	"fmt"
	"io"
	"runtime"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
)

type view struct{ state *standing.State }

func (v view) State() *standing.State { return v.state }

func testState() *standing.State {
	return &standing.State{Version: 9, Intent: "intent-of-another", LastChanges: map[string]standing.Change{
		standing.CustomerKey("tamarind"): {Version: 3, Intent: "intent-1", Operator: "wanjiru"},
		standing.HostKey("backend-7"):    {Version: 5, Intent: "intent-2", Operator: "patel"},
	}}
}

// TestRecordNamesTheIntentThatItRestsOn checks that it is not merely the last
// intent of all.
func TestRecordNamesIntentOfItsSubject(t *testing.T) {
	cases := []struct {
		name     string
		customer string
		subjects []string
		intent   string
		version  int64
	}{
		{"rules of the customer", "tamarind", []string{"request-1", "backend-1"}, "intent-1", 3},
		{"drained host, the newer", "tamarind", []string{"request-1", "backend-7"}, "intent-2", 5},
		{"nothing was ever changed", "vadodara", []string{"request-1"}, "", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := New("entry-1", log.New(io.Discard), view{testState()}, 10)
			j.Record(decision.Record{Subjects: c.subjects, Customer: c.customer})
			found, _ := j.BySubject("request-1", 10)
			require.Len(t, found, 1)
			require.EqualValues(t, 9, found[0].Version)
			require.Equal(t, c.intent, found[0].Intent)
			require.Equal(t, c.version, found[0].IntentVersion)
			under, _ := j.BySubject(c.intent, 10)
			require.Equal(t, c.intent != "", len(under) == 1)
		})
	}
}

func TestPlanFindsRecordsOfItsIntent(t *testing.T) {
	j := New("entry-1", log.New(io.Discard), view{testState()}, 10)
	j.Record(decision.Record{Action: "confirm", Subjects: []string{"plan-1", "intent-1"}, Version: 3})
	j.Record(decision.Record{Action: "send", Subjects: []string{"request-1"}, Customer: "tamarind"})
	found, _ := j.BySubject("plan-1", 10)
	require.Len(t, found, 2)
	require.Equal(t, "send", found[1].Action)
}

// TestIndexMatchesTheRing compares every lookup with a scan, over many more
// records than are kept.
func TestIndexMatchesScan(t *testing.T) {
	const capacity, records, subjects = 64, 1000, 9
	j := New("entry-1", log.New(io.Discard), view{}, capacity)
	var all []decision.Record
	for n := range records {
		r := decision.Record{Action: fmt.Sprint(n), Subjects: []string{fmt.Sprint("a", n%subjects), fmt.Sprint("b", n%7), fmt.Sprint("a", n%3), ""}}
		j.Record(r)
		all = append(all, r)
		kept := all[max(0, len(all)-capacity):]
		for s := range subjects {
			subject := fmt.Sprint("a", s)
			var want []string
			for _, k := range kept {
				if k.Subjects[0] == subject || k.Subjects[2] == subject {
					want = append(want, k.Action)
				}
			}
			var got []string
			found, _ := j.BySubject(subject, capacity)
			for _, r := range found {
				got = append(got, r.Action)
			}
			require.Equal(t, want, got)
		}
	}
	require.LessOrEqual(t, len(j.ring.index), subjects+7+1)
}

// sink takes lines as a pipe would. The logger formats nothing for io.Discard.
type sink struct{}

func (sink) Write(b []byte) (int, error) { return len(b), nil }

// BenchmarkRecord measures one decision: the record kept and its log line.
func BenchmarkRecord(b *testing.B) {
	for name, level := range map[string]log.Level{"line": log.InfoLevel, "record only": log.ErrorLevel} {
		b.Run(name, func(b *testing.B) {
			logger := log.NewWithOptions(sink{}, log.Options{ReportTimestamp: true, Level: level})
			j := New("entry-1", logger, view{testState()}, DefaultCapacity)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				j.Record(decision.Record{
					Part: decision.PartPlace, Action: "start", Rule: "most free cores", Customer: "tamarind",
					Why:      "worker has 12 of 32 cores free",
					Subjects: []string{fmt.Sprint("task-", n), fmt.Sprint("job-", n/500), fmt.Sprint("worker-", n%880)},
				})
			}
		})
	}
}

// BenchmarkMemory prints the memory of a full journal in bytes a record.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		j := New("entry-1", log.New(io.Discard), view{testState()}, DefaultCapacity)
		for n := range 2 * DefaultCapacity {
			j.Record(decision.Record{
				Part: decision.PartPlace, Action: "start", Rule: "most free cores", Customer: "tamarind",
				Why:      fmt.Sprintf("worker has %d of 32 cores free", n%32),
				Subjects: []string{fmt.Sprintf("task-%036d", n), fmt.Sprintf("job-%036d", n/500), fmt.Sprint("worker-", n%880)},
			})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(j)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/DefaultCapacity, "B/record")
}
