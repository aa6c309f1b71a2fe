package httpserve

import (
	"container/list"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// firstBuffer is the size of the first buffer for a body in bytes, which doubles as
	// bytes arrive. The first buffer counts as memory of the connection, so that small
	// bodies, which are nearly all, never wait for memory.
	firstBuffer = 8 << 10
	// decodedFactor is the memory that a body may take when it is decoded, and until its
	// request is answered, as a multiple of its size. Bodies that fit into the first
	// buffer count as memory of the connection then, too.
	decodedFactor = 8
	// memoryWait is how long a body waits for memory that others give back.
	memoryWait = time.Second
)

// ErrNoMemory is the error of a body that is refused because request bodies take as
// much memory as they may. Its request has not run.
var ErrNoMemory = errors.New("request bodies take as much memory as they may")

// ErrTooSlow is the error of a body that arrives more slowly than it may.
var ErrTooSlow = errors.New("the body arrives too slowly")

// Refusal is why a body was refused.
type Refusal string

const (
	// RefusedNoMemory means that no memory was given back in time.
	RefusedNoMemory Refusal = "no memory"
	// RefusedGivenUp means that the body had been unfinished longest when another one
	// needed memory.
	RefusedGivenUp Refusal = "given up"
	// RefusedTooSlow means that the body arrived more slowly than it may.
	RefusedTooSlow Refusal = "too slow"
	// RefusedSteps means that the job in a body had too many steps.
	RefusedSteps Refusal = "too many steps"
	// RefusedTasks means that the job in a body had too many tasks.
	RefusedTasks Refusal = "too many tasks"
	// RefusedLeft means that the client had closed its connection before its job was taken.
	RefusedLeft Refusal = "client left"
)

// Refusals returns all reasons.
func Refusals() []Refusal {
	return []Refusal{RefusedNoMemory, RefusedGivenUp, RefusedTooSlow, RefusedSteps, RefusedTasks, RefusedLeft}
}

// Bodies bounds the memory for request bodies from their first bytes until their
// requests are answered, and the time to receive them. When the memory is used up, the
// bodies that have been unfinished longest are given up. It is safe for concurrent use.
type Bodies struct {
	capacity int64
	pace     Pace
	memory   *semaphore.Weighted
	held     atomic.Int64
	// report is called for each body that is refused.
	report func(Refusal)

	// decoding is held while a large body is decoded.
	decoding sync.Mutex

	mu sync.Mutex
	// unfinished holds the bodies that are being read, as *reading, the oldest first.
	unfinished *list.List
	// wanted is the memory for which bodies wait, and returning that of bodies that
	// were given up and have not yet given it back.
	wanted, returning int64
}

// Pace is how fast a body must arrive: as a whole within Grace and the time that its
// bytes take at BytesPerSecond. Zero means that it may take any time.
type Pace struct {
	Grace          time.Duration
	BytesPerSecond int64
}

// NewBodies returns a bound in bytes; zero means no bound. It calls report for each
// body that it refuses.
func NewBodies(capacity int64, pace Pace, report func(Refusal)) *Bodies {
	if capacity <= 0 {
		capacity = math.MaxInt64
	}
	return &Bodies{capacity: capacity, pace: pace, memory: semaphore.NewWeighted(capacity), report: report, unfinished: list.New()}
}

// Held returns the memory that bodies take, in bytes.
func (b *Bodies) Held() int64 { return b.held.Load() }

// Refused reports a body that was refused after it had been read.
func (b *Bodies) Refused(reason Refusal) { b.report(reason) }

// Body is a request's body in memory.
type Body struct {
	data   []byte
	bodies *Bodies
	held   int64
}

// Decode calls decode with the body. Large bodies are decoded one at a time.
func (b *Body) Decode(decode func(data []byte) error) error {
	if b.held > 0 {
		b.bodies.decoding.Lock()
		defer b.bodies.decoding.Unlock()
	}
	err := decode(b.data)
	b.data = nil
	return err
}

// Release gives back the memory of the body and of what was decoded from it.
func (b *Body) Release() { b.bodies.giveBack(b.held) }

// Read reads a request's body of at most limit bytes; zero means no limit of its own.
// No body may take more than the memory for all when it is decoded. The error is a
// *http.MaxBytesError if the body is larger, ErrNoMemory if the body is refused, and
// ErrTooSlow if it has not arrived in time.
// After an error the connection is closed once the request has been answered.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	if largest := b.capacity / decodedFactor; limit <= 0 || limit > largest {
		limit = largest
	}
	if r.ContentLength > limit {
		stopReading(w)
		return nil, &http.MaxBytesError{Limit: limit}
	}
	read := &reading{bodies: b, control: http.NewResponseController(w), began: time.Now()}
	read.stop = func() { read.setDeadline(time.Now()) }
	read.extend(0)
	data, err := read.all(r.Body, r.ContentLength, limit)
	givenUp := b.end(read)
	if givenUp {
		b.report(RefusedGivenUp)
		err = ErrNoMemory
	}
	if err == nil {
		err = read.takeDecoded(data)
	}
	switch {
	case givenUp:
	case errors.Is(err, ErrNoMemory):
		b.report(RefusedNoMemory)
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.report(RefusedTooSlow)
		err = ErrTooSlow
	}
	if err != nil {
		b.giveBack(read.held.Load())
		stopReading(w)
		return nil, err
	}
	return &Body{data: data, bodies: b, held: read.held.Load()}, nil
}

