package peers

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	peerv1 "github.com/parsleyhill/parsleyhill/gen/peer/v1"
	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

type fixedHosts []platform.Host

func (h fixedHosts) Hosts() []platform.Host { return h }

// BenchmarkPing measures one ping and its response, the work of both sides
// together, between two hosts that each know 55 others.
func BenchmarkPing(b *testing.B) {
	newMembers := func(name string, hosts Hosts) *Members {
		m := NewMembers(name, hosts, &http.Client{}, nil, func() *peerv1.HostSummary {
			return &peerv1.HostSummary{Host: name, Zone: "westlands", Incarnation: name + "~0123456789abc", ConfigVersion: 2000}
		})
		for i := range 55 {
			other := fmt.Sprint("entry-", i)
			m.applyReport(&peerv1.HostSummary{Host: other, Incarnation: other + "~0123456789abc", ConfigVersion: 2000}, nil, false)
		}
		return m
	}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewMemberServiceHandler(newMembers("b", fixedHosts{})))
	server := httptest.NewServer(mux)
	defer server.Close()
	a := newMembers("a", fixedHosts{{Name: "b", Role: platform.RoleEntry, Address: strings.TrimPrefix(server.URL, "http://")}})
	a.table.UpdateHostList(a.listed())
	b.ReportAllocs()
	for b.Loop() {
		a.ping(b.Context(), "b")
	}
	if p, _ := a.Lookup("b"); !p.Reachable {
		b.Fatal("the ping failed")
	}
}
