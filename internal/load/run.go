package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	// firstDelay is the delay before the second attempt; it doubles with each
	// further one.
	firstDelay = 100 * time.Millisecond
	// maxDelay bounds the delay before an attempt.
	maxDelay = 5 * time.Second
)

// Attempt is one send of a request.
type Attempt struct {
	Arrival
	// Number counts the sends of the request from 1.
	Number int
	// Mark is the attempt number to send: 1 and the number of earlier sends
	// that were not proved not to have run.
	AttemptHeader int
	// Target is the index of the entry host.
	Target int
	// Deadline is the time left for the answer.
	Deadline time.Duration
}

// Outcome is the end of an attempt.
type Outcome struct {
	// Err is nil after an answer.
	Err *errkind.Error
	// RetryAfter is the delay that a refusal asks for, or 0.
	RetryAfter time.Duration
	// ExtraMessages counts the messages beyond the two that are needed.
	ExtraMessages int64
	// Crossed is set if the answer belongs to another request.
	Crossed bool
}

// Sender sends one attempt and waits for its end.
type Sender interface {
	Send(ctx context.Context, a Attempt) Outcome
}

// Options say how a run treats each request.
type Options struct {
	// Attempts is the largest number of sends of a request.
	Attempts int
	// Deadline is the time that a caller waits for the answer, from the
	// arrival on, over all attempts.
	Deadline time.Duration
	// RoundTrip is the time that an ideal answer spends on the network.
	RoundTrip time.Duration
}

// Run offers the plan's requests to the sender and returns what was seen. It
// ends when every request has ended, or with the requests that have ended when
// ctx does.
func Run(ctx context.Context, p Workload, o Options, sender Sender) Report {
	r := &runner{plan: p, options: o, sender: sender, started: time.Now(), seen: newCollector()}
	schedule := NewSchedule(p)
	for {
		a, ok := schedule.Next()
		if !ok || !sleep(ctx, time.Until(r.started.Add(a.At))) {
			break
		}
		r.requests.Go(func() { r.request(ctx, a) })
	}
	r.requests.Wait()
	return r.seen.report(p, time.Since(r.started))
}

type runner struct {
	plan     Workload
	options  Options
	sender   Sender
	started  time.Time
	seen     *collector
	requests sync.WaitGroup
}

// request sends one request until it has an answer, may not be sent again, or
// its deadline has passed. Times count from when it was due, so that a slow
// generator hides no wait.
func (r *runner) request(ctx context.Context, a Arrival) {
	due := r.started.Add(a.At)
	r.seen.offered(a, time.Since(due))
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(a.At)))
	mark := 1
	for number := 1; ; number++ {
		left := r.options.Deadline - time.Since(due)
		target := (a.Target + number - 1) % r.plan.Targets
		out := r.sender.Send(ctx, Attempt{Arrival: a, Number: number, AttemptHeader: mark, Target: target, Deadline: left})
		r.seen.attempt(a, out)
		if out.Err != nil && out.Err.Run != errkind.NotRun {
			mark++
		}
		delay := retryDelay(rng, number, out)
		left = r.options.Deadline - time.Since(due) - delay
		if out.Err == nil || number == r.options.Attempts || !mayRetry(a, out.Err) || left <= 0 || !sleep(ctx, delay) {
			r.seen.ended(a, out, time.Since(due), r.options.RoundTrip)
			return
		}
	}
}

// mayRetry reports whether a caller may send the request again. A marked
// attempt after an unknown outcome is safe: it joins or is refused.
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

// retryDelay doubles with each attempt, with a random part of a half, and is
// no less than the answer asks for.
func retryDelay(rng *rand.Rand, number int, out Outcome) time.Duration {
	delay := min(firstDelay<<min(number-1, 10), maxDelay)
	delay = delay/2 + time.Duration(rng.Float64()*float64(delay)/2)
	return max(delay, out.RetryAfter)
}

// sleep waits for d and returns false if ctx ends first.
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
