package dispatch

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/hostlimits"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/internal/standin/store"
)

const topicJobs = "keyed.jobs"

// oddJob is the id of a job that no host can run.
const oddJob = "00000000000000ff"

// acceptedJob returns the record of a job of the given steps, as another version may
// have written it.
func acceptedJob(t *testing.T, id string, steps ...fleet.Step) string {
	t.Helper()
	route := fleet.Route{Name: "r", Service: "s", MaxAttempts: 3, Timeout: 1500 * time.Millisecond}
	data, err := json.Marshal(acceptedRecord{Job: fleet.Job{ID: id, Spec: "x", Steps: steps}, Route: route})
	require.NoError(t, err)
	return string(data)
}

func steps(n, count int) []fleet.Step {
	list := make([]fleet.Step, n)
	for i := range list {
		list[i] = fleet.Step{Count: count, Size: fleet.Size{MilliCPU: 14000, MemoryMB: 64}, Estimate: taskTime}
	}
	return list
}

// assertSetAside asserts that two hosts, one after the other, live with a record of a
// job that neither can run, that they show the job as failed with a reason, and that
// the other jobs are done.
func assertSetAside(t *testing.T, value, reason string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 4)
		logs := &syncBuffer{}
		f.logOutput = logs
		defer f.stopAll()
		var others []string
		for i := range 4 {
			others = append(others, fmt.Sprintf("%016x", i+1))
			f.store.Put(topicJobs, store.Record{Key: "a/" + others[i], Value: []byte(acceptedJob(t, others[i], steps(2, 2)...))})
		}
		f.store.Put(topicJobs, store.Record{Key: "a/" + oddJob, Value: []byte(value)})
		answer := fmt.Sprintf(`{"state":"failed","reason":%q}`, reason)
		for i, name := range []string{"host-0", "host-1"} {
			f.start(name)
			time.Sleep(assignmentTime)
			f.waitForState(oddJob, "failed", time.Second, name)
			_, got := f.call(http.MethodGet, name, "/jobs/"+oddJob, nil)
			assert.Equal(t, answer, got)
			for _, id := range others {
				f.waitForState(id, "completed", 10*time.Second, name)
			}
			id := fmt.Sprintf("%016x", 0x100+i)
			status, got := f.submitStored(name, id)
			require.Equal(t, http.StatusOK, status, got)
			f.waitForState(id, "completed", 10*time.Second, name)
			f.stops[name]()
		}
		for task := range f.startCounts() {
			assert.False(t, strings.HasPrefix(task, oddJob), "%s of the odd job has run", task)
		}
		lines := logs.lines("stored job set aside")
		if assert.Len(t, lines, 1, "the next host finds the job closed") {
			assert.Contains(t, lines[0], oddJob)
		}
	})
}

// Guards against a job of an older version, with more tasks or steps than a host can
// carry, that ends every host that drives it.
func TestTooLargeJobOfTheLogIsSetAside(t *testing.T) {
	const tasks, stepCount = hostlimits.MaxJobTasks + 1, hostlimits.MaxJobSteps + 1
	for name, c := range map[string]struct {
		steps  []fleet.Step
		reason string
	}{
		"one step":   {steps(1, tasks), fmt.Sprintf("job has more than %d tasks", hostlimits.MaxJobTasks)},
		"two steps":  {steps(2, hostlimits.MaxJobTasks), fmt.Sprintf("job has more than %d tasks", hostlimits.MaxJobTasks)},
		"many steps": {steps(stepCount, 1), fmt.Sprintf("job has more than %d steps", hostlimits.MaxJobSteps)},
	} {
		t.Run(name, func(t *testing.T) { assertSetAside(t, acceptedJob(t, oddJob, c.steps...), c.reason) })
	}
}
