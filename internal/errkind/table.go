package errkind

import (
	"net/http"

	"connectrpc.com/connect"
)

// Retry is the advice that an answer gives about sending the work again.
type Retry string

// The retry advice.
const (
	// RetryNever means that the same request fails again.
	RetryNever Retry = "never"
	// RetrySafe means that nothing was run and a retry may succeed.
	RetrySafe Retry = "safe"
	// RetryIfIdempotent means that only an idempotent request may be sent again.
	RetryIfIdempotent Retry = "if_idempotent"
	// RetryAsk means that the outcome has to be looked up by id first.
	RetryAfterLookup Retry = "ask"
)

// Row is the answer for one error kind.
type Response struct {
	// HTTPStatus is the status for callers and operators.
	HTTPStatus int
	// Code is the connect code between entry hosts.
	Code connect.Code
	// Exit is the exit status of the command-line tool.
	Exit int
	// Retry is the advice to the sender.
	Retry Retry
	// Run is the run state unless the error carries proof of another.
	Run RunState
}

var table = map[Kind]Response{
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

// Lookup returns the row of kind. A kind outside the list gets Internal's row.
func Lookup(kind Kind) Response {
	row, ok := table[kind]
	if !ok {
		return table[Internal]
	}
	return row
}

// All returns every kind that has a row.
func All() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}
