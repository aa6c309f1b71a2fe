package network

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/parsleyhill/parsleyhill/internal/httpjson"
	"github.com/parsleyhill/parsleyhill/internal/platform"
	standinplatform "github.com/parsleyhill/parsleyhill/internal/standin/platform"
)

// PathLinks is the path of calls that cut and heal links.
const PathLinks = "/v1/links"

// LinkState specifies whether the links from one zone to another are cut. A cut
// holds back the bytes of connections that From opens to To, in both directions.
type LinkState struct {
	From string `json:"from"`
	To   string `json:"to"`
	Cut  bool   `json:"cut"`
}

// Network holds the links of one deployment.
type Network struct {
	links []*Link
	// hostAddresses maps a host, as seen from a zone, to the address to
	// connect to. Hosts of the same zone are reached directly and have no entry.
	hostAddresses map[viewKey]string
	// platformAddresses maps a zone to the address at which it reaches the
	// platform.
	platformAddresses map[string]string
}

// viewKey names a host as seen from a zone.
type viewKey struct {
	zone string
	host string
}

// New opens a link from every zone to every host of another zone and to the
// platform.
func New(ctx context.Context, platformAddress string, hosts []platform.Host) (*Network, error) {
	n := &Network{hostAddresses: map[viewKey]string{}, platformAddresses: map[string]string{}}
	for _, zone := range zones(hosts) {
		link, err := n.openLink(ctx, zone, ToPlatform, platformAddress)
		if err != nil {
			return nil, err
		}
		n.platformAddresses[zone] = link.Address()
		for _, h := range hosts {
			if h.Zone == zone {
				continue
			}
			link, err := n.openLink(ctx, zone, h.Zone, h.Address)
			if err != nil {
				return nil, err
			}
			n.hostAddresses[viewKey{zone, h.Name}] = link.Address()
		}
	}
	return n, nil
}

func (n *Network) openLink(ctx context.Context, from, to, target string) (*Link, error) {
	link, err := Listen(ctx, from, to, target)
	if err != nil {
		return nil, err
	}
	n.links = append(n.links, link)
	return link, nil
}

func zones(hosts []platform.Host) []string {
	var names []string
	for _, h := range hosts {
		if !slices.Contains(names, h.Zone) {
			names = append(names, h.Zone)
		}
	}
	return names
}

// Run forwards on all links until ctx ends.
func (n *Network) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range n.links {
		group.Go(func() error { return l.Run(ctx) })
	}
	return group.Wait()
}

// Set cuts or heals the links that state names and returns their number.
func (n *Network) Set(state LinkState) int {
	changed := 0
	for _, l := range n.links {
		if l.From != state.From || l.To != state.To {
			continue
		}
		changed++
		if state.Cut {
			l.Cut()
		} else {
			l.Heal()
		}
	}
	return changed
}

// Platform is the platform service behind the links.
type Platform interface {
	// Handler returns the HTTP interface of the platform.
	Handler() http.Handler
	// Hosts returns the host list, or false while the list is unavailable.
	Hosts() (platform.Hosts, bool)
}

// Handler serves the platform to each zone under "/zones/{zone}"; the host list
// served there has the addresses through which that zone reaches the hosts.
// PathLinks cuts and heals links, "/v1/zones" lists each zone's address of the
// platform, and all other paths go to the platform unchanged.
func (n *Network) Handler(p Platform) http.Handler {
	inner := p.Handler()
	mux := http.NewServeMux()
	mux.Handle("/", inner)
	mux.HandleFunc("POST "+PathLinks, n.serveLinks)
	mux.HandleFunc("GET /v1/zones", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, n.platformAddresses)
	})
	mux.HandleFunc("/zones/{zone}/", func(w http.ResponseWriter, r *http.Request) {
		http.StripPrefix("/zones/"+r.PathValue("zone"), inner).ServeHTTP(w, r)
	})
	mux.HandleFunc("GET /zones/{zone}/v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		n.serveHosts(w, r, p)
	})
	return mux
}

func (n *Network) serveLinks(w http.ResponseWriter, r *http.Request) {
	var state LinkState
	if !httpjson.Read(w, r, &state) {
		return
	}
	if n.Set(state) == 0 {
		http.Error(w, fmt.Sprintf("no link from %s to %s", state.From, state.To), http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveHosts answers with the host list as seen from one zone.
func (n *Network) serveHosts(w http.ResponseWriter, r *http.Request, p Platform) {
	hosts, ok := p.Hosts()
	if !ok {
		http.Error(w, "host list down", http.StatusServiceUnavailable)
		return
	}
	zone := r.PathValue("zone")
	view := make([]platform.Host, len(hosts.Hosts))
	for i, h := range hosts.Hosts {
		if address, ok := n.hostAddresses[viewKey{zone, h.Name}]; ok {
			h.Address = address
		}
		view[i] = h
	}
	hosts.Hosts = view
	httpjson.WriteWithETag(w, r, standinplatform.EntityTag(hosts), hosts)
}
