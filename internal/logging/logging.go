// Package logging builds the daemon's loggers. Each message is a short sentence
// with the fixed prefix of the component that logs it.
package logging

import (
	"io"
	"time"

	"github.com/charmbracelet/log"

	"github.com/parsleyhill/parsleyhill/internal/settings"
)

// New returns the root logger, which writes to w. Package settings validates the
// settings; an unknown level means "info", and an unknown format "text".
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
