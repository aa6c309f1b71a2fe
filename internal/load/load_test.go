package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

var testWorkload = Workload{Name: "t", Rate: 200, Duration: 10 * time.Second, Seed: 7, Targets: 3, IdempotentShare: 0.25, Mix: DefaultMix}

var testOptions = Options{Attempts: 1, Deadline: time.Minute, RoundTrip: time.Millisecond}

// sendFunc adapts a function to Sender.
type sendFunc func(ctx context.Context, a Attempt) Outcome

func (f sendFunc) Send(ctx context.Context, a Attempt) Outcome { return f(ctx, a) }

func arrivals(w Workload) []Arrival {
	var all []Arrival
	for s := NewSchedule(w); ; {
		a, ok := s.Next()
		if !ok {
			return all
		}
		all = append(all, a)
	}
}

func TestScheduleFollowsWorkload(t *testing.T) {
	w := testWorkload
	w.Duration = 100 * time.Second
	all := arrivals(w)
	require.Equal(t, all, arrivals(w))
	w.Seed++
	require.NotEqual(t, all, arrivals(w))
	n := float64(len(all))
	require.InEpsilon(t, 20_000, n, 0.03)
	var long, idempotent, short int
	perTarget := map[int]int{}
	var total time.Duration
	for _, a := range all {
		total += a.RunTime
		perTarget[a.Target]++
		switch {
		case a.RunTime >= DefaultMix.LongMin && a.RunTime <= DefaultMix.LongMax:
			long++
		case a.RunTime >= DefaultMix.ShortMin && a.RunTime <= DefaultMix.ShortMax:
			short++
		}
		if a.Idempotent {
			idempotent++
		}
	}
	require.Equal(t, len(all), long+short)
	require.InDelta(t, 0.02, float64(long)/n, 0.005)
	require.InDelta(t, 0.25, float64(idempotent)/n, 0.02)
	require.InEpsilon(t, float64(DefaultMix.Mean()), float64(total)/n, 0.03)
	require.Len(t, perTarget, 3)
	for _, count := range perTarget {
		require.InDelta(t, 1.0/3, float64(count)/n, 0.02)
	}
}

// TestArrivalsDoNotWaitForAnswers uses a sender that takes 20 s per request at
// 200 requests per second: arrivals must still keep to their schedule.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := sendFunc(func(context.Context, Attempt) Outcome {
			<-time.After(20 * time.Second)
			return Outcome{}
		})
		r := Run(t.Context(), testWorkload, testOptions, slow)
		require.Len(t, arrivals(testWorkload), r.Offered)
		require.Equal(t, r.Offered, r.Answered)
		require.Less(t, r.LagMs.Max, 0.1)
		require.InEpsilon(t, 20_000, r.ResponseMs.P99, 0.01)
		require.Less(t, r.Seconds, 30.1)
	})
}

func TestIdealAnswersHaveSlowdownOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ideal := sendFunc(func(_ context.Context, a Attempt) Outcome {
			<-time.After(a.RunTime + time.Millisecond)
			return Outcome{ExtraMessages: 2}
		})
		r := Run(t.Context(), testWorkload, testOptions, ideal)
		require.InDelta(t, 1, r.Slowdown.Mean, 0.002)
		require.InDelta(t, 1, r.Slowdown.P999, 0.002)
		require.InDelta(t, 2, r.ExtraPerRequest, 0)
		require.Greater(t, r.ResponseMs.P999, 2000.0)
		require.False(t, r.HasViolations())
	})
}

