package peers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIdlePeerTraffic checks a limit on the bytes that a host exchanges with its
// peers while nothing changes.
func TestIdlePeerTraffic(t *testing.T) {
	const bound, seconds = 11 * 1024, 20
	forEachSize(t, fleetSizes, func(t *testing.T, f *fleet) {
		sleep(10 * time.Second)
		before := f.bytes.Load()
		sleep(seconds * time.Second)
		// The counter covers the calls that hosts make; the calls that they answer
		// are as many again.
		perHost := 2 * (f.bytes.Load() - before) / seconds / int64(len(f.hosts))
		t.Logf("%d hosts: %d bytes per second and host", len(f.hosts), perHost)
		require.Less(t, perHost, int64(bound))
	})
}

func TestHangingPeerDoesNotAffectOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.waitInForce(0, f.hosts)
		f.waitInForce(f.appendChange(), f.hosts)
		f.setPartition(func(a, b string) bool { return b != "log" && (a == "entry-3" || b == "entry-3") })
		sleep(20 * time.Second)
		for _, h := range f.hosts {
			for _, p := range h.members.Peers() {
				require.Equal(t, h.name != "entry-3" && p.Host != "entry-3", p.Reachable, "%s sees %s", h.name, p.Host)
			}
		}
		f.waitInForce(f.appendChange(), f.hosts)
	})
}

// TestBadPingResponses checks that a peer with an invalid response does not
// become reachable, and that fetching its configuration fails unless the
// response is empty, which is a valid reply to that call.
func TestBadPingResponses(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"not found", http.NotFound},
		{"garbage", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			_, _ = w.Write([]byte("\xff\xff garbage"))
		}},
		{"wrong content type", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }},
		{"response too large", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			_, _ = w.Write(make([]byte, maxReplyBytes+1))
		}},
		{"empty", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Type", "application/proto") }},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"hanging", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, "bad")
				server := &http.Server{Handler: c.answer, ReadHeaderTimeout: time.Minute, ErrorLog: nil}
				listener := f.net.Listen("bad")
				go func() { _ = server.Serve(listener) }()
				defer func() { _ = server.Close() }()
				sleep(5 * time.Second)
				p, ok := f.hosts[0].members.Lookup("bad")
				require.True(t, ok)
				require.False(t, p.Reachable)
				_, err := NewConfigClient(f.hosts[0].members, f.hosts[0].members.client).FetchConfig(t.Context(), 0, "")
				if c.name != "empty" {
					require.Error(t, err)
				}
				require.False(t, errors.Is(err, context.Canceled))
			})
		})
	}
}
