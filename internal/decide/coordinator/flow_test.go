package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/flow"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// Jobs beyond what a saturated host can start are refused on arrival, before
// anything is sent; the first ones are admitted, so that the rate is measured.
func TestSaturatedHostRefusesBeforeAnythingIsSent(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.cfg.Flow = &flow.Limiter{}
	c.cfg.Flow.Answered(epoch, time.Millisecond)
	for range 16 {
		c.cfg.Flow.Answered(epoch, 60*time.Millisecond)
	}
	c.cfg.Flow.Tick(epoch, 0)
	require.True(t, c.cfg.Flow.Saturated())
	offered, refused := 0, 0
	for i := range 20 {
		job := jobOf(1, 60*time.Millisecond)
		job.ID = fmt.Sprintf("%016x", i)
		c.Submit(epoch, job, testRoute, 0)
		actions := c.PopActions()
		offered += len(actionsOf[Offer](actions))
		for _, a := range actionsOf[Answer](actions) {
			refused++
			assert.Equal(t, errkind.Overloaded, a.Err.Kind)
			assert.Len(t, actions, 1, "something was sent for a refused job")
		}
	}
	assert.Positive(t, offered)
	assert.GreaterOrEqual(t, refused, 15)
}

// Orders of a saturated host wait for its link, whatever capacity it reports.
func TestSaturatedPeerIsOfferedOnlyWhatOthersCannotTake(t *testing.T) {
	c := coordinatorWithHosts(32)
	c.cfg.Flow = &flow.Limiter{}
	report := reportOf("w-h1", 32)
	report.Saturated = true
	c.UpdateHost(epoch, "h1", "z", report)
	c.Submit(epoch, jobOf(2, 60*time.Millisecond), testRoute, 0)
	offers := actionsOf[Offer](c.PopActions())
	require.Len(t, offers, 1)
	assert.Equal(t, "h2", offers[0].Host)
}
