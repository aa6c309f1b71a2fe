package platform_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/platform"
	standinplatform "github.com/parsleyhill/parsleyhill/internal/standin/platform"
)

// callTimeout bounds the calls of the tests. Slow cases cancel their calls
// themselves before it expires.
const callTimeout = time.Minute

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.URL
}

// answers returns a handler that replies to every call with the status and body.
func answers(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
}

// aborts is a handler that closes the connection without a reply.
var aborts = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })

// TestInvalidReplies checks the errors that the clients return for failed calls
// and invalid replies. An append may be reported as ErrUnavailable only if it
// certainly had no effect.
func TestInvalidReplies(t *testing.T) {
	closed := httptest.NewServer(aborts)
	closed.Close()
	cases := []struct {
		name         string
		url          string
		append, read error
	}{
		{"connection refused", closed.URL, platform.ErrUnavailable, platform.ErrUnavailable},
		{"unusable address", "http://127.0.0.1:0", platform.ErrUnavailable, platform.ErrUnavailable},
		{"service unavailable", serve(t, answers(http.StatusServiceUnavailable, "")), platform.ErrUnavailable, platform.ErrUnavailable},
		{"internal error", serve(t, answers(http.StatusInternalServerError, "")), platform.ErrUnknown, platform.ErrUnavailable},
		{"bad gateway", serve(t, answers(http.StatusBadGateway, "")), platform.ErrUnknown, platform.ErrUnavailable},
		{"not JSON", serve(t, answers(http.StatusOK, "<html>")), platform.ErrUnknown, platform.ErrUnavailable},
		{"truncated JSON", serve(t, answers(http.StatusOK, `{"offset": `)), platform.ErrUnknown, platform.ErrUnavailable},
		{"connection dropped", serve(t, aborts), platform.ErrUnknown, platform.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			l := platform.NewHTTPLog(c.url, &http.Client{})
			_, err := l.Append(ctx, platform.StreamConfig, [][]byte{[]byte("x")})
			require.ErrorIs(t, err, c.append)
			require.Equal(t, errors.Is(c.append, platform.ErrUnknown), platform.IsUnknown(err))
			_, err = l.Read(ctx, platform.StreamConfig, 0)
			require.ErrorIs(t, err, c.read)
			_, err = platform.NewHTTPHostList(c.url, &http.Client{}).Hosts(ctx)
			require.Error(t, err)
		})
	}
}

// TestLogContract runs the client against the stand-in log service.
func TestLogContract(t *testing.T) {
	cases := []struct {
		name   string
		faults standinplatform.Faults
		append error
		read   error
		// records is the number of records that the log stored.
		records int
	}{
		{"good", standinplatform.Faults{}, nil, nil, 3},
		{"down", standinplatform.Faults{Down: true}, platform.ErrUnavailable, platform.ErrUnavailable, 2},
		{"reply lost", standinplatform.Faults{LoseReplies: 1}, platform.ErrUnknown, nil, 3},
		{"slow", standinplatform.Faults{SlowMs: 20}, nil, nil, 3},
		{"trimmed", standinplatform.Faults{Retain: 1}, nil, platform.ErrTrimmed, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			server := standinplatform.NewServer(nil)
			l := platform.NewHTTPLog(serve(t, server.Handler()), &http.Client{})
			offset, err := l.Append(ctx, platform.StreamConfig, [][]byte{[]byte("a"), []byte("b")})
			require.NoError(t, err)
			require.EqualValues(t, 1, offset)
			server.Log.SetFaults(c.faults)
			_, err = l.Append(ctx, platform.StreamConfig, [][]byte{[]byte("c")})
			require.ErrorIs(t, err, c.append)
			page, err := l.Read(ctx, platform.StreamConfig, 0)
			require.ErrorIs(t, err, c.read)
			if c.read == nil {
				require.Len(t, page.Entries, c.records)
				require.EqualValues(t, 1, page.Entries[0].Offset)
			}
			if errors.Is(c.read, platform.ErrTrimmed) {
				require.EqualValues(t, 3, page.First)
			}
			server.Log.SetFaults(standinplatform.Faults{})
			page, err = l.Read(ctx, platform.StreamConfig, int64(c.records)-1)
			require.NoError(t, err)
			require.EqualValues(t, c.records, page.Last)
		})
	}
}

// TestAppendEndsWithItsContext checks that an append to a service that does not
// reply ends when its context is cancelled, and that the error says that the
// records may have been written.
func TestAppendEndsWithItsContext(t *testing.T) {
	arrived := make(chan struct{}, 1)
	l := platform.NewHTTPLog(serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-r.Context().Done()
	})), &http.Client{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := l.Append(ctx, platform.StreamConfig, [][]byte{[]byte("x")})
	require.ErrorIs(t, err, platform.ErrUnknown)
}

func TestHostListContract(t *testing.T) {
	host := platform.Host{Name: "entry-1", Role: platform.RoleEntry, State: platform.HostLive}
	cases := []struct {
		name   string
		faults standinplatform.Faults
		hosts  int
		failed bool
	}{
		{"good", standinplatform.Faults{}, 1, false},
		{"down", standinplatform.Faults{HostsDown: true}, 0, true},
		{"empty", standinplatform.Faults{HostsEmpty: true}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := standinplatform.NewServer([]platform.Host{host})
			server.Log.SetFaults(c.faults)
			hosts, err := platform.NewHTTPHostList(serve(t, server.Handler()), &http.Client{}).Hosts(t.Context())
			require.Equal(t, c.failed, err != nil)
			require.Len(t, hosts.Hosts, c.hosts)
		})
	}
}

// countingWriter counts the bytes of response bodies.
type countingWriter struct {
	http.ResponseWriter
	bytes *int
}

func (w countingWriter) Write(b []byte) (int, error) {
	*w.bytes += len(b)
	return w.ResponseWriter.Write(b)
}

func TestUnchangedHostListIsNotTransferred(t *testing.T) {
	server := standinplatform.NewServer([]platform.Host{{Name: "entry-1", State: platform.HostLive}})
	inner, sent := server.Handler(), 0
	counting := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { inner.ServeHTTP(countingWriter{w, &sent}, r) })
	url := serve(t, counting)
	list := platform.NewHTTPHostList(url, &http.Client{})
	first, err := list.Hosts(t.Context())
	require.NoError(t, err)
	sent = 0
	again, err := list.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, first, again)
	require.Zero(t, sent, "bytes sent for an unchanged list")

	server.Log.SetFaults(standinplatform.Faults{HostsEmpty: true})
	empty, err := list.Hosts(t.Context())
	require.NoError(t, err)
	require.Empty(t, empty.Hosts, "the cached list must not hide an outage")
	server.Log.SetFaults(standinplatform.Faults{})
	restored, err := list.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, first, restored)
}
