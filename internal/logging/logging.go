// Package logging builds the loggers of the daemon: short sentences, each with
// the fixed prefix of the part that writes it.
package logging

import (
	"io"
	"time"

	"github.com/charmbracelet/log"

	"github.com/parsleyhill/parsleyhill/internal/settings"
)

// New returns the root logger. The settings are checked by package settings;
// an unknown level means "info".
func New(w io.Writer, s settings.Log) *log.Logger {
	options := log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.TextFormatter}
	switch s.Format {
	case "json":
		options.Formatter = log.JSONFormatter
	case "logfmt":
		options.Formatter = log.LogfmtFormatter
	}
	if level, err := log.ParseLevel(s.Level); err == nil {
		options.Level = level
	}
	return log.NewWithOptions(w, options)
}
