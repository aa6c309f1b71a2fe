package jobs

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/placement"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
	"github.com/parsleyhill/parsleyhill/internal/workerapi"
)

const self = ids.Incarnation("entry-0~1")

var epoch = time.Unix(1_000_000, 0)

// rig is one core with one worker of 8 cores that has granted its lease.
type rig struct {
	core *Core
	now  time.Time
	last int64
}

func newRig() *rig {
	r := &rig{core: NewCore(epoch, Config{Self: self}, rand.New(rand.NewPCG(1, 1))), now: epoch}
	r.core.StreamOpened(epoch, 1, 0)
	capacity := placement.Size{Cores: 8, MemoryMB: 8}
	r.core.UpdateWorkers(epoch, []WorkerInfo{{Name: "worker-1", Capacity: capacity, Live: true}}, nil)
	r.core.LeaseGranted(epoch, epoch, "worker-1", workerapi.Lease{Instance: "one", Epoch: 1, TTLMs: 60_000})
	r.core.PopActions(epoch)
	return r
}

func (r *rig) fold(record Record) {
	r.last++
	r.core.ApplyRecord(r.now, r.last, record)
}

// all returns the actions of one type since the last call.
func all[A Action](r *rig) []A {
	var found []A
	for _, a := range r.core.PopActions(r.now) {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

func jobOf(cores ...int) callerapi.Job {
	spec := callerapi.Job{Submission: "job", Customer: "tamarind", DeadlineMs: 10_000}
	for i, n := range cores {
		spec.Tasks = append(spec.Tasks, callerapi.Task{Name: string(rune('a' + i)), Cores: n})
	}
	return spec
}

var key = Key{Customer: "tamarind", Submission: "job"}

// own has the core own a job, and returns its start messages.
func (r *rig) own(t *testing.T, spec callerapi.Job) []Start {
	t.Helper()
	require.Nil(t, r.core.Submit(r.now, spec, "d"))
	claims := all[Append](r)
	require.Len(t, claims, 1)
	r.fold(claims[0].Record)
	return all[Start](r)
}

func TestTasksForOneWorkerShareOneMessage(t *testing.T) {
	starts := newRig().own(t, jobOf(1, 2, 3))
	require.Len(t, starts, 1)
	require.Len(t, starts[0].Call.Tasks, 3)
}

func TestLeaseCountsFromTheClaimInTheLog(t *testing.T) {
	r := newRig()
	require.Nil(t, r.core.Submit(r.now, jobOf(1), "d"))
	first := all[Append](r)[0].Record
	r.now = r.now.Add(6 * time.Second)
	r.core.Tick(r.now)
	require.Len(t, all[Refused](r), 1)
	require.Nil(t, r.core.Submit(r.now, jobOf(1), "d"))
	r.fold(first)
	require.Equal(t, epoch.Add(15*time.Second), r.core.owned[key].leaseEnd)
}

func TestReplacedWorkerFailsItsTasksAsUnknown(t *testing.T) {
	r := newRig()
	r.own(t, jobOf(1))
	r.core.TasksEnded(r.now, "worker-1", workerapi.Results{Instance: "two"})
	closes := all[Append](r)
	require.Len(t, closes, 1)
	require.Equal(t, string(errkind.TaskUnknown), closes[0].Record.ErrorKind)
	require.Equal(t, string(errkind.Unknown), closes[0].Record.Run)
}

func TestLateReplyOfAReplacedWorkerIsIgnored(t *testing.T) {
	r := newRig()
	r.core.TasksEnded(r.now, "worker-1", workerapi.Results{Instance: "two"})
	r.core.LeaseGranted(r.now, r.now, "worker-1", workerapi.Lease{Instance: "two", Epoch: 1, TTLMs: 60_000})
	r.own(t, jobOf(1))
	r.core.TasksEnded(r.now, "worker-1", workerapi.Results{Instance: "one"})
	require.Empty(t, all[Append](r), "the job goes on")
}

func TestUnplaceableTaskFailsItsJobAtOnce(t *testing.T) {
	r := newRig()
	require.Nil(t, r.core.Submit(r.now, jobOf(9), "d"))
	r.fold(all[Append](r)[0].Record)
	closes := all[Append](r)
	require.Len(t, closes, 1)
	require.Equal(t, string(errkind.TaskUnplaceable), closes[0].Record.ErrorKind)
	require.Equal(t, string(errkind.NotRun), closes[0].Record.Run)
	require.Contains(t, closes[0].Record.Reason, "9 cores")
}

func TestOtherContentIsRefused(t *testing.T) {
	r := newRig()
	r.own(t, jobOf(1))
	err := r.core.Submit(r.now, jobOf(2), "other")
	require.Equal(t, errkind.RequestMismatch, err.Kind)
}

func TestMintedSubmissionNeedsNoClaim(t *testing.T) {
	r := newRig()
	spec := jobOf(1)
	spec.Submission = ids.NewRequestID(self)
	require.Nil(t, r.core.Submit(r.now, spec, "d"))
	require.Len(t, all[Start](r), 1)
}

// TestGapsAreNotTakenForTheWholeStory covers what a host may conclude when
// records were trimmed before it read them.
func TestOwnerLostCloseNeedsACompleteHistory(t *testing.T) {
	claim := Record{Kind: KindClaim, Key: key, Owner: "entry-1~1", Digest: "d", LeaseMs: 1000}
	lost := Record{Kind: KindClose, Key: key, ClaimOwner: "entry-1~1", Owner: "entry-2~1", State: callerapi.JobFailed}
	beat := func(age int64) Record { return Record{Kind: KindHeartbeat, Owner: "entry-2~1", WriterAgeMs: age} }
	cases := []struct {
		name    string
		history func(r *rig)
		closes  bool
	}{
		{"whole stream", func(r *rig) { r.fold(claim) }, true},
		{"gap after the claim", func(r *rig) {
			r.fold(claim)
			r.core.StreamOpened(r.now, 50, 50)
			r.fold(lost)
		}, false},
		{"claim right after a trimmed start", func(r *rig) {
			r.core.StreamOpened(r.now, 50, 99)
			r.fold(claim)
		}, false},
		{"claim a horizon after a trimmed start", func(r *rig) {
			r.core.StreamOpened(r.now, 50, 99)
			r.fold(beat(1_000))
			r.fold(beat(121_000))
			r.fold(claim)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig()
			c.history(r)
			r.now = r.now.Add(2 * time.Second)
			err := r.core.OwnerUnreachable(r.now, key, "entry-1~1", false)
			require.Equal(t, c.closes, err == nil)
			require.Equal(t, c.closes, len(all[Append](r)) == 1)
		})
	}
}

func TestTrimmedStreamRefusesJobsUntilTheHorizon(t *testing.T) {
	r := newRig()
	r.core.StreamOpened(r.now, 50, 49)
	err := r.core.Submit(r.now, jobOf(1), "d")
	require.Equal(t, errkind.NotReady, err.Kind)
	require.Equal(t, errkind.Unknown, err.Run, "an unmarked arrival may be a second one")
	first := jobOf(1)
	first.Attempt = 1
	require.Equal(t, errkind.NotRun, r.core.Submit(r.now, first, "d").Run)
	r.now = r.now.Add(2 * time.Minute)
	require.Nil(t, r.core.Submit(r.now, first, "d"))
}

func TestLongFinishedJobsArePruned(t *testing.T) {
	r := newRig()
	start := r.own(t, jobOf(1))[0]
	r.core.StartReplied(r.now, r.now, start.ID, workerapi.StartReply{Verdicts: []workerapi.Verdict{workerapi.Started}})
	r.core.TasksEnded(r.now, "worker-1", workerapi.Results{Instance: "one", Results: []workerapi.Result{
		{Submission: key.String(), Task: "a", State: workerapi.TaskDone},
	}})
	r.fold(all[Append](r)[0].Record)
	require.True(t, r.core.Idle())
	r.core.Tick(r.now)
	require.Empty(t, r.core.byText, "only the answer is kept")
	require.Equal(t, StatusClosed, r.core.Lookup(r.now, key).Status)
	r.now = r.now.Add(3 * time.Minute)
	r.core.Tick(r.now)
	require.Zero(t, r.core.table.Len())
	require.Empty(t, r.core.owned)
	require.Empty(t, r.core.byText)
}

func TestTeamQuotaBoundsCoresInUse(t *testing.T) {
	r := newRig()
	r.core.SetQuotas([]Quota{{Customer: "tamarind", Team: "rigs", Cores: 3}})
	spec := jobOf(2, 1, 2)
	spec.Team = "rigs"
	starts := r.own(t, spec)
	require.Len(t, starts[0].Call.Tasks, 1, "the largest first, and the next does not fit the quota")
}

// TestLateUnrecordedAnswerIsLeftToTheLog covers a pause between the decision to
// answer and the answer.
func TestLateUnrecordedAnswerIsDecidedByTheLog(t *testing.T) {
	r := newRig()
	start := r.own(t, jobOf(1))[0]
	r.core.StartNotSent(r.now, start.ID, false)
	r.now = r.now.Add(10 * time.Second)
	r.core.Tick(r.now)
	ours := all[Append](r)[0].Record
	r.core.AppendRejected(r.now, ours)
	answers := all[Answer](r)
	require.Len(t, answers, 1)
	require.True(t, answers[0].Answer.Unrecorded)
	r.now = answers[0].NotAfter
	r.core.AnswerExpired(key)
	require.Equal(t, StatusLocal, r.core.Lookup(r.now, key).Status)
	r.fold(Record{Kind: KindClose, Key: key, ClaimOwner: self, Owner: "entry-1~1", State: callerapi.JobFailed, Reason: "lost"})
	answers = all[Answer](r)
	require.Len(t, answers, 1)
	require.Equal(t, "lost", answers[0].Answer.Reason)
}

func TestTaskThatStartsAfterItsJobEndedIsStopped(t *testing.T) {
	r := newRig()
	start := r.own(t, jobOf(1))[0]
	r.now = r.now.Add(10 * time.Second)
	r.core.Tick(r.now)
	r.core.StartReplied(r.now, r.now, start.ID, workerapi.StartReply{Verdicts: []workerapi.Verdict{workerapi.Started}})
	stops := all[StopTasks](r)
	require.Len(t, stops, 1)
	require.Equal(t, []workerapi.TaskRef{{Submission: key.String(), Task: "a"}}, stops[0].Call.Tasks)
}

// TestRecordsStaySmall bounds what every entry host reads of every job: a claim
// and a complete close.
func TestRecordsStaySmall(t *testing.T) {
	owner := ids.NewIncarnation("entry-westlands-1")
	k := Key{Customer: "tamarind", Submission: "6f1c4f8e-5a1b-4c0e-9a53-0f3c1d7b2a44"}
	claim := Record{
		Kind: KindClaim, Key: k, Owner: owner, WriterAgeMs: 86_400_000, Address: "10.20.30.40:7300",
		Digest: "00112233445566778899aabbccddeeff", LeaseMs: 70_000,
	}
	end := Record{Kind: KindClose, Key: k, Owner: owner, ClaimOwner: owner, WriterAgeMs: 86_400_000, State: callerapi.JobComplete}
	total := 0
	for _, r := range []Record{claim, end} {
		data, err := r.Encode()
		require.NoError(t, err)
		back, err := DecodeRecord(data)
		require.NoError(t, err)
		require.Equal(t, r, back)
		total += len(data)
		t.Logf("%s: %d bytes", r.Kind, len(data))
	}
	require.Less(t, total, 400)
}

func TestResultsBeyondTheLimitAreDiscarded(t *testing.T) {
	r := newRig()
	r.core.cfg.MaxResultBytes = 1
	for _, name := range []string{"first", "second"} {
		spec := jobOf(1)
		spec.Submission = name
		start := r.own(t, spec)[0]
		r.core.StartReplied(r.now, r.now, start.ID, workerapi.StartReply{Verdicts: []workerapi.Verdict{workerapi.Started}})
		r.core.TasksEnded(r.now, "worker-1", workerapi.Results{Instance: "one", Results: []workerapi.Result{
			{Submission: "tamarind/" + name, Task: "a", State: workerapi.TaskDone},
		}})
		r.fold(all[Append](r)[0].Record)
	}
	first := r.core.Lookup(r.now, Key{Customer: "tamarind", Submission: "first"})
	require.Equal(t, errkind.OwnerLost, first.Err.Kind)
	require.Equal(t, errkind.Ran, first.Err.Run)
	second := r.core.Lookup(r.now, Key{Customer: "tamarind", Submission: "second"})
	require.Nil(t, second.Err)
	require.Len(t, second.Answer.Results, 1)
}

func TestCloseAppendedAfterTheLeaseIsNotTheAnswerYet(t *testing.T) {
	r := newRig()
	r.own(t, jobOf(1))
	r.now = r.now.Add(10 * time.Second)
	r.core.Tick(r.now)
	ours := all[Append](r)[0].Record
	r.now = r.core.owned[key].leaseEnd
	r.core.AppendSucceeded(r.now, ours)
	require.Empty(t, all[Answer](r), "another host's close may be first")
	r.fold(ours)
	require.Len(t, all[Answer](r), 1)
}

func TestStopsAreRepeatedUntilConfirmed(t *testing.T) {
	r := newRig()
	start := r.own(t, jobOf(1))[0]
	r.core.StartReplied(r.now, r.now, start.ID, workerapi.StartReply{Verdicts: []workerapi.Verdict{workerapi.Started}})
	require.Nil(t, r.core.Cancel(r.now, key))
	for range 3 {
		stops := all[StopTasks](r)
		require.Len(t, stops, 1)
		r.core.TaskStopFailed(r.now, "worker-1", stops[0].Call)
		r.now = r.now.Add(time.Second)
		r.core.Tick(r.now)
	}
	last := all[StopTasks](r)[0]
	r.core.TasksStopped(r.now, "worker-1", last.Call, []workerapi.TaskState{workerapi.TaskStopped})
	r.now = r.now.Add(time.Second)
	r.core.Tick(r.now)
	require.Empty(t, all[StopTasks](r))
	require.Empty(t, r.core.holding)
}

func TestLateClaimOfAnAbandonedJobIsClosedUntilTheLogHasIt(t *testing.T) {
	r := newRig()
	require.Nil(t, r.core.Submit(r.now, jobOf(1), "d"))
	claim := all[Append](r)[0].Record
	r.now = r.now.Add(6 * time.Second)
	r.core.Tick(r.now)
	require.Len(t, all[Refused](r), 1)
	r.fold(claim)
	for range 3 {
		closes := all[Append](r)
		require.Len(t, closes, 1)
		require.Equal(t, string(errkind.NotRun), closes[0].Record.Run)
		r.now = r.now.Add(time.Second)
		r.core.Tick(r.now)
	}
}
