// Package httpjson reads and writes the JSON bodies of HTTP handlers.
package httpjson

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
	"github.com/parsleyhill/parsleyhill/internal/httpserve"
)

// Write answers with the status and with v encoded as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails if the caller has disconnected, so the error cannot be
	// reported to it.
	_ = json.NewEncoder(w).Encode(v)
}

// WriteWithETag answers with v encoded as JSON and with tag as its ETag, or with
// status 304 and no body if the caller already has that version.
func WriteWithETag(w http.ResponseWriter, r *http.Request, tag string, v any) {
	tag = strconv.Quote(tag)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	Write(w, http.StatusOK, v)
}

// Read decodes the JSON body into v. If that fails, it answers with status 400
// and returns false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// ReadStrict decodes a JSON body of at most limit bytes into v. Unknown fields
// and data after the document are errors. It writes no answer.
func ReadStrict(w http.ResponseWriter, r *http.Request, limit int64, v any) *errkind.Error {
	err := DecodeStrict(httpserve.MaxBytesReader(w, r.Body, limit), v)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return errkind.New(errkind.TooLarge, "the document is larger than %d bytes", limit)
	default:
		return errkind.New(errkind.BadRequest, "decode document: %v", err)
	}
}

// DecodeStrict decodes one JSON document into v. Unknown fields and data after
// the document are errors.
func DecodeStrict(r io.Reader, v any) error {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	switch _, err := dec.Token(); {
	case err == nil:
		return errors.New("unexpected data after the document")
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}
