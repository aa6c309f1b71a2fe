package identity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/ids"
)

const (
	self  = ids.Incarnation("entry-1~a")
	other = ids.Incarnation("entry-2~a")
	third = ids.Incarnation("entry-3~a")
	long  = time.Hour
)

var (
	epoch = time.Time{}.Add(long)
	fleet = PeerView{Peers: []string{"entry-2", "entry-3"}}
)

// settledTable remembers for longer than its horizon at epoch.
func settledTable(inc ids.Incarnation, limits Limits) *Table {
	return NewTable(epoch.Add(-long), "tamarind", inc, time.Minute, limits)
}

func newTable() *Table { return settledTable(self, Limits{MaxEntries: 100, MaxAnswerBytes: 100}) }

func find[T Action](actions []Action) (T, bool) {
	for _, a := range actions {
		if found, ok := a.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}

func requireAction[T Action](t *testing.T, actions []Action) T {
	t.Helper()
	a, ok := find[T](actions)
	require.True(t, ok, "no %T in %+v", a, actions)
	return a
}

func requireNoRun(t *testing.T, actions []Action) {
	t.Helper()
	_, ok := find[Run](actions)
	require.False(t, ok, "%+v", actions)
}

func promised(from ids.Incarnation) FenceReply {
	return FenceReply{From: from, MemorySpan: time.Minute}
}

// claim lets a later attempt ask, and gives it the replies.
func claimWith(t *testing.T, table *Table, f PeerView, replies ...FenceReply) []Action {
	t.Helper()
	ask := requireAction[SendFence](t, table.Arrive(epoch, Arrival{ID: "r"}, f))
	var actions []Action
	for _, r := range replies {
		actions = append(actions, table.FenceReplied(epoch, "r", ask.Round, r.From.Host(), r)...)
	}
	return actions
}

func TestClaimNeedsEveryProof(t *testing.T) {
	recent := PeerLoss{Ever: true, Ago: time.Second}
	old := PeerLoss{Ever: true, Ago: long}
	tests := []struct {
		name  string
		since time.Duration
		fleet PeerView
		last  FenceReply
		run   bool
	}{
		{"all promise", long, fleet, promised(third), true},
		{"losses before the horizon", long, PeerView{Peers: fleet.Peers, LastLoss: old}, FenceReply{From: third, MemorySpan: time.Minute, LastLoss: old}, true},
		{"a peer was replaced", long, fleet, FenceReply{From: third, MemorySpan: 59 * time.Second}, false},
		{"this host was replaced", 59 * time.Second, fleet, promised(third), false},
		{"a peer lost a host", long, fleet, FenceReply{From: third, MemorySpan: time.Minute, LastLoss: recent}, false},
		{"this host lost a peer", long, PeerView{Peers: fleet.Peers, LastLoss: recent}, promised(third), false},
		{"a peer knows an unknown host", long, fleet, FenceReply{From: third, MemorySpan: time.Minute, KnownHosts: []string{"entry-1", "entry-4"}}, false},
		{"a peer promised a rival that is silent", long, fleet, FenceReply{From: third, MemorySpan: time.Minute, Seen: SeenFenced, Claimant: "entry-2~old"}, false},
		{"a peer promised a rival that gave up", long, fleet, FenceReply{From: third, MemorySpan: time.Minute, Seen: SeenFenced, Claimant: other}, true},
		{"a peer promised this host before", long, fleet, FenceReply{From: third, MemorySpan: time.Minute, Seen: SeenFenced, Claimant: self}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable(epoch.Add(-tt.since), "tamarind", self, time.Minute, Limits{MaxEntries: 10})
			actions := claimWith(t, table, tt.fleet, promised(other), tt.last)
			if tt.run {
				requireAction[Run](t, actions)
				return
			}
			requireNoRun(t, actions)
			result := requireAction[Complete](t, actions).Result
			require.Equal(t, errkind.DuplicateUnresolved, result.Err.Kind)
			require.Equal(t, errkind.Unknown, result.Err.Run)
		})
	}
}

func TestClaimNeedsEveryPeer(t *testing.T) {
	table := newTable()
	ask := requireAction[SendFence](t, table.Arrive(epoch, Arrival{ID: "r"}, fleet))
	require.Empty(t, table.FenceReplied(epoch, "r", ask.Round, "entry-2", promised(other)))
	require.Empty(t, table.FenceReplied(epoch, "r", ask.Round, "entry-2", promised(other)), "a repeated reply counts once")
	actions := table.FenceFailed(epoch, "r", ask.Round, "entry-3")
	requireNoRun(t, actions)
	require.Equal(t, errkind.Unknown, requireAction[Complete](t, actions).Result.Err.Run)
	// The peers can be reached again, and a later attempt proves what the last
	// one could not. Replies of the old round count for nothing.
	again := requireAction[SendFence](t, table.Arrive(epoch, Arrival{ID: "r"}, fleet))
	require.Empty(t, table.FenceReplied(epoch, "r", ask.Round, "entry-3", promised(third)))
	require.Empty(t, table.FenceReplied(epoch, "r", again.Round, "entry-2", promised(other)))
	requireAction[Run](t, table.FenceReplied(epoch, "r", again.Round, "entry-3", promised(third)))
}

