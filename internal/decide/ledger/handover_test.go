package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/fleet"
)

func newHandoverLedger(host string, nonce int64) *Ledger {
	return New(Config{Host: host, Nonce: nonce, Shards: 1, MemberTTL: memberTTL, TakeoverDelay: takeoverDelay, Retention: retention})
}

func handedRun(run int) HandedRun {
	return HandedRun{RunID: fleet.RunID{Task: fleet.TaskName{Job: testJob}, Run: run}, Owner: "o", Worker: "w", Fence: 7}
}

// takeOver assigns the only shard to a ledger, and records its takeover in the log.
func takeOver(t *testing.T, l *Ledger, log *[]Entry, now time.Time) {
	t.Helper()
	l.Assigned(now, now, int64(len(*log)+1), []int{0})
	l.Apply(now, *log)
	l.LogRead(now.Add(time.Millisecond))
	appended := actionsOf[AppendEntries](l.PopActions())
	require.Len(t, appended, 1)
	*log = append(*log, appended[0].Entries...)
	l.Apply(now, appended[0].Entries)
	l.LogRead(now.Add(2 * time.Millisecond))
}

// readOwn lets a ledger read what it has appended, and the log to its end.
func readOwn(l *Ledger, at time.Time) []Action {
	var other []Action
	for {
		appended := false
		for _, a := range l.PopActions() {
			if a, ok := a.(AppendEntries); ok {
				l.Apply(at, a.Entries)
				appended = true
				continue
			}
			other = append(other, a)
		}
		if !appended {
			return other
		}
		l.LogRead(at.Add(time.Millisecond))
	}
}

// The jobs of a host that is stopped as planned had no driver for 3 to 6 s, and their
// runs were stopped.
func TestNextDriverContinuesHandedOverRuns(t *testing.T) {
	now := testEpoch
	var log []Entry
	first, next := newHandoverLedger("a", 1), newHandoverLedger("b", 2)
	takeOver(t, first, &log, now)
	log = append(log, acceptedTwoSteps(testJob))
	first.Apply(now, log)
	require.Len(t, actionsOf[Drive](first.PopActions()), 1)

	first.Leave(now.Add(100 * time.Millisecond))
	actions := first.PopActions()
	assert.Equal(t, []Pause{{Jobs: []string{testJob}}}, actionsOf[Pause](actions))
	require.Empty(t, actionsOf[Release](actions), "the runs go on")
	first.Handovers(now.Add(120*time.Millisecond), func(jobs []string) ([]HandedRun, []fleet.TaskName) {
		assert.Equal(t, []string{testJob}, jobs)
		return []HandedRun{handedRun(3)}, nil
	})
	appended := actionsOf[AppendEntries](first.PopActions())
	require.Len(t, appended, 1)

	now = now.Add(150 * time.Millisecond)
	takeOver(t, next, &log, now)
	next.LogRead(now.Add(10 * time.Millisecond))
	require.Empty(t, actionsOf[Drive](next.PopActions()), "nothing has been handed over yet")
	log = append(log, appended[0].Entries...)
	for _, l := range []*Ledger{first, next} {
		l.Apply(now.Add(20*time.Millisecond), appended[0].Entries)
	}
	actions = first.PopActions()
	assert.Equal(t, []LetGo{{Jobs: []string{testJob}}}, actionsOf[LetGo](actions))
	assert.Empty(t, actionsOf[Release](actions))
	actions = next.PopActions()
	assert.Equal(t, []RunsHandedOver{{Host: "a", Runs: []fleet.RunID{handedRun(3).RunID}, Takeovers: 1}}, actionsOf[RunsHandedOver](actions))
	require.Empty(t, actionsOf[Drive](actions), "earlier entries of other hosts may be unread")
	assert.True(t, next.AwaitsLog())
	assert.True(t, next.HasHandedOver("a", testJob, 1))
	assert.False(t, next.HasHandedOver("a", testJob, 2), "under a later takeover")
	next.LogRead(now.Add(30 * time.Millisecond))
	drives := actionsOf[Drive](next.PopActions())
	require.Len(t, drives, 1)
	assert.Equal(t, []HandedRun{handedRun(3)}, drives[0].Running)
	assert.Equal(t, runsPerTakeover+1, drives[0].FirstRun)
	assert.False(t, next.AwaitsLog())
}

