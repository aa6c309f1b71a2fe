package dispatch

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	dispatchv1 "github.com/parsleyhill/parsleyhill/gen/dispatch/v1"
	"github.com/parsleyhill/parsleyhill/gen/dispatch/v1/dispatchv1connect"
)

// Frames are a few hundred bytes and some hundred are sent each second, so that
// compressing them costs more processor time than all else that a frame needs.
func TestFramesAreNotCompressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.stopAll()
		transport := &http.Transport{DialContext: f.net.Dial, Protocols: new(http.Protocols)}
		transport.Protocols.SetUnencryptedHTTP2(true)
		defer transport.CloseIdleConnections()
		// This client offers gzip, as clients of this protocol do by default.
		client := dispatchv1connect.NewDispatchServiceClient(&http.Client{Transport: transport}, "http://host-0:3")
		stream := client.Exchange(t.Context())
		require.NoError(t, stream.Send(&dispatchv1.Frame{Hello: &dispatchv1.Hello{Host: "host-9", Zone: "z"}}))
		_, err := stream.Receive()
		require.NoError(t, err)
		assert.Empty(t, stream.ResponseHeader().Get("Connect-Content-Encoding"))
		assert.Empty(t, stream.ResponseHeader().Get("Connect-Accept-Encoding"))
		require.NoError(t, stream.CloseRequest())
		require.NoError(t, stream.CloseResponse())
	})
}
