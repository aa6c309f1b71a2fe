package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
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
		// The caller returns 1.3 s after a 504, to another host.
		time.Sleep(time.Until(a.at.Add(1300 * time.Millisecond)))
		assert.Zero(t, f.runningTasks())
		f.submitSlow("host-1", id, 30*time.Second)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, 1, f.runningTasks())
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

// longestAppendWait is how long a submission waits while the job log does not answer:
// for the append under way, the delay after it, and its own.
const longestAppendWait = 2*appendTimeout + appendRetry

// Guards against submissions, cancels and queries that wait for the job log for longer
// than the callers' port of a stopping host is open.
func TestRequestsThatWaitForTheLogAreAnsweredInAPlannedStop(t *testing.T) {
	require.Less(t, longestAppendWait, stopGrace-stopMargin-stopAccepting)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2)
		defer f.stopAll()
		time.Sleep(assignmentTime)
		const known = "00000000000000a1"
		status, answer := f.submitStored("host-0", known)
		require.Equal(t, http.StatusOK, status, answer)
		f.store.SetHangAppends(true)
		stopped := make(chan struct{})
		go func() {
			f.stops["host-0"]()
			close(stopped)
		}()
		time.Sleep(stopAccepting - 100*time.Millisecond)
		type reply struct {
			name   string
			status int
			took   time.Duration
		}
		replies := make(chan reply, 10)
		send := func(name string, request func() (int, string)) {
			go func() {
				began := time.Now()
				status, _ := request()
				replies <- reply{name, status, time.Since(began)}
			}()
			time.Sleep(5 * time.Millisecond)
		}
		for i := range 3 {
			send("submit", func() (int, string) { return f.submitStored("host-0", fmt.Sprintf("%016x", 0xb1+i)) })
			send("cancel", func() (int, string) {
				return f.call(http.MethodDelete, "host-0", fmt.Sprintf("/jobs/%016x", 0xc1+i), nil)
			})
		}
		send("state", func() (int, string) { return f.call(http.MethodGet, "host-0", "/jobs/"+known, nil) })
		for range 7 {
			r := <-replies
			if r.name == "state" {
				assert.Equal(t, http.StatusOK, r.status)
				assert.LessOrEqual(t, r.took, stateWait+tickInterval)
				continue
			}
			// An append that was sent may have been applied.
			assert.Contains(t, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, r.status, r.name)
			assert.LessOrEqual(t, r.took, longestAppendWait+tickInterval, r.name)
		}
		f.store.SetHangAppends(false)
		<-stopped
	})
}

// Guards against requests whose answers wait after their contexts have ended, or that
// are then said not to have run.
func TestRequestsAnswerAtOnceWhenTheirContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 0)
		defer f.stopAll()
		f.addWorker("z", time.Minute)
		time.Sleep(assignmentTime)
		d := f.hosts["host-0"]
		route := d.Config().Routes[0]
		job := fleet.Job{ID: "00000000000000a1", BestEffort: true, Steps: []fleet.Step{
			{Count: 1, Size: fleet.Size{MilliCPU: 14000}, Estimate: 30 * time.Second},
		}}
		stored := job
		stored.ID, stored.BestEffort = "00000000000000b1", false
		f.store.SetHangAppends(true)
		for name, request := range map[string]func(context.Context) *errkind.Error{
			"best effort": func(ctx context.Context) *errkind.Error { return d.Submit(ctx, job, route, time.Minute).Err },
			"stored":      func(ctx context.Context) *errkind.Error { return d.Submit(ctx, stored, route, 0).Err },
			"cancel": func(ctx context.Context) *errkind.Error {
				_, err := d.Cancel(ctx, "00000000000000c1")
				return err
			},
		} {
			ctx, end := context.WithCancelCause(t.Context())
			ended := time.Now().Add(300 * time.Millisecond)
			time.AfterFunc(time.Until(ended), func() { end(errors.New("the port ends")) })
			err := request(ctx)
			require.NotNil(t, err, name)
			assert.Equal(t, errkind.Unknown, err.Run, name)
			assert.Contains(t, err.Detail, "the port ends", name)
			assert.LessOrEqual(t, time.Since(ended), time.Millisecond, name)
			time.Sleep(2 * time.Second)
		}
		assert.Zero(t, f.runningTasks())
		f.store.SetHangAppends(false)
	})
}

// Guards against a callers' port that is still open, with requests in work, when a short
// grace period ends.
func TestPlannedStopEndsWithinAShortGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, 0)
				f.grace = grace
				f.start("host-9")
				defer f.stopAll()
				f.addWorker("z", time.Minute)
				time.Sleep(assignmentTime)
				answers := f.submitSlow("host-9", "00000000000000a1", 30*time.Second)
				time.Sleep(time.Second)
				require.Equal(t, 1, f.runningTasks())
				began := time.Now()
				f.stops["host-9"]()
				assert.Less(t, time.Since(began), grace)
				a := <-answers
				require.NoError(t, a.err)
				assert.Equal(t, http.StatusGatewayTimeout, a.status)
			})
		})
	}
}
