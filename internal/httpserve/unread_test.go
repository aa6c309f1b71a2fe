package httpserve

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/standin/memnet"
)

// Guards against connections whose unread bytes are bounded only by the operating
// system.
func TestUnreadAppliesToAcceptedConnections(t *testing.T) {
	unread := Unread{Bytes: 16 << 10, Backlog: 4}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	require.NoError(t, unread.Apply(listener))
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })

	raw, err := accepted.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	size := 0
	require.NoError(t, raw.Control(func(fd uintptr) {
		size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
	}))
	require.NoError(t, err)
	// Linux doubles the size, for its own overhead.
	assert.LessOrEqual(t, size, 2*unread.Bytes)
	assert.NoError(t, unread.Apply(memnet.New().Listen(testAddress)))
}
