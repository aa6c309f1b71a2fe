package httpserve

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testLimit = 32 << 10
	// decodedBytes is the memory of a body of testLimit bytes that has been read.
	decodedBytes = decodedFactor * testLimit
)

// testPace leaves testLimit bytes 20 s.
var testPace = Pace{Grace: 12 * time.Second, BytesPerSecond: testLimit / 8}

// bodyServer serves requests by reading their bodies.
type bodyServer struct {
	*limitedServer
	bodies *Bodies
	// refusals are the reported reasons, guarded by mu.
	mu       sync.Mutex
	refusals []Refusal
	// decoding holds the requests whose bodies have been read until it is closed.
	decoding chan struct{}
}

func startBodyServer(t *testing.T, capacity int64) *bodyServer {
	s := &bodyServer{decoding: make(chan struct{})}
	s.bodies = NewBodies(capacity, testPace, func(r Refusal) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refusals = append(s.refusals, r)
	})
	s.limitedServer = startLimited(t, 100, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := s.bodies.Read(w, r, testLimit)
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrNoMemory):
			w.WriteHeader(http.StatusServiceUnavailable)
		case errors.Is(err, ErrTooSlow):
			w.WriteHeader(http.StatusRequestTimeout)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			<-s.decoding
			defer body.Release()
			_ = body.Decode(func(data []byte) error {
				_, err := fmt.Fprint(w, len(data))
				return err
			})
		}
	}))
	return s
}

func (s *bodyServer) refused() []Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refusals)
}

// post sends a request with the given header field and a body of n bytes, as far as
// the server reads it, and lets a second pass.
func (s *bodyServer) post(field string, body string) net.Conn {
	client := s.dial("")
	go func() {
		_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\n"+field+"\r\n\r\n"+body)
	}()
	time.Sleep(time.Second)
	synctest.Wait()
	return client
}

func (s *bodyServer) postBody(length, sent int) net.Conn {
	return s.post(fmt.Sprintf("Content-Length: %d", length), strings.Repeat(" ", sent))
}

func requireStatus(t *testing.T, client net.Conn, status int) string {
	t.Helper()
	_ = client.SetReadDeadline(time.Now().Add(2 * memoryWait))
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	assert.Equal(t, status, resp.StatusCode)
	assert.Equal(t, status != http.StatusOK, resp.Close, "the connection stays open")
	return string(body)
}

// Guards against limits on memory that change what is read of a body.
func TestBodiesAreReadWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startBodyServer(t, decodedBytes)
		close(s.decoding)
		for _, n := range []int{1, firstBuffer - 1, firstBuffer, firstBuffer + 1, testLimit - 1, testLimit} {
			assert.Equal(t, fmt.Sprint(n), requireStatus(t, s.postBody(n, n), http.StatusOK))
			chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", n, strings.Repeat(" ", n))
			assert.Equal(t, fmt.Sprint(n), requireStatus(t, s.post("Transfer-Encoding: chunked", chunked), http.StatusOK))
		}
		assert.Zero(t, s.bodies.Held())
		assert.Empty(t, s.refused())
	})
}

// Guards against reading bodies that are larger than they may be.
func TestBodiesAboveTheLimitAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startBodyServer(t, decodedBytes)
		requireStatus(t, s.postBody(testLimit+1, 0), http.StatusRequestEntityTooLarge)
		chunk := fmt.Sprintf("%x\r\n%s\r\n", testLimit+1, strings.Repeat(" ", testLimit+1))
		requireStatus(t, s.post("Transfer-Encoding: chunked", chunk), http.StatusRequestEntityTooLarge)
		assert.Zero(t, s.bodies.Held())
	})
}

// Guards against unfinished bodies that keep the memory from others, and against
// small ones that wait for memory.
func TestOldestUnfinishedBodyIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// One more body fits beside two unfinished ones.
		const capacity = decodedBytes + 2*testLimit
		s := startBodyServer(t, capacity)
		close(s.decoding)
		var unfinished []net.Conn
		for range 3 {
			unfinished = append(unfinished, s.postBody(testLimit, testLimit-1))
			assert.LessOrEqual(t, s.bodies.Held(), int64(capacity))
		}
		requireStatus(t, s.postBody(firstBuffer, firstBuffer), http.StatusOK)
		assert.Empty(t, s.refused())

		requireStatus(t, s.postBody(testLimit, testLimit), http.StatusOK)
		requireStatus(t, unfinished[0], http.StatusServiceUnavailable)
		requireOpen(t, unfinished[1])
		requireOpen(t, unfinished[2])
		assert.Equal(t, []Refusal{RefusedGivenUp}, s.refused())
	})
}

// Guards against giving up requests whose body has been read, and against bodies that
// wait for their memory without end.
func TestBodyIsRefusedWhileOthersAreDecoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startBodyServer(t, 3*decodedBytes)
		var decoding []net.Conn
		for range 3 {
			decoding = append(decoding, s.postBody(testLimit, testLimit))
		}
		requireStatus(t, s.postBody(testLimit, testLimit), http.StatusServiceUnavailable)
		assert.Equal(t, []Refusal{RefusedNoMemory}, s.refused())
		close(s.decoding)
		for _, client := range decoding {
			requireStatus(t, client, http.StatusOK)
		}
		synctest.Wait()
		assert.Zero(t, s.bodies.Held())
	})
}

// Guards against unfinished bodies that stay for ever, and against a time limit that a
// slow client within the pace meets.
func TestBodyMustKeepThePace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startBodyServer(t, decodedBytes)
		close(s.decoding)
		stalled, dripping := s.postBody(testLimit, testLimit-1), s.postBody(testLimit, 1)
		slow := s.postBody(testLimit, 0)
		const piece = testLimit / 16
		var drops sync.WaitGroup
		drops.Go(func() {
			for err := error(nil); err == nil; {
				time.Sleep(time.Second)
				_, err = io.WriteString(dripping, " ")
			}
		})
		for sent := 0; sent < testLimit; sent += piece {
			time.Sleep(time.Second)
			_, err := io.WriteString(slow, strings.Repeat(" ", min(piece, testLimit-sent)))
			require.NoError(t, err)
		}
		requireStatus(t, slow, http.StatusOK)
		time.Sleep(testPace.Grace)
		requireStatus(t, dripping, http.StatusRequestTimeout)
		requireStatus(t, stalled, http.StatusRequestTimeout)
		drops.Wait()
		assert.Equal(t, []Refusal{RefusedTooSlow, RefusedTooSlow}, s.refused())
		assert.Zero(t, s.bodies.Held())
	})
}