// Two drivers of a shard would run its tasks twice.
func TestUncertainHandoverWaitsForThePreviousDriver(t *testing.T) {
	handover := HandedOver{Shard: 0, Takeovers: 1, Generation: 1, Host: "a", Nonce: 1, Parts: 1, Running: []HandedRun{handedRun(3)}}
	changed := func(change func(*HandedOver)) HandedOver {
		h := handover
		change(&h)
		return h
	}
	taken := TakenOver{Shard: 0, Takeovers: 1, Generation: 1, Host: "a", Nonce: 1}
	for name, c := range map[string]struct {
		entries []Entry
		at      bool
	}{
		"handed over":                       {[]Entry{taken, handover}, true},
		"read twice":                        {[]Entry{taken, handover, handover}, true},
		"not handed over":                   {[]Entry{taken}, false},
		"a part is missing":                 {[]Entry{taken, changed(func(h *HandedOver) { h.Parts = 2 })}, false},
		"by an earlier driver":              {[]Entry{taken, TakenOver{Shard: 0, Takeovers: 2, Generation: 2, Host: "c", Nonce: 3}, handover}, false},
		"by one of two drivers":             {[]Entry{taken, TakenOver{Shard: 0, Takeovers: 1, Generation: 2, Host: "c", Nonce: 3}, handover}, false},
		"by another process of that host":   {[]Entry{taken, changed(func(h *HandedOver) { h.Nonce = 9 })}, false},
		"the driver's version is older":     {[]Entry{TakenOver{Shard: 0, Takeovers: 1}, handover}, false},
		"another host has taken over, too":  {[]Entry{taken, handover, TakenOver{Shard: 0, Takeovers: 2, Generation: 2, Host: "c", Nonce: 3}}, false},
		"another host has taken over since": {[]Entry{taken, handover, TakenOver{Shard: 0, Takeovers: 3, Generation: 2, Host: "c", Nonce: 3}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newHandoverLedger("b", 2)
			l.Apply(testEpoch, []Entry{c.entries[0], acceptedTwoSteps(testJob)})
			l.Assigned(testEpoch, testEpoch, 3, []int{0})
			l.LogRead(testEpoch.Add(time.Millisecond))
			appended := actionsOf[AppendEntries](l.PopActions())
			require.Len(t, appended, 1)
			l.Apply(testEpoch, appended[0].Entries)
			l.Apply(testEpoch, c.entries[1:])
			l.LogRead(testEpoch.Add(time.Second))
			drives := actionsOf[Drive](readOwn(l, testEpoch.Add(2*time.Second)))
			assert.Equal(t, c.at, len(drives) == 1)
			l.Assigned(testEpoch.Add(takeoverDelay), testEpoch.Add(takeoverDelay), 3, []int{0})
			l.LogRead(testEpoch.Add(takeoverDelay + time.Millisecond))
			drives = actionsOf[Drive](readOwn(l, testEpoch.Add(takeoverDelay+time.Millisecond)))
			assert.Equal(t, !c.at, len(drives) == 1, "after the delay")
		})
	}
}

