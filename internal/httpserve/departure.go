package httpserve

import (
	"context"
	"errors"
	"syscall"
)

// ClientLeft reports whether the client of a request has closed its connection. The
// context of a request ends a moment later than that: http.Server reads on only after the
// body was read. It returns false if the server has no Conns, or if it cannot tell.
func ClientLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c := connOf(ctx)
	if c == nil {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	// An error means that this side has closed the connection.
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return left || err != nil
}
