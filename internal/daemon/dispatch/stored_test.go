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

// assignmentTime is how long a new fleet takes to assign the shards of the stored
// jobs: a few reads of a log without records.
const assignmentTime = 5 * time.Second

// submitStored submits a stored job whose second step runs after the first.
func (f *testFleet) submitStored(host, id string) (int, string) {
	step := func(after ...int) map[string]any {
		return map[string]any{"count": 4, "cpu": 14000, "mem_mb": 64, "est_runtime_ms": taskTime.Milliseconds(), "after": after}
	}
	return f.call(http.MethodPost, host, "/jobs/"+id, f.encode(map[string]any{"spec": "x", "steps": []any{step(), step(0)}}))
}

// state returns the state of a job as reported by a host, or the text of the
// HTTP status if it is not OK.
func (f *testFleet) state(host, id string) string {
	status, answer := f.call(http.MethodGet, host, "/jobs/"+id, nil)
	if status != http.StatusOK {
		return http.StatusText(status)
	}
	return strings.Split(answer, "\"")[3]
}

// waitForState waits until every host reports that a job is in the state. It
// fails the test after limit.
func (f *testFleet) waitForState(id, state string, limit time.Duration, hosts ...string) {
	f.t.Helper()
	started := time.Now()
	for _, h := range hosts {
		for f.state(h, id) != state {
			if time.Since(started) > limit {
				require.Fail(f.t, "state not reached", "%s reports state %q of job %s after %v", h, f.state(h, id), id, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func TestStoredJobRunsItsStepsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		defer f.stopAll()
		time.Sleep(assignmentTime)
		const id = "00000000000000a1"
		status, answer := f.submitStored("host-1", id)
		require.Equal(t, http.StatusOK, status, answer)
		time.Sleep(taskTime)
		for task := range f.startCounts() {
			assert.True(t, strings.HasPrefix(task, id+".0.0."), "%s started before the first step was done", task)
		}
		f.waitForState(id, "completed", 4*taskTime, "host-0", "host-1", "host-2")
		assert.Len(t, f.startCounts(), 8)
		for task, n := range f.startCounts() {
			assert.Equal(t, 1, n, task)
		}
		status, _ = f.submitStored("host-2", id)
		assert.Equal(t, http.StatusOK, status, "a repeated submission is the same job")
		time.Sleep(5 * taskTime)
		assert.Len(t, f.startCounts(), 8)
		assert.Equal(t, "completed", f.state("host-0", id))
	})
}

func TestStoredJobSurvivesHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 4)
		defer f.stopAll()
		time.Sleep(assignmentTime)
		var ids []string
		for i := range 6 {
			ids = append(ids, fmt.Sprintf("%016x", i+1))
			status, answer := f.submitStored("host-0", ids[i])
			require.Equal(t, http.StatusOK, status, answer)
		}
		f.stops["host-0"]()
		f.stops["host-1"]()
		for _, id := range ids {
			f.waitForState(id, "completed", 15*time.Second, "host-2")
		}
		assert.Len(t, f.startCounts(), 8*len(ids))
		f.start("host-3")
		time.Sleep(time.Second)
		f.waitForState(ids[0], "completed", time.Second, "host-3")
	})
}

func TestStoredJobIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4)
		defer f.stopAll()
		time.Sleep(assignmentTime)
		const id = "00000000000000a1"
		status, _ := f.submitStored("host-0", id)
		require.Equal(t, http.StatusOK, status)
		time.Sleep(taskTime / 2)
		status, _ = f.call(http.MethodDelete, "host-1", "/jobs/"+id, nil)
		require.Equal(t, http.StatusOK, status)
		f.waitForState(id, "cancelled", 200*time.Millisecond, "host-0", "host-1")
		time.Sleep(200 * time.Millisecond)
		for _, w := range f.workers {
			assert.Zero(t, w.Running())
		}
	})
}

// Without the store a host refuses new stored jobs at once and finishes those
// that are running.
func TestStoredJobsWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4)
		defer f.stopAll()
		time.Sleep(assignmentTime)
		const id = "00000000000000a1"
		status, _ := f.submitStored("host-0", id)
		require.Equal(t, http.StatusOK, status)
		f.store.SetDown(true)
		started := time.Now()
		status, _ = f.submitStored("host-0", "00000000000000a2")
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Less(t, time.Since(started), 200*time.Millisecond)
		time.Sleep(3 * time.Second)
		f.store.SetDown(false)
		f.waitForState(id, "completed", 8*time.Second, "host-0", "host-1")
		assert.Equal(t, "Gone", f.state("host-0", "00000000000000a2"), "a refused submission creates no job")
	})
}

// Guards against submissions that are sent, one batch after the other, to a log that
// does not answer: none of them is known not to be accepted, and each waits for the
// time limit of an append.
func TestSubmissionsAreRefusedAtOnceWhileAppendsHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4)
		defer f.stopAll()
		time.Sleep(assignmentTime)
		f.store.SetHangAppends(true)
		unknown, refused := 0, 0
		const jobs, interval = 80, 50 * time.Millisecond
		statuses := make(chan int, jobs)
		for i := range jobs {
			go func() {
				sent := time.Now()
				status, _ := f.submitStored("host-0", fmt.Sprintf("%016x", 0xb00+i))
				if status == http.StatusServiceUnavailable && i > jobs/2 {
					assert.Less(t, time.Since(sent), interval, "job %d", i)
				}
				statuses <- status
			}()
			time.Sleep(interval)
		}
		for range jobs {
			switch <-statuses {
			case http.StatusServiceUnavailable:
				refused++
			case http.StatusGatewayTimeout:
				unknown++
			}
		}
		// Two appends fail before the log counts as away: all jobs of their 1.1 s may
		// be in them. After that one job goes with each attempt.
		maxUnknown := int(2*(appendTimeout+appendRetry)/interval) + jobs*int(interval)/int(appendTimeout+appendRetry)
		assert.LessOrEqual(t, unknown, maxUnknown)
		assert.Equal(t, jobs, refused+unknown)

		f.store.SetHangAppends(false)
		time.Sleep(appendTimeout + 2*appendRetry)
		status, answer := f.submitStored("host-0", "00000000000000c1")
		assert.Equal(t, http.StatusOK, status, answer)
	})
}

// A host that had just started answered 410 to the DELETE, and to the GET, of an accepted
// job until it had read the job log; its callers took the job as gone, and it ran on.
func TestStartingHostDoesNotDenyJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 4)
		defer f.stopAll()
		d := f.hosts["host-0"]
		d.logRead.Store(false)
		d.hasStoredJobs.Store(false)
		for _, method := range []string{http.MethodDelete, http.MethodGet} {
			status, answer := f.call(method, "host-0", "/jobs/00000000000000a1", nil)
			assert.Equal(t, http.StatusServiceUnavailable, status, "%s: %s", method, answer)
		}
		d.logRead.Store(true)
		for _, method := range []string{http.MethodDelete, http.MethodGet} {
			status, answer := f.call(method, "host-0", "/jobs/00000000000000a1", nil)
			assert.Equal(t, http.StatusGone, status, "%s: %s", method, answer)
		}
	})
}