// A run that neither goes on under its driver nor is known to the next one would go on
// beside the next run of its task.
func TestHandoverThatIsNotRecordedStopsTheRuns(t *testing.T) {
	l := newDriver(t, testEpoch)
	l.Apply(testEpoch, []Entry{acceptedTwoSteps(testJob)})
	l.PopActions()
	l.Leave(testEpoch.Add(100 * time.Millisecond))
	unsettled := func([]string) ([]HandedRun, []fleet.TaskName) { return nil, []fleet.TaskName{{Job: testJob}} }
	l.Handovers(testEpoch.Add(memberTTL-handoverRecordTime-time.Millisecond), unsettled)
	require.Empty(t, actionsOf[AppendEntries](l.PopActions()), "the tasks may settle")
	l.Handovers(testEpoch.Add(memberTTL-handoverRecordTime), unsettled)
	require.Len(t, actionsOf[AppendEntries](l.PopActions()), 1)
	l.Apply(testEpoch, []Entry{acceptedTwoSteps("00000000000000a2")})
	assert.Empty(t, actionsOf[Drive](l.PopActions()), "a new job is left to the next driver")
	l.Tick(testEpoch.Add(memberTTL - time.Millisecond))
	require.Empty(t, actionsOf[Release](l.PopActions()))
	l.Tick(testEpoch.Add(memberTTL))
	assert.Len(t, actionsOf[Release](l.PopActions()), 1)
}

// Each change of the group began the wait for an earlier driver anew, and jobs waited for
// up to 6 s.
func TestWaitForAnEarlierDriverDoesNotBeginAnew(t *testing.T) {
	now := testEpoch
	var log []Entry
	first, second, third := newHandoverLedger("a", 1), newHandoverLedger("b", 2), newHandoverLedger("c", 3)
	takeOver(t, first, &log, now)
	log = append(log, acceptedTwoSteps(testJob))
	takeOver(t, second, &log, now)
	now = now.Add(2 * time.Second)
	second.Assigned(now, now, 4, nil)
	appended := actionsOf[AppendEntries](second.PopActions())
	require.Len(t, appended, 1)
	log = append(log, appended[0].Entries...)
	takeOver(t, third, &log, now)
	third.LogRead(now.Add(takeoverDelay - 2*time.Second))
	require.Empty(t, actionsOf[Drive](third.PopActions()))
	third.LogRead(now.Add(takeoverDelay - 2*time.Second + time.Millisecond))
	assert.Len(t, actionsOf[Drive](third.PopActions()), 1)
}

