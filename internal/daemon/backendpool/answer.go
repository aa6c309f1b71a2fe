package backendpool

import (
	"io"
	"net/http"
	"strconv"

	"github.com/parsleyhill/parsleyhill/internal/backendapi"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// MaxAnswerBytes is the largest size of an answer's body, in bytes.
const MaxAnswerBytes = 16 << 20

// loadUnknown is the load of a server that did not report one.
const loadUnknown = -1

// Answer is a complete answer of a backend server.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Load is how many requests the server holds, or -1 if it did not report it.
	Load int
	// Leaving is set if the server reports that it is stopping.
	Leaving bool
}

// readAnswer reads an answer and checks that it is complete and belongs to the
// call. With an error, only Load and Leaving are meaningful, and they are read
// only if the answer carries the call's id.
func readAnswer(c Call, resp *http.Response) (Answer, *errkind.Error) {
	h := resp.Header
	ids := h.Values(backendapi.HeaderRequestID)
	if len(ids) != 1 || ids[0] != c.ID {
		return Answer{Load: loadUnknown}, errkind.New(errkind.AnswerInvalid, "the answer carries the request ids %q", ids)
	}
	answer := Answer{
		Load:    parseLoad(h.Get(backendapi.HeaderLoad)),
		Leaving: h.Get(backendapi.HeaderLeaving) == "true",
	}
	if reason := h.Get(backendapi.HeaderRefused); reason != "" {
		return answer, refusal(resp.StatusCode, reason)
	}
	body, err := readBody(resp)
	if err != nil {
		return answer, err
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return answer, errkind.New(errkind.BackendFailed, "the backend server answered with status %d", resp.StatusCode)
	}
	answer.Status = resp.StatusCode
	answer.ContentType = h.Get("Content-Type")
	answer.Body = body
	return answer, nil
}

// refusal returns the error of an answer with a refusal header. The refusal
// proves that the request did not run only if the status is an error too.
func refusal(status int, reason string) *errkind.Error {
	if status < http.StatusBadRequest {
		return errkind.New(errkind.AnswerInvalid, "refusal header in an answer with status %d: %s", status, reason)
	}
	return errkind.New(errkind.BackendRefused, "refused: %s", reason)
}

// readBody reads a body and checks it against its digest. A body without a digest
// must have a Content-Length or a transfer encoding that marks its end.
func readBody(resp *http.Response) ([]byte, *errkind.Error) {
	digest := resp.Header.Get(backendapi.HeaderDigest)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if digest == "" && !framed {
		return nil, errkind.New(errkind.AnswerInvalid, "the answer has no digest and no length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, errkind.Wrap(errkind.AnswerInvalid, err, "the answer was truncated")
	case len(body) > MaxAnswerBytes:
		return nil, errkind.New(errkind.AnswerInvalid, "the answer is larger than %d bytes", MaxAnswerBytes)
	case digest != "" && digest != backendapi.Digest(body):
		return nil, errkind.New(errkind.AnswerInvalid, "the answer's digest does not match")
	}
	return body, nil
}

func parseLoad(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return loadUnknown
	}
	return n
}
