package appendgate

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against submissions that are sent into an outage one after the other, so
// that none of them is known not to be accepted.
func TestOnlyOneSubmissionProbesALogThatIsAway(t *testing.T) {
	var g Gate
	for range awayAfter {
		assert.True(t, g.MayWait(3))
		g.Sent()
		g.Failed()
	}
	assert.True(t, g.Away())
	assert.True(t, g.MayWait(0), "nothing else is sent that would show the end of the outage")
	assert.False(t, g.MayWait(1), "a waiting append shows it")
	g.Sent()
	assert.False(t, g.MayWait(0), "an append in flight shows it")
	g.Succeeded()
	assert.False(t, g.Away())
	assert.True(t, g.MayWait(5))
}

// Guards against refusals while single answers of the store are lost.
func TestSingleLostAnswersRefuseNothing(t *testing.T) {
	var g Gate
	for range 10 {
		g.Sent()
		assert.False(t, g.Failed())
		assert.True(t, g.MayWait(1))
		g.Sent()
		g.Succeeded()
	}
}
