package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

func TestDecide(t *testing.T) {
	refused := errkind.New(errkind.BackendRefused, "")
	lost := errkind.New(errkind.BackendLost, "")
	failed := errkind.New(errkind.BackendFailed, "")
	timeout := errkind.New(errkind.Timeout, "")
	tests := []struct {
		name    string
		failure Failure
		rule    string
		again   bool
	}{
		{"refused", Failure{Err: refused, Sends: 1, Remaining: time.Second}, "not-run", true},
		{"not written", Failure{Err: lost.WithRun(errkind.NotRun), Sends: 1, Remaining: time.Second}, "not-run", true},
		{"lost", Failure{Err: lost, Sends: 1, Remaining: time.Second}, "may-have-run", false},
		{"failed", Failure{Err: failed, Sends: 1, Remaining: time.Second}, "may-have-run", false},
		{"lost, idempotent", Failure{Err: lost, Idempotent: true, Sends: 1, Remaining: time.Second}, "idempotent", true},
		{"failed, idempotent", Failure{Err: failed, Idempotent: true, Sends: 1, Remaining: time.Second}, "idempotent", true},
		{"out of time, idempotent", Failure{Err: timeout, Idempotent: true, Sends: 1, Remaining: time.Second}, "deadline", false},
		{"no time left", Failure{Err: refused, Sends: 1}, "deadline", false},
		{"no time for the delay", Failure{Err: refused, Sends: 2, Remaining: baseDelay / 2}, "deadline", false},
		{"sent too often", Failure{Err: refused, Sends: maxSends, Remaining: time.Minute}, "sends", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := New(0.1).Decide(tt.failure)
			require.Equal(t, tt.rule, v.Rule)
			require.Equal(t, tt.again, v.Retry)
		})
	}
}

func TestSuccessesRefillRetryBudget(t *testing.T) {
	p := New(0.1)
	again := 0
	try := func() {
		if p.Decide(Failure{ID: fmt.Sprint(again), Err: errkind.New(errkind.BackendRefused, ""), Sends: 1, Remaining: time.Second}).Retry {
			again++
		}
	}
	for range 10 * burst {
		try()
	}
	require.Equal(t, burst, again)
	for range 100 {
		p.RecordSuccess()
	}
	for range 10 * burst {
		try()
	}
	require.InDelta(t, burst+10, again, 1)
}

func TestRetryDelayGrows(t *testing.T) {
	for sends, most := range map[int]time.Duration{1: 0, 2: 30 * time.Millisecond, 3: 60 * time.Millisecond} {
		for i := range 100 {
			d := delay(Failure{ID: fmt.Sprint(i), Sends: sends})
			require.LessOrEqual(t, d, most)
			require.GreaterOrEqual(t, d, most/3)
		}
	}
}

func TestCombineRunStates(t *testing.T) {
	states := []errkind.RunState{errkind.NotRun, errkind.Unknown, errkind.Ran}
	for i, a := range states {
		for j, b := range states {
			require.Equal(t, states[max(i, j)], CombineRunStates(a, b))
		}
	}
	require.Equal(t, errkind.NotRun, CombineRunStates("", errkind.NotRun), "never sent")
}
