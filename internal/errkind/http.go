package errkind

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Document is the JSON body of an error response.
type Document struct {
	Kind   Kind     `json:"kind"`
	Run    RunState `json:"run"`
	Retry  Retry    `json:"retry"`
	Detail string   `json:"detail"`
	// ID names the request, job or plan, if one is known.
	ID string `json:"id,omitempty"`
}

// Write sends err as the response to an HTTP request. A positive retryAfter
// sets the Retry-After header, rounded up to whole seconds.
func Write(w http.ResponseWriter, id string, err error, retryAfter time.Duration) {
	e := From(err)
	response := Lookup(e.Kind)
	if retryAfter > 0 {
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(response.HTTPStatus)
	doc := Document{Kind: e.Kind, Run: e.Run, Retry: e.Retry(), Detail: e.Detail, ID: id}
	// A failed write means that the client has disconnected, so that the error
	// cannot be reported to it.
	_ = json.NewEncoder(w).Encode(doc)
}