// Guards against jobs that wait for seconds after hosts have started one after the other: the
// first ones got shards for a moment, and the handover of the last driver was lost with them.
func TestHandoverIsPassedOnByAHostThatDidNotDrive(t *testing.T) {
	now := testEpoch
	taken := TakenOver{Shard: 0, Takeovers: 1, Generation: 1, Host: "a", Nonce: 1}
	handover := HandedOver{Shard: 0, Takeovers: 1, Generation: 1, Host: "a", Nonce: 1, Parts: 1, Running: []HandedRun{handedRun(3)}}
	passedOn := handover
	passedOn.Takeovers, passedOn.Generation, passedOn.Host, passedOn.Nonce = 2, 3, "b", 2
	// begin returns the host between the two drivers after it was told to give the shard up.
	begin := func(t *testing.T, log *[]Entry) *Ledger {
		between := newHandoverLedger("b", 2)
		between.Assigned(now, now, 3, []int{0})
		between.Apply(now, *log)
		between.LogRead(now.Add(time.Millisecond))
		taken := actionsOf[AppendEntries](between.PopActions())
		require.Len(t, taken, 1)
		*log = append(*log, taken[0].Entries...)
		between.Apply(now.Add(10*time.Millisecond), taken[0].Entries)
		between.Assigned(now.Add(20*time.Millisecond), now.Add(20*time.Millisecond), 4, nil)
		require.Empty(t, actionsOf[AppendEntries](between.PopActions()), "the handover may not be certain yet")
		return between
	}
	t.Run("certain", func(t *testing.T) {
		log := []Entry{taken, acceptedTwoSteps(testJob), handover}
		between := begin(t, &log)
		between.LogRead(now.Add(30 * time.Millisecond))
		appended := actionsOf[AppendEntries](between.PopActions())
		require.Equal(t, []AppendEntries{{[]Entry{passedOn}}}, appended)
		between.LogRead(now.Add(2 * takeoverDelay))
		require.Empty(t, actionsOf[Drive](between.PopActions()))

		next := newHandoverLedger("c", 3)
		log = append(log, appended[0].Entries...)
		takeOver(t, next, &log, now)
		next.LogRead(now.Add(20 * time.Millisecond))
		drives := actionsOf[Drive](next.PopActions())
		require.Len(t, drives, 1)
		assert.Equal(t, []HandedRun{handedRun(3)}, drives[0].Running)
	})
	t.Run("recorded later", func(t *testing.T) {
		log := []Entry{taken, acceptedTwoSteps(testJob)}
		between := begin(t, &log)
		between.LogRead(now.Add(30 * time.Millisecond))
		require.Empty(t, actionsOf[AppendEntries](between.PopActions()))
		between.Apply(now.Add(40*time.Millisecond), []Entry{handover})
		between.LogRead(now.Add(50 * time.Millisecond))
		require.Equal(t, []AppendEntries{{[]Entry{passedOn}}}, actionsOf[AppendEntries](between.PopActions()))
	})
	t.Run("assigned again", func(t *testing.T) {
		log := []Entry{taken, acceptedTwoSteps(testJob), handover}
		between := begin(t, &log)
		between.Assigned(now.Add(25*time.Millisecond), now.Add(25*time.Millisecond), 5, []int{0})
		between.LogRead(now.Add(30 * time.Millisecond))
		drives := actionsOf[Drive](readOwn(between, now.Add(40*time.Millisecond)))
		require.Len(t, drives, 1, "under a takeover that comes after that of any host in between")
		assert.Equal(t, []HandedRun{handedRun(3)}, drives[0].Running)
		assert.Equal(t, 2*runsPerTakeover+1, drives[0].FirstRun)
	})
	for name, entries := range map[string][]Entry{
		"not handed over":                 {taken, acceptedTwoSteps(testJob)},
		"another host has taken over too": {taken, acceptedTwoSteps(testJob), handover},
	} {
		t.Run(name, func(t *testing.T) {
			log := entries
			between := begin(t, &log)
			if len(entries) == 3 {
				between.Apply(now.Add(25*time.Millisecond), []Entry{TakenOver{Shard: 0, Takeovers: 2, Generation: 2, Host: "d", Nonce: 4}})
			}
			between.LogRead(now.Add(30 * time.Millisecond))
			require.Empty(t, actionsOf[AppendEntries](between.PopActions()))
			expired := now.Add(memberTTL + 20*time.Millisecond)
			between.Tick(expired)
			appended := actionsOf[AppendEntries](between.PopActions())
			require.Len(t, appended, 1)
			assert.Equal(t, []Entry{HandedOver{
				Shard: 0, Takeovers: 2, Generation: 3, Host: "b", Nonce: 2, Parts: 1, RemainingWait: now.Add(takeoverDelay).Sub(expired),
			}}, appended[0].Entries, "the next driver waits for the rest of the time")
		})
	}
}

// The record of a handover of many tasks must not exceed what the store accepts.
func TestLargeHandoverHasSeveralEntries(t *testing.T) {
	l := newDriver(t, testEpoch)
	running := make([]HandedRun, 2*maxHandedTasks+1)
	unsettled := make([]fleet.TaskName, maxHandedTasks)
	listed := 0
	entries := l.handoverEntries(0, running, unsettled, nil)
	assert.Len(t, entries, 4)
	for i, e := range entries {
		part := e.(HandedOver)
		assert.Equal(t, i, part.Part)
		assert.Equal(t, 4, part.Parts)
		assert.LessOrEqual(t, len(part.Running)+len(part.Unsettled), maxHandedTasks)
		listed += len(part.Running) + len(part.Unsettled)
	}
	assert.Equal(t, 3*maxHandedTasks+1, listed)
	assert.Len(t, l.handoverEntries(0, nil, nil, nil), 1)
}

