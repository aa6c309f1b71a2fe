package settings

import (
	"fmt"
	"os"
)

// Overrides holds values that replace fields of the file. An empty value replaces
// nothing.
type Overrides struct {
	// LogLevel replaces log.level.
	LogLevel string
	// LogFormat replaces log.format.
	LogFormat string
}

// overrideSource is the source of faults in overridden fields.
const overrideSource = "command line or environment"

// Load reads and validates the file at path. The error is a Faults with all
// faults of the file, or wraps the error of reading it.
func Load(path string, o Overrides) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, raw, o)
}

// Parse decodes and validates raw. Source names its origin in faults. The error
// is a Faults.
func Parse(source string, raw []byte, o Overrides) (Settings, error) {
	s := Settings{}.WithDefaults()
	d := decode(source, raw, &s)
	if d.unreadable() {
		return Settings{}, d.faults
	}
	c := checker{decoder: d, sources: o.apply(&s)}
	c.checkAll(s)
	if len(d.faults) > 0 {
		return Settings{}, d.faults
	}
	return s, nil
}

// unreadable reports whether the document could not be parsed as an object.
func (d *decoder) unreadable() bool {
	return len(d.faults) > 0 && d.faults[0].Field == ""
}

// apply replaces fields of s and returns the source of each replaced field by
// path.
func (o Overrides) apply(s *Settings) map[string]string {
	sources := map[string]string{}
	if o.LogLevel != "" {
		s.Log.Level = o.LogLevel
		sources["log.level"] = overrideSource
	}
	if o.LogFormat != "" {
		s.Log.Format = o.LogFormat
		sources["log.format"] = overrideSource
	}
	return sources
}
