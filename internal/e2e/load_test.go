//go:build e2e

package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	requestDeadline = 3 * time.Second
	jobDeadline     = 6 * time.Second
	maxAttempts     = 3
)

// outcome is what a caller knows about one request after its last attempt.
type outcome struct {
	id         string
	idempotent bool
	answered   bool
	// crossed is set if an answer belonged to another request.
	mismatched bool
	// run is the run state of the last failed attempt.
	run  errkind.RunState
	kind errkind.Kind
}

// jobOutcome is what a caller knows about one job.
type jobOutcome struct {
	submission string
	tasks      int
	answers    []callerapi.JobAnswer
}

// load generates a seeded open-loop load over all entry hosts and collects the
// outcomes.
type load struct {
	fleet  *fleet
	client *http.Client

	mu       sync.Mutex
	requests []outcome
	jobs     []jobOutcome
	wg       sync.WaitGroup
}

func newLoad(f *fleet) *load {
	return &load{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// run sends requests and jobs until ctx is done, then waits for the answers.
func (l *load) run(ctx context.Context, seed uint64, perSecond, jobsPerSecond float64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	requests, jobs := 0, 0
	nextRequest, nextJob := time.Now(), time.Now()
	for ctx.Err() == nil {
		if time.Now().After(nextRequest) {
			l.spawnRequest(rng, fmt.Sprintf("req-%d-%d", seed, requests))
			requests++
			nextRequest = nextRequest.Add(arrivalInterval(rng, perSecond))
		}
		if time.Now().After(nextJob) {
			l.spawnJob(rng, fmt.Sprintf("job-%d-%d", seed, jobs))
			jobs++
			nextJob = nextJob.Add(arrivalInterval(rng, jobsPerSecond))
		}
		next := nextRequest
		if nextJob.Before(next) {
			next = nextJob
		}
		pause(ctx, time.Until(next))
	}
	l.wg.Wait()
}

func arrivalInterval(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

// shuffledEntries returns all entry hosts in random order.
func (l *load) shuffledEntries(rng *rand.Rand) []*entryHost {
	order := make([]*entryHost, len(l.fleet.entries))
	for i, n := range rng.Perm(len(order)) {
		order[i] = l.fleet.entries[n]
	}
	return order
}

func (l *load) spawnRequest(rng *rand.Rand, id string) {
	order := l.shuffledEntries(rng)
	body := fmt.Sprintf(`{"run_ms": %d}`, 50+rng.IntN(250))
	o := outcome{id: id, idempotent: rng.IntN(4) == 0}
	l.wg.Go(func() {
		l.send(&o, order, body)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.requests = append(l.requests, o)
	})
}

// send tries entry hosts in order without a delay until one answers or
// maxAttempts of them have been reached. The attempt number grows only after an
// attempt that may have run.
func (l *load) send(o *outcome, order []*entryHost, body string) {
	reached, attempt := 0, 1
	for _, e := range order {
		if reached == maxAttempts {
			return
		}
		if l.attempt(o, e, body, attempt) {
			reached++
			if o.run != errkind.NotRun {
				attempt++
			}
		}
		if o.answered {
			return
		}
	}
}

// attempt sends the request once and reports whether the entry host may have
// received it.
func (l *load) attempt(o *outcome, e *entryHost, body string, attempt int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+callerapi.PathRequests, io.MultiReader(bytes.NewReader([]byte(body))))
	if err != nil {
		return false
	}
	req.Header.Set(callerapi.HeaderCustomer, "tamarind")
	req.Header.Set(callerapi.HeaderRequestID, o.id)
	req.Header.Set(callerapi.HeaderAttempt, strconv.Itoa(attempt))
	req.Header.Set(callerapi.HeaderIdempotent, strconv.FormatBool(o.idempotent))
	req.Header.Set(callerapi.HeaderDeadline, strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	resp, err := l.client.Do(req)
	if err != nil {
		o.run, o.kind = errkind.Unknown, errkind.PeerUnreachable
		var op *net.OpError
		return !errors.As(err, &op) || op.Op != "dial"
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		o.run, o.kind = errkind.Unknown, errkind.AnswerInvalid
		return true
	}
	o.parse(resp.StatusCode, data)
	return true
}

func (o *outcome) parse(status int, data []byte) {
	if status == http.StatusOK {
		var answer struct {
			Request string `json:"request"`
		}
		o.mismatched = json.Unmarshal(data, &answer) != nil || answer.Request != o.id
		o.answered = true
		return
	}
	var doc errkind.Document
	if json.Unmarshal(data, &doc) != nil || doc.Run == "" {
		o.run, o.kind = errkind.Unknown, errkind.Internal
		return
	}
	o.run, o.kind = doc.Run, doc.Kind
}

// spawnJob submits a job to one or two entry hosts at once. The second
// submission stands for a caller that submits again before its first submission
// is answered.
func (l *load) spawnJob(rng *rand.Rand, submission string) {
	order := l.shuffledEntries(rng)
	job := callerapi.Job{Submission: submission, Customer: "tamarind", DeadlineMs: jobDeadline.Milliseconds()}
	for i := range 5 + rng.IntN(20) {
		payload := fmt.Appendf(nil, `{"run_ms": %d}`, 50+rng.IntN(400))
		job.Tasks = append(job.Tasks, callerapi.Task{Name: fmt.Sprintf("t%d", i), Cores: 1 + rng.IntN(3), MemoryMB: 512, Payload: payload})
	}
	copies := 1 + rng.IntN(2)
	l.wg.Go(func() {
		o := jobOutcome{submission: submission, tasks: len(job.Tasks)}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range copies {
			wg.Go(func() {
				answer, ok := l.submit(order[i], job)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					o.answers = append(o.answers, answer)
				}
			})
		}
		wg.Wait()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.jobs = append(l.jobs, o)
	})
}

func (l *load) submit(e *entryHost, job callerapi.Job) (callerapi.JobAnswer, bool) {
	var answer callerapi.JobAnswer
	body, err := json.Marshal(job)
	if err != nil {
		return answer, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), jobDeadline+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+callerapi.PathJobs, io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		return answer, false
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return answer, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, false
	}
	return answer, json.NewDecoder(resp.Body).Decode(&answer) == nil
}
