package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/daemon/workerclient"
	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	"github.com/parsleyhill/parsleyhill/internal/settings"
	standinplatform "github.com/parsleyhill/parsleyhill/internal/standin/platform"
	"github.com/parsleyhill/parsleyhill/internal/standin/worker"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

var errNet = errors.New("network fault")

// testCluster is a log, workers and entry hosts in one process. It implements
// the dependencies of the entry hosts.
type testCluster struct {
	log     *standinplatform.Log
	workers map[string]*worker.Worker
	hosts   []platform.Host
	entries map[ids.Incarnation]*Service

	runs sync.WaitGroup
	// peersPartitioned makes calls between entry hosts fail.
	peersPartitioned bool
	// abortedCalls makes calls between entry hosts fail when their context ends, as
	// calls over a network do.
	abortedCalls bool

	mu sync.Mutex
	// fault returns the fault of the next call to a worker.
	fault func(path string) fault
}

type fault int

const (
	noFault fault = iota
	// refusedFault refuses the connection.
	refusedFault
	// requestFault loses the request after the connection was established.
	requestFault
	// replyFault executes the call and loses the reply.
	replyFault
	// statusFault executes the call and answers with a server error.
	statusFault
	// cutFault executes the call and truncates the reply.
	cutFault
)

func newTestCluster(n int) *testCluster {
	cluster := &testCluster{
		log: standinplatform.NewLog(), workers: map[string]*worker.Worker{}, entries: map[ids.Incarnation]*Service{},
		fault: func(string) fault { return noFault },
	}
	for i := range n {
		name := fmt.Sprintf("worker-%d", i)
		cluster.workers[name] = worker.New(name, worker.Capacity{Cores: 8, MemoryMB: 1024})
		cluster.hosts = append(cluster.hosts, platform.Host{
			Name: name, Role: platform.RoleWorker, Rack: name, Address: name, State: platform.HostLive, Cores: 8, MemoryMB: 1024,
		})
	}
	return cluster
}

// RoundTrip passes a call to a stand-in worker, subject to the fault.
func (cluster *testCluster) RoundTrip(req *http.Request) (*http.Response, error) {
	cluster.mu.Lock()
	f := cluster.fault(req.URL.Path)
	cluster.mu.Unlock()
	if f == refusedFault {
		return nil, errNet
	}
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	if f == requestFault {
		<-req.Context().Done()
		return nil, errNet
	}
	<-time.After(time.Millisecond)
	rec := httptest.NewRecorder()
	cluster.workers[req.URL.Host].Handler().ServeHTTP(rec, req)
	switch f {
	case replyFault:
		return nil, errNet
	case statusFault:
		rec.Code = http.StatusInternalServerError
	case cutFault:
		rec.Body.Truncate(rec.Body.Len() / 2)
	}
	return rec.Result(), nil
}

func (cluster *testCluster) Hosts() []platform.Host { return cluster.hosts }

// State returns a configuration with one customer without limits.
func (cluster *testCluster) State() *standing.State {
	return &standing.State{Version: 1, Customers: map[string]standing.Customer{"tamarind": {}}}
}

// Record drops decision records.
func (cluster *testCluster) Record(decision.Record) {}

// GetJob gets a job from the entry host that owns it.
func (cluster *testCluster) GetJob(ctx context.Context, owner ids.Incarnation, _ string, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, error) {
	if cluster.peersPartitioned {
		return callerapi.JobAnswer{}, errNet
	}
	e, ok := cluster.entries[owner]
	if !ok {
		return callerapi.JobAnswer{}, ErrOwnerEnded
	}
	answer, ok := e.Local(ctx, k, wait)
	if !ok || cluster.abortedCalls && ctx.Err() != nil {
		return answer, errNet
	}
	return answer, nil
}

// CancelJob cancels a job at the entry host that owns it.
func (cluster *testCluster) CancelJob(ctx context.Context, owner ids.Incarnation, _ string, k jobs.Key) (callerapi.JobAnswer, error) {
	if cluster.peersPartitioned {
		return callerapi.JobAnswer{}, errNet
	}
	answer, ok := cluster.entries[owner].CancelLocal(ctx, k)
	if !ok {
		return answer, errNet
	}
	return answer, nil
}

