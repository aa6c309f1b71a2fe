// Package errkind holds the closed list of error kinds and the table from a
// kind to the answer that callers, peers and operators receive.
package errkind

import (
	"errors"
	"fmt"
)

// Kind names one class of failure. The zero value is not a valid kind.
type Kind string

// The closed list of error kinds.
const (
	BadRequest          Kind = "bad_request"
	TooLarge            Kind = "too_large"
	UnknownCustomer     Kind = "unknown_customer"
	UnknownSubject      Kind = "unknown_subject"
	WrongPort           Kind = "wrong_port"
	DeadlinePassed      Kind = "deadline_passed"
	Overloaded          Kind = "overloaded"
	QuotaExceeded       Kind = "quota_exceeded"
	NoBackend           Kind = "no_backend"
	NotReady            Kind = "not_ready"
	Stopping            Kind = "stopping"
	Cancelled           Kind = "cancelled"
	Timeout             Kind = "timeout"
	BackendLost         Kind = "backend_lost"
	BackendFailed       Kind = "backend_failed"
	BackendRefused      Kind = "backend_refused"
	AnswerInvalid       Kind = "answer_invalid"
	DuplicateUnresolved Kind = "duplicate_unresolved"
	RequestMismatch     Kind = "request_mismatch"
	TaskUnplaceable     Kind = "task_unplaceable"
	TaskFailed          Kind = "task_failed"
	TaskUnknown         Kind = "task_unknown"
	OwnerLost           Kind = "owner_lost"
	OwnerUnreachable    Kind = "owner_unreachable"
	LogUnavailable      Kind = "log_unavailable"
	LogUnknown          Kind = "log_unknown"
	PlanStale           Kind = "plan_stale"
	PlanInvalid         Kind = "plan_invalid"
	PlanRejected        Kind = "plan_rejected"
	PeerUnreachable     Kind = "peer_unreachable"
	Internal            Kind = "internal"
)

// RunState says whether the work behind an error was run.
type RunState string

// The run states. NotRun is only used with proof that the work never started.
const (
	NotRun  RunState = "not_run"
	Unknown RunState = "unknown"
	Ran     RunState = "ran"
)

// Error is a failure of a known kind.
type Error struct {
	// Kind is the class of the failure.
	Kind Kind
	// Run says whether the work was run.
	Run RunState
	// Detail is a short sentence for people.
	Detail string
	// Err is the cause, or nil.
	Err error
}

// New returns an error of kind with the run state that the table gives it.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Run: Lookup(kind).Run, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind that keeps err as its cause.
func Wrap(kind Kind, err error, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.Err = err
	return e
}

// WithRun returns a copy of e with another run state.
func (e *Error) WithRun(run RunState) *Error {
	c := *e
	c.Run = run
	return &c
}

// Retry returns the advice about sending the work again. Proof that it was not
// run makes a retry safe, and without proof none is.
func (e *Error) Retry() Retry {
	advice := Lookup(e.Kind).Retry
	switch {
	case advice == RetryNever:
		return RetryNever
	case e.Run == NotRun:
		return RetrySafe
	case advice == RetrySafe:
		return RetryAfterLookup
	default:
		return advice
	}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Err)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// From returns err as an *Error. An error of no known kind becomes Internal
// with run state Unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unexpected error")
}
