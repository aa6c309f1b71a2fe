package httpserve

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/decide/connlimit"
	"github.com/parsleyhill/parsleyhill/internal/standin/memnet"
)

const testAddress = "server:80"

// limitedServer is a server with a limit on its connections.
type limitedServer struct {
	t       *testing.T
	network *memnet.Network
	conns   *Conns
	// closed counts the connections that the limit has closed.
	closed int
}

func startLimited(t *testing.T, limit int, handler http.Handler) *limitedServer {
	s := &limitedServer{t: t, network: memnet.New()}
	s.conns = NewConns(limit, func() { s.closed++ })
	server := &http.Server{Handler: handler, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	listener := s.conns.track(server, s.network.Listen(testAddress))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		// The server closes connections with unread bytes half a second late.
		time.Sleep(time.Second)
	})
	return s
}

// dial opens a connection, sends a part of a request and lets a second pass, so that
// no two connections are of one age.
func (s *limitedServer) dial(request string) net.Conn {
	client, err := s.network.Dial(context.Background(), "mem", testAddress)
	require.NoError(s.t, err)
	if request != "" {
		_, err = io.WriteString(client, request)
		require.NoError(s.t, err)
	}
	time.Sleep(time.Second)
	synctest.Wait()
	s.t.Cleanup(func() { _ = client.Close() })
	return client
}

// requireClosed requires that the server has closed a connection without an answer.
func requireClosed(t *testing.T, client net.Conn) {
	t.Helper()
	// It fails if the other end is closed.
	_ = client.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

func requireOpen(t *testing.T, client net.Conn) {
	t.Helper()
	require.NoError(t, client.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err := client.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), "%v", err)
}

func requireAnswer(t *testing.T, client net.Conn) {
	t.Helper()
	require.NoError(t, client.SetReadDeadline(time.Now().Add(time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	assert.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against cutting off answers in work while idle and unfinished connections
// fill a port.
func TestFullPortKeepsRequestsInWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s := startLimited(t, 3, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			if err == nil {
				<-release
			}
		}))
		inWork := s.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
		idle := s.dial("")
		unfinished := s.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
		assert.Equal(t, 3, s.conns.Open())

		alsoInWork := s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		requireClosed(t, idle)
		requireOpen(t, unfinished)
		third := s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		requireClosed(t, unfinished)
		requireClosed(t, s.dial(""))
		assert.Equal(t, 3, s.conns.Open())
		assert.Equal(t, 3, s.closed)

		close(release)
		for _, client := range []net.Conn{inWork, alsoInWork, third} {
			requireAnswer(t, client)
		}
	})
}

// Guards against losing the streams of other hosts, whose requests do not end, to
// connections that fill the port.
func TestFullPortKeepsEstablishedStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimited(t, 2, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			Established(r.Context())
			_, _ = io.Copy(io.Discard, r.Body)
		}))
		stream := s.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
		for range 3 {
			s.dial("")
		}
		requireOpen(t, stream)
		assert.Equal(t, 2, s.conns.Open())
	})
}

// Guards against losing streams of other hosts, which use HTTP/2, and against keeping
// their connections once the streams have ended.
func TestFullPortKeepsHTTP2Streams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimited(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Established(r.Context())
			control := http.NewResponseController(w)
			_ = control.Flush()
			for frame := make([]byte, len("frame")); ; {
				if _, err := io.ReadFull(r.Body, frame); err != nil {
					return
				}
				_, _ = w.Write(frame)
				_ = control.Flush()
			}
		}))
		transport := &http.Transport{DialContext: s.network.Dial, Protocols: new(http.Protocols)}
		transport.Protocols.SetUnencryptedHTTP2(true)
		defer transport.CloseIdleConnections()
		body, sent := io.Pipe()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+testAddress, body)
		require.NoError(t, err)
		resp, err := transport.RoundTrip(req)
		require.NoError(t, err)
		require.Equal(t, 2, resp.ProtoMajor)
		for range 3 {
			s.dial("")
		}
		assert.Equal(t, 2, s.closed)
		_, err = io.WriteString(sent, "frame")
		require.NoError(t, err)
		frame := make([]byte, len("frame"))
		_, err = io.ReadFull(resp.Body, frame)
		require.NoError(t, err)
		assert.Equal(t, "frame", string(frame))

		require.NoError(t, sent.Close())
		require.NoError(t, resp.Body.Close())
		for range 2 {
			s.dial("")
		}
		assert.Equal(t, 4, s.closed)
		client, err := s.network.Dial(t.Context(), "mem", testAddress)
		require.NoError(t, err)
		assert.NoError(t, client.Close())
		synctest.Wait()
		assert.Equal(t, 5, s.closed)
		assert.NotContains(t, phases(s.conns), connlimit.Serving)
	})
}

