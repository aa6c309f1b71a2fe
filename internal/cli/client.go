package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// call sends one HTTP request and returns the answer's headers and body. An
// answer that carries an error document becomes that error.
func call(ctx context.Context, method, url string, header http.Header, body io.Reader) (http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, nil, errkind.Wrap(errkind.BadRequest, err, "build request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, errkind.Wrap(errkind.PeerUnreachable, err, "no answer from the entry host")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, errkind.Wrap(errkind.AnswerInvalid, err, "the answer was cut off")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, nil, answerError(resp.StatusCode, data)
	}
	return resp.Header, data, nil
}

func answerError(status int, data []byte) error {
	var doc errkind.Document
	if err := json.Unmarshal(data, &doc); err != nil || doc.Kind == "" {
		return errkind.New(errkind.Internal, "the entry host answered status %d", status)
	}
	e := errkind.New(doc.Kind, "%s", doc.Detail)
	if doc.ID != "" {
		e.Detail = fmt.Sprintf("%s (id %s)", e.Detail, doc.ID)
	}
	return e.WithRun(doc.Run)
}
