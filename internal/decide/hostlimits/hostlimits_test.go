package hostlimits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against limits that leave no descriptors for the store and the workers.
func TestLimitsFollowTheMachine(t *testing.T) {
	for name, c := range map[string]struct {
		machine Machine
		want    Limits
	}{
		"few descriptors": {Machine{96 << 20, 312}, Limits{CallerConns: 156, PeerConns: 78, ProbeConns: 9, Backlog: 192, BodyBytes: 12 << 20, JobTasks: 3072}},
		"little memory":   {Machine{64 << 20, 3900}, Limits{CallerConns: 256, PeerConns: 128, ProbeConns: 32, Backlog: 128, BodyBytes: 8 << 20, JobTasks: 2048}},
		"unknown":         {Machine{}, Limits{CallerConns: 512, PeerConns: 256, ProbeConns: 32, Backlog: 512, BodyBytes: 32 << 20, JobTasks: 8192}},
		"hardly any":      {Machine{1 << 20, 20}, Limits{CallerConns: 8, PeerConns: 8, ProbeConns: 8, Backlog: 64, BodyBytes: 128 << 10, JobTasks: 1024}},
	} {
		l, err := For(c.machine, Override{})
		require.NoError(t, err, name)
		c.want.BodyGrace, c.want.BodyBytesPerSecond = 15*time.Second, 4096
		assert.Equal(t, c.want, l, name)
	}
}

func TestOverrides(t *testing.T) {
	m := Machine{MemoryBytes: 96 << 20, Descriptors: 312}
	l, err := For(m, Override{CallerConns: 200, BodyBytes: 1 << 20, JobTasks: 500, BodyGrace: time.Minute, BodyBytesPerSecond: 100})
	require.NoError(t, err)
	assert.Equal(t, Limits{
		CallerConns: 200, PeerConns: 78, ProbeConns: 9, Backlog: 192, BodyBytes: 1 << 20, JobTasks: 500,
		BodyGrace: time.Minute, BodyBytesPerSecond: 100,
	}, l)
	for _, n := range []int{-1, 312} {
		_, err = For(m, Override{CallerConns: n})
		require.ErrorContains(t, err, "connections of callers")
	}
	for _, n := range []int64{-1, 48<<20 + 1} {
		_, err = For(m, Override{BodyBytes: n})
		require.ErrorContains(t, err, "request bodies")
	}
	for _, n := range []int{-1, 96<<10 + 1} {
		_, err = For(m, Override{JobTasks: n})
		require.ErrorContains(t, err, "tasks of a job")
	}
	for _, d := range []time.Duration{-1, 10*time.Minute + 1} {
		_, err = For(m, Override{BodyGrace: d})
		require.ErrorContains(t, err, "for a body")
	}
	_, err = For(m, Override{BodyBytesPerSecond: -1})
	require.ErrorContains(t, err, "is negative")
}
