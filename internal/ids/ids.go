// Package ids creates the identifiers of incarnations, requests, jobs and plans,
// and parses request ids that an entry host minted.
package ids

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Incarnation identifies one run of an entry host's process, from its start to
// its end. Its form is "<host>~<random>".
type Incarnation string

// mintedPrefix marks request ids that an entry host minted.
const mintedPrefix = "ph."

// ageBase is the number base of the age in a minted id.
const ageBase = 36

// NewIncarnation returns a new incarnation of host. The host name must contain
// no dot or tilde, which the settings check.
func NewIncarnation(host string) Incarnation {
	return Incarnation(host + "~" + uuid.NewString()[:13])
}

// Host returns the name of the entry host.
func (i Incarnation) Host() string {
	host, _, _ := strings.Cut(string(i), "~")
	return host
}

// Minted is the origin that an id of NewRequestIDAt holds.
type Minted struct {
	// By is the incarnation that minted the id.
	By Incarnation
	// Age is the age of the incarnation when it minted the id, in whole
	// milliseconds.
	Age time.Duration
}

// NewRequestID mints a request id that holds its incarnation.
func NewRequestID(i Incarnation) string {
	return mintedPrefix + string(i) + "." + uuid.NewString()
}

// Minter returns the incarnation that minted id. It returns false if the id was
// not minted by an entry host.
func Minter(id string) (Incarnation, bool) {
	rest, ok := strings.CutPrefix(id, mintedPrefix)
	if !ok {
		return "", false
	}
	inc, _, ok := strings.Cut(rest, ".")
	return Incarnation(inc), ok && inc != ""
}

// NewRequestIDAt mints a request id that holds its incarnation and the age of
// that incarnation, to the millisecond.
func NewRequestIDAt(i Incarnation, age time.Duration) string {
	ageText := strconv.FormatInt(age.Milliseconds(), ageBase)
	return mintedPrefix + string(i) + "." + ageText + "." + uuid.NewString()
}

// IsMinted reports whether the id has the prefix of a minted request id.
func IsMinted(id string) bool { return strings.HasPrefix(id, mintedPrefix) }

// ParseMinted parses an id of NewRequestIDAt. It returns an error for any other
// id.
func ParseMinted(id string) (Minted, error) {
	parts := strings.Split(strings.TrimPrefix(id, mintedPrefix), ".")
	if !IsMinted(id) || len(parts) != 3 || Incarnation(parts[0]).Host() == "" {
		return Minted{}, fmt.Errorf("id %q was not minted by an entry host", id)
	}
	ms, err := strconv.ParseInt(parts[1], ageBase, 64)
	if err != nil || ms < 0 {
		return Minted{}, fmt.Errorf("id %q has no valid age", id)
	}
	return Minted{By: Incarnation(parts[0]), Age: time.Duration(ms) * time.Millisecond}, nil
}

// New returns a random id of the form "<prefix>-<uuid>".
func New(prefix string) string {
	return prefix + "-" + uuid.NewString()
}
