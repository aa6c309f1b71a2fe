package jobs

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/decide/place"
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
	r := &fixture{core: NewCore(epoch, Config{Self: self}, rand.New(rand.NewPCG(1, 1))), now: epoch}
	r.core.StreamOpened(epoch, 1, 0)
	capacity := place.Size{Cores: 8, MemoryMB: 8}
	r.core.UpdateWorkers(epoch, []WorkerInfo{{Name: "worker-1", Capacity: capacity, Live: true}}, nil)
	r.core.LeaseGranted(epoch, epoch, "worker-1", workerapi.Lease{Instance: "one", Epoch: 1, TTLMs: 60_000})
	r.core.PopActions(epoch)
	return r
}

func (r *fixture) applyRecord(record Record) {
	r.last++
	r.core.ApplyRecord(r.now, r.last, record)
}

// actionsOf returns the actions of one type since the last call. It discards
// the others.
func actionsOf[A Action](r *fixture) []A {
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

// submitAndClaim submits a job, applies its claim and returns the starts.
func (r *fixture) submitAndClaim(t *testing.T, spec callerapi.Job) []Start {
	t.Helper()
	require.Nil(t, r.core.Submit(r.now, spec, "d"))
	claims := actionsOf[Append](r)
	require.Len(t, claims, 1)
	r.applyRecord(claims[0].Record)
	return actionsOf[Start](r)
}

func TestTasksForOneWorkerShareOneMessage(t *testing.T) {
	starts := newFixture().submitAndClaim(t, jobOf(1, 2, 3))
	require.Len(t, starts, 1)
	require.Len(t, starts[0].Call.Tasks, 3)
}

func TestLeaseCountsFromTheClaimInTheLog(t *testing.T) {
	r := newFixture()
	require.Nil(t, r.core.Submit(r.now, jobOf(1), "d"))
	first := actionsOf[Append](r)[0].Record
	r.now = r.now.Add(6 * time.Second)
	r.core.Tick(r.now)
	require.Len(t, actionsOf[Refused](r), 1)
	require.Nil(t, r.core.Submit(r.now, jobOf(1), "d"))
	r.applyRecord(first)
	require.Equal(t, epoch.Add(15*time.Second), r.core.owned[key].leaseEnd)
}

func TestReplacedWorkerFailsItsTasksAsUnknown(t *testing.T) {
	r := newFixture()
	r.submitAndClaim(t, jobOf(1))
	r.core.TasksEnded(r.now, "worker-1", workerapi.Results{Instance: "two"})
	closes := actionsOf[Append](r)
	require.Len(t, closes, 1)
	require.Equal(t, string(errkind.TaskUnknown), closes[0].Record.ErrorKind)
	require.Equal(t, string(errkind.Unknown), closes[0].Record.Run)
}

func TestLateReplyOfAReplacedWorkerIsIgnored(t *testing.T) {
	r := newFixture()
	r.core.TasksEnded(r.now, "worker-1", workerapi.Results{Instance: "two"})
	r.core.LeaseGranted(r.now, r.now, "worker-1", workerapi.Lease{Instance: "two", Epoch: 1, TTLMs: 60_000})
	r.submitAndClaim(t, jobOf(1))
	r.core.TasksEnded(r.now, "worker-1", workerapi.Results{Instance: "one"})
	require.Empty(t, actionsOf[Append](r), "the job continues")
}

func TestUnplaceableTaskFailsItsJobAtOnce(t *testing.T) {
	r := newFixture()
	require.Nil(t, r.core.Submit(r.now, jobOf(9), "d"))
	r.applyRecord(actionsOf[Append](r)[0].Record)
	closes := actionsOf[Append](r)
	require.Len(t, closes, 1)
	require.Equal(t, string(errkind.TaskUnplaceable), closes[0].Record.ErrorKind)
	require.Equal(t, string(errkind.NotRun), closes[0].Record.Run)
	require.Contains(t, closes[0].Record.Reason, "9 cores")
}

func TestOtherContentIsRefused(t *testing.T) {
	r := newFixture()
	r.submitAndClaim(t, jobOf(1))
	err := r.core.Submit(r.now, jobOf(2), "other")
	require.Equal(t, errkind.RequestMismatch, err.Kind)
}

func TestMintedSubmissionNeedsNoClaim(t *testing.T) {
	r := newFixture()
	spec := jobOf(1)
	spec.Submission = ids.NewRequest(self)
	require.Nil(t, r.core.Submit(r.now, spec, "d"))
	require.Len(t, actionsOf[Start](r), 1)
}

// TestOwnerLostCloseNeedsACompleteHistory checks that a host closes a job of an
// unreachable owner only if no record that matters can have been trimmed before
// the host read it.
func TestOwnerLostCloseNeedsACompleteHistory(t *testing.T) {
	claim := Record{Kind: KindClaim, Key: key, Owner: "entry-1~1", Digest: "d", LeaseMs: 1000}
	lost := Record{Kind: KindClose, Key: key, ClaimOwner: "entry-1~1", Owner: "entry-2~1", State: callerapi.JobFailed}
	beat := func(age int64) Record { return Record{Kind: KindHeartbeat, Owner: "entry-2~1", WriterAgeMs: age} }
	cases := []struct {
		name    string
		history func(r *fixture)
		closes  bool
	}{
		{"whole stream", func(r *fixture) { r.applyRecord(claim) }, true},
		{"gap after the claim", func(r *fixture) {
			r.applyRecord(claim)
			r.core.StreamOpened(r.now, 50, 50)
			r.applyRecord(lost)
		}, false},
		{"claim right after a trimmed start", func(r *fixture) {
			r.core.StreamOpened(r.now, 50, 99)
			r.applyRecord(claim)
		}, false},
		{"claim a horizon after a trimmed start", func(r *fixture) {
			r.core.StreamOpened(r.now, 50, 99)
			r.applyRecord(beat(1_000))
			r.applyRecord(beat(121_000))
			r.applyRecord(claim)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture()
			c.history(r)
			r.now = r.now.Add(2 * time.Second)
			err := r.core.OwnerUnreachable(r.now, key, "entry-1~1", false)
			require.Equal(t, c.closes, err == nil)
			require.Equal(t, c.closes, len(actionsOf[Append](r)) == 1)
		})
	}
}

func TestTrimmedStreamRefusesJobsUntilTheHorizon(t *testing.T) {
	r := newFixture()
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
	r := newFixture()
	start := r.submitAndClaim(t, jobOf(1))[0]
	r.core.StartReplied(r.now, r.now, start.ID, workerapi.StartReply{Verdicts: []workerapi.Verdict{workerapi.Started}})
	r.core.TasksEnded(r.now, "worker-1", workerapi.Results{Instance: "one", Results: []workerapi.Result{
		{Submission: key.String(), Task: "a", State: workerapi.TaskDone},
	}})
	r.applyRecord(actionsOf[Append](r)[0].Record)
	require.True(t, r.core.Idle())
	r.core.Tick(r.now)
	require.Empty(t, r.core.byKeyText, "only the answer is kept")
	require.Equal(t, StatusClosed, r.core.Lookup(r.now, key).Status)
	r.now = r.now.Add(3 * time.Minute)
	r.core.Tick(r.now)
	require.Zero(t, r.core.table.Len())
	require.Empty(t, r.core.owned)
	require.Empty(t, r.core.byKeyText)
}

func TestTeamQuotaBoundsCoresInUse(t *testing.T) {
	r := newFixture()
	r.core.SetQuotas([]Quota{{Customer: "tamarind", Team: "rigs", Cores: 3}})
	spec := jobOf(2, 1, 2)
	spec.Team = "rigs"
	starts := r.submitAndClaim(t, spec)
	require.Len(t, starts[0].Call.Tasks, 1, "the largest task is placed first, and the next exceeds the quota")
}

// TestLateUnrecordedAnswerIsDecidedByTheLog covers a pause between the decision
// to answer without the log and the delivery of the answer: if the lease ends
// in between, the close in the log decides.
func TestLateUnrecordedAnswerIsDecidedByTheLog(t *testing.T) {
	r := newFixture()
	start := r.submitAndClaim(t, jobOf(1))[0]
	r.core.StartNotSent(r.now, start.ID, false)
	r.now = r.now.Add(10 * time.Second)
	r.core.Tick(r.now)
	ours := actionsOf[Append](r)[0].Record
	r.core.AppendRejected(r.now, ours)
	answers := actionsOf[Answer](r)
	require.Len(t, answers, 1)
	require.True(t, answers[0].Answer.Unrecorded)
	r.now = answers[0].NotAfter
	r.core.AnswerExpired(key)
	require.Equal(t, StatusLocal, r.core.Lookup(r.now, key).Status)
	r.applyRecord(Record{Kind: KindClose, Key: key, ClaimOwner: self, Owner: "entry-1~1", State: callerapi.JobFailed, Reason: "lost"})
	answers = actionsOf[Answer](r)
	require.Len(t, answers, 1)
	require.Equal(t, "lost", answers[0].Answer.Reason)
}

func TestTaskThatStartsAfterItsJobEndedIsStopped(t *testing.T) {
	r := newFixture()
	start := r.submitAndClaim(t, jobOf(1))[0]
	r.now = r.now.Add(10 * time.Second)
	r.core.Tick(r.now)
	r.core.StartReplied(r.now, r.now, start.ID, workerapi.StartReply{Verdicts: []workerapi.Verdict{workerapi.Started}})
	stops := actionsOf[StopTasks](r)
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
	r := newFixture()
	r.core.cfg.MaxResultBytes = 1
	for _, name := range []string{"first", "second"} {
		spec := jobOf(1)
		spec.Submission = name
		start := r.submitAndClaim(t, spec)[0]
		r.core.StartReplied(r.now, r.now, start.ID, workerapi.StartReply{Verdicts: []workerapi.Verdict{workerapi.Started}})
		r.core.TasksEnded(r.now, "worker-1", workerapi.Results{Instance: "one", Results: []workerapi.Result{
			{Submission: "tamarind/" + name, Task: "a", State: workerapi.TaskDone},
		}})
		r.applyRecord(actionsOf[Append](r)[0].Record)
	}
	first := r.core.Lookup(r.now, Key{Customer: "tamarind", Submission: "first"})
	require.Equal(t, errkind.OwnerLost, first.Err.Kind)
	require.Equal(t, errkind.Ran, first.Err.Run)
	second := r.core.Lookup(r.now, Key{Customer: "tamarind", Submission: "second"})
	require.Nil(t, second.Err)
	require.Len(t, second.Answer.Results, 1)
}

func TestCloseAppendedAfterTheLeaseIsNotTheAnswerYet(t *testing.T) {
	r := newFixture()
	r.submitAndClaim(t, jobOf(1))
	r.now = r.now.Add(10 * time.Second)
	r.core.Tick(r.now)
	ours := actionsOf[Append](r)[0].Record
	r.now = r.core.owned[key].leaseEnd
	r.core.AppendSucceeded(r.now, ours)
	require.Empty(t, actionsOf[Answer](r), "another host's close may be first")
	r.applyRecord(ours)
	require.Len(t, actionsOf[Answer](r), 1)
}

func TestStopsAreRepeatedUntilConfirmed(t *testing.T) {
	r := newFixture()
	start := r.submitAndClaim(t, jobOf(1))[0]
	r.core.StartReplied(r.now, r.now, start.ID, workerapi.StartReply{Verdicts: []workerapi.Verdict{workerapi.Started}})
	require.Nil(t, r.core.Cancel(r.now, key))
	for range 3 {
		stops := actionsOf[StopTasks](r)
		require.Len(t, stops, 1)
		r.core.TaskStopFailed(r.now, "worker-1", stops[0].Call)
		r.now = r.now.Add(time.Second)
		r.core.Tick(r.now)
	}
	last := actionsOf[StopTasks](r)[0]
	r.core.TasksStopped(r.now, "worker-1", last.Call, []workerapi.TaskState{workerapi.TaskStopped})
	r.now = r.now.Add(time.Second)
	r.core.Tick(r.now)
	require.Empty(t, actionsOf[StopTasks](r))
	require.Empty(t, r.core.coresInUse)
}

func TestLateClaimOfAnAbandonedJobIsClosedUntilTheLogHasIt(t *testing.T) {
	r := newFixture()
	require.Nil(t, r.core.Submit(r.now, jobOf(1), "d"))
	claim := actionsOf[Append](r)[0].Record
	r.now = r.now.Add(6 * time.Second)
	r.core.Tick(r.now)
	require.Len(t, actionsOf[Refused](r), 1)
	r.applyRecord(claim)
	for range 3 {
		closes := actionsOf[Append](r)
		require.Len(t, closes, 1)
		require.Equal(t, string(errkind.NotRun), closes[0].Record.Run)
		r.now = r.now.Add(time.Second)
		r.core.Tick(r.now)
	}
}