func TestHandOver(t *testing.T) {
	first := Arrival{ID: "r", FirstAttempt: true}
	stopping, taking := newTable(), settledTable(other, Limits{MaxEntries: 10})
	stopping.Arrive(epoch, first, fleet)
	require.Equal(t, other, requireAction[Forward](t, stopping.HandOver("r", other)).To)
	reply, _, err := stopping.Fence(epoch, "r", third)
	require.Nil(t, err)
	require.Equal(t, other, reply.Claimant, "the request is no longer owned here")
	requireAction[Run](t, taking.TakeOver(epoch, first, self))
	requireNoRun(t, taking.TakeOver(epoch, first, self))
	taking.Finish(epoch, "r", Result{})
	requireAction[Replay](t, taking.TakeOver(epoch, first, self))

	fencing := settledTable(other, Limits{MaxEntries: 10})
	_, _, err = fencing.Fence(epoch, "r", third)
	require.Nil(t, err)
	refusal := requireAction[Refuse](t, fencing.TakeOver(epoch, first, self)).Err
	require.Equal(t, errkind.NotRun, refusal.Run)
}

func TestClaimForwardsToOwnerWithoutProof(t *testing.T) {
	table := NewTable(epoch, "tamarind", self, time.Minute, Limits{MaxEntries: 10})
	actions := claimWith(t, table, fleet, FenceReply{From: other, Seen: SeenOwned})
	require.Equal(t, other, requireAction[Forward](t, actions).To)
	want := Result{Answer: Answer{Status: 200, Body: []byte("pair 7")}}
	require.Equal(t, want, requireAction[Complete](t, table.ForwardDone(epoch, "r", want)).Result)
}

// TestTwoClaimsHaveOneWinner lets two hosts ask each other at the same time.
func TestTwoClaimsHaveOneWinner(t *testing.T) {
	a, b := newTable(), settledTable(other, Limits{MaxEntries: 10})
	askA := requireAction[SendFence](t, a.Arrive(epoch, Arrival{ID: "r"}, PeerView{Peers: []string{"entry-2"}}))
	askB := requireAction[SendFence](t, b.Arrive(epoch, Arrival{ID: "r"}, PeerView{Peers: []string{"entry-1"}}))
	toB, actions, err := a.Fence(epoch, "r", other)
	require.Nil(t, err)
	require.Empty(t, actions)
	require.Equal(t, SeenFenced, toB.Seen)
	toA, actions, err := b.Fence(epoch, "r", self)
	require.Nil(t, err)
	require.Equal(t, self, requireAction[Forward](t, actions).To, "the larger name yields")
	requireAction[Run](t, a.FenceReplied(epoch, "r", askA.Round, "entry-2", toA))
	requireNoRun(t, b.FenceReplied(epoch, "r", askB.Round, "entry-1", toB))
}

func TestDelayedFirstAttempt(t *testing.T) {
	first := Arrival{ID: "r", FirstAttempt: true}
	t.Run("after its fence", func(t *testing.T) {
		table := newTable()
		_, _, err := table.Fence(epoch, "r", other)
		require.Nil(t, err)
		actions := table.Arrive(epoch.Add(59*time.Second), first, fleet)
		requireNoRun(t, actions)
		require.Equal(t, other, requireAction[Forward](t, actions).To)
	})
	t.Run("at a replaced host that learned the claims", func(t *testing.T) {
		claimant := settledTable(other, Limits{MaxEntries: 10})
		claimant.Arrive(epoch, Arrival{ID: "r"}, fleet)
		replaced := NewTable(epoch, "tamarind", self, time.Minute, Limits{MaxEntries: 10})
		for _, c := range claimant.Claims(epoch) {
			replaced.AddClaim(epoch, c)
		}
		actions := replaced.Arrive(epoch, first, fleet)
		requireNoRun(t, actions)
		require.Equal(t, other, requireAction[Forward](t, actions).To)
	})
}

