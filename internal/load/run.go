package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	// initialRetryDelay is the delay before the second attempt; it doubles with
	// each further attempt.
	initialRetryDelay = 100 * time.Millisecond
	// maxRetryDelay limits the exponential delay before an attempt.
	maxRetryDelay = 5 * time.Second
)

// Attempt is one send of a request.
type Attempt struct {
	Arrival
	// Number counts the sends of the request from 1.
	Number int
	// AttemptHeader is the attempt number to send in the header: 1 plus the
	// number of earlier sends that may have run.
	AttemptHeader int
	// Target is the index of the entry host to send to.
	Target int
	// Deadline is the time remaining until the caller stops waiting.
	Deadline time.Duration
}

// Outcome is the result of an attempt.
type Outcome struct {
	// Err is nil if the attempt was answered.
	Err *errkind.Error
	// RetryAfter is the delay that a refusal asks for, or 0.
	RetryAfter time.Duration
	// ExtraMessages counts the messages beyond the two that a request needs.
	ExtraMessages int64
	// Crossed is set if the answer belongs to another request.
	Crossed bool
}

// Sender sends one attempt and waits for its outcome.
type Sender interface {
	Send(ctx context.Context, a Attempt) Outcome
}

// Options control the attempts of each request.
type Options struct {
	// Attempts is the maximum number of attempts for a request.
	Attempts int
	// Deadline is how long a caller waits for the answer, counted from the
	// arrival and over all attempts.
	Deadline time.Duration
	// RoundTrip is the network time of an ideal answer.
	RoundTrip time.Duration
}

// Run sends the requests of the workload through the sender and returns the
// results. It sends no further requests once ctx ends, and returns when every
// request that was sent has ended.
func Run(ctx context.Context, w Workload, o Options, sender Sender) Report {
	r := &runner{workload: w, options: o, sender: sender, started: time.Now(), collector: newCollector()}
	schedule := NewSchedule(w)
	for {
		a, ok := schedule.Next()
		if !ok || !sleep(ctx, time.Until(r.started.Add(a.At))) {
			break
		}
		r.requests.Go(func() { r.sendWithRetries(ctx, a) })
	}
	r.requests.Wait()
	return r.collector.report(w, time.Since(r.started))
}

type runner struct {
	workload  Workload
	options   Options
	sender    Sender
	started   time.Time
	collector *collector
	requests  sync.WaitGroup
}

// sendWithRetries sends one request until it is answered, must not be sent
// again, has used up its attempts, or its deadline has passed. Times are measured
// from when the request was due, so that the lag of a slow generator counts as
// waiting time.
func (r *runner) sendWithRetries(ctx context.Context, a Arrival) {
	due := r.started.Add(a.At)
	r.collector.recordOffered(a, time.Since(due))
	rng := rand.New(rand.NewPCG(r.workload.Seed, uint64(a.At)))
	attemptHeader := 1
	for number := 1; ; number++ {
		remaining := r.options.Deadline - time.Since(due)
		target := (a.Target + number - 1) % r.workload.Targets
		out := r.sender.Send(ctx, Attempt{Arrival: a, Number: number, AttemptHeader: attemptHeader, Target: target, Deadline: remaining})
		r.collector.recordAttempt(a, out)
		if out.Err != nil && out.Err.Run != errkind.NotRun {
			attemptHeader++
		}
		delay := retryDelay(rng, number, out)
		remaining = r.options.Deadline - time.Since(due) - delay
		if out.Err == nil || number == r.options.Attempts || !mayRetry(a, out.Err) || remaining <= 0 || !sleep(ctx, delay) {
			r.collector.recordEnd(a, out, time.Since(due), r.options.RoundTrip)
			return
		}
	}
}

// mayRetry reports whether a caller may send the request again after err. This
// is safe after an unknown outcome, because a request whose attempt number is
// above 1 either joins the earlier one or is refused.
func mayRetry(a Arrival, err *errkind.Error) bool {
	switch {
	case err.Retry() == errkind.RetryNever:
		return false
	case err.Run == errkind.Ran:
		return a.Idempotent
	default:
		return true
	}
}

// retryDelay returns the delay after the given attempt. It doubles with each
// attempt, its upper half is random, and it is at least the delay that the answer
// asks for.
func retryDelay(rng *rand.Rand, number int, out Outcome) time.Duration {
	delay := min(initialRetryDelay<<min(number-1, 10), maxRetryDelay)
	delay = delay/2 + time.Duration(rng.Float64()*float64(delay)/2)
	return max(delay, out.RetryAfter)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
