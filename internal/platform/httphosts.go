package platform

import (
	"context"
	"fmt"
	"net/http"
	"sync"
)

// HTTPHostList reads the host list over HTTP. It sends the entity tag of the last
// list, so that an unchanged list is not transferred again. It is safe for
// concurrent use.
type HTTPHostList struct {
	base   string
	client *http.Client

	mu   sync.Mutex
	last cachedHosts
}

// cachedHosts is a host list with the entity tag that the platform sent with it.
type cachedHosts struct {
	tag   string
	hosts Hosts
}

// NewHTTPHostList returns a client for the host list at the base URL.
func NewHTTPHostList(base string, client *http.Client) *HTTPHostList {
	return &HTTPHostList{base: base, client: client}
}

// Hosts implements HostList.
func (l *HTTPHostList) Hosts(ctx context.Context) (Hosts, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/v1/hosts", nil)
	if err != nil {
		return Hosts{}, fmt.Errorf("build host list request: %w", err)
	}
	l.mu.Lock()
	last := l.last
	l.mu.Unlock()
	if last.tag != "" {
		req.Header.Set("If-None-Match", last.tag)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return Hosts{}, fmt.Errorf("read host list: %w", err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && last.tag != "":
		return last.hosts, nil
	case resp.StatusCode != http.StatusOK:
		return Hosts{}, fmt.Errorf("read host list: status %d", resp.StatusCode)
	}
	var hosts Hosts
	if err := decode(resp.Body, &hosts); err != nil {
		return Hosts{}, fmt.Errorf("decode host list: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = cachedHosts{tag: resp.Header.Get("ETag"), hosts: hosts}
	return hosts, nil
}
