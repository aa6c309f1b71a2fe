package errkind

import (
	"net/http"

	"connectrpc.com/connect"
)

// Retry is the advice in an error response about sending the work again.
type Retry string

// The retry advice.
const (
	// RetryNever means that the same request would fail again.
	RetryNever Retry = "never"
	// RetrySafe means that nothing was run and a retry may succeed.
	RetrySafe Retry = "safe"
	// RetryIfIdempotent means that the work may have run, so that only an
	// idempotent request may be sent again.
	RetryIfIdempotent Retry = "if_idempotent"
	// RetryAfterLookup means that the outcome must be looked up by id before a
	// retry.
	RetryAfterLookup Retry = "ask"
)

// Response is how one error kind is reported.
type Response struct {
	// HTTPStatus is the HTTP status for callers and operators.
	HTTPStatus int
	// Code is the connect code between entry hosts.
	Code connect.Code
	// Exit is the exit status of the command-line tool.
	Exit int
	// Retry is the default retry advice.
	Retry Retry
	// Run is the default run state. Error.WithRun sets another one where it is
	// known.
	Run RunState
}

var responses = map[Kind]Response{
	BadRequest:          {http.StatusBadRequest, connect.CodeInvalidArgument, 10, RetryNever, NotRun},
	TooLarge:            {http.StatusRequestEntityTooLarge, connect.CodeInvalidArgument, 11, RetryNever, NotRun},
	UnknownCustomer:     {http.StatusNotFound, connect.CodeNotFound, 12, RetryNever, NotRun},
	UnknownSubject:      {http.StatusNotFound, connect.CodeNotFound, 13, RetryNever, NotRun},
	WrongPort:           {http.StatusForbidden, connect.CodePermissionDenied, 14, RetryNever, NotRun},
	DeadlinePassed:      {http.StatusRequestTimeout, connect.CodeDeadlineExceeded, 20, RetrySafe, NotRun},
	Overloaded:          {http.StatusTooManyRequests, connect.CodeResourceExhausted, 21, RetrySafe, NotRun},
	QuotaExceeded:       {http.StatusTooManyRequests, connect.CodeResourceExhausted, 22, RetrySafe, NotRun},
	NoBackend:           {http.StatusServiceUnavailable, connect.CodeUnavailable, 23, RetrySafe, NotRun},
	NotReady:            {http.StatusServiceUnavailable, connect.CodeUnavailable, 24, RetrySafe, NotRun},
	Stopping:            {http.StatusServiceUnavailable, connect.CodeUnavailable, 25, RetrySafe, NotRun},
	Cancelled:           {http.StatusConflict, connect.CodeCanceled, 26, RetryNever, Unknown},
	Timeout:             {http.StatusGatewayTimeout, connect.CodeDeadlineExceeded, 30, RetryIfIdempotent, Unknown},
	BackendLost:         {http.StatusBadGateway, connect.CodeUnavailable, 31, RetryIfIdempotent, Unknown},
	BackendFailed:       {http.StatusBadGateway, connect.CodeAborted, 32, RetryIfIdempotent, Ran},
	BackendRefused:      {http.StatusServiceUnavailable, connect.CodeUnavailable, 33, RetrySafe, NotRun},
	AnswerInvalid:       {http.StatusBadGateway, connect.CodeDataLoss, 34, RetryIfIdempotent, Unknown},
	DuplicateUnresolved: {http.StatusConflict, connect.CodeAborted, 35, RetryAfterLookup, Unknown},
	RequestMismatch:     {http.StatusUnprocessableEntity, connect.CodeInvalidArgument, 36, RetryNever, NotRun},
	TaskUnplaceable:     {http.StatusUnprocessableEntity, connect.CodeFailedPrecondition, 40, RetryNever, NotRun},
	TaskFailed:          {http.StatusBadGateway, connect.CodeAborted, 41, RetryIfIdempotent, Ran},
	TaskUnknown:         {http.StatusBadGateway, connect.CodeUnknown, 42, RetryIfIdempotent, Unknown},
	OwnerLost:           {http.StatusBadGateway, connect.CodeAborted, 43, RetryIfIdempotent, Unknown},
	OwnerUnreachable:    {http.StatusServiceUnavailable, connect.CodeUnavailable, 44, RetryAfterLookup, Unknown},
	LogUnavailable:      {http.StatusServiceUnavailable, connect.CodeUnavailable, 50, RetrySafe, NotRun},
	LogUnknown:          {http.StatusGatewayTimeout, connect.CodeUnknown, 51, RetryAfterLookup, Unknown},
	PlanStale:           {http.StatusConflict, connect.CodeFailedPrecondition, 52, RetryNever, NotRun},
	PlanInvalid:         {http.StatusBadRequest, connect.CodeInvalidArgument, 53, RetryNever, NotRun},
	PlanRejected:        {http.StatusUnprocessableEntity, connect.CodeFailedPrecondition, 54, RetryNever, NotRun},
	PeerUnreachable:     {http.StatusServiceUnavailable, connect.CodeUnavailable, 55, RetryAfterLookup, Unknown},
	Internal:            {http.StatusInternalServerError, connect.CodeInternal, 60, RetryAfterLookup, Unknown},
}

// Lookup returns the response for kind. An unknown kind gets the response for
// Internal.
func Lookup(kind Kind) Response {
	response, ok := responses[kind]
	if !ok {
		return responses[Internal]
	}
	return response
}

// All returns every kind in the table, in no particular order.
func All() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	return kinds
}
