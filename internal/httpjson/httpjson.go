// Package httpjson has the few helpers that HTTP handlers with JSON bodies
// share.
package httpjson

import (
	"encoding/json"
	"net/http"
)

// Write answers with status and v as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
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
