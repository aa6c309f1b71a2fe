package backendpool

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/backendapi"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/standin/backend"
	"github.com/parsleyhill/parsleyhill/internal/standin/memnet"
)

const address = "backend-1:80"

// replyFunc is what a scripted server does with one request.
type replyFunc func(c net.Conn, id string)

// scriptedServer replies to each request with the next function in replies, and
// with validReply once there are none left. It records the ids that it received.
type scriptedServer struct {
	mu       sync.Mutex
	replies  []replyFunc
	received []string
}

func (s *scriptedServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *scriptedServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.nextReply(req.Header.Get(backendapi.HeaderRequestID))(c, req.Header.Get(backendapi.HeaderRequestID))
	}
}

func (s *scriptedServer) nextReply(id string) replyFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, id)
	if len(s.replies) == 0 {
		return validReply
	}
	first := s.replies[0]
	s.replies = s.replies[1:]
	return first
}

func rawResponse(status int, id, body string, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n", status, backendapi.HeaderRequestID, id)
	for _, h := range headers {
		text += h + "\r\n"
	}
	return text + "\r\n" + body
}

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

func digestHeader(body string) string {
	return backendapi.HeaderDigest + ": " + backendapi.Digest([]byte(body))
}

func validReply(c net.Conn, id string) {
	_, _ = io.WriteString(c, rawResponse(200, id, id, contentLength(len(id)), digestHeader(id)))
}

func closeWithoutReply(c net.Conn, _ string) { _ = c.Close() }

func respond(text func(id string) string) replyFunc {
	return func(c net.Conn, id string) { _, _ = io.WriteString(c, text(id)) }
}

func respondAndClose(text func(id string) string) replyFunc {
	return func(c net.Conn, id string) {
		respond(text)(c, id)
		_ = c.Close()
	}
}

// startServer runs a scripted server and returns a pool connected to it.
func startServer(t *testing.T, replies ...replyFunc) (*Pool, *scriptedServer) {
	network := memnet.New()
	l := network.Listen(address)
	s := &scriptedServer{replies: replies}
	go s.serve(l)
	p := NewWithDial(network.Dial)
	t.Cleanup(func() {
		p.Close()
		_ = l.Close()
	})
	return p, s
}

func testCall(id string) Call {
	return Call{ID: id, Address: address, ContentType: "text/plain", Body: []byte("pair the valves")}
}

func sendAndWait(t *testing.T, p *Pool, id string) (Answer, *errkind.Error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	answer, err := p.Send(ctx, testCall(id))
	// Wait until the transport has processed what the server sent or closed.
	synctest.Wait()
	return answer, err
}

// TestOneSendIsOneRequest produces each condition under which http.Transport
// would resend a request by itself. A resent request could run twice.
func TestOneSendIsOneRequest(t *testing.T) {
	closeIdle := respondAndClose(func(id string) string { return rawResponse(200, id, id, contentLength(len(id)), digestHeader(id)) })
	tests := []struct {
		name    string
		replies []replyFunc
		want    errkind.RunState
	}{
		{"a fresh connection closes after the request", []replyFunc{validReply, closeWithoutReply}, errkind.Unknown},
		{"a used connection was closed while idle", []replyFunc{closeIdle, closeWithoutReply}, errkind.Unknown},
		{"a used connection closes after the request", []replyFunc{validReply, closeWithoutReply, validReply}, errkind.Unknown},
	}
	bodies := map[string][]byte{"empty body": nil, "body": []byte("x")}
	for _, tt := range tests {
		for name, body := range bodies {
			t.Run(tt.name+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p, s := startServer(t, tt.replies...)
					_, err := sendAndWait(t, p, "first")
					require.Nil(t, err)
					req, buildErr := newRequest(t.Context(), testCall("second"))
					require.NoError(t, buildErr)
					req.Header.Set("Idempotency-Key", "second")
					req.Header.Set("X-Idempotency-Key", "second")
					req.ContentLength = int64(len(body))
					req.Body = http.NoBody
					if body != nil {
						req.Body = io.NopCloser(bytes.NewReader(body))
						req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
					}
					_, err = p.do(t.Context(), testCall("second"), req)
					require.NotNil(t, err)
					require.Equal(t, tt.want, err.Run)
					synctest.Wait()
					require.Equal(t, []string{"first", "second"}, s.received)
				})
			})
		}
	}
}

func TestNotRunOnlyWithoutWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		p := NewWithDial(network.Dial)
		_, err := sendAndWait(t, p, "nobody listens")
		require.Equal(t, errkind.BackendLost, err.Kind)
		require.Equal(t, errkind.NotRun, err.Run)

		// Requests without an answer occupy every connection.
		l := network.Listen(address)
		silent := &scriptedServer{replies: make([]replyFunc, ConnsPerBackend)}
		for i := range silent.replies {
			silent.replies[i] = func(net.Conn, string) { <-t.Context().Done() }
		}
		go silent.serve(l)
		var group sync.WaitGroup
		for i := range ConnsPerBackend {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := p.Send(ctx, testCall(fmt.Sprint("held-", i)))
				require.Equal(t, errkind.Timeout, err.Kind)
				require.Equal(t, errkind.Unknown, err.Run, "written, then no answer")
			})
		}
		synctest.Wait()
		_, err = sendAndWait(t, p, "no connection")
		require.Equal(t, errkind.Timeout, err.Kind)
		require.Equal(t, errkind.NotRun, err.Run)
		group.Wait()
		require.NotContains(t, silent.received, "no connection")
		p.Close()
		_ = l.Close()
	})
}

// TestAnswerReachesOnlyItsRequest sends a request with a faulty answer and then a
// second one, which must get its own answer.
func TestAnswerReachesOnlyItsRequest(t *testing.T) {
	body := "matched"
	tests := []struct {
		name string
		do   replyFunc
		kind errkind.Kind
		run  errkind.RunState
	}{
		{"another request's id", respond(func(string) string {
			return rawResponse(200, "other", body, contentLength(len(body)), digestHeader(body))
		}), errkind.AnswerInvalid, errkind.Unknown},
		{"another request's id, no body", respond(func(string) string { return rawResponse(200, "other", "", contentLength(0)) }), errkind.AnswerInvalid, errkind.Unknown},
		{"no id", respond(func(string) string { return "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n" }), errkind.AnswerInvalid, errkind.Unknown},
		{"two ids", respond(func(id string) string {
			return rawResponse(200, id, body, contentLength(len(body)), backendapi.HeaderRequestID+": other")
		}), errkind.AnswerInvalid, errkind.Unknown},
		{"truncated by length", respondAndClose(func(id string) string {
			return rawResponse(200, id, body[:3], contentLength(len(body)), digestHeader(body))
		}), errkind.AnswerInvalid, errkind.Unknown},
		{"truncated with a matching length", respond(func(id string) string { return rawResponse(200, id, body[:3], contentLength(3), digestHeader(body)) }), errkind.AnswerInvalid, errkind.Unknown},
		{"truncated chunks", respondAndClose(func(id string) string { return rawResponse(200, id, "3\r\nmat\r\n", "Transfer-Encoding: chunked") }), errkind.AnswerInvalid, errkind.Unknown},
		{"no digest and no length", respondAndClose(func(id string) string { return rawResponse(200, id, body, "Connection: close") }), errkind.AnswerInvalid, errkind.Unknown},
		{"no digest, complete by length", respond(func(id string) string { return rawResponse(200, id, body, contentLength(len(body))) }), "", ""},
		{"cut off before the end of headers", respondAndClose(func(id string) string { return rawResponse(200, id, "")[:20] }), errkind.BackendLost, errkind.Unknown},
		{"stalls in the body", respond(func(id string) string { return rawResponse(200, id, body[:3], contentLength(len(body))) }), errkind.Timeout, errkind.Unknown},
		{"garbage", respondAndClose(func(string) string { return "engraved\r\n" }), errkind.BackendLost, errkind.Unknown},
		{"refusal", respond(func(id string) string {
			return rawResponse(503, id, "", contentLength(0), backendapi.HeaderRefused+": busy")
		}), errkind.BackendRefused, errkind.NotRun},
		{"refusal with a status of success", respond(func(id string) string {
			return rawResponse(200, id, "", contentLength(0), backendapi.HeaderRefused+": busy")
		}), errkind.AnswerInvalid, errkind.Unknown},
		{"refusal of another request", respond(func(string) string {
			return rawResponse(503, "other", "", contentLength(0), backendapi.HeaderRefused+": busy")
		}), errkind.AnswerInvalid, errkind.Unknown},
		{"failure after the run", respond(func(id string) string { return rawResponse(500, id, body, contentLength(len(body))) }), errkind.BackendFailed, errkind.Ran},
		{"answered twice", respond(func(id string) string {
			once := rawResponse(200, id, body, contentLength(len(body)), digestHeader(body))
			return once + once
		}), "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, s := startServer(t, tt.do)
				answer, err := sendAndWait(t, p, "first")
				if tt.kind == "" {
					require.Nil(t, err)
					require.Equal(t, body, string(answer.Body))
				} else {
					require.NotNil(t, err)
					require.Equal(t, tt.kind, err.Kind, err.Error())
					require.Equal(t, tt.run, err.Run)
					require.Empty(t, answer.Body)
				}
				answer, err = sendAndWait(t, p, "second")
				require.Nil(t, err)
				require.Equal(t, "second", string(answer.Body))
				require.Equal(t, []string{"first", "second"}, s.received)
			})
		})
	}
}

