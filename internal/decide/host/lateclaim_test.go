package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

// Guards against stored jobs that are pending for good: an owner dropped the claim of a driver
// that it took to have handed the job over, and the driver waited for the run.
func TestEveryClaimIsAnswered(t *testing.T) {
	const late = "claimed before the shard was handed over"
	task := fleet.TaskName{Job: "00000000000000a1"}
	for name, c := range map[string]struct {
		takeover int
		why      string
	}{
		"before the handover":     {2, late},
		"after a later takeover":  {4, "worker released before the claim"},
		"by an older version":     {0, late},
		"of an earlier takeover":  {1, late},
		"under the next takeover": {3, "worker released before the claim"},
	} {
		t.Run(name, func(t *testing.T) {
			core := New(Config{Name: "owner", Zone: "z", MaxLease: testLease, Partitions: 1, Ledger: ledger.Config{Shards: 1, MemberTTL: memberTTL}})
			core.Ledger.Apply(testEpoch, []ledger.Entry{
				ledger.TakenOver{Takeovers: 2, Generation: 1, Host: "driver", Nonce: 5},
				ledger.HandedOver{Takeovers: 2, Generation: 1, Host: "driver", Nonce: 5, Parts: 1},
			})
			core.Reconcile(testEpoch)
			core.Receive(testEpoch, "driver", offer.Claim{Worker: "w", Task: offer.Task{Name: task, NextRun: 8, Stored: true, Takeover: c.takeover, Submission: 6}})
			var answers []offer.Outcome
			for _, a := range core.Reconcile(testEpoch) {
				if s, ok := a.(Send); ok {
					require.Equal(t, "driver", s.Host)
					answers = append(answers, s.Message.(offer.Outcome))
				}
			}
			require.Len(t, answers, 1)
			assert.Equal(t, c.why, answers[0].Why)
			assert.Equal(t, offer.Orphaned, answers[0].Result)
			assert.Equal(t, 7, answers[0].Run)
			assert.Equal(t, int64(6), answers[0].Submission)
			assert.GreaterOrEqual(t, answers[0].MaxRemaining, time.Second, "the run may go on under its lease")
		})
	}
}
