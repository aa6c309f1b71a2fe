package errkind

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Document is the JSON body of a failed answer.
type Document struct {
	Kind   Kind     `json:"kind"`
	Run    RunState `json:"run"`
	Retry  Retry    `json:"retry"`
	Detail string   `json:"detail"`
	// ID names the request, job or plan, if one is known.
	ID string `json:"id,omitempty"`
}

// Write answers an HTTP call with err. A positive retryAfter sets the
// Retry-After header, rounded up to whole seconds.
func Write(w http.ResponseWriter, id string, err error, retryAfter time.Duration) {
	e := From(err)
	row := Lookup(e.Kind)
	if retryAfter > 0 {
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(row.HTTPStatus)
	doc := Document{Kind: e.Kind, Run: e.Run, Retry: e.Retry(), Detail: e.Detail, ID: id}
	// A failed write means that the caller has gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(doc)
}
