package recovery

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// A dialer that reads a stale entry reaches the new process. The entry follows
// later and must not end the stream; the entry of a further restart must.
func TestStreamOutlivesLateEntryButNotRestart(t *testing.T) {
	entry := func(incarnation string) fleet.Host {
		return fleet.Host{Name: "b", Zone: "z", Address: "b:3", Incarnation: incarnation}
	}
	moved := entry("new")
	moved.Address = "b:4"
	var s Stream
	assert.False(t, s.Keep(entry("old"), entry("new")), "no process has answered")
	s.Answered(entry("old"), "new")
	assert.True(t, s.Keep(entry("old"), entry("new")), "late entry")
	assert.True(t, s.Keep(entry("new"), entry("old")), "delayed read of the store")
	assert.False(t, s.Keep(entry("new"), entry("newest")), "restarted again")
	assert.False(t, s.Keep(entry("old"), moved), "other address")
	s.Ended()
	assert.False(t, s.Keep(entry("old"), entry("new")), "stream has ended")
	s.Answered(entry("old"), "")
	assert.False(t, s.Keep(entry("old"), entry("new")), "peer of an older version without incarnation")
}
