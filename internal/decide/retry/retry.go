// Package retry decides whether a request that failed on one backend server
// may be sent again. It is pure.
package retry

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

const (
	// burst is the number of retries that may be saved up.
	burst = 20
	// maxSends bounds how often one request is sent.
	maxSends = 4
	// baseDelay is the mean delay of a request's second retry; it doubles with
	// each one. The first retry goes to another server at once.
	baseDelay = 20 * time.Millisecond
)

// Failure is a send that gave no answer.
type Failure struct {
	ID  string
	Err *errkind.Error
	// Idempotent requests may run again.
	Idempotent bool
	// Sends counts the sends of the request so far, this one included.
	Sends int
	// Left is the time to the request's deadline.
	Remaining time.Duration
}

// Verdict is the decision on a failure.
type Verdict struct {
	// Again is set if the request may be sent again, after Delay.
	Retry bool
	Delay time.Duration
	// Rule names the rule that decided.
	Rule string
}

// Policy decides on the retries of one customer on one entry host. Retries
// are paid for by successes, so that they stay a fixed part of the load when
// every server refuses or fails.
type Policy struct {
	ratio  float64
	tokens float64
}

// New returns a policy that allows ratio retries for each success.
func New(ratio float64) *Policy { return &Policy{ratio: ratio, tokens: burst} }

// SetRatio changes the number of retries allowed for each success.
func (p *Policy) SetRatio(ratio float64) { p.ratio = ratio }

// Success takes an answered request.
func (p *Policy) RecordSuccess() { p.tokens = min(burst, p.tokens+p.ratio) }

// Decide takes a failure. A verdict to send again spends one retry.
func (p *Policy) Decide(f Failure) Verdict {
	if f.Err.Run != errkind.NotRun && !f.Idempotent {
		return Verdict{Rule: "may-have-run"}
	}
	if f.Err.Kind == errkind.Timeout {
		return Verdict{Rule: "deadline"}
	}
	delay := delay(f)
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

// delay is between half and one and a half of the mean, spread by the id.
func delay(f Failure) time.Duration {
	if f.Sends <= 1 {
		return 0
	}
	mean := baseDelay << min(f.Sends-2, maxSends)
	h := fnv.New32a()
	// A hash never fails to take bytes.
	_, _ = h.Write([]byte(f.ID + strconv.Itoa(f.Sends)))
	part := time.Duration(h.Sum32() % 1000)
	return mean/2 + mean*part/1000
}

// Worst returns what is known of a request after several sends: it ran if any
// of them did, and did not run only if none did.
func CombineRunStates(a, b errkind.RunState) errkind.RunState {
	if a == errkind.Ran || b == errkind.Ran {
		return errkind.Ran
	}
	if a == errkind.Unknown || b == errkind.Unknown {
		return errkind.Unknown
	}
	return errkind.NotRun
}