func TestMintedID(t *testing.T) {
	mine := Arrival{ID: "r", Minter: self, IDAge: time.Second}
	theirs := Arrival{ID: "r", Minter: other}
	table := newTable()
	requireAction[Run](t, table.Arrive(epoch, mine, fleet))
	requireNoRun(t, table.Arrive(epoch, mine, fleet))
	table.Finish(epoch, "r", Result{})
	requireAction[Replay](t, table.Arrive(epoch, mine, fleet))

	expired := mine
	expired.ID, expired.IDAge = "old", 61*time.Second
	require.Equal(t, errkind.Unknown, requireAction[Refuse](t, table.Arrive(epoch, expired, fleet)).Err.Run)

	table = newTable()
	require.Equal(t, other, requireAction[Forward](t, table.Arrive(epoch, theirs, fleet)).To)
	table.ForwardDone(epoch, "r", Result{})
	require.Zero(t, table.Len(), "the minter remembers it")
	theirs.Forwarded = true
	require.Equal(t, errkind.Unknown, requireAction[Refuse](t, table.Arrive(epoch, theirs, fleet)).Err.Run)
}

func TestMismatch(t *testing.T) {
	table := newTable()
	table.Arrive(epoch, Arrival{ID: "r", FirstAttempt: true, Fingerprint: "x"}, fleet)
	refusal := requireAction[Refuse](t, table.Arrive(epoch, Arrival{ID: "r", Fingerprint: "y"}, fleet))
	require.Equal(t, errkind.RequestMismatch, refusal.Err.Kind)
}

func TestIdempotentNeedsNoPromise(t *testing.T) {
	table := newTable()
	r := Arrival{ID: "r", Idempotent: true}
	requireAction[Run](t, table.Arrive(epoch, r, fleet))
	requireNoRun(t, table.Arrive(epoch, r, fleet))
	table.Finish(epoch, "r", Result{Err: errkind.New(errkind.Timeout, "")})
	requireAction[Run](t, table.Arrive(epoch, r, fleet))
	table.Finish(epoch, "r", Result{})
	requireAction[Replay](t, table.Arrive(epoch, r, fleet))
}

func TestMemoryIsBounded(t *testing.T) {
	table := settledTable(self, Limits{MaxEntries: 3, MaxAnswerBytes: 10})
	first := func(now time.Time, id string) []Action {
		return table.Arrive(now, Arrival{ID: id, FirstAttempt: true}, fleet)
	}
	answer := Result{Answer: Answer{Body: []byte("123456")}}
	for i := range 3 {
		requireAction[Run](t, first(epoch, fmt.Sprint(i)))
	}
	require.Equal(t, errkind.NotRun, requireAction[Refuse](t, first(epoch, "3")).Err.Run)
	later := requireAction[Refuse](t, table.Arrive(epoch, Arrival{ID: "3"}, fleet)).Err
	require.Equal(t, errkind.Unknown, later.Run, "an earlier attempt may have run")
	_, _, err := table.Fence(epoch, "3", other)
	require.NotNil(t, err, "no promise that cannot be kept")

	table.Finish(epoch, "0", answer)
	table.Finish(epoch, "1", answer)
	dropped := requireAction[Refuse](t, first(epoch, "0")).Err
	require.Equal(t, errkind.Ran, dropped.Run)
	requireAction[Replay](t, first(epoch, "1"))
	requireAction[Refuse](t, first(epoch.Add(59*time.Second), "3"))

	table.Finish(epoch, "2", Result{Err: errkind.New(errkind.Overloaded, "")})
	requireAction[Run](t, first(epoch, "3"))
	requireAction[Run](t, first(epoch.Add(time.Minute), "4"))
	require.Equal(t, 2, table.Len(), "3 runs and 4 runs")
}

func TestRaisedHorizonDoesNotExtendMemory(t *testing.T) {
	table := newTable()
	table.SetHorizon(epoch, 10*time.Minute)
	require.Equal(t, time.Minute, table.MemorySpan(epoch))
	require.Equal(t, 10*time.Minute, table.MemorySpan(epoch.Add(9*time.Minute)))
}

func BenchmarkArriveAndFinish(b *testing.B) {
	table := settledTable(self, Limits{MaxEntries: 200_000, MaxAnswerBytes: 64 << 20})
	now := epoch
	names := make([]string, 100_000)
	for i := range names {
		names[i] = fmt.Sprint("request-", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := names[i%len(names)]
		now = now.Add(time.Millisecond)
		table.Arrive(now, Arrival{ID: id, FirstAttempt: true, Fingerprint: "f"}, fleet)
		table.Finish(now, id, Result{})
	}
}

// BenchmarkMemory prints the memory of remembered ids in bytes an id.
func BenchmarkMemory(b *testing.B) {
	const held = 100_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := settledTable(self, Limits{MaxEntries: held, MaxAnswerBytes: 64 << 20})
		for i := range held {
			id := fmt.Sprintf("request-%036d", i)
			table.Arrive(epoch, Arrival{ID: id, FirstAttempt: true, Fingerprint: "0123456789abcdef"}, fleet)
			table.Finish(epoch, id, Result{Answer: Answer{Status: 200, Backend: "backend-1"}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(table)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/held, "B/id")
}
