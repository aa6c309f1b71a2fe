package follower

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decision"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// listFunc is a platform.HostList.
type listFunc func() (platform.Hosts, error)

func (f listFunc) Hosts(context.Context) (platform.Hosts, error) { return f() }

// peerList is a HostPeers with one reading.
type peerList platform.Hosts

func (p peerList) FetchHosts(_ context.Context, after int64) (platform.Hosts, string, bool) {
	return platform.Hosts(p), "http://10.1.0.2:7301", p.Version > after
}

type records struct{ kept []decision.Record }

func (r *records) Record(d decision.Record) { r.kept = append(r.kept, d) }

func reading(version int64, names ...string) platform.Hosts {
	h := platform.Hosts{Version: version}
	for _, name := range names {
		h.Hosts = append(h.Hosts, platform.Host{Name: name, State: platform.HostLive})
	}
	return h
}

func TestHostListFromPeerWhenPlatformFails(t *testing.T) {
	down := errors.New("connection refused")
	tests := []struct {
		name string
		held platform.Hosts
		err  error
		peer platform.Hosts
		want platform.Hosts
		told int
	}{
		{"a new host takes the list of a peer", platform.Hosts{}, down, reading(4, "backend-1"), reading(4, "backend-1"), 1},
		{"an empty list is an outage", reading(3, "backend-1"), nil, reading(4, "backend-2"), reading(4, "backend-2"), 1},
		{"an older list is not taken", reading(5, "backend-1"), down, reading(4, "backend-2"), reading(5, "backend-1"), 0},
		{"an empty list of a peer is not taken", reading(3, "backend-1"), down, reading(9), reading(3, "backend-1"), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list := listFunc(func() (platform.Hosts, error) { return platform.Hosts{}, tt.err })
			h := NewHosts(list, log.New(io.Discard), time.Second)
			var told records
			h.Attach(peerList(tt.peer), &told)
			if tt.held.Version > 0 {
				h.store(tt.held)
			}
			h.readOnce(t.Context())
			require.Equal(t, tt.want.Hosts, h.Hosts())
			require.Len(t, told.kept, tt.told)
		})
	}
}
