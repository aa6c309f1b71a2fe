//go:build e2e

package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// shortBy is by how much an unfinished body ends before its stated length.
	shortBy = 10
	// blockedTimeout is how long a client waits until the host reads on.
	blockedTimeout = 5 * time.Second
	// pause is the time between two pieces of a client that sends slowly.
	pause = 5 * time.Millisecond
	// settleTime is how long the crowd stays before the host is checked, so that the
	// host has read what the crowd has sent.
	settleTime = 2 * time.Second
	// largeJobTimeout is how long the largest job may take.
	largeJobTimeout = 2 * time.Minute
)

// The sizes of the crowds, in connections.
const (
	largeBodies     = 300
	manyConnections = 600
	largeHeaders    = 2500
	fullPort        = 1500
	decodedBodies   = 40
)

// The machines of the tests. A test of memory has descriptors to spare, and the
// other way round.
var (
	littleMemory   = limits{memoryMB: 96, maxFDs: 4100}
	leastMemory    = limits{memoryMB: 64, maxFDs: 4100}
	fewDescriptors = limits{memoryMB: 96, maxFDs: 512}
	smallest       = limits{memoryMB: 144, maxFDs: 4100}
)

// pieces is what a client sends, one write each, before it stops.
type pieces struct {
	data  [][]byte
	pause time.Duration
	// unread is set if the client's receive buffer is as small as possible.
	unread bool
}

// send opens a connection and sends the pieces, until the host closes it or does
// not read for blockedTimeout. It returns nil if it could not connect.
func (p pieces) send(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, blockedTimeout)
	if err != nil {
		return nil
	}
	if p.unread {
		_ = conn.(*net.TCPConn).SetReadBuffer(1)
	}
	for _, piece := range p.data {
		_ = conn.SetWriteDeadline(time.Now().Add(blockedTimeout))
		if _, err := conn.Write(piece); err != nil {
			break
		}
		time.Sleep(p.pause)
	}
	return conn
}

// openCrowd opens connections that each send what the function returns for it. It
// returns settleTime after all have stopped sending; the connections stay open until
// the test ends.
func openCrowd(t *testing.T, port string, size int, of func(i int) pieces) {
	var crowd sync.WaitGroup
	for i := range size {
		crowd.Go(func() {
			if conn := of(i).send(net.JoinHostPort(hostIP, port)); conn != nil {
				t.Cleanup(func() { _ = conn.Close() })
			}
		})
	}
	crowd.Wait()
	time.Sleep(settleTime)
}

// openReturningCrowd is like openCrowd, but each client opens a new connection as
// soon as the host closes its former one, until the test ends. It returns
// settleTime after each has stopped sending once.
func openReturningCrowd(t *testing.T, port string, size int, of func(i int) pieces) {
	var first, crowd sync.WaitGroup
	done := make(chan struct{})
	first.Add(size)
	for i := range size {
		crowd.Go(func() {
			for round := 0; ; round++ {
				conn := of(i).send(net.JoinHostPort(hostIP, port))
				if round == 0 {
					first.Done()
				}
				awaitClose(conn, done)
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
			}
		})
	}
	t.Cleanup(func() {
		close(done)
		crowd.Wait()
	})
	first.Wait()
	time.Sleep(settleTime)
}

// awaitClose waits until the host closes a connection, or done is closed, and
// closes the client's end.
func awaitClose(conn net.Conn, done <-chan struct{}) {
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	select {
	case <-closed:
	case <-done:
		_ = conn.Close()
		<-closed
	}
}

// postHeader returns the header of a request that submits job number i, with a
// field that describes its body.
func postHeader(i int, field string) []byte {
	return []byte(fmt.Sprintf("POST /jobs/2%015x HTTP/1.1\r\nHost: jobs.example\r\n%s\r\n\r\n", i, field))
}

// unfinishedBody returns a request whose body lacks its last bytes and is sent in
// pieces of a size.
func unfinishedBody(i, length, size int) [][]byte {
	data := [][]byte{postHeader(i, fmt.Sprintf("Content-Length: %d", length))}
	for body := jobBody(length)[:length-shortBy]; len(body) > 0; body = body[min(size, len(body)):] {
		data = append(data, body[:min(size, len(body))])
	}
	return data
}

