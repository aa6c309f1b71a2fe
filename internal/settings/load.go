package settings

import (
	"fmt"
	"os"
)

// Overrides replace fields of the file. Empty fields replace nothing.
type Overrides struct {
	// LogLevel replaces log.level.
	LogLevel string
	// LogFormat replaces log.format.
	LogFormat string
}

// overrideSource names overrides in faults.
const overrideSource = "command line or environment"

// Load reads and checks the file at path. The error is a Faults with every
// fault of the file, or says why the file cannot be read.
func Load(path string, o Overrides) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, raw, o)
}

// Parse checks raw, which came from source. The error is a Faults.
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

// broken reports whether the document could not be read as an object at all.
func (d *decoder) unreadable() bool {
	return len(d.faults) > 0 && d.faults[0].Field == ""
}

// apply replaces fields and returns the source of each by path.
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