// TestRetriesOnlyWhereSafe ends every attempt with the same outcome and checks
// the number of attempts, their attempt header, targets and delays.
func TestRetriesOnlyWhereSafe(t *testing.T) {
	cases := []struct {
		name       string
		out        Outcome
		idempotent bool
		attempts   int
		minDelay   time.Duration
	}{
		{name: "answered", out: Outcome{}, attempts: 1},
		{name: "not run", out: Outcome{Err: errkind.New(errkind.Overloaded, "x")}, attempts: 4, minDelay: 350 * time.Millisecond},
		{name: "not run, with Retry-After", out: Outcome{Err: errkind.New(errkind.Overloaded, "x"), RetryAfter: 2 * time.Second}, attempts: 4, minDelay: 6 * time.Second},
		{name: "not run, must not be retried", out: Outcome{Err: errkind.New(errkind.TooLarge, "x")}, attempts: 1},
		{name: "unknown outcome", out: Outcome{Err: errkind.New(errkind.Timeout, "x")}, attempts: 4},
		{name: "ran", out: Outcome{Err: errkind.New(errkind.BackendFailed, "x")}, attempts: 1},
		{name: "ran, idempotent", out: Outcome{Err: errkind.New(errkind.BackendFailed, "x")}, idempotent: true, attempts: 4},
		{name: "deadline before the next attempt", out: Outcome{Err: errkind.New(errkind.Overloaded, "x"), RetryAfter: time.Minute}, attempts: 1},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			sent := map[string][]Attempt{}
			sender := sendFunc(func(_ context.Context, a Attempt) Outcome {
				mu.Lock()
				defer mu.Unlock()
				sent[a.ID] = append(sent[a.ID], a)
				return c.out
			})
			w := testWorkload
			w.Duration = time.Second
			w.IdempotentShare = 0
			if c.idempotent {
				w.IdempotentShare = 1
			}
			o := testOptions
			o.Attempts = 4
			r := Run(t.Context(), w, o, sender)
			require.Equal(t, c.attempts*r.Offered, r.Attempts, c.name)
			require.EqualValues(t, r.Attempts-r.Offered, r.ExtraMessages, c.name)
			for _, attempts := range sent {
				for i, a := range attempts {
					require.Equal(t, i+1, a.Number, c.name)
					if c.out.Err != nil && c.out.Err.Run == errkind.NotRun {
						require.Equal(t, 1, a.AttemptHeader, c.name)
					} else {
						require.Equal(t, i+1, a.AttemptHeader, c.name)
					}
					require.Equal(t, (attempts[0].Target+i)%w.Targets, a.Target, c.name)
				}
				last := attempts[len(attempts)-1]
				require.GreaterOrEqual(t, attempts[0].Deadline-last.Deadline, c.minDelay, c.name)
			}
			if c.out.Err != nil {
				require.Equal(t, r.Offered, r.Kinds[c.out.Err.Kind], c.name)
				require.Equal(t, r.Offered, r.Runs[c.out.Err.Run], c.name)
			}
		})
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		stuck := sendFunc(func(ctx context.Context, _ Attempt) Outcome {
			<-ctx.Done()
			return Outcome{Err: errkind.New(errkind.Timeout, "x")}
		})
		r := Run(ctx, testWorkload, testOptions, stuck)
		require.InDelta(t, 1, r.Seconds, 0.01)
		require.Equal(t, r.Offered, r.Failed)
	})
}

// TestCheckLedgerFindsViolations covers doubled starts of non-idempotent requests
// and starts of requests that were answered as not run.
func TestCheckLedgerFindsViolations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := errkind.New(errkind.Overloaded, "x")
		sender := sendFunc(func(_ context.Context, a Attempt) Outcome {
			if a.Idempotent {
				return Outcome{}
			}
			return Outcome{Err: refuse}
		})
		r := Run(t.Context(), testWorkload, testOptions, sender)
		var once, many string
		for _, a := range arrivals(testWorkload) {
			if a.Idempotent {
				many = a.ID
			} else {
				once = a.ID
			}
		}
		cases := []struct {
			starts               map[string]int
			doubled, falseNotRun int
		}{
			{map[string]int{many: 2, "other": 9}, 0, 0},
			{map[string]int{once: 1}, 0, 1},
			{map[string]int{once: 2}, 1, 1},
		}
		for _, c := range cases {
			r.CheckLedger(c.starts)
			require.Equal(t, c.doubled, *r.Doubled)
			require.Equal(t, c.falseNotRun, *r.FalseNotRun)
			require.Equal(t, c.falseNotRun > 0, r.HasViolations())
		}
	})
}

// roundTrip adapts a function to http.RoundTripper.
type roundTrip func(r *http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func TestHTTPSenderSetsHeadersAndDetectsCrossedAnswers(t *testing.T) {
	cases := []struct {
		name, header, body string
		crossed            bool
	}{
		{"own answer", "t-1", `{"request":"t-1"}`, false},
		{"body of another request", "t-1", `{"request":"t-2"}`, true},
		{"header of another request", "t-2", `{"request":"t-1"}`, true},
		{"not JSON", "t-1", `<html>`, true},
	}
	for _, c := range cases {
		var sent *http.Request
		transport := roundTrip(func(r *http.Request) (*http.Response, error) {
			sent = r
			h := http.Header{}
			h.Set(callerapi.HeaderRequestID, c.header)
			h.Set(callerapi.HeaderExtraMessages, "3")
			return &http.Response{StatusCode: http.StatusOK, Header: h, Body: io.NopCloser(strings.NewReader(c.body))}, nil
		})
		s := &HTTPSender{URLs: []string{"http://a:1", "http://b:1"}, Customer: "tamarind", Transport: transport}
		out := s.Send(t.Context(), Attempt{Arrival: Arrival{ID: "t-1", RunTime: 80 * time.Millisecond}, Number: 3, AttemptHeader: 2, Target: 1, Deadline: time.Second})
		require.Nil(t, out.Err, c.name)
		require.Equal(t, c.crossed, out.Crossed, c.name)
		require.EqualValues(t, 3, out.ExtraMessages)
		require.Equal(t, "b:1", sent.URL.Host)
		require.Equal(t, "2", sent.Header.Get(callerapi.HeaderAttempt))
		require.Equal(t, "1000", sent.Header.Get(callerapi.HeaderDeadline))
	}
}

func TestHTTPSenderReportsNotRunIfDialFails(t *testing.T) {
	refused := roundTrip(func(*http.Request) (*http.Response, error) { return nil, errors.New("connection refused") })
	s := &HTTPSender{URLs: []string{"http://a:1"}, Transport: refused}
	out := s.Send(t.Context(), Attempt{Deadline: time.Second})
	require.Equal(t, errkind.NotRun, out.Err.Run)
}
