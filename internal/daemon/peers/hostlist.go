package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"

	"connectrpc.com/connect"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// HostListClient fetches the host list from other entry hosts. It implements
// follower.HostPeers.
type HostListClient struct {
	zone      string
	directory Directory
	seeds     []string
	client    *http.Client
}

// NewHostListClient returns a client that asks reachable peers, those in its own
// zone first. While there are none, it asks the seeds.
func NewHostListClient(zone string, d Directory, seeds []string, client *http.Client) *HostListClient {
	return &HostListClient{zone: zone, directory: d, seeds: seeds, client: client}
}

// FetchHosts implements follower.HostPeers.
func (l *HostListClient) FetchHosts(ctx context.Context, after int64) (hosts platform.Hosts, from string, ok bool) {
	for _, url := range l.sources() {
		hosts, err := l.fetch(ctx, url, after)
		if err == nil {
			return hosts, url, len(hosts.Hosts) > 0
		}
	}
	return platform.Hosts{}, "", false
}

// sources returns the base URLs to ask in one fetch: peers in this host's zone
// first, then the others, each group in random order.
func (l *HostListClient) sources() []string {
	var sameZone, otherZones []string
	for _, p := range l.directory.Peers() {
		switch {
		case p.URL == "" || !p.Reachable:
		case p.Zone == l.zone:
			sameZone = append(sameZone, p.URL)
		default:
			otherZones = append(otherZones, p.URL)
		}
	}
	shuffle(sameZone)
	shuffle(otherZones)
	urls := append(sameZone, otherZones...)
	if len(urls) == 0 {
		for _, seed := range l.seeds {
			urls = append(urls, "http://"+seed)
		}
		shuffle(urls)
	}
	return urls[:min(len(urls), maxFetchPeers)]
}

func shuffle(urls []string) {
	rand.Shuffle(len(urls), func(i, j int) { urls[i], urls[j] = urls[j], urls[i] })
}

func (l *HostListClient) fetch(ctx context.Context, url string, after int64) (platform.Hosts, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := peerv1connect.NewConfigServiceClient(l.client, url, connect.WithReadMaxBytes(maxReplyBytes))
	resp, err := client.FetchHosts(ctx, connect.NewRequest(&peerv1.FetchHostsRequest{After: after}))
	if err != nil {
		return platform.Hosts{}, fmt.Errorf("fetch host list from %s: %w", url, err)
	}
	var hosts platform.Hosts
	if data := resp.Msg.GetHosts(); len(data) > 0 {
		if err := json.Unmarshal(data, &hosts); err != nil {
			return platform.Hosts{}, fmt.Errorf("decode host list from %s: %w", url, err)
		}
	}
	return hosts, nil
}

// FetchHosts implements peerv1connect.ConfigServiceHandler.
func (h ConfigHandler) FetchHosts(_ context.Context, req *connect.Request[peerv1.FetchHostsRequest]) (*connect.Response[peerv1.FetchHostsResponse], error) {
	hosts, ok := h.HostsSince(req.Msg.GetAfter())
	if !ok {
		return connect.NewResponse(&peerv1.FetchHostsResponse{}), nil
	}
	data, err := json.Marshal(hosts)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, fmt.Errorf("encode host list: %w", err))
	}
	return connect.NewResponse(&peerv1.FetchHostsResponse{Hosts: data}), nil
}
