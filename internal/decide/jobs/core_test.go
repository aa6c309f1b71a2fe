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

// fixture is a Core with one worker of 8 cores that has granted a lease.
type fixture struct {
	core *Core
	now  time.Time
	last int64
}

func newFixture() *fixture {
	f := &fixture{core: NewCore(epoch, Config{Self: self}, rand.New(rand.NewPCG(1, 1))), now: epoch}
	f.core.StreamOpened(epoch, 1, 0)
	capacity := placement.Size{Cores: 8, MemoryMB: 8}
	f.core.UpdateWorkers(epoch, []WorkerInfo{{Name: "worker-1", Capacity: capacity, Live: true}}, nil)
	f.core.LeaseGranted(epoch, epoch, "worker-1", workerapi.Lease{Instance: "one", Epoch: 1, TTLMs: 60_000})
	f.core.PopActions(epoch)
	return f
}

func (f *fixture) applyRecord(record Record) {
	f.last++
	f.core.ApplyRecord(f.now, f.last, record)
}

// actionsOf returns the actions of one type since the last call. It discards
// the others.
func actionsOf[A Action](f *fixture) []A {
	var found []A
	for _, a := range f.core.PopActions(f.now) {
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

// submitAndClaim submits a job, applies its claim and returns the starts.
func (f *fixture) submitAndClaim(t *testing.T, spec callerapi.Job) []Start {
	t.Helper()
	require.Nil(t, f.core.Submit(f.now, spec, "d"))
	claims := actionsOf[Append](f)
	require.Len(t, claims, 1)
	f.applyRecord(claims[0].Record)
	return actionsOf[Start](f)
}

func TestTasksForOneWorkerShareOneMessage(t *testing.T) {
	starts := newFixture().submitAndClaim(t, jobOf(1, 2, 3))
	require.Len(t, starts, 1)
	require.Len(t, starts[0].Call.Tasks, 3)
}

func TestLeaseCountsFromTheClaimInTheLog(t *testing.T) {
	f := newFixture()
	require.Nil(t, f.core.Submit(f.now, jobOf(1), "d"))
	first := actionsOf[Append](f)[0].Record
	f.now = f.now.Add(6 * time.Second)
	f.core.Tick(f.now)
	require.Len(t, actionsOf[Refused](f), 1)
	require.Nil(t, f.core.Submit(f.now, jobOf(1), "d"))
	f.applyRecord(first)
	require.Equal(t, epoch.Add(15*time.Second), f.core.owned[key].leaseEnd)
}

func TestReplacedWorkerFailsItsTasksAsUnknown(t *testing.T) {
	f := newFixture()
	f.submitAndClaim(t, jobOf(1))
	f.core.TasksEnded(f.now, "worker-1", workerapi.Results{Instance: "two"})
	closes := actionsOf[Append](f)
	require.Len(t, closes, 1)
	require.Equal(t, string(errkind.TaskUnknown), closes[0].Record.ErrorKind)
	require.Equal(t, string(errkind.Unknown), closes[0].Record.Run)
}

func TestLateReplyOfAReplacedWorkerIsIgnored(t *testing.T) {
	f := newFixture()
	f.core.TasksEnded(f.now, "worker-1", workerapi.Results{Instance: "two"})
	f.core.LeaseGranted(f.now, f.now, "worker-1", workerapi.Lease{Instance: "two", Epoch: 1, TTLMs: 60_000})
	f.submitAndClaim(t, jobOf(1))
	f.core.TasksEnded(f.now, "worker-1", workerapi.Results{Instance: "one"})
	require.Empty(t, actionsOf[Append](f), "the job continues")
}

func TestUnplaceableTaskFailsItsJobAtOnce(t *testing.T) {
	f := newFixture()
	require.Nil(t, f.core.Submit(f.now, jobOf(9), "d"))
	f.applyRecord(actionsOf[Append](f)[0].Record)
	closes := actionsOf[Append](f)
	require.Len(t, closes, 1)
	require.Equal(t, string(errkind.TaskUnplaceable), closes[0].Record.ErrorKind)
	require.Equal(t, string(errkind.NotRun), closes[0].Record.Run)
	require.Contains(t, closes[0].Record.Reason, "9 cores")
}

func TestOtherContentIsRefused(t *testing.T) {
	f := newFixture()
	f.submitAndClaim(t, jobOf(1))
	err := f.core.Submit(f.now, jobOf(2), "other")
	require.Equal(t, errkind.RequestMismatch, err.Kind)
}

func TestMintedSubmissionNeedsNoClaim(t *testing.T) {
	f := newFixture()
	spec := jobOf(1)
	spec.Submission = ids.NewRequestID(self)
	require.Nil(t, f.core.Submit(f.now, spec, "d"))
	require.Len(t, actionsOf[Start](f), 1)
}

// TestOwnerLostCloseNeedsACompleteHistory checks that a host closes a job of an
// unreachable owner only if no record that matters can have been trimmed before
// the host read it.
func TestOwnerLostCloseNeedsACompleteHistory(t *testing.T) {
	claim := Record{Kind: KindClaim, Key: key, Owner: "entry-1~1", Digest: "d", LeaseMs: 1000}
	lost := Record{Kind: KindClose, Key: key, ClaimOwner: "entry-1~1", Owner: "entry-2~1", State: callerapi.JobFailed}
	heartbeat := func(age int64) Record { return Record{Kind: KindHeartbeat, Owner: "entry-2~1", WriterAgeMs: age} }
	cases := []struct {
		name    string
		history func(f *fixture)
		closes  bool
	}{
		{"whole stream", func(f *fixture) { f.applyRecord(claim) }, true},
		{"gap after the claim", func(f *fixture) {
			f.applyRecord(claim)
			f.core.StreamOpened(f.now, 50, 50)
			f.applyRecord(lost)
		}, false},
		{"claim right after a trimmed start", func(f *fixture) {
			f.core.StreamOpened(f.now, 50, 99)
			f.applyRecord(claim)
		}, false},
		{"claim a horizon after a trimmed start", func(f *fixture) {
			f.core.StreamOpened(f.now, 50, 99)
			f.applyRecord(heartbeat(1_000))
			f.applyRecord(heartbeat(121_000))
			f.applyRecord(claim)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			c.history(f)
			f.now = f.now.Add(2 * time.Second)
			err := f.core.OwnerUnreachable(f.now, key, "entry-1~1", false)
			require.Equal(t, c.closes, err == nil)
			require.Equal(t, c.closes, len(actionsOf[Append](f)) == 1)
		})
	}
}

func TestTrimmedStreamRefusesJobsUntilTheHorizon(t *testing.T) {
	f := newFixture()
	f.core.StreamOpened(f.now, 50, 49)
	err := f.core.Submit(f.now, jobOf(1), "d")
	require.Equal(t, errkind.NotReady, err.Kind)
	require.Equal(t, errkind.Unknown, err.Run, "an unmarked arrival may be a second one")
	first := jobOf(1)
	first.Attempt = 1
	require.Equal(t, errkind.NotRun, f.core.Submit(f.now, first, "d").Run)
	f.now = f.now.Add(2 * time.Minute)
	require.Nil(t, f.core.Submit(f.now, first, "d"))
}

func TestLongFinishedJobsArePruned(t *testing.T) {
	f := newFixture()
	start := f.submitAndClaim(t, jobOf(1))[0]
	f.core.StartReplied(f.now, f.now, start.ID, workerapi.StartReply{Verdicts: []workerapi.Verdict{workerapi.Started}})
	f.core.TasksEnded(f.now, "worker-1", workerapi.Results{Instance: "one", Results: []workerapi.Result{
		{Submission: key.String(), Task: "a", State: workerapi.TaskDone},
	}})
	f.applyRecord(actionsOf[Append](f)[0].Record)
	require.True(t, f.core.Idle())
	f.core.Tick(f.now)
	require.Empty(t, f.core.byKeyText, "only the answer is kept")
	require.Equal(t, StatusClosed, f.core.Lookup(f.now, key).Status)
	f.now = f.now.Add(3 * time.Minute)
	f.core.Tick(f.now)
	require.Zero(t, f.core.table.Len())
	require.Empty(t, f.core.owned)
	require.Empty(t, f.core.byKeyText)
}

func TestTeamQuotaBoundsCoresInUse(t *testing.T) {
	f := newFixture()
	f.core.SetQuotas([]Quota{{Customer: "tamarind", Team: "rigs", Cores: 3}})
	spec := jobOf(2, 1, 2)
	spec.Team = "rigs"
	starts := f.submitAndClaim(t, spec)
	require.Len(t, starts[0].Call.Tasks, 1, "the largest task is placed first, and the next exceeds the quota")
}

// TestLateUnrecordedAnswerIsDecidedByTheLog covers a pause between the decision
// to answer without the log and the delivery of the answer: if the lease ends
// in between, the close in the log decides.
func TestLateUnrecordedAnswerIsDecidedByTheLog(t *testing.T) {
	f := newFixture()
	start := f.submitAndClaim(t, jobOf(1))[0]
	f.core.StartNotSent(f.now, start.ID, false)
	f.now = f.now.Add(10 * time.Second)
	f.core.Tick(f.now)
	ours := actionsOf[Append](f)[0].Record
	f.core.AppendRejected(f.now, ours)
	answers := actionsOf[Answer](f)
	require.Len(t, answers, 1)
	require.True(t, answers[0].Answer.Unrecorded)
	f.now = answers[0].NotAfter
	f.core.AnswerExpired(key)
	require.Equal(t, StatusLocal, f.core.Lookup(f.now, key).Status)
	f.applyRecord(Record{Kind: KindClose, Key: key, ClaimOwner: self, Owner: "entry-1~1", State: callerapi.JobFailed, Reason: "lost"})
	answers = actionsOf[Answer](f)
	require.Len(t, answers, 1)
	require.Equal(t, "lost", answers[0].Answer.Reason)
}

func TestTaskThatStartsAfterItsJobEndedIsStopped(t *testing.T) {
	f := newFixture()
	start := f.submitAndClaim(t, jobOf(1))[0]
	f.now = f.now.Add(10 * time.Second)
	f.core.Tick(f.now)
	f.core.StartReplied(f.now, f.now, start.ID, workerapi.StartReply{Verdicts: []workerapi.Verdict{workerapi.Started}})
	stops := actionsOf[StopTasks](f)
	require.Len(t, stops, 1)
	require.Equal(t, []workerapi.TaskRef{{Submission: key.String(), Task: "a"}}, stops[0].Call.Tasks)
}

// TestRecordsStaySmall bounds the bytes that every entry host reads for each
// job: a claim and the close of a complete job.
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
	f := newFixture()
	f.core.cfg.MaxResultBytes = 1
	for _, name := range []string{"first", "second"} {
		spec := jobOf(1)
		spec.Submission = name
		start := f.submitAndClaim(t, spec)[0]
		f.core.StartReplied(f.now, f.now, start.ID, workerapi.StartReply{Verdicts: []workerapi.Verdict{workerapi.Started}})
		f.core.TasksEnded(f.now, "worker-1", workerapi.Results{Instance: "one", Results: []workerapi.Result{
			{Submission: "tamarind/" + name, Task: "a", State: workerapi.TaskDone},
		}})
		f.applyRecord(actionsOf[Append](f)[0].Record)
	}
	first := f.core.Lookup(f.now, Key{Customer: "tamarind", Submission: "first"})
	require.Equal(t, errkind.OwnerLost, first.Err.Kind)
	require.Equal(t, errkind.Ran, first.Err.Run)
	second := f.core.Lookup(f.now, Key{Customer: "tamarind", Submission: "second"})
	require.Nil(t, second.Err)
	require.Len(t, second.Answer.Results, 1)
}

func TestCloseAppendedAfterTheLeaseIsNotTheAnswerYet(t *testing.T) {
	f := newFixture()
	f.submitAndClaim(t, jobOf(1))
	f.now = f.now.Add(10 * time.Second)
	f.core.Tick(f.now)
	ours := actionsOf[Append](f)[0].Record
	f.now = f.core.owned[key].leaseEnd
	f.core.AppendSucceeded(f.now, ours)
	require.Empty(t, actionsOf[Answer](f), "another host's close may be first")
	f.applyRecord(ours)
	require.Len(t, actionsOf[Answer](f), 1)
}

func TestStopsAreRepeatedUntilConfirmed(t *testing.T) {
	f := newFixture()
	start := f.submitAndClaim(t, jobOf(1))[0]
	f.core.StartReplied(f.now, f.now, start.ID, workerapi.StartReply{Verdicts: []workerapi.Verdict{workerapi.Started}})
	require.Nil(t, f.core.Cancel(f.now, key))
	for range 3 {
		stops := actionsOf[StopTasks](f)
		require.Len(t, stops, 1)
		f.core.TaskStopFailed(f.now, "worker-1", stops[0].Call)
		f.now = f.now.Add(time.Second)
		f.core.Tick(f.now)
	}
	last := actionsOf[StopTasks](f)[0]
	f.core.TasksStopped(f.now, "worker-1", last.Call, []workerapi.TaskState{workerapi.TaskStopped})
	f.now = f.now.Add(time.Second)
	f.core.Tick(f.now)
	require.Empty(t, actionsOf[StopTasks](f))
	require.Empty(t, f.core.coresInUse)
}

func TestLateClaimOfAnAbandonedJobIsClosedUntilTheLogHasIt(t *testing.T) {
	f := newFixture()
	require.Nil(t, f.core.Submit(f.now, jobOf(1), "d"))
	claim := actionsOf[Append](f)[0].Record
	f.now = f.now.Add(6 * time.Second)
	f.core.Tick(f.now)
	require.Len(t, actionsOf[Refused](f), 1)
	f.applyRecord(claim)
	for range 3 {
		closes := actionsOf[Append](f)
		require.Len(t, closes, 1)
		require.Equal(t, string(errkind.NotRun), closes[0].Record.Run)
		f.now = f.now.Add(time.Second)
		f.core.Tick(f.now)
	}
}
