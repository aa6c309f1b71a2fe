// Package backendapi defines the HTTP interface between entry hosts and backend
// servers.
package backendapi

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PathRun is the path at which a backend server accepts requests.
const PathRun = "/v1/run"

// Headers of the interface.
const (
	// HeaderRequestID is the request id; the answer echoes it.
	HeaderRequestID = "Parsleyhill-Request-Id"
	// HeaderDeadline is the time remaining for the request, in milliseconds.
	HeaderDeadline = "Parsleyhill-Deadline-Ms"
	// HeaderDigest is the digest of the answer's body, see Digest.
	HeaderDigest = "Parsleyhill-Digest"
	// HeaderRefused is set on the answer to a request that was not started; its
	// value is a Refusal.
	HeaderRefused = "Parsleyhill-Refused"
	// HeaderLeaving is "true" on every answer of a server that is stopping.
	HeaderLeaving = "Parsleyhill-Leaving"
	// HeaderLoad is the number of requests that the server holds.
	HeaderLoad = "Parsleyhill-Load"
)

// Refusal is the reason why a backend server did not start a request.
type Refusal string

// Reasons for refusals.
const (
	RefusedBusy    Refusal = "busy"
	RefusedLeaving Refusal = "leaving"
)

// Digest returns the value of HeaderDigest for body: its xxHash64 in
// hexadecimal.
func Digest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}
