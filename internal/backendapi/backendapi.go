// Package backendapi holds the names of the HTTP interface between entry hosts
// and backend servers.
package backendapi

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PathRun is where a backend server takes requests.
const PathRun = "/v1/run"

// The headers of the interface.
const (
	// HeaderRequestID carries the request id; the answer echoes it.
	HeaderRequestID = "Parsleyhill-Request-Id"
	// HeaderDeadline carries the time left in milliseconds.
	HeaderDeadline = "Parsleyhill-Deadline-Ms"
	// HeaderDigest carries the digest of the answer's body.
	HeaderDigest = "Parsleyhill-Digest"
	// HeaderRefused is set on an answer when the request was not started; its
	// value is a Refusal.
	HeaderRefused = "Parsleyhill-Refused"
	// HeaderLeaving is "true" on any answer of a server that is stopping.
	HeaderLeaving = "Parsleyhill-Leaving"
	// HeaderLoad carries how many requests the server holds.
	HeaderLoad = "Parsleyhill-Load"
)

// Refusal is why a backend server did not start a request.
type Refusal string

// The refusals.
const (
	RefusedBusy    Refusal = "busy"
	RefusedLeaving Refusal = "leaving"
)

// Digest returns the digest of body as it stands in HeaderDigest.
func Digest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}
