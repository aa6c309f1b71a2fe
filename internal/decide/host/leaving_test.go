package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Guards against tasks that wait at a stopping host until its streams end: they are
// offered while the report that it leaves is under way, after it has returned its queue.
func TestOfferThatMeetsAPlannedStopIsReturned(t *testing.T) {
	now := time.Unix(0, 0)
	c := newIdleHost()
	c.Leave(now, now.Add(5*time.Second))
	task := fleet.TaskName{Job: "00000000000000a1"}
	c.Receive(now, "host-1", Offers{Tasks: []offer.Task{{
		Name: task, Service: "s", Size: fleet.Size{MilliCPU: 500},
		StartBy: now.Add(time.Second), Deadline: now.Add(10 * time.Second),
	}}})
	now = now.Add(20 * time.Millisecond)
	c.Tick(now)
	var outcomes []offer.Outcome
	for _, a := range c.Reconcile(now) {
		if s, ok := a.(Send); ok && s.Host == "host-1" {
			if o, ok := s.Message.(offer.Outcome); ok {
				outcomes = append(outcomes, o)
			}
		}
	}
	require.Len(t, outcomes, 1, "the task is returned to the host of its job")
	require.Equal(t, offer.Returned, outcomes[0].Result)
	require.Equal(t, task, outcomes[0].Task)
	require.Zero(t, c.Pool.QueueLength())
}
