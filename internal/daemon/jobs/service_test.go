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

// site is a log, workers and entry hosts in one process.
type site struct {
	log     *standinplatform.Log
	workers map[string]*worker.Worker
	hosts   []platform.Host
	entries map[ids.Incarnation]*Service

	runs sync.WaitGroup
	// cutPeers keeps entry hosts from reaching each other.
	cutPeers bool

	mu sync.Mutex
	// fault returns what goes wrong with a call to a worker.
	fault func(path string) fault
}

type fault int

const (
	noFault fault = iota
	// refusedFault takes no connection.
	refusedFault
	// requestFault loses the request after the connection was made.
	requestFault
	// replyFault has the call carried out and loses the reply.
	replyFault
	// statusFault has the call carried out and answers with a server error.
	statusFault
	// cutFault has the call carried out and cuts its reply off.
	cutFault
)

func newSite(n int) *site {
	s := &site{
		log: standinplatform.NewLog(), workers: map[string]*worker.Worker{}, entries: map[ids.Incarnation]*Service{},
		fault: func(string) fault { return noFault },
	}
	for i := range n {
		name := fmt.Sprintf("worker-%d", i)
		s.workers[name] = worker.New(name, worker.Capacity{Cores: 8, MemoryMB: 1024})
		s.hosts = append(s.hosts, platform.Host{
			Name: name, Role: platform.RoleWorker, Rack: name, Address: name, State: platform.HostLive, Cores: 8, MemoryMB: 1024,
		})
	}
	return s
}

// RoundTrip carries a call to a stand-in worker.
func (s *site) RoundTrip(req *http.Request) (*http.Response, error) {
	s.mu.Lock()
	f := s.fault(req.URL.Path)
	s.mu.Unlock()
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
	s.workers[req.URL.Host].Handler().ServeHTTP(rec, req)
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

func (s *site) Hosts() []platform.Host { return s.hosts }

// State gives rules without bounds for one customer.
func (s *site) State() *standing.State {
	return &standing.State{Version: 1, Customers: map[string]standing.Customer{"tamarind": {}}}
}

// Record drops decision records.
func (s *site) Record(decision.Record) {}

// GetJob asks another entry host of the site.
func (s *site) GetJob(ctx context.Context, owner ids.Incarnation, _ string, k jobs.Key, wait time.Duration) (callerapi.JobAnswer, error) {
	if s.cutPeers {
		return callerapi.JobAnswer{}, errNet
	}
	e, ok := s.entries[owner]
	if !ok {
		return callerapi.JobAnswer{}, ErrOwnerGone
	}
	answer, ok := e.Local(ctx, k, wait)
	if !ok {
		return answer, errNet
	}
	return answer, nil
}

// CancelJob has another entry host of the site cancel a job.
func (s *site) CancelJob(ctx context.Context, owner ids.Incarnation, _ string, k jobs.Key) (callerapi.JobAnswer, error) {
	if s.cutPeers {
		return callerapi.JobAnswer{}, errNet
	}
	answer, ok := s.entries[owner].CancelLocal(ctx, k)
	if !ok {
		return answer, errNet
	}
	return answer, nil
}

// entry runs an entry host until the test's context ends.
func (s *site) entry(ctx context.Context, name string) *Service {
	inc := ids.Incarnation(name + "~1")
	e := New(Deps{
		Settings: settings.Settings{Host: name}.WithDefaults(), Incarnation: inc, View: s, Hosts: s, Log: s.log,
		Workers: workerclient.NewClient(s), Recorder: s, Logger: log.New(io.Discard), Owners: s, Seed: 1,
	})
	s.entries[inc] = e
	s.runs.Go(func() { _ = e.Run(ctx) })
	synctest.Wait()
	return e
}

func (s *site) starts() map[string]int {
	all := map[string]int{}
	for _, w := range s.workers {
		for task, n := range w.Starts() {
			all[task] += n
		}
	}
	return all
}

func (s *site) requireIdle(t *testing.T) {
	t.Helper()
	for name, w := range s.workers {
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

// inSite runs a test in virtual time.
func inSite(t *testing.T, workers int, run func(t *testing.T, ctx context.Context, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSite(workers)
		run(t, ctx, s)
		cancel()
		s.runs.Wait()
	})
}

// TestWorkerFaults is the fault table of the worker interface as jobs use it.
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
		{"results cut off", workerapi.PathResults, cutFault, 1, callerapi.JobComplete},
		{"results reply lost", workerapi.PathResults, replyFault, 2, callerapi.JobComplete},
		{"results away for good", workerapi.PathResults, requestFault, 1 << 30, callerapi.JobFailed},
		{"starts away for good", workerapi.PathStarts, refusedFault, 1 << 30, callerapi.JobFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inSite(t, 2, func(t *testing.T, ctx context.Context, s *site) {
				e := s.entry(ctx, "entry-1")
				left := c.times
				s.fault = func(path string) fault {
					if path != c.path || left == 0 {
						return noFault
					}
					left--
					return c.fault
				}
				answer, err := e.Submit(ctx, jobOf("job", 6, 100), "d")
				require.Nil(t, err)
				require.Equal(t, c.state, answer.State, answer.Reason)
				if c.state == callerapi.JobComplete {
					require.Len(t, answer.Results, 6)
				}
				for task, n := range s.starts() {
					require.Equal(t, 1, n, task)
				}
				if answer.Run == string(errkind.NotRun) {
					require.Empty(t, s.starts())
				}
			})
		})
	}
}

