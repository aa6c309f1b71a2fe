package settings

import (
	"fmt"
	"strings"
)

// Fault describes one error in a settings file or its overrides.
type Fault struct {
	// Source is the file, or the source of the override that replaced the field.
	Source string
	// Line is the line in the file, or 0 if the file does not set the field.
	Line int
	// Field is the path of the field, such as "listen.peers". It is empty if
	// the fault concerns the whole file.
	Field string
	// Reason explains the fault in a short sentence.
	Reason string
}

// String returns the fault as one line: source, line, field and reason.
func (f Fault) String() string {
	position := f.Source
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d", f.Source, f.Line)
	}
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", position, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", position, f.Field, f.Reason)
}

// Faults holds all faults of a settings file. As an error it has at least one.
type Faults []Fault

// Error implements error. It returns one fault per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
