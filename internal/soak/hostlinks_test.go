//go:build e2e

package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"

	"github.com/parsleyhill/parsleyhill/internal/standin/store"
)

// peersPort is the first port of port_range, at which a host serves other hosts.
const peersPort = 7720

// hostLinks holds the proxies between hosts. The store shows each host the addresses of
// its own proxies to the others, which have as many digits as the true ones: the second
// part of 127.100.N.HOST is replaced by 100 and the number of the reading host.
type hostLinks struct {
	fleet  *fleet
	subnet string

	mu      sync.Mutex
	proxies map[[2]int]*proxy
}

const firstLinkNet = 100

func newHostLinks(f *fleet, subnet string) *hostLinks {
	return &hostLinks{fleet: f, subnet: subnet, proxies: map[[2]int]*proxy{}}
}

// storeFor returns the store as a host sees it.
func (l *hostLinks) storeFor(reader *host, s *store.Store) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newest := r.URL.Path == "/-/log-newest"
		if !newest && r.URL.Path != "/-/log-read" {
			s.ServeHTTP(w, r)
			return
		}
		recorded := httptest.NewRecorder()
		s.ServeHTTP(recorded, r)
		body := recorded.Body.Bytes()
		if newest && recorded.Code == http.StatusOK {
			body = l.replaceInItems(reader, body)
		} else {
			body = []byte(l.replace(reader, string(body)))
		}
		w.WriteHeader(recorded.Code)
		// A failed write means that the caller disconnected.
		_, _ = w.Write(body)
	})
}

// replaceInItems replaces the addresses in the values of a list of newest records.
func (l *hostLinks) replaceInItems(reader *host, body []byte) []byte {
	var list struct {
		Items []struct {
			Key    string `json:"key"`
			Value  []byte `json:"value"`
			Offset int    `json:"offset"`
		} `json:"items"`
		More bool `json:"more"`
		End  int  `json:"end"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		panic(err)
	}
	for i := range list.Items {
		list.Items[i].Value = []byte(l.replace(reader, string(list.Items[i].Value)))
	}
	return encode(list)
}

// replace replaces the addresses of other hosts by those of the reader's proxies to them.
func (l *hostLinks) replace(reader *host, text string) string {
	if !strings.Contains(text, l.subnet) {
		return text
	}
	for number := 1; number <= l.fleet.layout.hosts(); number++ {
		address := fmt.Sprintf("%s%d:%d", l.subnet, number, peersPort)
		if number != reader.number && strings.Contains(text, address) {
			text = strings.ReplaceAll(text, address, l.proxy(reader.number, number).address())
		}
	}
	return text
}

// proxy returns the proxy for connections that one host opens to another.
func (l *hostLinks) proxy(from, to int) *proxy {
	l.mu.Lock()
	defer l.mu.Unlock()
	pair := [2]int{from, to}
	if l.proxies[pair] == nil {
		rest := strings.TrimPrefix(l.subnet, fmt.Sprintf("127.%d.", firstLinkNet))
		address := fmt.Sprintf("127.%d.%s%d:%d", firstLinkNet+from, rest, to, peersPort)
		p := newProxy(l.fleet.t, address, fmt.Sprintf("%s%d:%d", l.subnet, to, peersPort))
		p.keepsEnds = true
		l.proxies[pair] = p
	}
	return l.proxies[pair]
}

// between returns the proxies for connections that the first host opens to the second,
// and that the second opens to the first. Either may be nil.
func (l *hostLinks) between(first, second *host) (opened, accepted *proxy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proxies[[2]int{first.number, second.number}], l.proxies[[2]int{second.number, first.number}]
}

// cut drops everything between two hosts, and resets the connections at the first.
func (l *hostLinks) cut(first, second *host) {
	opened, accepted := l.between(first, second)
	if opened != nil {
		opened.cut(true)
	}
	if accepted != nil {
		accepted.cut(false)
	}
}

// set changes the mode of the connections between two hosts, whichever opened them. In a
// mode that drops one direction, the first host hears nothing from the second.
func (l *hostLinks) set(first, second *host, m mode) {
	opened, accepted := l.between(first, second)
	if opened != nil {
		opened.set(m)
	}
	if m == dropReplies {
		m = dropRequests
	}
	if accepted != nil {
		accepted.set(m)
	}
}

// reset resets the connections between two hosts once.
func (l *hostLinks) reset(first, second *host) {
	l.set(first, second, resetting)
	l.set(first, second, passThrough)
}

// hosts returns the number of hosts.
func (l layout) hosts() int { return len(l.zones) * l.hostsPerZone }

// inZone returns the hosts of a zone.
func (f *fleet) inZone(zone string) []*host {
	return slices.DeleteFunc(slices.Clone(f.hosts), func(h *host) bool { return h.zone != zone })
}
