// Package ids mints and parses the identifiers of incarnations, requests and
// plans.
package ids

import (
	"strings"

	"github.com/google/uuid"
)

// Incarnation names one start of one entry host's process.
type Incarnation string

// mintedPrefix marks request ids that an entry host minted.
const mintedPrefix = "ph."

// NewIncarnation returns a fresh incarnation of host. Host names hold no dots
// or tildes; settings check that.
func NewIncarnation(host string) Incarnation {
	return Incarnation(host + "~" + uuid.NewString()[:13])
}

// Host returns the entry host's name inside the incarnation.
func (i Incarnation) Host() string {
	host, _, _ := strings.Cut(string(i), "~")
	return host
}

// NewRequest mints a request id that names its incarnation.
func NewRequest(i Incarnation) string {
	return mintedPrefix + string(i) + "." + uuid.NewString()
}

// Minter returns the incarnation that minted id, and whether one did.
func Minter(id string) (Incarnation, bool) {
	rest, ok := strings.CutPrefix(id, mintedPrefix)
	if !ok {
		return "", false
	}
	inc, _, ok := strings.Cut(rest, ".")
	return Incarnation(inc), ok && inc != ""
}

// New returns a random id with a prefix, such as "plan" or "job".
func New(prefix string) string {
	return prefix + "-" + uuid.NewString()
}
