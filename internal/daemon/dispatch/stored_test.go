package dispatch

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// settleTime is how long a new fleet takes to deal out the stored jobs: some
// readings of a log without records.
const settleTime = 5 * time.Second

// storeJob hands in a stored job of two steps, the second after the first.
func (f *testFleet) storeJob(host, id string) (int, string) {
	step := func(after ...int) map[string]any {
		return map[string]any{"count": 4, "cpu": 14000, "mem_mb": 64, "est_runtime_ms": taskTime.Milliseconds(), "after": after}
	}
	return f.call(http.MethodPost, host, "/jobs/"+id, f.encode(map[string]any{"spec": "x", "steps": []any{step(), step(0)}}))
}

// state returns what a host says of a job.
func (f *testFleet) state(host, id string) string {
	status, answer := f.call(http.MethodGet, host, "/jobs/"+id, nil)
	if status != http.StatusOK {
		return http.StatusText(status)
	}
	return strings.Split(answer, "\"")[3]
}

// await waits until every host says that a job is in a state.
func (f *testFleet) await(id, state string, limit time.Duration, hosts ...string) {
	f.t.Helper()
	begun := time.Now()
	for _, h := range hosts {
		for f.state(h, id) != state {
			if time.Since(begun) > limit {
				require.Fail(f.t, "state not reached", "%s says %q of job %s after %v", h, f.state(h, id), id, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func TestStoredJobRunsItsStepsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		defer f.stopAll()
		time.Sleep(settleTime)
		const id = "00000000000000a1"
		status, answer := f.storeJob("host-1", id)
		require.Equal(t, http.StatusOK, status, answer)
		time.Sleep(taskTime)
		for task := range f.started() {
			assert.True(t, strings.HasPrefix(task, id+".0.0."), "%s starts before the first step is done", task)
		}
		f.await(id, "completed", 4*taskTime, "host-0", "host-1", "host-2")
		assert.Len(t, f.started(), 8)
		for task, n := range f.started() {
			assert.Equal(t, 1, n, task)
		}
		status, _ = f.storeJob("host-2", id)
		assert.Equal(t, http.StatusOK, status, "a submission that is sent again remains one job")
		time.Sleep(5 * taskTime)
		assert.Len(t, f.started(), 8)
		assert.Equal(t, "completed", f.state("host-0", id))
	})
}

func TestStoredJobSurvivesHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		defer f.stopAll()
		time.Sleep(settleTime)
		var ids []string
		for i := range 6 {
			ids = append(ids, fmt.Sprintf("%016x", i+1))
			status, answer := f.storeJob("host-0", ids[i])
			require.Equal(t, http.StatusOK, status, answer)
		}
		f.stops["host-0"]()
		f.stops["host-1"]()
		for _, id := range ids {
			f.await(id, "completed", 15*time.Second, "host-2")
		}
		assert.Len(t, f.started(), 8*len(ids))
		f.start("host-3")
		time.Sleep(time.Second)
		f.await(ids[0], "completed", time.Second, "host-3")
	})
}

func TestStoredJobIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4)
		defer f.stopAll()
		time.Sleep(settleTime)
		const id = "00000000000000a1"
		status, _ := f.storeJob("host-0", id)
		require.Equal(t, http.StatusOK, status)
		time.Sleep(taskTime / 2)
		status, _ = f.call(http.MethodDelete, "host-1", "/jobs/"+id, nil)
		require.Equal(t, http.StatusOK, status)
		f.await(id, "cancelled", 200*time.Millisecond, "host-0", "host-1")
		time.Sleep(200 * time.Millisecond)
		for _, w := range f.workers {
			assert.Zero(t, w.Running())
		}
	})
}

// Without the store nothing is accepted, at once; what runs is done.
func TestStoredJobsWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4)
		defer f.stopAll()
		time.Sleep(settleTime)
		const id = "00000000000000a1"
		status, _ := f.storeJob("host-0", id)
		require.Equal(t, http.StatusOK, status)
		f.store.SetDown(true)
		begun := time.Now()
		status, _ = f.storeJob("host-0", "00000000000000a2")
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Less(t, time.Since(begun), 200*time.Millisecond)
		time.Sleep(3 * time.Second)
		f.store.SetDown(false)
		f.await(id, "completed", 8*time.Second, "host-0", "host-1")
		assert.Equal(t, "Gone", f.state("host-0", "00000000000000a2"), "what was refused is no job")
	})
}
