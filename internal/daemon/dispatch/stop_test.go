package dispatch

import (
	"bytes"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stopGrace is the grace period of the hosts of a testFleet.
const stopGrace = 6 * time.Second

// stoppedAnswer is the answer to a request, and when it came.
type stoppedAnswer struct {
	status     int
	retryAfter string
	err        error
	at         time.Time
}

// submitSlow submits a best-effort job of one task whose caller waits for a minute.
func (f *testFleet) submitSlow(host, id string, estimate time.Duration) <-chan stoppedAnswer {
	body := f.encode(map[string]any{"best_effort": true, "steps": []any{map[string]any{"count": 1, "cpu": 14000, "est_runtime_ms": estimate.Milliseconds()}}})
	req, err := http.NewRequest(http.MethodPost, "http://"+host+":1/jobs/"+id, bytes.NewReader(body))
	require.NoError(f.t, err)
	req.Host = "jobs.example"
	req.Header.Set("X-Deadline-Ms", "60000")
	answers := make(chan stoppedAnswer, 1)
	go func() {
		resp, err := f.client.Do(req)
		a := stoppedAnswer{err: err, at: time.Now()}
		if err == nil {
			a.status, a.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
			_ = resp.Body.Close()
		}
		answers <- a
	}()
	return answers
}

func (f *testFleet) runningTasks() int {
	n := 0
	for _, w := range f.workers {
		n += w.Running()
	}
	return n
}

// A job that was not done 5.5 s after SIGTERM was cut off without an answer.
func TestJobThatOutlivesAPlannedStopIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = "00000000000000a1"
		f := newFleet(t, 2, 0)
		defer f.stopAll()
		f.addWorker("z", time.Minute)
		time.Sleep(3 * time.Second)
		answers := f.submitSlow("host-0", id, 30*time.Second)
		time.Sleep(time.Second)
		require.Equal(t, 1, f.runningTasks())
		began := time.Now()
		stopped := make(chan struct{})
		go func() {
			f.stops["host-0"]()
			close(stopped)
		}()
		a := <-answers
		time.Sleep(100 * time.Millisecond)
		assert.Zero(t, f.runningTasks(), "the tasks of an answered job are withdrawn")
		<-stopped
		require.NoError(t, a.err)
		assert.Equal(t, http.StatusGatewayTimeout, a.status, "the job has run")
		assert.InDelta(t, (stopGrace - stopMargin).Seconds(), a.at.Sub(began).Seconds(), 0.5)
		assert.Less(t, time.Since(began), stopGrace)
	})
}

// A stopping host took jobs that could not end before its port did, or kept those that
// were waiting, and held their callers until then.
func TestJobThatCannotEndInAPlannedStopIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const atOnce = 100 * time.Millisecond
		f := newFleet(t, 2, 0)
		defer f.stopAll()
		f.addWorker("z", 4*time.Second)
		time.Sleep(3 * time.Second)
		// Two tasks take the worker's 32 cores.
		running := []<-chan stoppedAnswer{f.submitSlow("host-0", "00000000000000a1", 4*time.Second), f.submitSlow("host-0", "00000000000000a2", 4*time.Second)}
		time.Sleep(100 * time.Millisecond)
		waiting := f.submitSlow("host-0", "00000000000000a3", 10*time.Second)
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		stopped := make(chan struct{})
		go func() {
			f.stops["host-0"]()
			close(stopped)
		}()
		time.Sleep(time.Second)
		arrived := time.Now()
		late := f.submitSlow("host-0", "00000000000000a4", 10*time.Second)
		<-stopped
		for _, answers := range running {
			a := <-answers
			require.NoError(t, a.err)
			assert.Equal(t, http.StatusOK, a.status, "it ends in time")
		}
		for name, r := range map[string]struct {
			answers <-chan stoppedAnswer
			since   time.Time
		}{"waiting": {waiting, began}, "late": {late, arrived}} {
			a := <-r.answers
			require.NoError(t, a.err, name)
			assert.Equal(t, http.StatusServiceUnavailable, a.status, name)
			assert.Equal(t, "1", a.retryAfter, name)
			assert.Less(t, a.at.Sub(r.since), atOnce, name)
		}
		assert.Len(t, f.startCounts(), 2, "a refused job has not run")
	})
}