// Guards against a driver that counts as having left: the store did its first takeover late, so
// that it used the number again, after it had recorded that it gave the shard up under it.
func TestNumberOfATakeoverIsUsedOnce(t *testing.T) {
	l := newHandoverLedger("a", 1)
	numbers := func(at time.Time) (taken, left []int) {
		l.LogRead(at)
		for _, a := range actionsOf[AppendEntries](l.PopActions()) {
			switch e := a.Entries[0].(type) {
			case TakenOver:
				taken = append(taken, e.Takeovers)
			case HandedOver:
				left = append(left, e.Takeovers)
			}
		}
		return taken, left
	}
	l.Apply(testEpoch, []Entry{acceptedTwoSteps(testJob), TakenOver{Takeovers: 4, Generation: 1, Host: "b", Nonce: 2}})
	l.Assigned(testEpoch, testEpoch, 2, []int{0})
	taken, _ := numbers(testEpoch.Add(time.Millisecond))
	require.Equal(t, []int{5}, taken)
	at := testEpoch.Add(100 * time.Millisecond)
	l.Assigned(at, at, 3, nil)
	l.Tick(at.Add(memberTTL))
	_, left := numbers(at.Add(memberTTL))
	require.Equal(t, []int{5}, left)
	at = at.Add(memberTTL + time.Millisecond)
	l.Assigned(at, at, 4, []int{0})
	taken, _ = numbers(at.Add(time.Millisecond))
	require.Equal(t, []int{6}, taken)
}

// Guards against runs that are stopped by a planned stop: a handover of more runs than one append
// may hold was refused, and repeated until the time for it was over.
func TestPartsOfALargeHandoverAreAppendedSingly(t *testing.T) {
	l := newDriver(t, testEpoch)
	l.Apply(testEpoch, []Entry{acceptedTwoSteps(testJob)})
	l.Leave(testEpoch.Add(100 * time.Millisecond))
	l.PopActions()
	l.Handovers(testEpoch.Add(120*time.Millisecond), func([]string) ([]HandedRun, []fleet.TaskName) {
		running := make([]HandedRun, 2*maxHandedTasks+1)
		for i := range running {
			running[i] = handedRun(i)
		}
		return running, nil
	})
	appended := actionsOf[AppendEntries](l.PopActions())
	parts := len(appended)
	require.Equal(t, 3, parts)
	for i, a := range appended {
		require.Len(t, a.Entries, 1)
		assert.Empty(t, actionsOf[LetGo](l.PopActions()), "%d of 3 parts are in the log", i)
		l.Apply(testEpoch.Add(130*time.Millisecond), a.Entries)
	}
	assert.Len(t, actionsOf[LetGo](l.PopActions()), 1)
}

// Guards against a shard that has no driver for as long as it goes back and forth: a host that
// had stopped driving without a handover waited the full delay whenever it got the shard back.
func TestWaitForOwnFormerRunsDoesNotBeginAnew(t *testing.T) {
	var log []Entry
	first, next := newHandoverLedger("a", 1), newHandoverLedger("b", 2)
	takeOver(t, first, &log, testEpoch)
	log = append(log, acceptedTwoSteps(testJob))
	first.Apply(testEpoch, log)
	require.Len(t, actionsOf[Drive](first.PopActions()), 1)
	now := testEpoch.Add(memberTTL + 10*time.Millisecond)
	first.Expire(now)
	require.Len(t, actionsOf[Release](first.PopActions()), 1)

	takeOver(t, next, &log, now)
	const left = 100 * time.Millisecond
	now = now.Add(takeoverDelay - left)
	next.Assigned(now, now, 5, nil)
	appended := actionsOf[AppendEntries](next.PopActions())
	require.Len(t, appended, 1)
	log = append(log, appended[0].Entries...)

	takeOver(t, first, &log, now)
	first.LogRead(now.Add(left))
	require.Empty(t, actionsOf[Drive](first.PopActions()), "its former runs may go on")
	first.LogRead(now.Add(left + time.Millisecond))
	require.Len(t, actionsOf[Drive](first.PopActions()), 1)
}

