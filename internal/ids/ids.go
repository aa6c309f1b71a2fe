// Package ids mints and parses the identifiers of incarnations, requests and
// plans.
package ids

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Incarnation names one start of one entry host's process.
type Incarnation string

// mintedPrefix marks request ids that an entry host minted.
const mintedPrefix = "ph."

// mintedBase is the base of the age in a minted id.
const mintedBase = 36

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

// Minted is what a minted request id says.
type Minted struct {
	// By is the incarnation that minted the id.
	By Incarnation
	// At is the age of that incarnation when it did.
	Age time.Duration
}

// NewRequest mints an id that names its incarnation.
func NewRequestID(i Incarnation) string {
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

// NewRequestAt mints a request id that names its incarnation and the age of
// that incarnation.
func NewRequestIDAt(i Incarnation, age time.Duration) string {
	at := strconv.FormatInt(age.Milliseconds(), mintedBase)
	return mintedPrefix + string(i) + "." + at + "." + uuid.NewString()
}

// IsMinted returns whether the id has the form of a minted one.
func IsMinted(id string) bool { return strings.HasPrefix(id, mintedPrefix) }

// ParseMinted reads an id of NewRequestAt.
func ParseMinted(id string) (Minted, error) {
	parts := strings.Split(strings.TrimPrefix(id, mintedPrefix), ".")
	if !IsMinted(id) || len(parts) != 3 || Incarnation(parts[0]).Host() == "" {
		return Minted{}, fmt.Errorf("id %q was not minted by an entry host", id)
	}
	ms, err := strconv.ParseInt(parts[1], mintedBase, 64)
	if err != nil || ms < 0 {
		return Minted{}, fmt.Errorf("id %q names no age", id)
	}
	return Minted{By: Incarnation(parts[0]), Age: time.Duration(ms) * time.Millisecond}, nil
}

// New returns a random id with a prefix, such as "plan" or "job".
func New(prefix string) string {
	return prefix + "-" + uuid.NewString()
}
