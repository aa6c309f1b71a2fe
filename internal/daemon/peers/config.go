package peers

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"connectrpc.com/connect"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/daemon/follower"
	"github.com/parsleyhill/parsleyhill/internal/decide/config"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// maxFetchPeers is the maximum number of peers that one fetch asks.
const maxFetchPeers = 3

// ConfigClient fetches configuration from peers. It implements
// follower.ConfigPeers.
type ConfigClient struct {
	directory Directory
	client    *http.Client
}

// NewConfigClient returns a client of the configuration protocol.
func NewConfigClient(d Directory, client *http.Client) *ConfigClient {
	return &ConfigClient{directory: d, client: client}
}

// NewestVersion implements follower.ConfigPeers.
func (c *ConfigClient) NewestVersion() int64 {
	var newest int64
	for _, p := range c.directory.Peers() {
		if p.Reachable {
			newest = max(newest, p.Version)
		}
	}
	return newest
}

// FetchConfig implements follower.ConfigPeers.
func (c *ConfigClient) FetchConfig(ctx context.Context, after int64, chain string) (follower.ConfigDelta, error) {
	failures := []error{errors.New("no peer returned a configuration")}
	for _, p := range c.sources() {
		delta, err := c.fetch(ctx, p, after, chain)
		if err == nil {
			return delta, nil
		}
		failures = append(failures, err)
	}
	return follower.ConfigDelta{}, errors.Join(failures...)
}

// sources returns the peers to ask: reachable ones first, and within each group
// those with the newest configuration first.
func (c *ConfigClient) sources() []Peer {
	peers := slices.DeleteFunc(c.directory.Peers(), func(p Peer) bool { return p.URL == "" })
	slices.SortStableFunc(peers, func(a, b Peer) int {
		if a.Reachable != b.Reachable {
			if a.Reachable {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.Version, a.Version)
	})
	return peers[:min(len(peers), maxFetchPeers)]
}

func (c *ConfigClient) fetch(ctx context.Context, p Peer, after int64, chain string) (follower.ConfigDelta, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := peerv1connect.NewConfigServiceClient(c.client, p.URL, connect.WithReadMaxBytes(maxReplyBytes))
	resp, err := client.FetchRecords(ctx, connect.NewRequest(&peerv1.FetchRecordsRequest{After: after, Chain: chain}))
	if err != nil {
		return follower.ConfigDelta{}, fmt.Errorf("fetch configuration from %s: %w", p.Host, err)
	}
	delta := follower.ConfigDelta{Host: p.Host, Offset: resp.Msg.GetSnapshotOffset()}
	if data := resp.Msg.GetSnapshot(); len(data) > 0 {
		delta.Snapshot = &standing.State{}
		if err := json.Unmarshal(data, delta.Snapshot); err != nil {
			return follower.ConfigDelta{}, fmt.Errorf("decode state of %s: %w", p.Host, err)
		}
	}
	for _, r := range resp.Msg.GetRecords() {
		delta.Entries = append(delta.Entries, config.Entry{Offset: r.GetOffset(), Data: r.GetData()})
	}
	return delta, nil
}

// ConfigHandler serves the configuration and the host list to peers.
type ConfigHandler struct {
	// HostsSince returns the host list if it is newer than the version.
	HostsSince func(version int64) (platform.Hosts, bool)
	// ConfigSince returns the configuration that this host holds after an
	// offset of the history that chain identifies.
	ConfigSince func(after int64, chain string) follower.ConfigDelta
}

// FetchRecords implements peerv1connect.ConfigServiceHandler.
func (h ConfigHandler) FetchRecords(_ context.Context, req *connect.Request[peerv1.FetchRecordsRequest]) (*connect.Response[peerv1.FetchRecordsResponse], error) {
	delta := h.ConfigSince(req.Msg.GetAfter(), req.Msg.GetChain())
	resp := &peerv1.FetchRecordsResponse{SnapshotOffset: delta.Offset}
	if delta.Snapshot != nil {
		data, err := json.Marshal(delta.Snapshot)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("encode state: %w", err))
		}
		resp.Snapshot = data
	}
	for _, e := range delta.Entries {
		resp.Records = append(resp.Records, &peerv1.LogRecord{Offset: e.Offset, Data: e.Data})
	}
	return connect.NewResponse(resp), nil
}
