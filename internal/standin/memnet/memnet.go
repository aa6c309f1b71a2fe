// Package memnet is an in-memory network for tests. Its connections work in the
// virtual time of testing/synctest, and an address whose listener was closed can
// be listened on again.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects clients to listeners by address. It is safe for concurrent
// use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// New returns a network without listeners.
func New() *Network { return &Network{listeners: map[string]*Listener{}} }

// Listen returns a listener that accepts the connections to address until it is
// closed or another listener is opened on the same address.
func (n *Network) Listen(address string) *Listener {
	l := &Listener{
		network: n, address: address,
		incoming: make(chan net.Conn), closed: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Dial connects to the listener on address. It fails at once with ECONNREFUSED
// if there is none.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		return nil, connectionRefused(address)
	}
	client, server := net.Pipe()
	select {
	case l.incoming <- server:
		return client, nil
	case <-l.closed:
		return nil, connectionRefused(address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func connectionRefused(address string) error {
	return &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: syscall.ECONNREFUSED}
}

// Listener is a net.Listener of a Network.
type Listener struct {
	network  *Network
	address  string
	incoming chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.remove(l)
	})
	return nil
}

func (n *Network) remove(l *Listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.address] == l {
		delete(n.listeners, l.address)
	}
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "mem" }
func (a addr) String() string { return string(a) }
