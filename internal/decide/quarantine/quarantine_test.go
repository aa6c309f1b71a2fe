package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

var epoch = time.Unix(1000, 0)

// registry is a Registry of at most one worker.
type registry struct {
	worker  fleet.Worker
	heardAt time.Time
}

func (r registry) Worker(id string) (fleet.Worker, time.Time, bool) {
	return r.worker, r.heardAt, r.worker.ID == id
}

func (r registry) WorkerAt(address string) string {
	if r.worker.Address == address {
		return r.worker.ID
	}
	return ""
}

func historyOf(losses ...Loss) *History {
	h := &History{}
	for i, l := range losses {
		l.Run, l.Worker, l.Address, l.StartTime = i+1, "w", "a", 5
		h.Add(epoch, l)
	}
	return h
}

func TestVerdict(t *testing.T) {
	crash, neighbor := Loss{Fate: Crashed}, Loss{Fate: Crashed, Bystander: true}
	alone, silent, cut := Loss{Fate: Crashed, Alone: true}, Loss{}, Loss{Fate: Survived, Alone: true}
	orphan := Loss{Orphaned: true}
	unanswered := Loss{Fate: Crashed, Alone: true, Unconfirmed: true}
	for name, c := range map[string]struct {
		losses []Loss
		want   Verdict
	}{
		"no loss":                               {nil, Unrestricted},
		"one worker that does not answer":       {[]Loss{silent}, Unrestricted},
		"one crash":                             {[]Loss{crash}, Isolate},
		"one crash of an older run's worker":    {[]Loss{neighbor}, Unrestricted},
		"two crashes of older runs' workers":    {[]Loss{neighbor, neighbor}, Isolate},
		"two crashes beside others":             {[]Loss{crash, crash}, Isolate},
		"a crash and a worker without answer":   {[]Loss{crash, silent}, Hold},
		"two workers that do not answer":        {[]Loss{silent, silent}, Hold},
		"two crashes, one of them alone":        {[]Loss{neighbor, alone}, GiveUp},
		"three crashes":                         {[]Loss{neighbor, neighbor, neighbor}, GiveUp},
		"any number of workers that survived":   {[]Loss{cut, cut, cut, cut}, Unrestricted},
		"a crash among workers that survived":   {[]Loss{cut, crash, cut}, Isolate},
		"a crash and a start without answer":    {[]Loss{crash, unanswered}, Isolate},
		"two crashes and starts without answer": {[]Loss{crash, alone, unanswered}, GiveUp},
		"three starts without answer":           {[]Loss{unanswered, unanswered, unanswered}, Isolate},
		"four starts without answer":            {[]Loss{unanswered, unanswered, unanswered, unanswered}, GiveUp},
		"owners that were lost":                 {[]Loss{orphan, orphan, orphan}, Unrestricted},
		"an owner that was lost after a crash":  {[]Loss{crash, orphan}, Isolate},
		"two crashes, a third without evidence": {[]Loss{crash, crash, silent}, Hold},
	} {
		assert.Equal(t, c.want, historyOf(c.losses...).Verdict(), name)
	}
}

func TestFateFollowsRegistrations(t *testing.T) {
	former := fleet.Worker{ID: "w", Address: "a", StartTime: 5}
	restarted, other, draining := former, former, former
	restarted.StartTime = 6
	other.ID = "v"
	draining.Draining = true
	for name, c := range map[string]struct {
		seen []registry
		want Fate
	}{
		"restarted under its ID":        {[]registry{{restarted, epoch}}, Crashed},
		"another worker at its address": {[]registry{{other, epoch}}, Crashed},
		"was leaving":                   {[]registry{{draining, epoch}}, Survived},
		"a late heartbeat":              {[]registry{{former, epoch.Add(time.Second)}}, Unknown},
		"one heartbeat":                 {[]registry{{former, epoch.Add(4 * time.Second)}, {former, epoch.Add(4 * time.Second)}}, Unknown},
		"two heartbeats":                {[]registry{{former, epoch.Add(4 * time.Second)}, {former, epoch.Add(5500 * time.Millisecond)}}, Survived},
		"missing for a moment":          {[]registry{{}, {former, epoch}}, Unknown},
		"missing for good":              {[]registry{{}, {}, {}, {}}, Crashed},
	} {
		h := historyOf(Loss{})
		for i, r := range c.seen {
			h.Resolve(epoch.Add(time.Duration(i+1)*1500*time.Millisecond), r)
		}
		assert.Equal(t, c.want, h.losses[0].Fate, name)
	}
}

func TestResolveReturnsEachCrashOnce(t *testing.T) {
	h := historyOf(Loss{Alone: true})
	back := registry{worker: fleet.Worker{ID: "w", Address: "a", StartTime: 6}}
	crashed := h.Resolve(epoch, back)
	require.Len(t, crashed, 1)
	assert.Equal(t, Loss{Run: 1, Worker: "w", Address: "a", StartTime: 5, Alone: true, Fate: Crashed}, crashed[0])
	assert.Empty(t, h.Resolve(epoch, back))
	assert.False(t, h.Open())
	assert.Equal(t, 1, h.Crashes())
}

func TestLossOfTheSameRunReplacesTheFormerOne(t *testing.T) {
	h := historyOf(Loss{})
	crash := Loss{Run: 1, Worker: "w", Address: "a", StartTime: 5, Fate: Crashed}
	h.Add(epoch, crash)
	assert.Equal(t, 1, h.Crashes())
	assert.False(t, h.Open())
	crash.StartTime = 6
	h.Add(epoch, crash)
	assert.Equal(t, 2, h.Crashes(), "the job was submitted again")
}

// Guards against a sound task that is given up: its worker was cut off or lost its
// owner, and crashed under another task later.
func TestLaterCrashOfTheWorkerIsUnconfirmed(t *testing.T) {
	former := fleet.Worker{ID: "w", Address: "a", StartTime: 5}
	restarted := former
	restarted.StartTime = 6
	cut := historyOf(Loss{Alone: true})
	cut.Resolve(epoch, registry{former, epoch.Add(reportDelay)})
	orphan := historyOf(Loss{Alone: true, Orphaned: true})
	silent := historyOf(Loss{Alone: true})
	for h, want := range map[*History]bool{cut: true, orphan: true, silent: false} {
		crashed := h.Resolve(epoch.Add(time.Minute), registry{restarted, epoch.Add(time.Minute)})
		require.Len(t, crashed, 1)
		assert.Equal(t, want, crashed[0].Unconfirmed)
	}
}
