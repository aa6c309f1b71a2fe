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

// listFunc implements platform.HostList with a function.
type listFunc func() (platform.Hosts, error)

func (f listFunc) Hosts(context.Context) (platform.Hosts, error) { return f() }

// peerList implements HostPeers with one list.
type peerList platform.Hosts

func (p peerList) FetchHosts(_ context.Context, after int64) (platform.Hosts, string, bool) {
	return platform.Hosts(p), "http://10.1.0.2:7301", p.Version > after
}

type recorder struct{ records []decision.Record }

func (r *recorder) Record(d decision.Record) { r.records = append(r.records, d) }

func hostList(version int64, names ...string) platform.Hosts {
	h := platform.Hosts{Version: version}
	for _, name := range names {
		h.Hosts = append(h.Hosts, platform.Host{Name: name, State: platform.HostLive})
	}
	return h
}

func TestHostListFromPeerWhenPlatformFails(t *testing.T) {
	down := errors.New("connection refused")
	tests := []struct {
		name    string
		last    platform.Hosts
		err     error
		peer    platform.Hosts
		want    platform.Hosts
		records int
	}{
		{"a new host uses the list of a peer", platform.Hosts{}, down, hostList(4, "backend-1"), hostList(4, "backend-1"), 1},
		{"an empty list counts as an outage", hostList(3, "backend-1"), nil, hostList(4, "backend-2"), hostList(4, "backend-2"), 1},
		{"an older list of a peer is ignored", hostList(5, "backend-1"), down, hostList(4, "backend-2"), hostList(5, "backend-1"), 0},
		{"an empty list of a peer is ignored", hostList(3, "backend-1"), down, hostList(9), hostList(3, "backend-1"), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list := listFunc(func() (platform.Hosts, error) { return platform.Hosts{}, tt.err })
			h := NewHosts(list, log.New(io.Discard), time.Second)
			var decisions recorder
			h.Attach(peerList(tt.peer), &decisions)
			if tt.last.Version > 0 {
				h.store(tt.last)
			}
			h.readOnce(t.Context())
			require.Equal(t, tt.want.Hosts, h.Hosts())
			require.Len(t, decisions.records, tt.records)
		})
	}
}
