package platform

import (
	"context"
	"fmt"
	"net/http"
)

// HTTPHostList is the adapter to the host list over HTTP.
type HTTPHostList struct {
	base   string
	client *http.Client
}

// NewHTTPHostList returns an adapter to the host list at the base URL.
func NewHTTPHostList(base string, client *http.Client) *HTTPHostList {
	return &HTTPHostList{base: base, client: client}
}

// Hosts implements HostList.
func (l *HTTPHostList) Hosts(ctx context.Context) (Hosts, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/v1/hosts", nil)
	if err != nil {
		return Hosts{}, fmt.Errorf("build host list call: %w", err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return Hosts{}, fmt.Errorf("read host list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Hosts{}, fmt.Errorf("read host list: status %d", resp.StatusCode)
	}
	var hosts Hosts
	if err := decode(resp.Body, &hosts); err != nil {
		return Hosts{}, fmt.Errorf("decode host list: %w", err)
	}
	return hosts, nil
}
