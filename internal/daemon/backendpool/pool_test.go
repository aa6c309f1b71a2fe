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

// reply is what a scripted server does with one request.
type reply func(c net.Conn, id string)

// script serves one reply per request, in order, and counts what arrived.
type script struct {
	mu      sync.Mutex
	replies []reply
	seen    []string
}

func (s *script) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *script) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.next(req.Header.Get(backendapi.HeaderRequestID))(c, req.Header.Get(backendapi.HeaderRequestID))
	}
}

func (s *script) next(id string) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, id)
	if len(s.replies) == 0 {
		return good
	}
	first := s.replies[0]
	s.replies = s.replies[1:]
	return first
}

func raw(status int, id, body string, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n", status, backendapi.HeaderRequestID, id)
	for _, h := range headers {
		text += h + "\r\n"
	}
	return text + "\r\n" + body
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

func digest(body string) string {
	return backendapi.HeaderDigest + ": " + backendapi.Digest([]byte(body))
}

func good(c net.Conn, id string) {
	_, _ = io.WriteString(c, raw(200, id, id, length(len(id)), digest(id)))
}

func hangUp(c net.Conn, _ string) { _ = c.Close() }

func say(text func(id string) string) reply {
	return func(c net.Conn, id string) { _, _ = io.WriteString(c, text(id)) }
}

func sayAndClose(text func(id string) string) reply {
	return func(c net.Conn, id string) {
		say(text)(c, id)
		_ = c.Close()
	}
}

// start runs a scripted server and a pool that reaches it.
func start(t *testing.T, replies ...reply) (*Pool, *script) {
	network := memnet.New()
	l := network.Listen(address)
	s := &script{replies: replies}
	go s.serve(l)
	p := NewWithDial(network.Dial)
	t.Cleanup(func() {
		p.Close()
		_ = l.Close()
	})
	return p, s
}

func call(id string) Call {
	return Call{ID: id, Address: address, ContentType: "text/plain", Body: []byte("pair the valves")}
}

func try(t *testing.T, p *Pool, id string) (Answer, *errkind.Error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	answer, err := p.Send(ctx, call(id))
	// The transport has seen what the server did before the next send.
	synctest.Wait()
	return answer, err
}

// TestOneSendIsOneRequest gives the transport each cause for which it would
// send a request again by itself.
func TestOneSendIsOneRequest(t *testing.T) {
	closeIdle := sayAndClose(func(id string) string { return raw(200, id, id, length(len(id)), digest(id)) })
	tests := []struct {
		name    string
		replies []reply
		want    errkind.RunState
	}{
		{"a fresh connection closes after the request", []reply{good, hangUp}, errkind.Unknown},
		{"a used connection was closed while idle", []reply{closeIdle, hangUp}, errkind.Unknown},
		{"a used connection closes after the request", []reply{good, hangUp, good}, errkind.Unknown},
	}
	bodies := map[string][]byte{"empty body": nil, "body": []byte("x")}
	for _, tt := range tests {
		for name, body := range bodies {
			t.Run(tt.name+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p, s := start(t, tt.replies...)
					_, err := try(t, p, "first")
					require.Nil(t, err)
					req, buildErr := newRequest(t.Context(), call("second"))
					require.NoError(t, buildErr)
					req.Header.Set("Idempotency-Key", "second")
					req.Header.Set("X-Idempotency-Key", "second")
					req.ContentLength = int64(len(body))
					req.Body = http.NoBody
					if body != nil {
						req.Body = io.NopCloser(bytes.NewReader(body))
						req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
					}
					_, err = p.do(t.Context(), call("second"), req)
					require.NotNil(t, err)
					require.Equal(t, tt.want, err.Run)
					synctest.Wait()
					require.Equal(t, []string{"first", "second"}, s.seen)
				})
			})
		}
	}
}

func TestNotRunOnlyWithoutWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		p := NewWithDial(network.Dial)
		_, err := try(t, p, "nobody listens")
		require.Equal(t, errkind.BackendLost, err.Kind)
		require.Equal(t, errkind.NotRun, err.Run)

		// Every connection is held by a request without an answer.
		l := network.Listen(address)
		silent := &script{replies: make([]reply, ConnsPerBackend)}
		for i := range silent.replies {
			silent.replies[i] = func(net.Conn, string) { <-t.Context().Done() }
		}
		go silent.serve(l)
		var group sync.WaitGroup
		for i := range ConnsPerBackend {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				_, err := p.Send(ctx, call(fmt.Sprint("held-", i)))
				require.Equal(t, errkind.Timeout, err.Kind)
				require.Equal(t, errkind.Unknown, err.Run, "written, then no answer")
			})
		}
		synctest.Wait()
		_, err = try(t, p, "no connection")
		require.Equal(t, errkind.Timeout, err.Kind)
		require.Equal(t, errkind.NotRun, err.Run)
		group.Wait()
		require.NotContains(t, silent.seen, "no connection")
		p.Close()
		_ = l.Close()
	})
}

