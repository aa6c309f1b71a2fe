package httpserve

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/decide/connlimit"
)

// bodyTimeout bounds the time to receive a body that a handler does not read with
// Bodies.
const bodyTimeout = 15 * time.Second

// trackRequests records when requests have been read as a whole. A request whose
// connection was closed before is not handled.
func trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.handled.Store(true)
		if r.ProtoMajor > 1 {
			c.streams.Add(1)
			defer c.streams.Add(-1)
			c.multiplexed.Store(true)
			next.ServeHTTP(w, r)
			return
		}
		answer := &answerWriter{ResponseWriter: w, conn: c}
		// A handler that writes nothing is answered for after it returns.
		defer answer.begin()
		if r.ContentLength == 0 {
			if !c.enter(connlimit.Serving) {
				panic(http.ErrAbortHandler)
			}
		} else {
			// An error means that the connection is closed, which the next read reports.
			_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
			r.Body = &trackedBody{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(answer, r)
	})
}

// answerWriter writes an answer with "Connection: close" if the connection ends after it:
// the client then sends no further request, which would cross the end.
type answerWriter struct {
	http.ResponseWriter
	conn  *conn
	begun bool
}

// begin is called before the header is written.
func (w *answerWriter) begin() {
	if !w.begun && (w.conn.ending.Load() != int32(endNever) || w.conn.conns.stopping.Load()) {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w *answerWriter) Flush() { _ = w.FlushError() }

// FlushError is called by http.ResponseController.
func (w *answerWriter) FlushError() error {
	w.begin()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// MaxBytesReader is http.MaxBytesReader for the requests of a server that Serve runs: the
// connection ends after a body that is too large.
func MaxBytesReader(w http.ResponseWriter, body io.ReadCloser, limit int64) io.ReadCloser {
	if answer, ok := w.(*answerWriter); ok {
		w = answer.ResponseWriter
	}
	return http.MaxBytesReader(w, body, limit)
}

// trackedBody records the end of a body.
type trackedBody struct {
	io.ReadCloser
	conn *conn
}

// errConnClosed is the error of a body whose connection was closed at the limit.
var errConnClosed = errors.New("the connection was closed at the limit of open connections")

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.enter(connlimit.Serving) {
		return n, errConnClosed
	}
	return n, err
}
