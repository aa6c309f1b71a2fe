// Package network is a small stand-in for the network between availability
// zones: every connection that crosses zones, or goes to the platform, passes
// through a forwarder that can be cut and healed.
package network

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Link forwards TCP connections from one address to another. While it is cut,
// bytes in flight are held, and new connections are accepted but carry
// nothing, as with packets that are dropped. It is safe for concurrent use.
type Link struct {
	// From is the zone of the side that connects.
	From string
	// To is the zone of the side that is connected to, or ToPlatform.
	To string

	listener net.Listener
	target   string

	mu     sync.Mutex
	healed chan struct{}
}

// ToPlatform is the far side of links to the platform.
const ToPlatform = "platform"

// Listen opens a link to target on a free port of the loopback address.
func Listen(ctx context.Context, from, to, target string) (*Link, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open link from %s to %s: %w", from, to, err)
	}
	healed := make(chan struct{})
	close(healed)
	return &Link{From: from, To: to, listener: listener, target: target, healed: healed}, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut holds all bytes until Heal.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.healed:
		l.healed = make(chan struct{})
	default:
	}
}

// Heal lets bytes pass again.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.healed:
	default:
		close(l.healed)
	}
}

// pass waits until the link is whole.
func (l *Link) waitHealed(ctx context.Context) error {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	select {
	case <-healed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run forwards connections until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.listener.Close() })
	defer stop()
	for {
		conn, err := l.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept on link from %s to %s: %w", l.From, l.To, err)
		}
		go l.forward(ctx, conn)
	}
}

// forward carries one connection until either side ends it.
func (l *Link) forward(ctx context.Context, near net.Conn) {
	defer func() { _ = near.Close() }()
	if l.waitHealed(ctx) != nil {
		return
	}
	var dialer net.Dialer
	far, err := dialer.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	group, groupCtx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(groupCtx, func() {
		_ = near.Close()
		_ = far.Close()
	})
	defer stop()
	group.Go(func() error { return l.copyOneWay(groupCtx, far, near) })
	group.Go(func() error { return l.copyOneWay(groupCtx, near, far) })
	// The connection's end is all there is to know.
	_ = group.Wait()
}

// chunkBytes is the size of one read.
const chunkBytes = 16 << 10

// carry copies bytes one way, holding them while the link is cut.
func (l *Link) copyOneWay(ctx context.Context, to io.Writer, from io.Reader) error {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		if passErr := l.waitHealed(ctx); passErr != nil {
			return passErr
		}
		if _, writeErr := to.Write(chunk[:n]); writeErr != nil {
			return writeErr
		}
		if err != nil {
			return err
		}
	}
}
