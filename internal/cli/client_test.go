package cli

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/callerapi"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

func writePairAnswer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(callerapi.HeaderRequestID, r.Header.Get(callerapi.HeaderRequestID))
	w.Header().Set(callerapi.HeaderBackend, "backend-3")
	w.Header().Set(callerapi.HeaderHost, "entry-1")
	w.Header().Set(callerapi.HeaderExtraMessages, "2")
	_, _ = w.Write([]byte("paired\n"))
}

// TestFailoverOnlyWhereSafe produces each outcome at the first entry host and
// counts the calls that reach the second one.
func TestFailoverOnlyWhereSafe(t *testing.T) {
	timeout := errkind.New(errkind.Timeout, "no answer in time")
	cases := []struct {
		name          string
		first         fakeHost
		nonIdempotent int // sends to the second host of a non-idempotent request
		idempotent    int // sends to the second host of an idempotent request
		kind          errkind.Kind
		text          string
	}{
		{name: "dial refused", first: fakeHost{refuseDial: true}, nonIdempotent: 1, idempotent: 1},
		{name: "not ready", first: fakeHost{handler: respondWithError(errkind.New(errkind.NotReady, "x"))}, nonIdempotent: 1, idempotent: 1},
		{name: "stopping", first: fakeHost{handler: respondWithError(errkind.New(errkind.Stopping, "x"))}, nonIdempotent: 1, idempotent: 1},
		{name: "no backend", first: fakeHost{handler: respondWithError(errkind.New(errkind.NoBackend, "x"))}, nonIdempotent: 1, idempotent: 1},
		{name: "no backend without proof", first: fakeHost{handler: respondWithError(errkind.New(errkind.NoBackend, "x").WithRun(errkind.Unknown))}, idempotent: 1, kind: errkind.NoBackend, text: "unknown whether"},
		{name: "reply lost", first: fakeHost{loseReply: true}, idempotent: 1, kind: errkind.PeerUnreachable, text: "unknown whether"},
		{name: "timeout", first: fakeHost{handler: respondWithError(timeout)}, kind: errkind.Timeout, text: "unknown whether"},
		{name: "ran and failed", first: fakeHost{handler: respondWithError(errkind.New(errkind.BackendFailed, "x"))}, kind: errkind.BackendFailed, text: "it was run"},
		{name: "overloaded", first: fakeHost{handler: respondWithError(errkind.New(errkind.Overloaded, "x"))}, kind: errkind.Overloaded, text: "it was not run"},
		{name: "bad request", first: fakeHost{handler: respondWithError(errkind.New(errkind.BadRequest, "x"))}, kind: errkind.BadRequest, text: "it was not run"},
	}
	for _, c := range cases {
		for _, idempotent := range []bool{false, true} {
			first := c.first
			second := &fakeHost{handler: writePairAnswer}
			args := []string{"request", "-url", "http://a:1,http://b:1", "-customer", "tamarind", "-id", "pair-1", "{}"}
			wanted := c.nonIdempotent
			if idempotent {
				args = append(args, "-idempotent")
				wanted = c.idempotent
			}
			got := run(t, fakeHosts{"a:1": &first, "b:1": second}, "", args...)
			require.Len(t, second.calls, wanted, "%s, idempotent %t", c.name, idempotent)
			if wanted == 1 {
				require.Equal(t, exitOK, got.status, "%s: %s", c.name, got.err)
				require.Contains(t, got.out, "pair-1 answered by backend-3 through entry-1")
				continue
			}
			require.Equal(t, errkind.Lookup(c.kind).Exit, got.status, c.name)
			require.Contains(t, got.err, string(c.kind)+":")
			require.Contains(t, got.err, c.text)
			require.Contains(t, got.err, "id: ")
		}
	}
}

// TestUnknownOutcomeOutlastsLaterRefusal checks that a later refusal does not
// hide that an earlier send may have run.
func TestUnknownOutcomeOutlastsLaterRefusal(t *testing.T) {
	f := fakeHosts{"a:1": {loseReply: true}, "b:1": {refuseDial: true}}
	got := run(t, f, "", "request", "-url", "http://a:1", "-url", "http://b:1", "-customer", "tamarind", "-idempotent", "-json", "{}")
	var doc errkind.Document
	require.NoError(t, json.Unmarshal([]byte(got.err), &doc))
	require.Equal(t, errkind.Unknown, doc.Run)
	require.Equal(t, errkind.PeerUnreachable, doc.Kind)
	require.Equal(t, errkind.Lookup(errkind.PeerUnreachable).Exit, got.status)
}

func TestNoHostReachedIsNotRun(t *testing.T) {
	got := run(t, fakeHosts{}, "", "request", "-customer", "tamarind", "-json", "{}")
	require.Contains(t, got.err, `"run":"not_run"`)
}

// TestInvalidAnswers checks that after an answer that no entry host sends, such
// as a proxy's, the command reports that it is unknown whether the work was run.
func TestInvalidAnswers(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		kind    errkind.Kind
	}{
		{"no error document", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "proxy", http.StatusBadGateway) }, errkind.Internal},
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, errkind.AnswerInvalid},
	}
	for _, c := range cases {
		got := run(t, fakeHosts{"127.0.0.1:7101": {handler: c.handler}}, `{}`, "job", "submit", "-")
		require.Equal(t, errkind.Lookup(c.kind).Exit, got.status, c.name)
		require.Contains(t, got.err, "unknown whether it was run", c.name)
	}
}
