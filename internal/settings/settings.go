// Package settings reads a daemon's settings file: JSON with comments, checked
// whole before anything starts.
package settings

import "cmp"

// Settings is everything that one entry host is told at start.
type Settings struct {
	// Host is the entry host's name, unique in the fleet. Letters, digits and
	// hyphens.
	Host string `json:"host"`
	// Region is the region's name.
	Region string `json:"region"`
	// Zone is the availability zone's name.
	Zone string `json:"zone"`
	// Listen holds the addresses to serve on.
	Listen Listen `json:"listen"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `json:"platform"`
	// Seeds are peer addresses of other entry hosts, as IP and port. They are
	// asked for the host list while the platform does not give one.
	Seeds []string `json:"seeds,omitempty"`
	// Limits bounds what one caller may send.
	Limits Limits `json:"limits"`
	// Stop holds the times of a planned stop.
	Stop Stop `json:"stop"`
	// Log holds the logging settings.
	Log Log `json:"log"`
}

// Listen holds the addresses that a daemon serves, as IP and port.
type Listen struct {
	// Callers serves requests and jobs.
	Callers string `json:"callers"`
	// Operators serves intents, plans, explanations, status and metrics.
	Operators string `json:"operators"`
	// Peers serves the other entry hosts.
	Peers string `json:"peers"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	// Log is the log service.
	Log string `json:"log"`
	// HostList is the host list.
	HostList string `json:"host_list"`
	// PollMs is the time between readings of the host list, in milliseconds.
	// Default 1,000.
	PollMs int64 `json:"poll_ms"`
}

// Limits bounds what one caller may send.
type Limits struct {
	// BodyBytes is the largest body of a request. Default 1 MiB.
	BodyBytes int64 `json:"body_bytes"`
	// JobBytes is the largest body of a job. Default 8 MiB.
	JobBytes int64 `json:"job_bytes"`
	// TasksPerJob is the largest number of tasks in one job. Default 670.
	TasksPerJob int `json:"tasks_per_job"`
}

// Stop holds the times of a planned stop.
type Stop struct {
	// DrainMs is how long the daemon goes on serving after it reports not
	// ready, so that the balancer notices, in milliseconds. Default 2,000.
	DrainMs int64 `json:"drain_ms"`
	// GraceMs bounds the wait for work in flight, in milliseconds.
	// Default 30,000.
	GraceMs int64 `json:"grace_ms"`
}

// Log holds the logging settings.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `json:"level"`
	// Format is "logfmt" or "json" for programs, or "text" for a terminal, which
	// costs the processor several times as much a line. Default "logfmt".
	Format string `json:"format"`
}

// The defaults of the settings.
const (
	DefaultPollMs      = 1_000
	DefaultBodyBytes   = 1 << 20
	DefaultJobBytes    = 8 << 20
	DefaultTasksPerJob = 670
	DefaultDrainMs     = 2_000
	DefaultGraceMs     = 30_000
	DefaultLogLevel    = "info"
	DefaultLogFormat   = "logfmt"
)

// WithDefaults returns a copy of s with unset fields filled in.
func (s Settings) WithDefaults() Settings {
	s.Platform.PollMs = cmp.Or(s.Platform.PollMs, DefaultPollMs)
	s.Limits.BodyBytes = cmp.Or(s.Limits.BodyBytes, DefaultBodyBytes)
	s.Limits.JobBytes = cmp.Or(s.Limits.JobBytes, DefaultJobBytes)
	s.Limits.TasksPerJob = cmp.Or(s.Limits.TasksPerJob, DefaultTasksPerJob)
	s.Stop.DrainMs = cmp.Or(s.Stop.DrainMs, DefaultDrainMs)
	s.Stop.GraceMs = cmp.Or(s.Stop.GraceMs, DefaultGraceMs)
	s.Log.Level = cmp.Or(s.Log.Level, DefaultLogLevel)
	s.Log.Format = cmp.Or(s.Log.Format, DefaultLogFormat)
	return s
}
