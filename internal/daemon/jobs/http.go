package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/jobs"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/httpjson"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

// digestBytes is the length of a job's digest before hex encoding, in bytes.
const digestBytes = 16

// Routes adds the callers' paths to mux.
func (s *Service) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+callerapi.PathJobs, s.serveSubmit)
	mux.HandleFunc("GET "+callerapi.PathJobs+"/{customer}/{submission}", s.serveGet)
	mux.HandleFunc("POST "+callerapi.PathJobs+"/{customer}/{submission}/cancel", s.serveCancel)
}

func (s *Service) serveSubmit(w http.ResponseWriter, r *http.Request) {
	job, err := s.parseJob(w, r)
	if err != nil {
		errkind.Write(w, job.Submission, err, 0)
		return
	}
	answer, err := s.Submit(r.Context(), job, jobDigest(job))
	if err != nil {
		errkind.Write(w, job.Submission, err, retryAfter(err))
		return
	}
	httpjson.Write(w, http.StatusOK, answer)
}

// refusedRetryAfter is the delay after which the caller of a refused job may retry.
// Jobs are refused while all workers are in evacuated zones, which operators readmit
// by hand, so that a shorter delay only causes more refusals.
const refusedRetryAfter = 3 * time.Second

func retryAfter(err *errkind.Error) time.Duration {
	if err.Kind == errkind.Overloaded {
		return refusedRetryAfter
	}
	return 0
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	k := jobs.Key{Customer: r.PathValue("customer"), Submission: r.PathValue("submission")}
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	answer, err := s.Wait(r.Context(), k, time.Duration(waitMs)*time.Millisecond)
	if err != nil {
		errkind.Write(w, k.Submission, err, 0)
		return
	}
	httpjson.Write(w, http.StatusOK, answer)
}

func (s *Service) serveCancel(w http.ResponseWriter, r *http.Request) {
	k := jobs.Key{Customer: r.PathValue("customer"), Submission: r.PathValue("submission")}
	answer, err := s.Cancel(r.Context(), k)
	if err != nil {
		errkind.Write(w, k.Submission, err, 0)
		return
	}
	httpjson.Write(w, http.StatusOK, answer)
}

// jobDigest returns a digest of the job's content. It leaves out the attempt and
// the deadline, which may differ between arrivals of the same submission.
func jobDigest(job callerapi.Job) string {
	job.Attempt, job.DeadlineMs = 0, 0
	// Encoding cannot fail for a job that was decoded from JSON.
	data, _ := json.Marshal(job)
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:digestBytes])
}

// parseJob reads and validates a job and sets its defaults. It bounds the
// deadline by the customer's limit. It returns what it has read of the job also
// with an error.
func (s *Service) parseJob(w http.ResponseWriter, r *http.Request) (callerapi.Job, *errkind.Error) {
	var job callerapi.Job
	limits := s.deps.Settings.Limits
	if err := httpjson.ReadStrict(w, r, limits.JobBytes, &job); err != nil {
		return job, err
	}
	state := s.deps.View.State()
	if state == nil {
		return job, errkind.New(errkind.NotReady, "no configuration yet")
	}
	rules, ok := state.Customers[job.Customer]
	switch {
	case !ok:
		return job, errkind.New(errkind.UnknownCustomer, "no customer %q", job.Customer)
	case len(job.Tasks) == 0 || len(job.Tasks) > limits.TasksPerJob:
		return job, errkind.New(errkind.BadRequest, "a job has 1 to %d tasks, this one has %d", limits.TasksPerJob, len(job.Tasks))
	case job.Attempt < 0:
		return job, errkind.New(errkind.BadRequest, "attempt %d is less than 0", job.Attempt)
	case job.DeadlineMs < 0:
		return job, errkind.New(errkind.DeadlinePassed, "the deadline passed: deadline_ms is %d", job.DeadlineMs)
	}
	if job.Submission == "" {
		job.Submission = ids.NewRequestID(s.deps.Incarnation)
	}
	rules = rules.WithDefaults()
	if job.DeadlineMs == 0 {
		job.DeadlineMs = rules.DeadlineMs
	}
	job.DeadlineMs = min(job.DeadlineMs, rules.MaxDeadlineMs)
	return job, checkTasks(job)
}

func checkTasks(job callerapi.Job) *errkind.Error {
	names := make(map[string]bool, len(job.Tasks))
	for _, t := range job.Tasks {
		switch {
		case t.Name == "":
			return errkind.New(errkind.BadRequest, "a task has no name")
		case names[t.Name]:
			return errkind.New(errkind.BadRequest, "two tasks are named %q", t.Name)
		case t.Cores < 0 || t.MemoryMB < 0 || t.Accelerators < 0 || t.RunMs < 0:
			return errkind.New(errkind.BadRequest, "task %q has a negative resource request or run time", t.Name)
		}
		names[t.Name] = true
	}
	return nil
}
