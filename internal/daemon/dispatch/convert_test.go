package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
	"github.com/parsleyhill/parsleyhill/internal/decide/host"
	"github.com/parsleyhill/parsleyhill/internal/decide/ledger"
	"github.com/parsleyhill/parsleyhill/internal/decide/offer"
	"github.com/parsleyhill/parsleyhill/internal/decide/quarantine"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/platform"
)

var (
	lostTask = fleet.TaskName{Job: "00000000000000a1", Step: 1, Index: 2}
	testLoss = quarantine.Loss{
		Run: 3, Worker: "w", Address: "10.0.0.1:1", StartTime: 5, Alone: true, Bystander: true, Orphaned: true, Unconfirmed: true, Fate: quarantine.Crashed,
	}
)

// What a host must know to keep a deadly task from its workers reaches other
// hosts, and the next driver, unchanged.
func TestLossesAreSentBetweenHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	outcome := offer.Outcome{Host: "h", Task: lostTask, Run: 3, Result: offer.Returned, MayHaveRun: true, Worker: "w", Loss: &testLoss}
	task := offer.Task{Name: lostTask, Exclusive: true, NextRun: 4, StartBy: now, Deadline: now}
	f := &dispatchv1.Frame{}
	addMessage(f, now, outcome)
	addMessage(f, now, host.Offers{Tasks: []offer.Task{task}})
	shared := host.TaskLoss{Task: lostTask, Loss: testLoss}
	addMessage(f, now, shared)
	assert.Equal(t, []host.Message{host.Offers{Tasks: []offer.Task{task}}, shared, outcome}, messagesFromProto(now, "h", f))

	report := capacityReportFromProto(capacityReportToProto(offer.CapacityReport{Exclusive: 2}))
	assert.Equal(t, 2, report.Exclusive)
}

func TestLossesAreRecordedAndDropped(t *testing.T) {
	lost := ledger.RunLost{Task: lostTask, Loss: testLoss}
	records, err := encodeEntry(lost)
	require.NoError(t, err)
	require.Len(t, records, 1)
	entry, err := decodeRecord(records[0])
	require.NoError(t, err)
	assert.Equal(t, lost, entry)

	closed, err := encodeEntry(ledger.Closed{Job: lostTask.Job, State: ledger.Failed, LostRuns: []fleet.RunID{{Task: lostTask, Run: 3}}})
	require.NoError(t, err)
	dropped := closed[len(closed)-1]
	assert.Equal(t, records[0].Key, dropped.Key)
	assert.Nil(t, dropped.Value)
}

// A hold of a run that is misread makes its driver start the task beside it.
func TestHoldsOfRunsAreRecordedAndDropped(t *testing.T) {
	held := ledger.RunHeld{RunID: fleet.RunID{Task: lostTask, Run: 3}, Fence: 1<<53 - 1}
	records, err := encodeEntry(held)
	require.NoError(t, err)
	require.Len(t, records, 1)
	entry, err := decodeRecord(records[0])
	require.NoError(t, err)
	assert.Equal(t, held, entry)

	closed, err := encodeEntry(ledger.Closed{Job: lostTask.Job, State: ledger.Failed, HeldRuns: []fleet.RunID{held.RunID}})
	require.NoError(t, err)
	dropped := closed[len(closed)-1]
	assert.Equal(t, records[0].Key, dropped.Key)
	assert.Nil(t, dropped.Value)
	for _, r := range []platform.KeyedRecord{{Key: records[0].Key, Value: []byte("x")}, {Key: "k/job/0/0", Value: []byte("1")}} {
		_, err := decodeRecord(r)
		assert.Error(t, err, "%s %s", r.Key, r.Value)
	}
}

