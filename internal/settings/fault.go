package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong in a settings file.
type Fault struct {
	// Source is the file, or what replaced a field of the file.
	Source string
	// Line is the line in the file, or 0 if the field is not there.
	Line int
	// Field is the path of the field, such as "listen.peers". It is empty if
	// the fault concerns the whole file.
	Field string
	// Reason is a short sentence for people.
	Reason string
}

// String returns the fault as one line.
func (f Fault) String() string {
	place := f.Source
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.Source, f.Line)
	}
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", place, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Field, f.Reason)
}

// Faults are all the faults of a settings file, at least one.
type Faults []Fault

// Error implements error with one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
