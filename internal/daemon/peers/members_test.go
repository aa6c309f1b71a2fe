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

// TestCost bounds the bytes that a host spends on its peers while nothing
// happens.
func TestCost(t *testing.T) {
	const bound, seconds = 11 * 1024, 20
	eachSize(t, fleetSizes, func(t *testing.T, f *fleet) {
		pause(10 * time.Second)
		before := f.bytes.Load()
		pause(seconds * time.Second)
		// A host counts its calls; those that it answers count as much again.
		perHost := 2 * (f.bytes.Load() - before) / seconds / int64(len(f.hosts))
		t.Logf("%d hosts: %d bytes a second and host", len(f.hosts), perHost)
		require.Less(t, perHost, int64(bound))
	})
}

func TestHangingPeerHarmsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.inForce(0, f.hosts)
		f.inForce(f.change(), f.hosts)
		f.setCut(func(a, b string) bool { return b != "log" && (a == "entry-3" || b == "entry-3") })
		pause(20 * time.Second)
		for _, h := range f.hosts {
			for _, p := range h.members.Peers() {
				require.Equal(t, h.name != "entry-3" && p.Host != "entry-3", p.Reachable, "%s sees %s", h.name, p.Host)
			}
		}
		f.inForce(f.change(), f.hosts)
	})
}

// TestBadAnswers pings a peer that answers wrongly.
func TestBadAnswers(t *testing.T) {
	cases := []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"not found", http.NotFound},
		{"garbage", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			_, _ = w.Write([]byte("\xff\xff garbage"))
		}},
		{"another content type", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }},
		{"too long", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/proto")
			_, _ = w.Write(make([]byte, maxReplyBytes+1))
		}},
		{"empty", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Type", "application/proto") }},
		{"closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
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
				pause(5 * time.Second)
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