// entry runs an entry host until the test's context ends.
func (cluster *testCluster) entry(ctx context.Context, name string) *Service {
	inc := ids.Incarnation(name + "~1")
	e := New(Deps{
		Settings: settings.Settings{Host: name}.WithDefaults(), Incarnation: inc, View: cluster, Hosts: cluster, Log: cluster.log,
		Workers: workerclient.NewClient(cluster), Recorder: cluster, Logger: log.New(io.Discard), Owners: cluster, Seed: 1,
	})
	cluster.entries[inc] = e
	cluster.runs.Go(func() { _ = e.Run(ctx) })
	synctest.Wait()
	return e
}

func (cluster *testCluster) starts() map[string]int {
	all := map[string]int{}
	for _, w := range cluster.workers {
		for task, n := range w.Starts() {
			all[task] += n
		}
	}
	return all
}

func (cluster *testCluster) requireIdle(t *testing.T) {
	t.Helper()
	for name, w := range cluster.workers {
		require.Zero(t, w.Lease(workerapi.LeaseCall{Holder: "test"}).Used, "%s is in use", name)
	}
}

func jobOf(submission string, tasks int, runMs int64) callerapi.Job {
	job := callerapi.Job{Submission: submission, Customer: "tamarind", Attempt: 1, DeadlineMs: 10_000}
	payload, _ := json.Marshal(worker.Work{RunMs: runMs})
	for i := range tasks {
		job.Tasks = append(job.Tasks, callerapi.Task{Name: fmt.Sprintf("task-%d", i), Cores: 1, Payload: payload})
	}
	return job
}

// runInCluster runs a test with a cluster in virtual time.
func runInCluster(t *testing.T, workers int, run func(t *testing.T, ctx context.Context, cluster *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := newTestCluster(workers)
		run(t, ctx, cluster)
		cancel()
		cluster.runs.Wait()
	})
}

// TestWorkerFaults runs a job under each fault of the worker interface and checks
// that no task starts twice.
func TestWorkerFaults(t *testing.T) {
	cases := []struct {
		name  string
		path  string
		fault fault
		times int
		state callerapi.JobState
	}{
		{"no fault", "", noFault, 0, callerapi.JobComplete},
		{"lease refused", workerapi.PathLeases, refusedFault, 2, callerapi.JobComplete},
		{"lease reply lost", workerapi.PathLeases, replyFault, 2, callerapi.JobComplete},
		{"start refused", workerapi.PathStarts, refusedFault, 2, callerapi.JobComplete},
		{"start request lost", workerapi.PathStarts, requestFault, 1, callerapi.JobComplete},
		{"start reply lost", workerapi.PathStarts, replyFault, 1, callerapi.JobComplete},
		{"start answered with an error", workerapi.PathStarts, statusFault, 1, callerapi.JobComplete},
		{"start reply cut off", workerapi.PathStarts, cutFault, 1, callerapi.JobComplete},
		{"results reply cut off", workerapi.PathResults, cutFault, 1, callerapi.JobComplete},
		{"results reply lost", workerapi.PathResults, replyFault, 2, callerapi.JobComplete},
		{"results unavailable for good", workerapi.PathResults, requestFault, 1 << 30, callerapi.JobFailed},
		{"starts unavailable for good", workerapi.PathStarts, refusedFault, 1 << 30, callerapi.JobFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInCluster(t, 2, func(t *testing.T, ctx context.Context, cluster *testCluster) {
				e := cluster.entry(ctx, "entry-1")
				remaining := c.times
				cluster.fault = func(path string) fault {
					if path != c.path || remaining == 0 {
						return noFault
					}
					remaining--
					return c.fault
				}
				answer, err := e.Submit(ctx, jobOf("job", 6, 100), "d")
				require.Nil(t, err)
				require.Equal(t, c.state, answer.State, answer.Reason)
				if c.state == callerapi.JobComplete {
					require.Len(t, answer.Results, 6)
				}
				for task, n := range cluster.starts() {
					require.Equal(t, 1, n, task)
				}
				if answer.Run == string(errkind.NotRun) {
					require.Empty(t, cluster.starts())
				}
			})
		})
	}
}

