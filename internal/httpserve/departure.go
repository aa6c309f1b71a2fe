package httpserve

import (
	"context"
	"errors"
	"net"
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
	return pendingInput(c.Conn) == inputEnd
}

// input is what a connection has to read.
type input int

const (
	// inputNone means that nothing has arrived, or that it is not known.
	inputNone input = iota
	inputData
	// inputEnd means that one of the sides has closed the connection.
	inputEnd
)

// pendingInput returns what the next read of a connection would find. It neither
// waits nor reads.
func pendingInput(conn net.Conn) input {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return inputNone
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return inputEnd
	}
	pending := inputNone
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			pending = inputData
		case err == nil, errors.Is(err, syscall.ECONNRESET):
			pending = inputEnd
		}
	})
	if err != nil {
		// This side has closed the connection.
		return inputEnd
	}
	return pending
}
