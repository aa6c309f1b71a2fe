// Command parsleyhilld is the daemon that runs on every entry host.
package main

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3"

	"github.com/parsleyhill/parsleyhill/internal/daemon"
	"github.com/parsleyhill/parsleyhill/internal/daemon/dispatch"
	"github.com/parsleyhill/parsleyhill/internal/logging"
	"github.com/parsleyhill/parsleyhill/internal/settings"
	"github.com/parsleyhill/parsleyhill/platform"
)

// The exit statuses.
const (
	exitDone     = 0
	exitFailed   = 1
	exitSettings = 2
)

const usage = `parsleyhilld runs one entry host until SIGTERM or SIGINT, which begin a planned
stop; a second signal ends the process at once.

  parsleyhilld -settings entry-1.json
  parsleyhilld -settings entry-1.json -check
  parsleyhilld -platform

With -platform the host dispatches jobs on the users' platform, by the settings
file that the platform names in the environment.

Exit status: 0 after a planned stop or a good check, 1 if the entry host
failed, 2 if a flag or the settings are wrong. Nothing listens before the
settings are found good.

Each flag can be set in the environment, as in PARSLEYHILLD_LOG_LEVEL=debug.
A flag wins over the environment, both win over the settings file.

Flags:
`

// options are what the command line and the environment say.
type options struct {
	path      string
	check     bool
	platform  bool
	overrides settings.Overrides
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errOut io.Writer) int {
	o, err := parse(args, errOut)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitDone
	case err != nil:
		_, _ = fmt.Fprintln(errOut, "parsleyhilld:", err)
		return exitSettings
	}
	if o.platform {
		return dispatchOn(o, out, errOut)
	}
	s, err := settings.Load(o.path, o.overrides)
	if err != nil {
		printFaults(errOut, err)
		return exitSettings
	}
	if o.check {
		_, _ = fmt.Fprintf(out, "%s: settings of entry host %s in zone %s are good\n", o.path, s.Host, s.Zone)
		return exitDone
	}
	return serve(s, errOut)
}

func parse(args []string, errOut io.Writer) (options, error) {
	var o options
	flags := flag.NewFlagSet("parsleyhilld", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.StringVar(&o.path, "settings", "parsleyhilld.json", "settings `file`, JSON with comments")
	flags.BoolVar(&o.check, "check", false, "check the settings and exit")
	flags.BoolVar(&o.platform, "platform", false, "run on the users' platform, by its own settings file")
	flags.StringVar(&o.overrides.LogLevel, "log-level", "", "replace log.level: debug, info, warn or error")
	flags.StringVar(&o.overrides.LogFormat, "log-format", "", "replace log.format: logfmt, json or text")
	flags.Usage = func() {
		_, _ = io.WriteString(errOut, usage)
		flags.PrintDefaults()
	}
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("PARSLEYHILLD")); err != nil {
		return options{}, err
	}
	if flags.NArg() > 0 {
		return options{}, fmt.Errorf("unexpected argument %q", flags.Arg(0))
	}
	return o, nil
}

// printFaults writes one line a fault.
func printFaults(w io.Writer, err error) {
	var faults settings.Faults
	if !errors.As(err, &faults) {
		_, _ = fmt.Fprintln(w, "parsleyhilld:", err)
		return
	}
	for _, f := range faults {
		_, _ = fmt.Fprintln(w, "parsleyhilld:", f)
	}
}

func serve(s settings.Settings, errOut io.Writer) int {
	logger := logging.New(errOut, s.Log)
	return runUntilSignal(logger, daemon.New(s, logger).Run)
}

// runUntilSignal runs a daemon until SIGTERM or SIGINT.
func runUntilSignal(logger *log.Logger, run func(context.Context) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	if err := run(ctx); err != nil {
		logger.Error("entry host failed", "error", err)
		return exitFailed
	}
	return exitDone
}

const (
	// memoryShare is the part of the host's memory at which the collector works
	// harder; the rest is for stacks and bytes not yet read.
	memoryShare = 0.7
	// collectorPercent lets the heap grow to three times what is live: some ten
	// megabytes are, of the hundreds that a host has.
	collectorPercent = 200
	bytesPerMB       = 1 << 20
)

// dispatchOn runs the dispatcher on the users' platform. Its log goes to
// standard output and never blocks.
func dispatchOn(o options, out, errOut io.Writer) int {
	path, err := platform.SettingsPath()
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "parsleyhilld:", err)
		return exitSettings
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "parsleyhilld:", err)
		return exitSettings
	}
	if o.check {
		_, _ = fmt.Fprintf(out, "%s: settings of host %s in zone %s are good\n", path, s.Host, s.Zone)
		return exitDone
	}
	if s.MemoryMB > 0 {
		debug.SetGCPercent(collectorPercent)
		debug.SetMemoryLimit(int64(float64(s.MemoryMB*bytesPerMB) * memoryShare))
	}
	lines := logging.NewAsyncWriter(out, logging.DefaultBufferedLines)
	// Close cannot fail; it waits until the last line is written.
	defer func() { _ = lines.Close() }()
	level := cmp.Or(o.overrides.LogLevel, "info")
	logger := logging.New(lines, settings.Log{Level: level, Format: cmp.Or(o.overrides.LogFormat, "logfmt")})
	d := dispatch.New(s, logger, dispatch.SystemNetwork())
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go reloadOn(hangups, path, logger, d)
	return runUntilSignal(logger, d.Run)
}

// reloadOn reads the settings again on each signal. Settings with a fault are
// logged and leave the old ones in force.
func reloadOn(hangups <-chan os.Signal, path string, logger *log.Logger, d *dispatch.Dispatcher) {
	for range hangups {
		s, err := platform.LoadSettings(path)
		if err != nil {
			logger.Error("settings not reloaded", "path", path, "error", err)
			continue
		}
		d.Reload(s)
	}
}