// A handover that is misread starts tasks twice. An older version reads the number of a
// takeover only.
func TestHandoverIsRecorded(t *testing.T) {
	handed := ledger.HandedOver{
		Shard: 3, Takeovers: 2, Generation: 8, Host: "h", Nonce: -5, Part: 1, Parts: 2, RemainingWait: time.Second,
		Running:   []ledger.HandedRun{{RunID: fleet.RunID{Task: lostTask, Run: 4}, Owner: "o", Worker: "w", Fence: 1 << 52, Exclusive: true}},
		Unsettled: []fleet.TaskName{lostTask},
	}
	taken := ledger.TakenOver{Shard: 3, Takeovers: 2, Generation: 8, Host: "h/1", Nonce: 1 << 62, FormerTakeovers: 1, FormerGeneration: 5}
	for _, e := range []ledger.Entry{handed, taken} {
		records, err := encodeEntry(e)
		require.NoError(t, err)
		entry, err := decodeRecord(records[0])
		require.NoError(t, err)
		assert.Equal(t, e, entry)
	}
	other := handed
	other.Host = "i"
	records, err := encodeEntry(handed)
	require.NoError(t, err)
	others, err := encodeEntry(other)
	require.NoError(t, err)
	assert.NotEqual(t, records[0].Key, others[0].Key, "a record of one host does not replace another's")
	adopted, err := encodeEntry(ledger.HandoverAdopted{Shard: 3, Host: "h", Parts: 2})
	require.NoError(t, err)
	require.Len(t, adopted, 2)
	assert.Equal(t, platform.KeyedRecord{Key: records[0].Key}, adopted[1])
	records, err = encodeEntry(taken)
	require.NoError(t, err)
	require.Len(t, records, 2)
	entry, err := decodeRecord(records[1])
	require.NoError(t, err)
	assert.Equal(t, ledger.TakenOver{Shard: 3, Takeovers: 2}, entry)

	for _, r := range []platform.KeyedRecord{
		{Key: "h/3/0", Value: []byte(`{"Shard":-1,"Parts":1}`)},
		{Key: "h/3/0", Value: []byte(`{"Shard":1}`)},
		{Key: "h/3/0", Value: []byte("x")},
		{Key: "t/-1/h", Value: []byte(`{}`)},
		{Key: "t/x/h", Value: []byte(`{}`)},
		{Key: "t/1/h", Value: []byte("1")},
	} {
		_, err := decodeRecord(r)
		assert.Error(t, err, "%s %s", r.Key, r.Value)
	}
}

// A task whose end became known late is taken back, also if its offer has not
// been sent yet.
func TestTaskWithdrawalIsSentAndRemovesItsOffer(t *testing.T) {
	now := time.Unix(1000, 0)
	other := lostTask
	other.Index++
	f := &dispatchv1.Frame{}
	addMessage(f, now, host.Offers{Tasks: []offer.Task{
		{Name: lostTask, StartBy: now, Deadline: now}, {Name: other, StartBy: now, Deadline: now},
	}})
	addMessage(f, now, host.TaskWithdrawal{Task: lostTask})
	assert.Equal(t, []host.Message{
		host.TaskWithdrawal{Task: lostTask}, host.Offers{Tasks: []offer.Task{{Name: other, StartBy: now, Deadline: now}}},
	}, messagesFromProto(now, "h", f))
}

// Guards against ends of runs that the receiver of a report does not get, and
// against a list of a newer host that is malformed.
func TestEndsOfRunsAreReported(t *testing.T) {
	report := offer.CapacityReport{QueuedWork: map[int]int64{}, Workers: []offer.WorkerCapacity{
		{ID: "a", Ends: []offer.ExpectedEnd{{In: 70 * time.Millisecond, MilliCPU: 8000}, {In: 20 * time.Millisecond, MilliCPU: 1}}}, {ID: "b"},
	}}
	room := capacityReportToProto(report)
	assert.Equal(t, report, capacityReportFromProto(room))
	room.Workers[0].FreeCpu = room.Workers[0].FreeCpu[:1]
	assert.Len(t, capacityReportFromProto(room).Workers[0].Ends, 1)
}