// Guards against two drivers of a shard: a host whose takeover the store had done late began to
// drive once its wait was over, beside the first driver, which has the shard in a later
// generation and had not read of that takeover.
func TestHostDoesNotDriveAShardThatAnotherHasInALaterGeneration(t *testing.T) {
	accepted := Accepted{Route: testRoute, Job: fleet.Job{ID: testJob, Steps: []fleet.Step{{Count: 1}}}}
	former, later := newHandoverLedger("a", 1), newHandoverLedger("b", 2)
	former.Assigned(testEpoch, testEpoch, 1, []int{0})
	former.LogRead(testEpoch.Add(time.Millisecond))
	late := actionsOf[AppendEntries](former.PopActions())
	require.Len(t, late, 1)

	now := testEpoch.Add(takeoverDelay - 200*time.Millisecond)
	former.Assigned(now, now, 1, []int{0})
	log := []Entry{accepted}
	takeOver(t, later, &log, now)
	require.Len(t, actionsOf[Drive](later.PopActions()), 1, "the first driver")

	log = append(log, late[0].Entries...)
	now = testEpoch.Add(takeoverDelay + 10*time.Millisecond)
	former.Apply(now, log)
	former.LogRead(now.Add(time.Millisecond))
	former.Tick(now.Add(2 * time.Millisecond))
	require.Empty(t, actionsOf[Drive](former.PopActions()))
	assert.False(t, former.AwaitsLog())

	// Once it has the shard in a generation after that, it takes it over anew.
	now = now.Add(100 * time.Millisecond)
	former.Assigned(now, now, 4, []int{0})
	former.LogRead(now.Add(time.Millisecond))
	readOwn(former, now.Add(2*time.Millisecond))
	former.Assigned(now.Add(takeoverDelay), now.Add(takeoverDelay), 4, []int{0})
	former.LogRead(now.Add(takeoverDelay + time.Millisecond))
	assert.Len(t, actionsOf[Drive](former.PopActions()), 1)
}

// Guards against two drivers of a shard: the later takeover of a host hid that it had driven the
// shard before and had not handed it over, so that a host in between passed an older handover on.
func TestLaterTakeoverDoesNotHideAnEarlierDrive(t *testing.T) {
	for name, c := range map[string]struct {
		former TakenOver
		passed bool
	}{
		"driven and not handed over":      {TakenOver{FormerTakeovers: 2, FormerGeneration: 2}, false},
		"driven since, what before?":      {TakenOver{FormerTakeovers: 4, FormerGeneration: 4}, false},
		"driven before the last handover": {TakenOver{FormerTakeovers: 1, FormerGeneration: 1}, true},
		"never driven":                    {TakenOver{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newHandoverLedger("b", 2)
			last := 1
			if c.passed {
				last = 2
			}
			log := []Entry{
				acceptedTwoSteps(testJob),
				TakenOver{Takeovers: last, Generation: int64(last), Host: "c", Nonce: 3},
				HandedOver{Takeovers: last, Generation: int64(last), Host: "c", Nonce: 3, Parts: 1},
			}
			if !c.passed {
				log = append(log, TakenOver{Takeovers: 2, Generation: 2, Host: "a", Nonce: 1})
			}
			now := testEpoch
			l.Apply(now, log)
			l.Assigned(now, now, 3, []int{0})
			l.LogRead(now.Add(time.Millisecond))
			own := actionsOf[AppendEntries](l.PopActions())
			require.Len(t, own, 1)
			l.Assigned(now.Add(2*time.Millisecond), now, 5, nil)
			c.former.Takeovers, c.former.Generation, c.former.Host, c.former.Nonce = 5, 5, "a", 1
			l.Apply(now.Add(3*time.Millisecond), append(own[0].Entries, c.former))
			l.LogRead(now.Add(4 * time.Millisecond))
			var passed []Entry
			for _, a := range actionsOf[AppendEntries](l.PopActions()) {
				passed = append(passed, a.Entries...)
			}
			assert.Equal(t, c.passed, len(passed) > 0, "passed on: %+v", passed)
		})
	}
}

