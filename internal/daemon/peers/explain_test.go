package peers

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/gen/peer/v1/peerv1connect"
	"github.com/parsleyhill/parsleyhill/internal/daemon/journal"
	"github.com/parsleyhill/parsleyhill/internal/daemon/operator"
	"github.com/parsleyhill/parsleyhill/internal/decide/standing"
	"github.com/parsleyhill/parsleyhill/internal/decision"
)

type noView struct{}

func (noView) State() *standing.State { return nil }

// TestExplainListsUnreachablePeers guards against a failing peer that hides the
// records of the others or is missing from the unreached hosts. One peer
// answers, and each of the others fails in a different way.
func TestExplainListsUnreachablePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, "good", "garbage", "hanging", "gone")
		newJournal := func(host string) *journal.Journal { return journal.New(host, log.New(io.Discard), noView{}, 10) }
		self, good := newJournal("entry-0"), newJournal("good")
		for _, j := range []*journal.Journal{self, good} {
			j.Record(decision.Record{Part: decision.PartRoute, Action: "send", Subjects: []string{"request-1"}})
			sleep(time.Second)
		}
		status := func(host string) func() operator.Status {
			return func() operator.Status { return operator.Status{Host: host, Version: 7} }
		}
		peer := NewExplainer("good", good, nil, nil, status("good"))
		mux := http.NewServeMux()
		mux.Handle(peerv1connect.NewExplainServiceHandler(peer.Handler()))
		for name, handler := range map[string]http.Handler{
			"good": mux,
			"garbage": http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/proto")
				_, _ = w.Write([]byte("\xff\xff"))
			}),
			"hanging": http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			}),
		} {
			server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
			listener := f.net.Listen(name)
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
		}
		sleep(3 * time.Second)
		e := NewExplainer("entry-0", self, f.hosts[0].members, f.hosts[0].members.client, status("entry-0"))

		start := time.Now()
		got := e.Explain(t.Context(), "request-1")
		require.LessOrEqual(t, time.Since(start), callTimeout)
		require.Equal(t, []string{"entry-0", "good"}, got.Hosts)
		require.Equal(t, []string{"garbage", "gone", "hanging"}, got.Unreached)
		require.Len(t, got.Records, 2)
		require.Equal(t, "entry-0", got.Records[0].Host)
		require.Len(t, got.Horizons, 2)
		for _, h := range got.Horizons {
			require.GreaterOrEqual(t, h.AgeMs, int64(3000))
		}

		fleet := e.Fleet(t.Context())
		require.Equal(t, got.Unreached, fleet.Unreached)
		require.Len(t, fleet.Hosts, 2)
		require.EqualValues(t, 7, fleet.Hosts[1].Version)
	})
}
