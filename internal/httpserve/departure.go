package httpserve

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// ClientLeft reports whether the client of a request has closed its connection. The
// context of a request ends a moment later than that: http.Server reads on only after the
// body was read. The context also ends when the server stops. Without Conns it is all
// that is known.
func ClientLeft(ctx context.Context) bool {
	c := connOf(ctx)
	if c == nil {
		return ctx.Err() != nil
	}
	return c.clientEnded.Load() || pendingInput(c.Conn) == inputEnd
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

// readPendingTime bounds the last read of a connection that is not one of the operating
// system.
const readPendingTime = time.Millisecond

// readPending reads what has arrived on a connection, regardless of its read deadline.
// It returns os.ErrDeadlineExceeded if there is nothing.
func readPending(conn net.Conn, b []byte) (int, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		// An error means that the connection is closed, which the read reports.
		_ = conn.SetReadDeadline(time.Now().Add(readPendingTime))
		return conn.Read(b)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var readErr error
	err = raw.Control(func(fd uintptr) {
		for {
			n, readErr = syscall.Read(int(fd), b)
			if !errors.Is(readErr, syscall.EINTR) {
				return
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, syscall.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(), Err: readErr}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