// unfinishedChunks returns a request whose chunked body lacks its last chunks. Each
// piece holds chunks of the given size and is about as large as a large chunk.
func unfinishedChunks(i, chunk int) [][]byte {
	const pieceBytes = 65536
	var encoded bytes.Buffer
	for body := jobBody(maxBodyBytes)[:maxBodyBytes-shortBy]; len(body) > 0; body = body[min(chunk, len(body)):] {
		part := body[:min(chunk, len(body))]
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", len(part), part)
	}
	data := [][]byte{postHeader(i, "Transfer-Encoding: chunked")}
	for encoded.Len() > 0 {
		data = append(data, encoded.Next(pieceBytes))
	}
	return data
}

// Guards against running out of memory by many large bodies that stop short of
// their end.
func TestLargeUnfinishedBodiesKeepMemoryBounded(t *testing.T) {
	h := startHost(t, littleMemory)
	openCrowd(t, callersPort, largeBodies, func(i int) pieces {
		return pieces{data: unfinishedBody(i, maxBodyBytes, maxBodyBytes)}
	})
	h.requireServing()
}

// Guards against running out of memory by many large bodies that arrive piece by
// piece and stop short of their end.
func TestLargeBodiesPieceByPieceKeepMemoryBounded(t *testing.T) {
	h := startHost(t, littleMemory)
	openCrowd(t, callersPort, largeBodies, func(i int) pieces {
		return pieces{data: unfinishedBody(i, maxBodyBytes, 8192), pause: pause}
	})
	h.requireServing()
}

// Guards against running out of memory by many bodies in large chunks that stop
// short of their end.
func TestLargeChunksKeepMemoryBounded(t *testing.T) {
	h := startHost(t, littleMemory)
	openCrowd(t, callersPort, largeBodies, func(i int) pieces {
		return pieces{data: unfinishedChunks(i, 65536)}
	})
	h.requireServing()
}

// Guards against running out of memory by many bodies in very small chunks that
// stop short of their end.
func TestSmallChunksKeepMemoryBounded(t *testing.T) {
	h := startHost(t, littleMemory)
	openCrowd(t, callersPort, largeBodies, func(i int) pieces {
		return pieces{data: unfinishedChunks(i, 8)}
	})
	h.requireServing()
}

// Guards against running out of memory by clients that send a large unfinished
// body again whenever their connection is closed.
func TestReturningClientsKeepMemoryBounded(t *testing.T) {
	h := startHost(t, littleMemory)
	openReturningCrowd(t, callersPort, largeBodies, func(i int) pieces {
		return pieces{data: unfinishedBody(i, maxBodyBytes, maxBodyBytes)}
	})
	h.requireServing()
}

// Guards against running out of memory by the bytes that a host of the smallest size
// has received from more clients than it has connections, and has not read.
func TestMoreReturningClientsThanConnectionsKeepMemoryBounded(t *testing.T) {
	h := startHost(t, smallest)
	openReturningCrowd(t, callersPort, fullPort, func(i int) pieces {
		return pieces{data: unfinishedBody(i, maxBodyBytes, maxBodyBytes)}
	})
	h.requireServing()
}

// Guards against refusing a legal large body because unfinished ones hold all
// memory for bodies.
func TestLargeJobIsServedBesideUnfinishedBodies(t *testing.T) {
	h := startHost(t, littleMemory)
	openCrowd(t, callersPort, largeBodies, func(i int) pieces {
		return pieces{data: unfinishedBody(i, maxBodyBytes, maxBodyBytes)}
	})
	h.requireJob(bytes.NewReader(jobBody(maxBodyBytes)))
	h.requireWithinLimits()
}

