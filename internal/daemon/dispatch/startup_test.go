package dispatch

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
	"github.com/parsleyhill/parsleyhill/gen/dispatch/v1/dispatchv1connect"
	"github.com/parsleyhill/parsleyhill/internal/fleet"
	"github.com/parsleyhill/parsleyhill/internal/standin/store"
)

// A restart of all hosts: without a wake-up, no host joins before joinInterval, and
// all jobs that arrive earlier are refused.
func TestStartedHostServesBeforeJoinInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 2)
		defer f.stopAll()
		f.start("host-0")
		time.Sleep(joinInterval / 2)
		status, answer := f.submit("host-0", "00000000000000a1", 1)
		assert.Equal(t, http.StatusOK, status, answer)
	})
}

// fakePeer answers streams as a process with a given incarnation.
type fakePeer struct {
	incarnation string
	streams     atomic.Int64
}

func (p *fakePeer) Exchange(_ context.Context, stream *connect.BidiStream[dispatchv1.Frame, dispatchv1.Frame]) error {
	p.streams.Add(1)
	if err := stream.Send(&dispatchv1.Frame{Hello: &dispatchv1.Hello{Host: "host-9", Zone: "z", Incarnation: p.incarnation}}); err != nil {
		return err
	}
	for {
		if _, err := stream.Receive(); err != nil {
			return err
		}
		if err := stream.Send(&dispatchv1.Frame{}); err != nil {
			return err
		}
	}
}

// A restart of all hosts: a peer is reached under the entry of its former process.
// Its new entry must not end the stream, which would withdraw the tasks offered to
// it. The entry of a further restart must end it: the peer may have lost power, and
// its former connection is silent.
func TestLateHostEntryKeepsStreamAndRestartEndsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.stopAll()
		peer := &fakePeer{incarnation: "host-9~new"}
		mux := http.NewServeMux()
		mux.Handle(dispatchv1connect.NewDispatchServiceHandler(peer))
		server := &http.Server{Handler: mux, Protocols: h2cProtocols()}
		listener := f.net.Listen("host-9:3")
		go func() { _ = server.Serve(listener) }()
		f.servers = append(f.servers, server)
		for _, c := range []struct {
			incarnation string
			streams     int64
		}{{"host-9~old", 1}, {"host-9~new", 1}, {"host-9~old", 1}, {"host-9~new", 1}, {"host-9~newest", 2}} {
			f.store.Put(store.TopicHosts, store.Record{Key: "host-9", Value: f.encode(fleet.Host{
				Name: "host-9", Zone: "z", Address: "host-9:3", Incarnation: c.incarnation,
			})})
			// Hosts read the entries up to 500 ms after a change.
			time.Sleep(peerTimeout)
			assert.Equal(t, c.streams, peer.streams.Load(), c.incarnation)
		}
	})
}
