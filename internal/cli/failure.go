package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// failure is an error that carries an error kind, with the options for printing
// it.
type failure struct {
	err error
	// id names the request, job or plan, if one is known.
	id string
	// asJSON prints the error document instead of text.
	asJSON bool
}

func (f *failure) Error() string { return f.err.Error() }

func (f *failure) Unwrap() error { return f.err }

// hasKind reports whether err carries an error kind.
func hasKind(err error) bool {
	var e *errkind.Error
	return errors.As(err, &e)
}

// report writes the error with its kind and whether the work was run, and
// returns the kind's exit status.
func (f *failure) report(w io.Writer) int {
	e := errkind.From(f.err)
	row := errkind.Lookup(e.Kind)
	if f.asJSON {
		doc := errkind.Document{Kind: e.Kind, Run: e.Run, Retry: e.Retry(), Detail: detail(e), ID: f.id}
		_ = json.NewEncoder(w).Encode(doc)
		return row.Exit
	}
	_, _ = fmt.Fprintf(w, "parsleyhill: %s: %s\n", e.Kind, detail(e))
	_, _ = fmt.Fprintf(w, "  %s, retry: %s\n", runText(e.Run), e.Retry())
	if f.id != "" {
		_, _ = fmt.Fprintf(w, "  id: %s\n", f.id)
	}
	return row.Exit
}

func detail(e *errkind.Error) string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Detail, e.Err)
	}
	return e.Detail
}

// runText describes whether the work was run.
func runText(run errkind.RunState) string {
	switch run {
	case errkind.NotRun:
		return "it was not run"
	case errkind.Ran:
		return "it was run"
	default:
		return "it is unknown whether it was run"
	}
}