// Guards against running out of memory by many large headers that do not end.
func TestLargeUnfinishedHeadersKeepMemoryBounded(t *testing.T) {
	h := startHost(t, leastMemory)
	openCrowd(t, callersPort, largeHeaders, func(i int) pieces {
		header := fmt.Sprintf("POST /jobs/2%015x HTTP/1.1\r\nHost: jobs.example\r\nX-Fill: %s", i, strings.Repeat("x", 15000))
		return pieces{data: [][]byte{[]byte(header)}}
	})
	h.requireServing()
}

// Guards against running out of descriptors by many small bodies that stop short
// of their end.
func TestSmallUnfinishedBodiesKeepDescriptorsBounded(t *testing.T) {
	h := startHost(t, fewDescriptors)
	openCrowd(t, callersPort, manyConnections, func(i int) pieces {
		return pieces{data: unfinishedBody(i, 1000, 1000)}
	})
	h.requireServing()
}

// Guards against running out of descriptors by many connections of callers without
// a request.
func TestIdleCallersKeepDescriptorsBounded(t *testing.T) {
	h := startHost(t, fewDescriptors)
	openCrowd(t, callersPort, manyConnections, func(int) pieces { return pieces{} })
	h.requireServing()
}

// Guards against running out of descriptors by callers that send requests without
// reading the answers.
func TestCallersThatDoNotReadKeepDescriptorsBounded(t *testing.T) {
	h := startHost(t, fewDescriptors)
	request := []byte("GET /jobs/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n")
	openCrowd(t, callersPort, manyConnections, func(int) pieces {
		return pieces{data: [][]byte{bytes.Repeat(request, 500)}, unread: true}
	})
	h.requireServing()
}

// idleAndUnfinished returns no request for every other connection, and an unfinished
// one for the others.
func idleAndUnfinished(i int) pieces {
	if i%2 == 0 {
		return pieces{}
	}
	return pieces{data: [][]byte{[]byte("POST / HTTP/1.1\r\nHost: host.example\r\nContent-Length: 1000\r\n\r\n{")}}
}

// Guards against running out of descriptors by many connections to the port of the
// readiness probes.
func TestReadyPortKeepsDescriptorsBounded(t *testing.T) {
	h := startHost(t, fewDescriptors)
	openCrowd(t, readyPort, manyConnections, idleAndUnfinished)
	h.requireServing()
}

// Guards against running out of descriptors by many connections to the port of the
// metrics.
func TestMetricsPortKeepsDescriptorsBounded(t *testing.T) {
	h := startHost(t, fewDescriptors)
	openCrowd(t, metricsPort, manyConnections, idleAndUnfinished)
	h.requireServing()
}

// Guards against running out of descriptors by many connections to the port of the
// other hosts.
func TestPeersPortKeepsDescriptorsBounded(t *testing.T) {
	h := startHost(t, fewDescriptors)
	openCrowd(t, peersPort, manyConnections, idleAndUnfinished)
	h.requireServing()
}

// wholeJob returns a request with a whole job of the given steps, in JSON.
func wholeJob(i int, bestEffort bool, steps string) [][]byte {
	body := fmt.Sprintf(`{"best_effort":%t,"spec":"x","steps":[%s]}`, bestEffort, steps)
	return [][]byte{postHeader(i, fmt.Sprintf("Content-Length: %d", len(body))), []byte(body)}
}

// repeated returns n elements of a JSON list.
func repeated(n int, element string) string { return strings.Repeat(element+",", n-1) + element }

// Guards against running out of memory by whole bodies that take many times their
// size when they are decoded.
func TestBodiesOfManyStepsKeepMemoryBounded(t *testing.T) {
	h := startHost(t, littleMemory)
	openCrowd(t, callersPort, decodedBodies, func(i int) pieces {
		return pieces{data: wholeJob(i, true, repeated(maxBodyBytes/len("{},")-100, "{}"))}
	})
	h.requireServing()
}

// Guards against a single job of legal size, but of very many steps, that keeps the
// host from serving others.
func TestJobOfManyStepsDoesNotBlockOthers(t *testing.T) {
	h := startHost(t, littleMemory)
	const step = `{"count":1}`
	openCrowd(t, callersPort, 1, func(i int) pieces {
		return pieces{data: wholeJob(i, true, repeated(maxBodyBytes/len(step+",")-100, step))}
	})
	h.requireServing()
}

