package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Guards against a task that runs again after it was shown as done: a driver had
// offered it to a host, then read the end of an earlier run in the log, and left
// the offer there.
func TestOfferOfTaskThatIsDoneIsTakenBack(t *testing.T) {
	name := fleet.TaskName{Job: testJob}
	for title, c := range map[string]struct {
		started  bool
		recorded int
		want     bool
	}{
		"an earlier run, the next one offered":    {false, 100, true},
		"an earlier run, the next one started":    {true, 100, true},
		"the run offered, its start not reported": {false, 101, false},
		"the run that was started":                {true, 101, false},
	} {
		t.Run(title, func(t *testing.T) {
			co := coordinatorWithHosts(32)
			job := jobOf(1, 60*time.Millisecond)
			job.BestEffort = false
			co.SubmitStored(epoch, ledger.Drive{Job: job, Route: testRoute, FirstRun: 101})
			offered := actionsOf[Offer](co.PopActions())
			require.Len(t, offered, 1)
			if c.started {
				o := outcome(0, offer.Started, "w-h1", 1)
				o.Run = 101
				co.HandleOutcome(epoch, offered[0].Host, o)
			}
			co.TaskRecorded(epoch, fleet.RunID{Task: name, Run: c.recorded})
			withdrawn := actionsOf[WithdrawTask](co.PopActions())
			if c.want {
				assert.Equal(t, []WithdrawTask{{Host: offered[0].Host, Task: name}}, withdrawn)
			} else {
				assert.Empty(t, withdrawn)
			}
		})
	}
}
