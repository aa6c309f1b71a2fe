package identity

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// A later attempt of an idempotent request that waited in vain at this host was answered
// as not run, although an earlier attempt had run at another host.
func TestLaterAttemptOfAnIdempotentRequestIsNotKnownNotToHaveRun(t *testing.T) {
	refused := Result{Err: errkind.New(errkind.DeadlinePassed, "waited in vain")}
	for name, c := range map[string]struct {
		arrival Arrival
		result  Result
		want    errkind.RunState
	}{
		"first attempt":                 {Arrival{FirstAttempt: true, Idempotent: true}, refused, errkind.NotRun},
		"later attempt":                 {Arrival{Idempotent: true}, refused, errkind.Unknown},
		"later attempt, not repeatable": {Arrival{}, refused, errkind.NotRun},
		"later attempt that ran":        {Arrival{Idempotent: true}, Result{Err: refused.Err.WithRun(errkind.Ran)}, errkind.Ran},
	} {
		assert.Equal(t, c.want, c.arrival.ResultFor(c.result).Err.Run, name)
	}
	assert.Nil(t, Arrival{Idempotent: true}.ResultFor(Result{}).Err)
	assert.Equal(t, errkind.NotRun, refused.Err.Run, "the result of the other arrivals stays")
}