// Guards against running out of memory by a single job that states very many tasks.
func TestJobOfManyTasksKeepsMemoryBounded(t *testing.T) {
	for _, bestEffort := range []bool{true, false} {
		h := startHost(t, littleMemory)
		openCrowd(t, callersPort, 1, func(i int) pieces {
			return pieces{data: wholeJob(i, bestEffort, `{"count":10000000,"cpu":1000}`)}
		})
		h.requireServing()
		h.stop()
	}
}

// slowReader returns its data in pieces, with a pause before each. It hides the
// length, so that the body is sent in chunks.
type slowReader struct {
	data  []byte
	piece int
	pause time.Duration
}

func (r *slowReader) Read(b []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	n := copy(b, r.data[:min(r.piece, len(r.data))])
	r.data = r.data[n:]
	return n, nil
}

// Guards against limits that refuse a single legal request while the host is idle.
func TestSingleLargeJobIsServed(t *testing.T) {
	h := startHost(t, leastMemory)
	h.requireJob(bytes.NewReader(jobBody(maxBodyBytes)))
	h.requireJob(&slowReader{data: jobBody(maxBodyBytes), piece: 65536})
	h.requireJob(&slowReader{data: jobBody(maxBodyBytes), piece: 16384, pause: 100 * time.Millisecond})
	h.requireWithinLimits()
	require.True(t, h.ready())
}

// Guards against running out of memory by many whole bodies that are decoded at once.
func TestWholeLargeBodiesKeepMemoryBounded(t *testing.T) {
	h := startHost(t, littleMemory)
	const dependency = "0"
	list := repeated(maxBodyBytes/len(dependency+",")-200, dependency)
	openCrowd(t, callersPort, largeBodies, func(i int) pieces {
		return pieces{data: wholeJob(i, true, `{"count":1,"cpu":1000},{"count":1,"cpu":1000,"after":[`+list+`]}`)}
	})
	h.requireServing()
}

// submitLargeJob submits a job of one step, waits until it has completed and returns how
// long it took.
func (h *host) submitLargeJob(bestEffort bool, tasks int) time.Duration {
	h.t.Helper()
	h.nextJob++
	path := fmt.Sprintf("/jobs/3%015x", h.nextJob)
	body := fmt.Sprintf(`{"best_effort":%t,"spec":%q,"steps":[{"count":%d,"cpu":100,"mem_mb":1,"est_runtime_ms":%d}]}`,
		bestEffort, strings.Repeat("x", 4000), tasks, taskTime.Milliseconds())
	began := time.Now()
	status, reply, err := do(http.MethodPost, net.JoinHostPort(hostIP, callersPort), path, strings.NewReader(body))
	require.NoError(h.t, err)
	require.Equal(h.t, http.StatusOK, status, reply)
	ended := func() bool { return reply != `{"state":"pending"}` && reply != `{"state":"running"}` }
	for !ended() && time.Since(began) < largeJobTimeout {
		time.Sleep(settleTime / 10)
		status, reply, err = do(http.MethodGet, net.JoinHostPort(hostIP, callersPort), path, nil)
		require.NoError(h.t, err)
		require.Equal(h.t, http.StatusOK, status, reply)
	}
	require.JSONEq(h.t, `{"state":"completed"}`, reply)
	return time.Since(began)
}

// Guards against a job within the limits that a host of the smallest size can't complete
// within its memory: one of its own callers, and one that a larger host has accepted.
func TestLargestJobsCompleteOnTheSmallestMachine(t *testing.T) {
	for _, c := range []struct {
		bestEffort bool
		tasks      int
	}{{true, 4608}, {false, 4608}, {false, 8192}} {
		h := startHost(t, limits{memoryMB: smallest.memoryMB, maxFDs: smallest.maxFDs, jobTasks: c.tasks})
		took := h.submitLargeJob(c.bestEffort, c.tasks)
		t.Logf("%d tasks, best effort %t: completed in %v", c.tasks, c.bestEffort, took)
		h.requireServing()
		h.stop()
	}
}
