package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// Guards against answers that are given when the caller has just stopped waiting: each job
// that reached its caller's limit got neither an answer nor a refusal.
func TestJobIsAnsweredWhileItsCallerWaits(t *testing.T) {
	for _, limit := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 20 * time.Second} {
		c := coordinatorWithHosts(32)
		c.Submit(epoch, jobOf(1, 50*time.Millisecond), testRoute, limit)
		offers := actionsOf[Offer](c.PopActions())
		require.Len(t, offers, 1)
		c.HandleOutcome(epoch, offers[0].Host, outcome(0, offer.Started, "w-h1", 1))
		c.Tick(epoch.Add(limit * 9 / 10).Add(-time.Millisecond))
		require.Empty(t, actionsOf[Answer](c.PopActions()), "it may still end in time")
		const tick, wayBack = 20 * time.Millisecond, 5 * time.Millisecond
		c.Tick(epoch.Add(limit - wayBack - min(tick, limit/20)))
		answers := actionsOf[Answer](c.PopActions())
		require.Len(t, answers, 1, "limit %v", limit)
		assert.Equal(t, errkind.Timeout, answers[0].Err.Kind)
		assert.NotContains(t, answers[0].Summary.Why, "stopping")
	}
}