// TestConnectionWithMismatchedAnswerIsClosed uses a server that answers each
// request on a connection with the answer of the previous one. Reusing that
// connection would give the second request the answer of the first.
func TestConnectionWithMismatchedAnswerIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var used net.Conn
		first := func(c net.Conn, _ string) {
			used = c
			_, _ = io.WriteString(c, rawResponse(200, "zero", "", contentLength(0)))
		}
		second := func(c net.Conn, id string) {
			if c == used {
				id = "first"
			}
			validReply(c, id)
		}
		p, _ := startServer(t, first, second)
		_, err := sendAndWait(t, p, "first")
		require.Equal(t, errkind.AnswerInvalid, err.Kind)
		answer, err := sendAndWait(t, p, "second")
		require.Nil(t, err)
		require.Equal(t, "second", string(answer.Body))
	})
}

// TestLateAnswerIsDiscarded lets the first request time out. Its answer arrives
// while the second request waits and must not reach it.
func TestLateAnswerIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := func(c net.Conn, id string) {
			<-time.After(1500 * time.Millisecond)
			validReply(c, id)
		}
		slow := func(c net.Conn, id string) {
			<-time.After(900 * time.Millisecond)
			validReply(c, id)
		}
		p, _ := startServer(t, late, slow)
		_, err := sendAndWait(t, p, "first")
		require.Equal(t, errkind.Timeout, err.Kind)
		answer, err := sendAndWait(t, p, "second")
		require.Nil(t, err)
		require.Equal(t, "second", string(answer.Body))
	})
}

// TestBackendContract injects each fault into a stand-in backend server. It checks
// the resulting error and how often the server started the request.
func TestBackendContract(t *testing.T) {
	tests := []struct {
		name   string
		faults backend.Faults
		kind   errkind.Kind
		run    errkind.RunState
		starts int
	}{
		{"none", backend.Faults{}, "", "", 1},
		{"fails all", backend.Faults{FailAll: true}, errkind.BackendFailed, errkind.Ran, 1},
		{"frozen", backend.Faults{Frozen: true}, errkind.Timeout, errkind.Unknown, 1},
		{"slow", backend.Faults{SlowBy: 100}, errkind.Timeout, errkind.Unknown, 1},
		{"leaving", backend.Faults{Leaving: true}, errkind.BackendRefused, errkind.NotRun, 0},
		{"truncates", backend.Faults{Truncate: true}, errkind.AnswerInvalid, errkind.Unknown, 1},
		{"crosses answers", backend.Faults{WrongID: true}, errkind.AnswerInvalid, errkind.Unknown, 1},
		{"drops the connection after the start", backend.Faults{Drop: true}, errkind.BackendLost, errkind.Unknown, 1},
		{"answers twice", backend.Faults{AnswerTwice: true}, "", "", 1},
		{"sends no digest", backend.Faults{NoDigest: true}, "", "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.New()
				b := backend.New(address, 8, 52)
				server := &http.Server{Handler: b.Handler()}
				l := network.Listen(address)
				go func() { _ = server.Serve(l) }()
				p := NewWithDial(network.Dial)
				defer func() {
					p.Close()
					_ = server.Close()
					<-time.After(time.Minute)
				}()
				b.SetFaults(tt.faults)
				answer, err := sendAndWait(t, p, "first")
				if tt.kind == "" {
					require.Nil(t, err)
					require.Contains(t, string(answer.Body), `"request":"first"`)
				} else {
					require.NotNil(t, err)
					require.Equal(t, tt.kind, err.Kind, err.Error())
					require.Equal(t, tt.run, err.Run)
				}
				require.Equal(t, tt.faults.Leaving, answer.Leaving)
				b.SetFaults(backend.Faults{})
				answer, err = sendAndWait(t, p, "second")
				require.Nil(t, err)
				require.Contains(t, string(answer.Body), `"request":"second"`)
				require.Equal(t, tt.starts, b.Starts("first"))
				require.Equal(t, 1, b.Starts("second"))
			})
		})
	}
}