// phases returns the phases of all open connections.
func phases(c *Conns) []connlimit.Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []connlimit.Phase
	for conn := range c.open {
		all = append(all, connlimit.Phase(conn.phase.Load()))
	}
	return all
}

// Guards against an answer that its client never reads and that holds its connection
// while the port is full.
func TestFullPortClosesUnreadAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimited(t, 1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		// Nobody reads the answer, and a connection of memnet has no buffer.
		s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		next := s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.Equal(t, 1, s.closed)
		requireAnswer(t, next)
	})
}

// Guards against a keep-alive connection that counts as busy after its request.
func TestAnsweredConnectionIsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLimited(t, 1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		first := s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		requireAnswer(t, first)
		synctest.Wait()
		next := s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		requireAnswer(t, next)
		requireClosed(t, first)
	})
}

// Guards against connections that are closed under a request without a trace.
func TestConnectionsClosedBeforeAnAnswerAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s := startLimited(t, 1, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				<-release
			}
		}))
		var reported []Unanswered
		s.conns.OnUnanswered = func(u Unanswered) { reported = append(reported, u) }
		const part = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na"
		s.dial(part)
		s.dial("")
		require.Len(t, reported, 1)
		assert.Equal(t, Unanswered{Phase: closed, For: time.Second + refusalTime, Read: int64(len(part))}, reported[0])

		inWork := s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.Len(t, reported, 1, "the closed connection had been idle")
		close(release)
		requireAnswer(t, inWork)
		synctest.Wait()
		s.dial("")
		assert.Len(t, reported, 1, "the request had been answered")
	})
}

// slowEnd is a server's connection whose reads return late when a deadline ends them, as
// where many goroutines wait for a processor.
type slowEnd struct{ net.Conn }

// Read implements net.Conn.
func (c *slowEnd) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		time.Sleep(10 * time.Millisecond)
	}
	return n, err
}

// slowEndListener makes a slowEnd of its connections.
type slowEndListener struct{ net.Listener }

// Accept implements net.Listener.
func (l slowEndListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowEnd{c}, nil
}

// Guards against a crowd of clients that are accepted faster than the connections end that
// make room for them, and take all descriptors.
func TestCrowdKeepsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, crowd = 5, 100
		network := memnet.New()
		most := 0
		var conns *Conns
		conns = NewConns(limit, func() { most = max(most, conns.Open()) })
		server := &http.Server{Handler: http.HandlerFunc(answer200)}
		listener := conns.track(server, slowEndListener{network.Listen(testAddress)})
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() {
			_ = server.Close()
			time.Sleep(time.Second)
		})
		var clients sync.WaitGroup
		for range crowd {
			clients.Go(func() {
				client, err := network.Dial(t.Context(), "mem", testAddress)
				if assert.NoError(t, err) {
					t.Cleanup(func() { _ = client.Close() })
				}
			})
		}
		clients.Wait()
		time.Sleep(crowd * 10 * time.Millisecond)
		synctest.Wait()
		assert.LessOrEqual(t, most, limit+1)
		assert.Equal(t, limit, conns.Open())
	})
}