// Guards against two drivers of a shard: a host that starts read only the newest record of a
// host's takeovers, which was that of an earlier one, done late by the store.
func TestTakeoverWhoseRecordWasReplacedIsRecordedAgain(t *testing.T) {
	l := newDriver(t, testEpoch)
	first := TakenOver{Takeovers: 1, Generation: 1, Host: "a", Nonce: 1}
	now := testEpoch.Add(memberTTL / 2)
	l.Assigned(now, now, 3, []int{0})
	renewed := actionsOf[AppendEntries](l.PopActions())
	require.Len(t, renewed, 1)
	second := renewed[0].Entries[0].(TakenOver)
	require.Equal(t, 2, second.Takeovers)
	l.Apply(now, []Entry{second})
	l.Apply(now, []Entry{first, second})
	l.LogRead(now.Add(time.Millisecond))
	require.Empty(t, actionsOf[AppendEntries](l.PopActions()), "the log is read after the appends were answered")

	l.Apply(now, []Entry{first})
	l.LogRead(now.Add(2 * time.Millisecond))
	assert.Equal(t, []AppendEntries{{[]Entry{second}}}, actionsOf[AppendEntries](l.PopActions()))
	l.LogRead(now.Add(3 * time.Millisecond))
	assert.Empty(t, actionsOf[AppendEntries](l.PopActions()))
}

// Guards against a run number that is used twice: a job that was accepted after the next takeover
// had been read was numbered from one by the driver in office and by the next one.
func TestNextDriverDoesNotRepeatRunNumbers(t *testing.T) {
	const driven, waiting, late = testJob, "00000000000000a2", "00000000000000a3"
	for name, c := range map[string]struct {
		change func(*HandedOver)
		first  map[string]int
	}{
		"handed over":                     {func(*HandedOver) {}, map[string]int{driven: 1 + runsPerTakeover, waiting: 1}},
		"handed over by an older version": {func(h *HandedOver) { h.Driven, h.ListsDriven = nil, false }, map[string]int{driven: 1 + runsPerTakeover, waiting: 1 + runsPerTakeover}},
		"waited for":                      {func(h *HandedOver) { h.Parts = 2 }, map[string]int{driven: 1 + runsPerTakeover, waiting: 1 + runsPerTakeover, late: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			first, next := newHandoverLedger("a", 1), newHandoverLedger("b", 2)
			var log []Entry
			takeOver(t, first, &log, testEpoch)
			now := testEpoch.Add(time.Second / 2)
			takeOver(t, next, &log, now)
			job := acceptedTwoSteps(driven)
			job.Takeovers = 2
			log = append(log, job)
			first.Apply(now, log)
			drives := actionsOf[Drive](first.PopActions())
			require.Len(t, drives, 1)
			assert.Equal(t, 1, drives[0].FirstRun)

			first.Leave(now)
			first.PopActions()
			log = append(log, acceptedTwoSteps(waiting))
			first.Apply(now, log)
			first.Handovers(now, func([]string) ([]HandedRun, []fleet.TaskName) { return nil, nil })
			appended := actionsOf[AppendEntries](first.PopActions())
			require.Len(t, appended, 1)
			handover := appended[0].Entries[0].(HandedOver)
			c.change(&handover)
			next.Apply(now, append(log, handover))
			if c.first[late] > 0 {
				now = now.Add(memberTTL + 2*driverEndMargin)
				next.LogRead(now)
				next.Apply(now, []Entry{acceptedTwoSteps(late)})
			}
			next.LogRead(now.Add(takeoverDelay + time.Second))
			numbers := map[string]int{}
			for _, d := range actionsOf[Drive](next.PopActions()) {
				numbers[d.Job.ID] = d.FirstRun
			}
			assert.Equal(t, c.first, numbers)
		})
	}
}
