package backendpool

import (
	"io"
	"net/http"
	"strconv"

	"github.com/parsleyhill/parsleyhill/internal/backendapi"
	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// MaxAnswerBytes bounds an answer's body.
const MaxAnswerBytes = 16 << 20

// loadUnknown is the load of a server that did not say.
const loadUnknown = -1

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Load is how many requests the server holds, or -1 if it did not say.
	Load int
	// Leaving is set if the server says that it is stopping.
	Leaving bool
}

// readAnswer reads an answer and checks that it is whole and belongs to the
// call. With an error, only Load and Leaving are set, and only if the answer
// names the call's id.
func readAnswer(c Call, resp *http.Response) (Answer, *errkind.Error) {
	h := resp.Header
	ids := h.Values(backendapi.HeaderRequestID)
	if len(ids) != 1 || ids[0] != c.ID {
		return Answer{Load: loadUnknown}, errkind.New(errkind.AnswerInvalid, "the answer belongs to request %q", ids)
	}
	hints := Answer{
		Load:    parseLoad(h.Get(backendapi.HeaderLoad)),
		Leaving: h.Get(backendapi.HeaderLeaving) == "true",
	}
	if reason := h.Get(backendapi.HeaderRefused); reason != "" {
		return hints, refusal(resp.StatusCode, reason)
	}
	body, err := readBody(resp)
	if err != nil {
		return hints, err
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return hints, errkind.New(errkind.BackendFailed, "the backend server answered status %d", resp.StatusCode)
	}
	hints.Status = resp.StatusCode
	hints.ContentType = h.Get("Content-Type")
	hints.Body = body
	return hints, nil
}

// refusal takes a refusal for proof only with a status that says so too.
func refusal(status int, reason string) *errkind.Error {
	if status < http.StatusBadRequest {
		return errkind.New(errkind.AnswerInvalid, "refused with status %d: %s", status, reason)
	}
	return errkind.New(errkind.BackendRefused, "refused: %s", reason)
}

// readBody reads a body and checks it against its digest. Without a digest,
// the body's own framing has to show its end.
func readBody(resp *http.Response) ([]byte, *errkind.Error) {
	digest := resp.Header.Get(backendapi.HeaderDigest)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if digest == "" && !framed {
		return nil, errkind.New(errkind.AnswerInvalid, "the answer has no digest and no length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	switch {
	case err != nil:
		return nil, errkind.Wrap(errkind.AnswerInvalid, err, "the answer was cut off")
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
