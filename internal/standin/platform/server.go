package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/httpjson"
	"github.com/parsleyhill/parsleyhill/internal/platform"
)

// maxWait bounds a waiting read.
const maxWait = 30 * time.Second

// Server serves the log service and the host list over HTTP.
type Server struct {
	// Log is the log service behind the server.
	Log *Log

	mu    sync.Mutex
	hosts platform.Hosts
}

// NewServer returns a server with the hosts listed.
func NewServer(hosts []platform.Host) *Server {
	return &Server{Log: NewLog(), hosts: platform.Hosts{Version: 1, Hosts: hosts}}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.read)
	mux.HandleFunc("GET /v1/hosts", s.listHosts)
	mux.HandleFunc("POST /v1/hosts", s.putHost)
	mux.HandleFunc("POST /v1/faults", s.setFaults)
	return mux
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Records [][]byte `json:"records"`
	}
	if !httpjson.Read(w, r, &call) {
		return
	}
	s.delay(r.Context())
	offset, err := s.Log.Append(r.Context(), platform.Stream(r.PathValue("stream")), call.Records)
	switch {
	case errors.Is(err, platform.ErrUnknown):
		panic(http.ErrAbortHandler)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		httpjson.Write(w, http.StatusOK, struct {
			Offset int64 `json:"offset"`
		}{offset})
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	s.delay(r.Context())
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	page, err := s.Log.Read(ctx, platform.Stream(r.PathValue("stream")), after)
	switch {
	case errors.Is(err, platform.ErrTrimmed):
		httpjson.Write(w, http.StatusGone, page)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		httpjson.Write(w, http.StatusOK, page)
	}
}

// delay holds a call as long as the faults say.
func (s *Server) delay(ctx context.Context) {
	slow := time.Duration(s.Log.Faults().SlowMs) * time.Millisecond
	if slow <= 0 {
		return
	}
	select {
	case <-time.After(slow):
	case <-ctx.Done():
	}
}

// Hosts returns the host list under the faults in force, or false while it is
// down.
func (s *Server) Hosts() (platform.Hosts, bool) {
	faults := s.Log.Faults()
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := s.hosts
	if faults.HostsEmpty {
		hosts.Hosts = nil
	}
	return hosts, !faults.HostsDown
}

func (s *Server) listHosts(w http.ResponseWriter, r *http.Request) {
	hosts, ok := s.Hosts()
	if !ok {
		http.Error(w, "host list down", http.StatusServiceUnavailable)
		return
	}
	httpjson.WriteWithETag(w, r, EntityTag(hosts), hosts)
}

// Tag returns the entity tag of a reading.
func EntityTag(h platform.Hosts) string { return fmt.Sprintf("%d-%d", h.Version, len(h.Hosts)) }

// putHost adds, replaces or, with an empty state, removes one host.
func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	var host platform.Host
	if !httpjson.Read(w, r, &host) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make([]platform.Host, 0, len(s.hosts.Hosts)+1)
	for _, h := range s.hosts.Hosts {
		if h.Name != host.Name {
			kept = append(kept, h)
		}
	}
	if host.State != "" {
		kept = append(kept, host)
	}
	s.hosts = platform.Hosts{Version: s.hosts.Version + 1, Hosts: kept}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !httpjson.Read(w, r, &f) {
		return
	}
	s.Log.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