// TestLogFaults is the fault table of the log interface as jobs use it.
func TestLogFaults(t *testing.T) {
	cases := []struct {
		name     string
		faults   standinplatform.Faults
		healed   time.Duration
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
			inSite(t, 2, func(t *testing.T, ctx context.Context, s *site) {
				e := s.entry(ctx, "entry-1")
				s.log.SetFaults(c.faults)
				time.AfterFunc(c.healed, func() {
					if c.healed > 0 {
						s.log.SetFaults(standinplatform.Faults{})
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
				require.Empty(t, s.starts())
			})
		})
	}
}

func TestLogLostAfterClaimAnswersUnrecordedAndRecordsLater(t *testing.T) {
	inSite(t, 1, func(t *testing.T, ctx context.Context, s *site) {
		e := s.entry(ctx, "entry-1")
		time.AfterFunc(50*time.Millisecond, func() { s.log.SetFaults(standinplatform.Faults{Down: true}) })
		answer, err := e.Submit(ctx, jobOf("job", 1, 200), "d")
		require.Nil(t, err)
		require.Equal(t, callerapi.JobComplete, answer.State)
		require.True(t, answer.Unrecorded)
		s.log.SetFaults(standinplatform.Faults{})
		require.NoError(t, e.Stop(ctx))
		page, _ := s.log.Read(ctx, platform.StreamJobs, 0)
		last, _ := jobs.DecodeRecord(page.Entries[len(page.Entries)-1].Data)
		require.Equal(t, callerapi.JobComplete, last.State)
	})
}

func TestSubmissionSentToTwoHostsRunsOnce(t *testing.T) {
	inSite(t, 2, func(t *testing.T, ctx context.Context, s *site) {
		first, second := s.entry(ctx, "entry-1"), s.entry(ctx, "entry-2")
		var answers [2]callerapi.JobAnswer
		var group sync.WaitGroup
		for i, e := range []*Service{first, second} {
			group.Go(func() { answers[i], _ = e.Submit(ctx, jobOf("job", 4, 100), "d") })
		}
		group.Wait()
		require.Equal(t, callerapi.JobComplete, answers[0].State)
		require.Equal(t, answers[0], answers[1])
		require.Len(t, s.starts(), 4)
		for task, n := range s.starts() {
			require.Equal(t, 1, n, task)
		}
		answer, err := second.Wait(ctx, jobs.Key{Customer: "tamarind", Submission: "job"}, 0)
		require.Nil(t, err)
		require.Equal(t, answers[0], answer)
	})
}

// TestCancelWave cancels thousands of jobs at once, some waiting, some running,
// some complete.
func TestCancelManyJobsAtOnce(t *testing.T) {
	const wave = 2000
	inSite(t, 4, func(t *testing.T, ctx context.Context, s *site) {
		e := s.entry(ctx, "entry-1")
		var submits, cancels sync.WaitGroup
		answers := make([]callerapi.JobAnswer, wave)
		for i := range wave {
			job := jobOf(fmt.Sprintf("job-%d", i), 2, 400)
			submits.Go(func() { _, _ = e.Submit(ctx, job, "d") })
		}
		<-time.After(600 * time.Millisecond)
		before := s.log.Appends()
		for i := range wave {
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
		starts := s.starts()
		for i, a := range answers {
			counts[string(a.State)+"/"+a.Run]++
			started := 0
			for n := range 2 {
				started += starts[fmt.Sprintf("tamarind/job-%d/task-%d", i, n)]
			}
			require.Equal(t, a.Run == string(errkind.NotRun), started == 0, "job-%d: %+v, %d starts", i, a, started)
		}
		require.Len(t, counts, 3, "complete, stopped and not run: %v", counts)
		require.Less(t, s.log.Appends()-before, 100, "closes share appends")
		require.NoError(t, e.Stop(ctx))
		s.requireIdle(t)
	})
}

func TestPlannedStopFinishesJobsInFlight(t *testing.T) {
	inSite(t, 1, func(t *testing.T, ctx context.Context, s *site) {
		e := s.entry(ctx, "entry-1")
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
	inSite(t, 1, func(t *testing.T, ctx context.Context, s *site) {
		owner, other := s.entry(ctx, "entry-1"), s.entry(ctx, "entry-2")
		var submits sync.WaitGroup
		for _, name := range []string{"job-1", "job-2"} {
			submits.Go(func() { _, _ = owner.Submit(ctx, jobOf(name, 1, 5000), "d") })
		}
		<-time.After(100 * time.Millisecond)
		answer, err := other.Cancel(ctx, jobs.Key{Customer: "tamarind", Submission: "job-1"})
		require.Nil(t, err)
		require.Equal(t, string(errkind.Cancelled), answer.ErrorKind)
		require.Equal(t, string(errkind.Ran), answer.Run)
		s.cutPeers = true
		_, err = other.Cancel(ctx, jobs.Key{Customer: "tamarind", Submission: "job-2"})
		require.Equal(t, errkind.OwnerUnreachable, err.Kind)
		require.Contains(t, err.Detail, "entry-1")
		submits.Wait()
	})
}