// stopReading makes the server close the connection after the answer, without
// waiting for the rest of the body.
func stopReading(w http.ResponseWriter) {
	// The server waits a moment before it closes the connection, so that the client
	// can read the answer, only if a body was larger than a limit.
	_, _ = MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	// An error means that the connection is closed already.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// reading is a body that is being read.
type reading struct {
	bodies  *Bodies
	control *http.ResponseController
	began   time.Time
	// extendAt is the number of bytes at which the deadline is extended.
	extendAt int64
	held     atomic.Int64
	// element is the body's place among the unfinished ones, or nil while it holds no
	// memory.
	element *list.Element

	// The fields below are guarded by bodies.mu. stop ends the waits of the body.
	stop    func()
	givenUp bool
	// returning is the memory held when the body was given up.
	returning int64
}

// end records that a body is no longer being read, and reports whether it was given
// up. Afterwards it cannot be given up.
func (b *Bodies) end(read *reading) bool {
	if read.element == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if read.givenUp {
		b.returning -= read.returning
		return true
	}
	b.unfinished.Remove(read.element)
	return false
}

// all reads a body. Its length is negative if unknown.
func (r *reading) all(body io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		limit = length
	}
	// One byte more lets a read see the end.
	largest := limit + 1
	var data []byte
	for {
		if len(data) == cap(data) {
			grown, err := r.grow(data, largest)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if r.extendAt > 0 && int64(len(data)) >= r.extendAt && err == nil {
			r.extend(int64(len(data)))
		}
		switch {
		case int64(len(data)) > limit:
			return nil, &http.MaxBytesError{Limit: limit}
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// extend moves the deadline of the body to that for n bytes. The deadline is moved
// once for each second that the bytes are worth.
func (r *reading) extend(n int64) {
	pace := r.bodies.pace
	if pace.Grace <= 0 || pace.BytesPerSecond <= 0 {
		return
	}
	r.extendAt = n + pace.BytesPerSecond
	deadline := r.began.Add(pace.Grace + time.Duration(float64(n)/float64(pace.BytesPerSecond)*float64(time.Second)))
	if r.element == nil {
		r.setDeadline(deadline)
		return
	}
	r.bodies.mu.Lock()
	defer r.bodies.mu.Unlock()
	if !r.givenUp {
		r.setDeadline(deadline)
	}
}

// setDeadline sets the time by which the connection has to deliver more bytes. An
// error means that it is closed, which the next read reports.
func (r *reading) setDeadline(t time.Time) { _ = r.control.SetReadDeadline(t) }

// grow returns a larger buffer with the same data, but none larger than largest. The
// memory of both is held until the data are copied.
func (r *reading) grow(data []byte, largest int64) ([]byte, error) {
	if data == nil {
		return make([]byte, 0, min(firstBuffer, largest)), nil
	}
	size := min(2*int64(cap(data)), largest)
	if err := r.take(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	if cap(data) > firstBuffer {
		r.held.Add(-int64(cap(data)))
		r.bodies.giveBack(int64(cap(data)))
	}
	return grown, nil
}

// take takes memory, and gives up older bodies if there is not enough.
func (r *reading) take(n int64) error {
	b := r.bodies
	if r.element == nil {
		b.register(r)
	}
	if !b.memory.TryAcquire(n) {
		ctx, cancel := context.WithTimeout(context.Background(), memoryWait)
		defer cancel()
		defer b.want(r, n, cancel)()
		if b.memory.Acquire(ctx, n) != nil {
			return ErrNoMemory
		}
	}
	b.held.Add(n)
	r.held.Add(n)
	return nil
}

// takeDecoded takes the memory that a body needs when it is decoded, unless it is
// small.
func (r *reading) takeDecoded(data []byte) error {
	if r.element == nil {
		return nil
	}
	return r.take(max(0, decodedFactor*int64(len(data))-r.held.Load()))
}

// register adds a body to the unfinished ones.
func (b *Bodies) register(r *reading) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.element = b.unfinished.PushBack(r)
}

// want gives up the oldest bodies until enough memory is free or about to be given
// back. It returns a function to call when the memory is no longer wanted. If the body itself
// is given up meanwhile, cancel is called.
func (b *Bodies) want(r *reading, n int64, cancel func()) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	stop := r.stop
	r.stop = func() {
		stop()
		cancel()
	}
	b.wanted += n
	for e := b.unfinished.Front(); e != nil && b.capacity-b.held.Load()+b.returning < b.wanted; {
		victim := e.Value.(*reading)
		next := e.Next()
		if victim != r && victim.held.Load() > 0 {
			b.unfinished.Remove(e)
			b.giveUp(victim)
		}
		e = next
	}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.wanted -= n
		r.stop = stop
	}
}

// giveUp stops the reading of a body that holds memory. The caller must hold b.mu.
func (b *Bodies) giveUp(victim *reading) {
	victim.givenUp = true
	victim.returning = victim.held.Load()
	b.returning += victim.returning
	victim.stop()
}

func (b *Bodies) giveBack(n int64) {
	if n > 0 {
		b.held.Add(-n)
		b.memory.Release(n)
	}
}
