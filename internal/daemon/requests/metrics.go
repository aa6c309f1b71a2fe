package requests

import (
	"expvar"

	"github.com/parsleyhill/parsleyhill/internal/decide/identity"
)

// The service's metrics, each a count by customer or by customer and kind.
var (
	answered = expvar.NewMap("parsleyhill.requests.answered")
	failed   = expvar.NewMap("parsleyhill.requests.failed")
	messages = expvar.NewMap("parsleyhill.requests.extra_messages")
)

// count counts how an arrival ended.
func (s *Service) count(customer string, r identity.Result) {
	messages.Add(customer, int64(r.ExtraMessages))
	if r.Err == nil {
		answered.Add(customer, 1)
		return
	}
	failed.Add(customer+"/"+string(r.Err.Kind)+"/"+string(r.Err.Run), 1)
}