// TestLogFaults submits a job under each fault of the log interface.
func TestLogFaults(t *testing.T) {
	cases := []struct {
		name     string
		faults   standinplatform.Faults
		healAt   time.Duration
		complete bool
		kind     errkind.Kind
		run      errkind.RunState
	}{
		{"no fault", standinplatform.Faults{}, 0, true, "", ""},
		{"reply of the claim lost", standinplatform.Faults{LoseReplies: 1}, 0, true, "", ""},
		{"replies of claim and close lost", standinplatform.Faults{LoseReplies: 2}, 0, true, "", ""},
		{"down", standinplatform.Faults{Down: true}, time.Minute, false, errkind.LogUnavailable, errkind.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInCluster(t, 2, func(t *testing.T, ctx context.Context, cluster *testCluster) {
				e := cluster.entry(ctx, "entry-1")
				cluster.log.SetFaults(c.faults)
				time.AfterFunc(c.healAt, func() {
					if c.healAt > 0 {
						cluster.log.SetFaults(standinplatform.Faults{})
					}
				})
				answer, err := e.Submit(ctx, jobOf("job", 3, 100), "d")
				if c.complete {
					require.Nil(t, err)
					require.Equal(t, callerapi.JobComplete, answer.State)
					return
				}
				require.Equal(t, c.kind, err.Kind)
				require.Equal(t, c.run, err.Run)
				require.Empty(t, cluster.starts())
			})
		})
	}
}

func TestLogLostAfterClaimAnswersUnrecordedAndRecordsLater(t *testing.T) {
	runInCluster(t, 1, func(t *testing.T, ctx context.Context, cluster *testCluster) {
		e := cluster.entry(ctx, "entry-1")
		time.AfterFunc(50*time.Millisecond, func() { cluster.log.SetFaults(standinplatform.Faults{Down: true}) })
		answer, err := e.Submit(ctx, jobOf("job", 1, 200), "d")
		require.Nil(t, err)
		require.Equal(t, callerapi.JobComplete, answer.State)
		require.True(t, answer.Unrecorded)
		cluster.log.SetFaults(standinplatform.Faults{})
		require.NoError(t, e.Stop(ctx))
		page, _ := cluster.log.Read(ctx, platform.StreamJobs, 0)
		last, _ := jobs.DecodeRecord(page.Entries[len(page.Entries)-1].Data)
		require.Equal(t, callerapi.JobComplete, last.State)
	})
}

func TestSubmissionSentToTwoHostsRunsOnce(t *testing.T) {
	runInCluster(t, 2, func(t *testing.T, ctx context.Context, cluster *testCluster) {
		first, second := cluster.entry(ctx, "entry-1"), cluster.entry(ctx, "entry-2")
		var answers [2]callerapi.JobAnswer
		var group sync.WaitGroup
		for i, e := range []*Service{first, second} {
			group.Go(func() { answers[i], _ = e.Submit(ctx, jobOf("job", 4, 100), "d") })
		}
		group.Wait()
		require.Equal(t, callerapi.JobComplete, answers[0].State)
		require.Equal(t, answers[0], answers[1])
		require.Len(t, cluster.starts(), 4)
		for task, n := range cluster.starts() {
			require.Equal(t, 1, n, task)
		}
		answer, err := second.Wait(ctx, jobs.Key{Customer: "tamarind", Submission: "job"}, 0)
		require.Nil(t, err)
		require.Equal(t, answers[0], answer)
	})
}

// TestCancelManyJobsAtOnce cancels 2000 jobs at once, some waiting, some running
// and some complete. A job is reported as not run exactly if none of its tasks
// started, and the closes share appends.
func TestCancelManyJobsAtOnce(t *testing.T) {
	const cancelledJobs = 2000
	runInCluster(t, 4, func(t *testing.T, ctx context.Context, cluster *testCluster) {
		e := cluster.entry(ctx, "entry-1")
		var submits, cancels sync.WaitGroup
		answers := make([]callerapi.JobAnswer, cancelledJobs)
		for i := range cancelledJobs {
			job := jobOf(fmt.Sprintf("job-%d", i), 2, 400)
			submits.Go(func() { _, _ = e.Submit(ctx, job, "d") })
		}
		<-time.After(600 * time.Millisecond)
		before := cluster.log.Appends()
		for i := range cancelledJobs {
			cancels.Go(func() {
				k := jobs.Key{Customer: "tamarind", Submission: fmt.Sprintf("job-%d", i)}
				answer, err := e.Cancel(ctx, k)
				require.Nil(t, err)
				answers[i] = answer
			})
		}
		cancels.Wait()
		submits.Wait()
		counts := map[string]int{}
		starts := cluster.starts()
		for i, a := range answers {
			counts[string(a.State)+"/"+a.Run]++
			started := 0
			for n := range 2 {
				started += starts[fmt.Sprintf("tamarind/job-%d/task-%d", i, n)]
			}
			require.Equal(t, a.Run == string(errkind.NotRun), started == 0, "job-%d: %+v, %d starts", i, a, started)
		}
		require.Len(t, counts, 3, "complete, stopped and not run: %v", counts)
		require.Less(t, cluster.log.Appends()-before, 100, "closes share appends")
		require.NoError(t, e.Stop(ctx))
		cluster.requireIdle(t)
	})
}

