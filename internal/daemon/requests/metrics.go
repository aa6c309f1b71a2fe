package requests

import (
	"expvar"

	"github.com/parsleyhill/parsleyhill/internal/decide/identity"
)

// The metrics of the service. Answers and extra messages are counted by
// customer, failures by customer, error kind and run state.
var (
	answered = expvar.NewMap("parsleyhill.requests.answered")
	failed   = expvar.NewMap("parsleyhill.requests.failed")
	messages = expvar.NewMap("parsleyhill.requests.extra_messages")
)

// countResult updates the metrics with the result of one arrival.
func (s *Service) countResult(customer string, r identity.Result) {
	messages.Add(customer, int64(r.ExtraMessages))
	if r.Err == nil {
		answered.Add(customer, 1)
		return
	}
	failed.Add(customer+"/"+string(r.Err.Kind)+"/"+string(r.Err.Run), 1)
}
