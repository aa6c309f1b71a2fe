//go:build e2e

package soak

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mode is what a proxy does to its connections.
type mode int

const (
	passing mode = iota
	// delaying holds each piece back for a while.
	delaying
	// silent carries nothing, either way.
	silent
	// mute carries requests and holds the answers.
	mute
	// refusing resets every connection.
	refusing
)

// proxyDelay is what a delaying proxy adds each way.
const proxyDelay = 60 * time.Millisecond

// proxy forwards connections from one loopback address to another, and harms
// them on demand. What it held is never delivered: its connections are reset
// when the mode changes.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, address, target string) *proxy {
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	p := &proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = listener.Close()
		p.set(refusing)
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. Open connections are reset unless they are delayed or
// go on as before.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m == passing && p.mode == delaying || m == delaying && p.mode == passing {
		p.mode = m
		return
	}
	p.mode = m
	if m == silent || m == mute {
		return
	}
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == refusing {
			_ = near.(*net.TCPConn).SetLinger(0)
			_ = near.Close()
			continue
		}
		go p.serve(near)
	}
}

func (p *proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.track(near, true)
	p.track(far, true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(near, far, mute)
	}()
	p.copy(far, near, silent)
	<-done
	p.track(near, false)
	p.track(far, false)
}

// copy carries bytes one way until an end closes. Bytes that come while the
// mode holds them are dropped.
func (p *proxy) copy(to, from net.Conn, held mode) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch p.now() {
		case silent, held:
			continue
		case delaying:
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