// TestAnswerReachesOnlyItsRequest sends a request, then another one that must
// get its own answer or an error.
func TestAnswerReachesOnlyItsRequest(t *testing.T) {
	body := "matched"
	tests := []struct {
		name string
		do   reply
		kind errkind.Kind
		run  errkind.RunState
	}{
		{"another request's id", say(func(string) string { return raw(200, "other", body, length(len(body)), digest(body)) }), errkind.AnswerInvalid, errkind.Unknown},
		{"another request's id, no body", say(func(string) string { return raw(200, "other", "", length(0)) }), errkind.AnswerInvalid, errkind.Unknown},
		{"no id", say(func(string) string { return "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n" }), errkind.AnswerInvalid, errkind.Unknown},
		{"two ids", say(func(id string) string {
			return raw(200, id, body, length(len(body)), backendapi.HeaderRequestID+": other")
		}), errkind.AnswerInvalid, errkind.Unknown},
		{"truncated by length", sayAndClose(func(id string) string { return raw(200, id, body[:3], length(len(body)), digest(body)) }), errkind.AnswerInvalid, errkind.Unknown},
		{"truncated with the length of what is left", say(func(id string) string { return raw(200, id, body[:3], length(3), digest(body)) }), errkind.AnswerInvalid, errkind.Unknown},
		{"truncated chunks", sayAndClose(func(id string) string { return raw(200, id, "3\r\nmat\r\n", "Transfer-Encoding: chunked") }), errkind.AnswerInvalid, errkind.Unknown},
		{"no digest and no length", sayAndClose(func(id string) string { return raw(200, id, body, "Connection: close") }), errkind.AnswerInvalid, errkind.Unknown},
		{"no digest, whole by length", say(func(id string) string { return raw(200, id, body, length(len(body))) }), "", ""},
		{"cut off before the end of headers", sayAndClose(func(id string) string { return raw(200, id, "")[:20] }), errkind.BackendLost, errkind.Unknown},
		{"stalls in the body", say(func(id string) string { return raw(200, id, body[:3], length(len(body))) }), errkind.Timeout, errkind.Unknown},
		{"garbage", sayAndClose(func(string) string { return "engraved\r\n" }), errkind.BackendLost, errkind.Unknown},
		{"refusal", say(func(id string) string { return raw(503, id, "", length(0), backendapi.HeaderRefused+": busy") }), errkind.BackendRefused, errkind.NotRun},
		{"refusal with a status of success", say(func(id string) string { return raw(200, id, "", length(0), backendapi.HeaderRefused+": busy") }), errkind.AnswerInvalid, errkind.Unknown},
		{"refusal of another request", say(func(string) string { return raw(503, "other", "", length(0), backendapi.HeaderRefused+": busy") }), errkind.AnswerInvalid, errkind.Unknown},
		{"failure after the run", say(func(id string) string { return raw(500, id, body, length(len(body))) }), errkind.BackendFailed, errkind.Ran},
		{"answered twice", say(func(id string) string {
			once := raw(200, id, body, length(len(body)), digest(body))
			return once + once
		}), "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, s := start(t, tt.do)
				answer, err := try(t, p, "first")
				if tt.kind == "" {
					require.Nil(t, err)
					require.Equal(t, body, string(answer.Body))
				} else {
					require.NotNil(t, err)
					require.Equal(t, tt.kind, err.Kind, err.Error())
					require.Equal(t, tt.run, err.Run)
					require.Empty(t, answer.Body)
				}
				answer, err = try(t, p, "second")
				require.Nil(t, err)
				require.Equal(t, "second", string(answer.Body))
				require.Equal(t, []string{"first", "second"}, s.seen)
			})
		})
	}
}

// TestConnectionOutOfStepIsClosed has a server that lags one answer behind on
// a connection.
func TestConnectionWithMismatchedAnswerIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var used net.Conn
		first := func(c net.Conn, _ string) {
			used = c
			_, _ = io.WriteString(c, raw(200, "zero", "", length(0)))
		}
		second := func(c net.Conn, id string) {
			if c == used {
				id = "first"
			}
			good(c, id)
		}
		p, _ := start(t, first, second)
		_, err := try(t, p, "first")
		require.Equal(t, errkind.AnswerInvalid, err.Kind)
		answer, err := try(t, p, "second")
		require.Nil(t, err)
		require.Equal(t, "second", string(answer.Body))
	})
}

// TestLateAnswerReachesNobody lets the first request time out and its answer
// arrive while the second one waits.
func TestLateAnswerIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := func(c net.Conn, id string) {
			<-time.After(1500 * time.Millisecond)
			good(c, id)
		}
		slow := func(c net.Conn, id string) {
			<-time.After(900 * time.Millisecond)
			good(c, id)
		}
		p, _ := start(t, late, slow)
		_, err := try(t, p, "first")
		require.Equal(t, errkind.Timeout, err.Kind)
		answer, err := try(t, p, "second")
		require.Nil(t, err)
		require.Equal(t, "second", string(answer.Body))
	})
}

// TestBackendContract checks the stand-in's faults against what a pool makes
// of them and against the ledger of starts.
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
				answer, err := try(t, p, "first")
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
				answer, err = try(t, p, "second")
				require.Nil(t, err)
				require.Contains(t, string(answer.Body), `"request":"second"`)
				require.Equal(t, tt.starts, b.Starts("first"))
				require.Equal(t, 1, b.Starts("second"))
			})
		})
	}
}
