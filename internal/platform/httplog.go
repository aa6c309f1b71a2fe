package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"
)

// maxReplyBytes bounds the bytes read of one reply of the platform.
const maxReplyBytes = 64 << 20

// HTTPLog is a client for the log service over HTTP.
type HTTPLog struct {
	base   string
	client *http.Client
}

// NewHTTPLog returns a client for the log service at the base URL.
func NewHTTPLog(base string, client *http.Client) *HTTPLog {
	return &HTTPLog{base: base, client: client}
}

type appendCall struct {
	Records [][]byte `json:"records"`
}

type appendReply struct {
	Offset int64 `json:"offset"`
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, s Stream, records [][]byte) (int64, error) {
	body, err := json.Marshal(appendCall{Records: records})
	if err != nil {
		return 0, fmt.Errorf("encode append request: %w", err)
	}
	connected := false
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	}
	url := l.base + "/v1/streams/" + string(s) + "/records"
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, nonRewindable(body))
	if err != nil {
		return 0, fmt.Errorf("build append request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := l.client.Do(req)
	if err != nil {
		if connected {
			return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	var reply appendReply
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		return 0, ErrUnavailable
	case resp.StatusCode != http.StatusOK:
		return 0, fmt.Errorf("%w: status %d", ErrUnknown, resp.StatusCode)
	}
	if err := decode(resp.Body, &reply); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return reply.Offset, nil
}

// nonRewindable hides the type of the body's reader, so that the transport cannot
// rewind the body and send the request a second time.
func nonRewindable(body []byte) io.Reader {
	return io.MultiReader(bytes.NewReader(body))
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, s Stream, after int64) (Page, error) {
	url := l.base + "/v1/streams/" + string(s) + "/records?after=" + strconv.FormatInt(after, 10)
	if deadline, ok := ctx.Deadline(); ok {
		url += "&wait_ms=" + strconv.FormatInt(readWaitMs(deadline), 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Page{}, fmt.Errorf("build read request: %w", err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	var page Page
	switch resp.StatusCode {
	case http.StatusOK, http.StatusGone:
	default:
		return Page{}, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	if err := decode(resp.Body, &page); err != nil {
		return Page{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if resp.StatusCode == http.StatusGone {
		return page, ErrTrimmed
	}
	return page, nil
}

// readWaitMs returns the wait to request from the log service, in milliseconds:
// half of the remaining time, so that an empty reply still arrives in time.
func readWaitMs(deadline time.Time) int64 {
	return max(0, time.Until(deadline).Milliseconds()/2)
}

func decode(r io.Reader, v any) error {
	return json.NewDecoder(io.LimitReader(r, maxReplyBytes)).Decode(v)
}

// IsUnknown reports whether an append may have taken effect.
func IsUnknown(err error) bool { return errors.Is(err, ErrUnknown) }
