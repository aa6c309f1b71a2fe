package host

import (
	"testing"
	"time"
)

// Guards against a lease that counts from the moment at which the host of a job goes on
// after a standstill: the caller left when the standstill began, and sends the job again
// before the run, whose stops are lost, has lapsed.
func TestResumedHostDoesNotProlongRunsOfCallersThatLeft(t *testing.T) {
	tests := map[string]struct {
		standstill time.Duration
		// local is set if the owner of the worker is the host of the job.
		local bool
	}{
		"shorter than peerTimeout":                    {peerTimeout - 50*time.Millisecond, false},
		"shorter than MaxHostSilence":                 {500 * time.Millisecond, false},
		"shorter than MaxHostSilence, job's own host": {500 * time.Millisecond, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := newReturningFleet(1)
			f.stopsLost = true
			h := f.entry
			if c.local {
				h = f.owner
			}
			j := f.newLongJob(10 * time.Second)
			j.next = f.other
			f.submit(j, h)
			f.run(300 * time.Millisecond)
			f.freeze(h, c.standstill)
			f.after(time.Millisecond, func() { j.leave() })
			f.requireOneRun(t, 1600*time.Millisecond)
		})
	}
}
