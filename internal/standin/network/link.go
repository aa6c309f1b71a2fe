// Package network is a small stand-in for the network between availability
// zones: every connection between zones, or to the platform, passes through a
// TCP forwarder that can be cut and healed.
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
// bytes in flight are held back, and new connections are accepted but forward
// nothing, as if the network dropped every packet. It is safe for concurrent
// use.
type Link struct {
	// From is the zone of the connecting side.
	From string
	// To is the zone of the accepting side, or ToPlatform.
	To string

	listener net.Listener
	target   string

	mu     sync.Mutex
	healed chan struct{}
}

// ToPlatform is the value of Link.To for links to the platform.
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

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut holds back all bytes until Heal.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.healed:
		l.healed = make(chan struct{})
	default:
	}
}

// Heal forwards the bytes that were held back and lets new ones pass.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.healed:
	default:
		close(l.healed)
	}
}

// waitHealed waits until the link is not cut. It returns the error of ctx if ctx
// ends first.
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

// forward relays one connection until either side closes it or ctx ends.
func (l *Link) forward(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	if l.waitHealed(ctx) != nil {
		return
	}
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	group, groupCtx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(groupCtx, func() {
		_ = client.Close()
		_ = server.Close()
	})
	defer stop()
	group.Go(func() error { return l.copyOneWay(groupCtx, server, client) })
	group.Go(func() error { return l.copyOneWay(groupCtx, client, server) })
	// An error only describes how the connection ended.
	_ = group.Wait()
}

// chunkBytes is the size of the read buffer.
const chunkBytes = 16 << 10

// copyOneWay copies bytes in one direction and holds them back while the link is
// cut.
func (l *Link) copyOneWay(ctx context.Context, to io.Writer, from io.Reader) error {
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		if waitErr := l.waitHealed(ctx); waitErr != nil {
			return waitErr
		}
		if _, writeErr := to.Write(chunk[:n]); writeErr != nil {
			return writeErr
		}
		if err != nil {
			return err
		}
	}
}
