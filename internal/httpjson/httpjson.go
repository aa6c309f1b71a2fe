// Package httpjson has the few helpers that HTTP handlers with JSON bodies
// share.
package httpjson

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// Write answers with status and v as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// WriteTagged answers v as JSON with an entity tag, or 304 without a body if
// the caller has that version already.
func WriteWithETag(w http.ResponseWriter, r *http.Request, tag string, v any) {
	tag = strconv.Quote(tag)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	Write(w, http.StatusOK, v)
}

// Read decodes the body into v. It answers 400 and returns false if it
// cannot.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// ReadStrict decodes a body of at most limit bytes into v. Unknown fields and
// anything after the document are errors.
func ReadStrict(w http.ResponseWriter, r *http.Request, limit int64, v any) *errkind.Error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		if _, err = dec.Token(); err == nil {
			err = errors.New("more after the document")
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, io.EOF) && dec.InputOffset() > 0:
		return nil
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.TooLarge, "the document is larger than %d bytes", limit)
	default:
		return errkind.New(errkind.BadRequest, "decode document: %v", err)
	}
}
