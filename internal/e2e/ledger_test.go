//go:build e2e

package e2e

import (
	"encoding/json"
	"sync"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/standin/backend"
)

// ledger sums up the starts that the stand-ins counted.
type ledger struct {
	requestStarts map[string]int
	taskStarts    map[string]int
	// afterLeaving counts the requests that reached a backend server too long
	// after it began to leave.
	afterLeaving int
}

func (f *fleet) ledger() ledger {
	l := ledger{requestStarts: map[string]int{}, taskStarts: map[string]int{}}
	for _, h := range f.hosts {
		url := "http://" + h.Address + "/v1/ledger"
		switch h.Role {
		case platform.RoleBackend:
			var b backend.Ledger
			f.getJSON(url, &b)
			for id, n := range b.Starts {
				l.requestStarts[id] += n
			}
			l.afterLeaving += b.AfterLeaving
		case platform.RoleWorker:
			var starts map[string]int
			f.getJSON(url, &starts)
			for task, n := range starts {
				l.taskStarts[task] += n
			}
		}
	}
	return l
}

func (f *fleet) getJSON(url string, v any) {
	data, err := get(url)
	require.NoError(f.t, err)
	require.NoError(f.t, json.Unmarshal(data, v))
}

// violations holds the subjects of violated guarantees by guarantee.
type violations map[string][]string

func (v violations) add(violated bool, guarantee, subject string) {
	if violated {
		v[guarantee] = append(v[guarantee], subject)
	}
}

// maxReportedSubjects limits the subjects printed for each violated guarantee.
const maxReportedSubjects = 5

func (v violations) report(f *fleet) {
	for guarantee, subjects := range v {
		assert.Fail(f.t, guarantee, "%d times, such as %v", len(subjects), subjects[:min(maxReportedSubjects, len(subjects))])
	}
}

// compareWith compares what callers were told with the ledgers of the stand-ins.
func (l *load) compareWith(seen ledger) {
	found := violations{}
	answered := 0
	kinds := map[errkind.Kind]int{}
	for _, o := range l.requests {
		starts := seen.requestStarts[o.id]
		found.add(o.mismatched, "an answer belonged to another request", o.id)
		found.add(!o.idempotent && starts > 1, "a non-idempotent request was started twice", o.id)
		found.add(o.answered && starts == 0, "a request was answered but never started", o.id)
		found.add(!o.answered && o.run == errkind.NotRun && starts > 0, "a request was started but its caller was told not_run", o.id)
		if o.answered {
			answered++
		} else {
			kinds[o.kind]++
		}
	}
	l.fleet.t.Logf("requests: %d, answered %d, failed by kind %v", len(l.requests), answered, kinds)
	l.checkJobs(seen, found)
	found.report(l.fleet)
}

func (l *load) checkJobs(seen ledger, found violations) {
	for task, n := range seen.taskStarts {
		found.add(n > 1, "a task was started twice", task)
	}
	states := map[string]int{}
	for _, o := range l.jobs {
		state := "unanswered"
		var last callerapi.JobState
		for _, a := range o.answers {
			complete := a.State == callerapi.JobComplete
			found.add(complete && len(a.Results) != o.tasks, "a complete job did not have a result for every task", o.submission)
			found.add(!complete && len(a.Results) > 0, "an incomplete job had results", o.submission)
			if a.State == callerapi.JobRunning {
				continue
			}
			found.add(last != "" && last != a.State, "a job had two different final answers", o.submission)
			last = a.State
			state = string(a.State) + a.ErrorKind
		}
		states[state]++
	}
	l.fleet.t.Logf("jobs: %d, by state %v", len(l.jobs), states)
}

// versionMonitor checks that the configuration version of an entry host never
// decreases within one incarnation.
type versionMonitor struct {
	mu   sync.Mutex
	seen map[string]operator.Status
}

// observe reads the status of every entry host that answers.
func (v *versionMonitor) observe(f *fleet) {
	for _, e := range f.entries {
		data, err := get("http://" + e.operators + operator.PathStatus)
		if err != nil {
			continue
		}
		var s operator.Status
		require.NoError(f.t, json.Unmarshal(data, &s))
		v.mu.Lock()
		last, ok := v.seen[e.name]
		if ok && last.Incarnation == s.Incarnation {
			assert.GreaterOrEqual(f.t, s.Version, last.Version, "configuration of %s reverted", e.name)
		}
		v.seen[e.name] = s
		v.mu.Unlock()
	}
}

// waitInForce waits until every entry host applies the version or a later one.
func (f *fleet) waitInForce(version int64) {
	f.poll("the configuration is in force on all entry hosts", func() bool {
		for _, e := range f.entries {
			data, err := get("http://" + e.operators + operator.PathStatus)
			if err != nil {
				return false
			}
			var s operator.Status
			if json.Unmarshal(data, &s) != nil || s.Version < version {
				return false
			}
		}
		return true
	})
}
