// Package retry decides whether a request that failed on a backend server may
// be sent again. It does no I/O and reads no clock.
package retry

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	// maxTokens bounds the unused retries that may accumulate.
	maxTokens = 20
	// maxSends bounds the number of sends of one request, the first included.
	maxSends = 4
	// baseDelay is the mean delay before a request's second retry. It doubles
	// with each further one. The first retry goes to another server at once.
	baseDelay = 20 * time.Millisecond
)

// Failure describes a send that got no answer.
type Failure struct {
	ID  string
	Err *errkind.Error
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Sends counts the sends of the request so far, this one included.
	Sends int
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
}

// Verdict is the decision on a failure.
type Verdict struct {
	// Retry is set if the request may be sent again, after Delay.
	Retry bool
	Delay time.Duration
	// Rule names the rule that led to the verdict.
	Rule string
}

// Policy decides on the retries of one customer on one entry host. Retries
// spend tokens that successes refill, so that they stay a fixed share of the
// load when every server refuses or fails.
type Policy struct {
	ratio  float64
	tokens float64
}

// New returns a policy that allows ratio retries for each success. The
// budget starts full.
func New(ratio float64) *Policy { return &Policy{ratio: ratio, tokens: maxTokens} }

// SetRatio changes the number of retries allowed for each success.
func (p *Policy) SetRatio(ratio float64) { p.ratio = ratio }

// RecordSuccess adds the retries that one answered request allows to the
// budget.
func (p *Policy) RecordSuccess() { p.tokens = min(maxTokens, p.tokens+p.ratio) }

// Decide returns the verdict on a failure. A verdict to retry spends one token.
func (p *Policy) Decide(f Failure) Verdict {
	if f.Err.Run != errkind.NotRun && !f.Idempotent {
		return Verdict{Rule: "may-have-run"}
	}
	if f.Err.Kind == errkind.Timeout {
		return Verdict{Rule: "deadline"}
	}
	delay := retryDelay(f)
	switch {
	case delay >= f.Remaining:
		return Verdict{Rule: "deadline"}
	case f.Sends >= maxSends:
		return Verdict{Rule: "sends"}
	case p.tokens < 1:
		return Verdict{Rule: "budget"}
	}
	p.tokens--
	if f.Err.Run == errkind.NotRun {
		return Verdict{Retry: true, Delay: delay, Rule: "not-run"}
	}
	return Verdict{Retry: true, Delay: delay, Rule: "idempotent"}
}

// retryDelay returns a delay between 0.5 and 1.5 times the mean, with jitter
// derived from the request's id. It is 0 before the first retry.
func retryDelay(f Failure) time.Duration {
	if f.Sends <= 1 {
		return 0
	}
	mean := baseDelay << min(f.Sends-2, maxSends)
	h := fnv.New32a()
	// Writing to a hash never returns an error.
	_, _ = h.Write([]byte(f.ID + strconv.Itoa(f.Sends)))
	jitter := time.Duration(h.Sum32() % 1000)
	return mean/2 + mean*jitter/1000
}

// CombineRunStates returns the run state of a request from the run states of two
// of its sends: it ran if either send ran, and did not run only if neither did.
func CombineRunStates(a, b errkind.RunState) errkind.RunState {
	if a == errkind.Ran || b == errkind.Ran {
		return errkind.Ran
	}
	if a == errkind.Unknown || b == errkind.Unknown {
		return errkind.Unknown
	}
	return errkind.NotRun
}