func TestPlannedStopFinishesJobsInFlight(t *testing.T) {
	runInCluster(t, 1, func(t *testing.T, ctx context.Context, cluster *testCluster) {
		e := cluster.entry(ctx, "entry-1")
		var answer callerapi.JobAnswer
		var group sync.WaitGroup
		group.Go(func() { answer, _ = e.Submit(ctx, jobOf("job", 20, 300), "d") })
		<-time.After(100 * time.Millisecond)
		stopped := make(chan error, 1)
		go func() { stopped <- e.Stop(ctx) }()
		<-time.After(100 * time.Millisecond)
		_, err := e.Submit(ctx, jobOf("late", 1, 100), "d")
		require.Equal(t, errkind.Stopping, err.Kind)
		require.Equal(t, errkind.NotRun, err.Run)
		require.NoError(t, <-stopped)
		group.Wait()
		require.Equal(t, callerapi.JobComplete, answer.State)
	})
}

func TestAnyHostCancelsOrNamesTheOwner(t *testing.T) {
	runInCluster(t, 1, func(t *testing.T, ctx context.Context, cluster *testCluster) {
		owner, other := cluster.entry(ctx, "entry-1"), cluster.entry(ctx, "entry-2")
		var submits sync.WaitGroup
		for _, name := range []string{"job-1", "job-2"} {
			submits.Go(func() { _, _ = owner.Submit(ctx, jobOf(name, 1, 5000), "d") })
		}
		<-time.After(100 * time.Millisecond)
		answer, err := other.Cancel(ctx, jobs.Key{Customer: "tamarind", Submission: "job-1"})
		require.Nil(t, err)
		require.Equal(t, string(errkind.Cancelled), answer.ErrorKind)
		require.Equal(t, string(errkind.Ran), answer.Run)
		cluster.peersPartitioned = true
		_, err = other.Cancel(ctx, jobs.Key{Customer: "tamarind", Submission: "job-2"})
		require.Equal(t, errkind.OwnerUnreachable, err.Kind)
		require.Contains(t, err.Detail, "entry-1")
		submits.Wait()
	})
}

// Guards against an owner that counts as unreachable because the host that asks it stops
// and ends its own call.
func TestStopSaysNothingOfTheOwnerOfAJob(t *testing.T) {
	runInCluster(t, 1, func(t *testing.T, ctx context.Context, cluster *testCluster) {
		owner, other := cluster.entry(ctx, "entry-1"), cluster.entry(ctx, "entry-2")
		var submits sync.WaitGroup
		var answer callerapi.JobAnswer
		submits.Go(func() { answer, _ = owner.Submit(ctx, jobOf("job", 1, 5000), "d") })
		<-time.After(100 * time.Millisecond)
		cluster.abortedCalls = true
		var err *errkind.Error
		var answeredAt time.Time
		submits.Go(func() {
			_, err = other.Submit(ctx, jobOf("job", 1, 5000), "d")
			answeredAt = time.Now()
		})
		<-time.After(100 * time.Millisecond)
		require.NoError(t, other.Stop(ctx), "it owns no job")
		interruptedAt := time.Now()
		other.Interrupt()
		submits.Wait()
		require.Equal(t, callerapi.JobComplete, answer.State)
		require.Equal(t, errkind.Stopping, err.Kind, err.Detail)
		require.Equal(t, errkind.Unknown, err.Run)
		require.Equal(t, interruptedAt, answeredAt)
	})
}
