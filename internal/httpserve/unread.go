package httpserve

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// Unread bounds what the operating system holds for a listener before it is read.
type Unread struct {
	// Bytes bounds the unread bytes of a connection. Without a bound the buffers of
	// connections that deliver fast grow to megabytes.
	Bytes int
	// Backlog bounds the connections that have not been accepted. The connections beyond
	// it are tried again by their clients.
	Backlog int
}

// Apply applies the bounds to a listener. A listener of another network than TCP is not
// changed.
func (u Unread) Apply(listener net.Listener) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("limit unread bytes of %s: %w", listener.Addr(), err)
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		// Accepted connections inherit the size of the buffer. Listening again changes
		// only the backlog.
		set = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, u.Bytes),
			syscall.Listen(int(fd), u.Backlog),
		)
	})
	if err = errors.Join(err, set); err != nil {
		return fmt.Errorf("limit unread bytes of %s: %w", listener.Addr(), err)
	}
	return nil
}
