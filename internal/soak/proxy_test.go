//go:build e2e

package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mode is the way a proxy treats its connections.
type mode int

const (
	passThrough mode = iota
	// delaying forwards each piece of data after proxyDelay.
	delaying
	// dropAll drops all data in both directions.
	dropAll
	// dropReplies forwards requests and drops the replies.
	dropReplies
	// dropRequests drops the requests and forwards the replies.
	dropRequests
	// resetting resets every connection.
	resetting
)

// proxyDelay is the delay of a delaying proxy in each direction.
const proxyDelay = 60 * time.Millisecond

// proxy forwards connections from one loopback address to another and injects
// network faults. Data that it dropped is never delivered: its connections are
// reset when the dropping mode ends.
type proxy struct {
	target string
	at     string
	// keepsEnds is set if the end of a connection is dropped like data, as on a cut link.
	keepsEnds bool

	mu       sync.Mutex
	listener net.Listener
	mode     mode
	// conns holds the open connections; accepted ones are true, dialed ones false. All that
	// arrives on those in silent is dropped until the client closes them.
	conns, silent map[net.Conn]bool
}

func newProxy(t *testing.T, address, target string) *proxy {
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	p := &proxy{target: target, at: listener.Addr().String(), listener: listener, conns: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	t.Cleanup(func() {
		p.endProcess()
		p.set(resetting)
	})
	go p.accept(listener)
	return p
}

func (p *proxy) address() string { return p.at }

// endProcess does what the end of the process behind the proxy would do: its
// connections are closed in order, and new ones are refused.
func (p *proxy) endProcess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
}

// loseProcess does what the loss of power would do to the process behind the proxy: its
// connections end there, and its clients do not learn of it. New ones reach the next process.
func (p *proxy) loseProcess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, accepted := range p.conns {
		if accepted {
			p.silent[c] = true
		} else {
			_ = c.Close()
		}
	}
}

// isSilent reports whether the connection is one to a process that was lost.
func (p *proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[c]
}

// startProcess undoes endProcess.
func (p *proxy) startProcess() error {
	listener, err := net.Listen("tcp", p.at)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	go p.accept(listener)
	return nil
}

// set changes the mode. Open connections stay open between passThrough and
// delaying and when a dropping mode begins. Any other change resets them.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m == passThrough && p.mode == delaying || m == delaying && p.mode == passThrough {
		p.mode = m
		return
	}
	p.mode = m
	if m == dropAll || m == dropReplies || m == dropRequests {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// cut drops everything, and resets the connections on one side only: that of the clients
// or that of the target.
func (p *proxy) cut(clients bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = dropAll
	for c, accepted := range p.conns {
		if accepted == clients {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) track(c net.Conn, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = accepted
}

func (p *proxy) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	delete(p.silent, c)
}

func (p *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == resetting {
			reset(client)
			continue
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, true)
	p.track(upstream, false)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(client, upstream, dropReplies)
	}()
	p.copy(upstream, client, dropRequests)
	<-done
	p.forget(client)
	p.forget(upstream)
}

// copy forwards bytes in one direction until either end closes. It drops bytes
// that arrive in mode dropAll or in the given mode dropped.
func (p *proxy) copy(to, from net.Conn, dropped mode) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if p.isSilent(to) {
				return
			}
			if m := p.currentMode(); p.keepsEnds && (m == dropAll || m == dropped) {
				// The connection is reset when the dropping mode ends.
				return
			}
			_ = to.Close()
			return
		}
		if p.isSilent(from) {
			continue
		}
		switch p.currentMode() {
		case dropAll, dropped:
			continue
		case delaying:
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = to.Close()
			return
		}
	}
}
