package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A host whose processor is slow reports that it gives its work to the others of its
// zone, and again when it takes it up.
func TestSaturatedHostGivesItsWorkToOthers(t *testing.T) {
	c, now, _ := costHost(t, 29)
	var changes []YieldChanged
	for at := time.Duration(0); at < 4*time.Second; at += 20 * time.Millisecond {
		if !c.Yielding() {
			for range 16 {
				c.Flow.LoopDelayed(now.Add(at), 100*time.Millisecond)
			}
		}
		c.Tick(now.Add(at))
		for _, a := range c.Reconcile(now.Add(at)) {
			if change, ok := a.(YieldChanged); ok {
				changes = append(changes, change)
				assert.Equal(t, change.Active, c.Report(now.Add(at)).Saturated)
			}
		}
	}
	require.Len(t, changes, 2)
	assert.Equal(t, YieldChanged{Active: true, For: 2 * time.Second, Others: 4}, changes[0])
	assert.False(t, changes[1].Active)
}
