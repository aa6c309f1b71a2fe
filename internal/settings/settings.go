// Package settings reads a daemon's settings file, which is JSON with comments.
// The whole file is validated before the daemon starts anything.
package settings

import "cmp"

// Settings holds the settings of one entry host, read at start.
type Settings struct {
	// Host is the entry host's name, unique in the fleet. It consists of
	// letters, digits and hyphens.
	Host string `json:"host"`
	// Region is the region's name.
	Region string `json:"region"`
	// Zone is the availability zone's name.
	Zone string `json:"zone"`
	// Listen holds the addresses to serve on.
	Listen Listen `json:"listen"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `json:"platform"`
	// Seeds are peer addresses of other entry hosts, as IP and port. The daemon
	// requests the host list from them while the platform does not provide it.
	Seeds []string `json:"seeds,omitempty"`
	// Limits bounds what one caller may send.
	Limits Limits `json:"limits"`
	// Stop holds the timing of a planned stop.
	Stop Stop `json:"stop"`
	// Log holds the logging settings.
	Log Log `json:"log"`
}

// Listen holds the addresses that a daemon listens on, as IP and port.
type Listen struct {
	// Callers is the address for requests and jobs.
	Callers string `json:"callers"`
	// Operators is the address for intents, plans, explanations, status and
	// metrics.
	Operators string `json:"operators"`
	// Peers is the address for other entry hosts.
	Peers string `json:"peers"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	// Log is the base URL of the log service.
	Log string `json:"log"`
	// HostList is the base URL of the host list.
	HostList string `json:"host_list"`
	// PollMs is the interval between reads of the host list, in milliseconds.
	// Default 1,000.
	PollMs int64 `json:"poll_ms"`
}

// Limits bounds what one caller may send.
type Limits struct {
	// BodyBytes is the maximum size of a request body. Default 1 MiB.
	BodyBytes int64 `json:"body_bytes"`
	// JobBytes is the maximum size of a job's body. Default 8 MiB.
	JobBytes int64 `json:"job_bytes"`
	// TasksPerJob is the maximum number of tasks in one job. Default 670.
	TasksPerJob int `json:"tasks_per_job"`
}

// Stop holds the timing of a planned stop.
type Stop struct {
	// DrainMs is how long the daemon continues to serve after it reports not
	// ready, so that the load balancer can react, in milliseconds. Default
	// 2,000.
	DrainMs int64 `json:"drain_ms"`
	// GraceMs is the maximum time that a stop waits for work in flight, in
	// milliseconds. Default 30,000.
	GraceMs int64 `json:"grace_ms"`
}

// Log holds the logging settings.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `json:"level"`
	// Format is "logfmt" or "json" for programs, or "text" for a terminal. A
	// line of text takes several times as much CPU time. Default "logfmt".
	Format string `json:"format"`
}

// Defaults of the optional settings.
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

// WithDefaults returns a copy of s with defaults in all unset optional fields.
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
