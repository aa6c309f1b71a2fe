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

// ledger is what the stand-ins saw.
type ledger struct {
	requestStarts map[string]int
	taskStarts    map[string]int
	afterLeaving  int
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

// violations collects broken promises by what was broken.
type violations map[string][]string

func (v violations) add(broken bool, promise, subject string) {
	if broken {
		v[promise] = append(v[promise], subject)
	}
}

// shown is how many subjects of one broken promise are printed.
const shown = 5

func (v violations) report(f *fleet) {
	for promise, subjects := range v {
		assert.Fail(f.t, promise, "%d times, such as %v", len(subjects), subjects[:min(shown, len(subjects))])
	}
}

// check compares what callers were told with what the stand-ins saw.
func (l *load) check(seen ledger) {
	broken := violations{}
	answered := 0
	kinds := map[errkind.Kind]int{}
	for _, o := range l.requests {
		starts := seen.requestStarts[o.id]
		broken.add(o.crossed, "an answer belonged to another request", o.id)
		broken.add(!o.idempotent && starts > 1, "a non-idempotent request was started twice", o.id)
		broken.add(o.answered && starts == 0, "a request was answered and never started", o.id)
		broken.add(!o.answered && o.run == errkind.NotRun && starts > 0, "a request was started and its caller was told not_run", o.id)
		if o.answered {
			answered++
		} else {
			kinds[o.kind]++
		}
	}
	l.fleet.t.Logf("requests: %d, answered %d, failed by kind %v", len(l.requests), answered, kinds)
	l.checkJobs(seen, broken)
	broken.report(l.fleet)
}

func (l *load) checkJobs(seen ledger, broken violations) {
	for task, n := range seen.taskStarts {
		broken.add(n > 1, "a task was started twice", task)
	}
	states := map[string]int{}
	for _, o := range l.jobs {
		state := "unanswered"
		var last callerapi.JobState
		for _, a := range o.answers {
			complete := a.State == callerapi.JobComplete
			broken.add(complete && len(a.Results) != o.tasks, "a job was complete with other than all results", o.submission)
			broken.add(!complete && len(a.Results) > 0, "a job was not complete and had results", o.submission)
			if a.State == callerapi.JobRunning {
				continue
			}
			broken.add(last != "" && last != a.State, "a job had two answers", o.submission)
			last = a.State
			state = string(a.State) + a.ErrorKind
		}
		states[state]++
	}
	l.fleet.t.Logf("jobs: %d, by state %v", len(l.jobs), states)
}

// versions watches that no entry host's configuration reverts.
type versions struct {
	mu   sync.Mutex
	seen map[string]operator.Status
}

// observe reads the status of every entry host that answers.
func (v *versions) observe(f *fleet) {
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

// inForce waits until every entry host acts under the version.
func (f *fleet) inForce(version int64) {
	f.poll("configuration in force everywhere", func() bool {
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
