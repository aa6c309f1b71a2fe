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

// The exit statuses, as in the usage text.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

const usage = `parsleyhilld runs one entry host. SIGTERM or SIGINT starts a planned stop. A
further SIGTERM changes nothing, a SIGINT during the stop ends the process at once.
SIGHUP reloads the settings with -platform, and changes nothing without it.

  parsleyhilld -settings entry-1.json
  parsleyhilld -settings entry-1.json -check
  parsleyhilld -platform [-policy policy.json]

With -platform the host dispatches jobs on the users' platform, with the settings
file that the platform names in the environment. -policy names a file, JSON with
comments, that turns scheduling policies off; without it all are on.

Exit status: 0 after a planned stop or a successful check, 1 if the entry host
failed, 2 if a flag or the settings are invalid. No port is opened before the
settings are validated.

Each flag can be set in the environment, as in PARSLEYHILLD_LOG_LEVEL=debug.
A flag overrides the environment, and both override the settings file.

Flags:
`

// options are the settings of the command line and the environment.
type options struct {
	settingsPath string
	check        bool
	platform     bool
	policyPath   string
	overrides    settings.Overrides
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errOut io.Writer) int {
	o, err := parseFlags(args, errOut)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		_, _ = fmt.Fprintln(errOut, "parsleyhilld:", err)
		return exitInvalid
	}
	if o.platform {
		return runDispatcher(o, out, errOut)
	}
	s, err := settings.Load(o.settingsPath, o.overrides)
	if err != nil {
		printSettingsErrors(errOut, err)
		return exitInvalid
	}
	if o.check {
		_, _ = fmt.Fprintf(out, "%s: settings of entry host %s in zone %s are good\n", o.settingsPath, s.Host, s.Zone)
		return exitOK
	}
	return serve(s, errOut)
}

func parseFlags(args []string, errOut io.Writer) (options, error) {
	var o options
	flags := flag.NewFlagSet("parsleyhilld", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.StringVar(&o.settingsPath, "settings", "parsleyhilld.json", "settings `file`, JSON with comments")
	flags.BoolVar(&o.check, "check", false, "validate the settings and exit")
	flags.BoolVar(&o.platform, "platform", false, "run on the users' platform, with its own settings file")
	flags.StringVar(&o.policyPath, "policy", "", "policy settings `file` for -platform, JSON with comments")
	flags.StringVar(&o.overrides.LogLevel, "log-level", "", "override log.level: debug, info, warn or error")
	flags.StringVar(&o.overrides.LogFormat, "log-format", "", "override log.format: logfmt, json or text")
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

// printSettingsErrors writes one line for each error in the settings.
func printSettingsErrors(w io.Writer, err error) {
	var faults settings.Faults
	if !errors.As(err, &faults) {
		_, _ = fmt.Fprintln(w, "parsleyhilld:", err)
		return
	}
	for _, fault := range faults {
		_, _ = fmt.Fprintln(w, "parsleyhilld:", fault)
	}
}

func serve(s settings.Settings, errOut io.Writer) int {
	logger := logging.New(errOut, s.Log)
	hangups := notifyHangups()
	defer signal.Stop(hangups)
	go func() {
		for range hangups {
			logger.Warn("settings are read only at the start; restart the entry host to apply them")
		}
	}()
	return runUntilSignal(logger, daemon.New(s, logger).Run)
}

// notifyHangups returns a channel that receives SIGHUP, which otherwise ends the process
// with all its requests.
func notifyHangups() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// runUntilSignal runs a daemon until SIGTERM or SIGINT and returns the exit
// status. A further SIGTERM changes nothing: its sender may not know of the first, and a
// process that ended at once would lose the requests in work.
func runUntilSignal(logger *log.Logger, run func(context.Context) error) int {
	// Otherwise a write to a log whose reader has gone ends the process.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	watched := make(chan struct{})
	defer func() {
		signal.Stop(signals)
		close(signals)
		<-watched
	}()
	go func() {
		defer close(watched)
		first, ok := <-signals
		if !ok {
			return
		}
		logger.Info("stop signal received", "signal", first)
		// A further SIGINT ends the process at once.
		signal.Reset(os.Interrupt)
		stop()
		for s := range signals {
			logger.Warn("stop signal repeated, the planned stop goes on", "signal", s)
		}
	}()
	if err := run(ctx); err != nil {
		logger.Error("entry host failed", "error", err)
		return exitFailed
	}
	return exitOK
}

const (
	// memoryLimitShare is the share of the host's memory that is the soft memory
	// limit of the Go runtime, near which the garbage collector runs more often.
	// The rest is for stacks and for data not yet read from the network.
	memoryLimitShare = 0.7
	// gcPercent lets the heap grow to five times the live heap, which is some ten
	// megabytes on a host with hundreds of megabytes of memory and little processor
	// time.
	gcPercent  = 400
	bytesPerMB = 1 << 20
)

// runDispatcher runs the dispatcher on the users' platform. It writes its log to
// standard output without ever blocking.
func runDispatcher(o options, out, errOut io.Writer) int {
	reloads := notifyHangups()
	defer signal.Stop(reloads)
	path, err := platform.SettingsPath()
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "parsleyhilld:", err)
		return exitInvalid
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "parsleyhilld:", err)
		return exitInvalid
	}
	policies, err := settings.LoadPolicies(o.policyPath)
	if err != nil {
		printSettingsErrors(errOut, err)
		return exitInvalid
	}
	if o.check {
		_, _ = fmt.Fprintf(out, "%s: settings of host %s in zone %s are good\n", path, s.Host, s.Zone)
		return exitOK
	}
	if s.MemoryMB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(float64(s.MemoryMB*bytesPerMB) * memoryLimitShare))
	}
	lines := logging.NewAsyncWriter(out, logging.DefaultBufferedLines)
	// Close writes the remaining lines. It cannot fail.
	defer func() { _ = lines.Close() }()
	level := cmp.Or(o.overrides.LogLevel, "info")
	logger := logging.New(lines, settings.Log{Level: level, Format: cmp.Or(o.overrides.LogFormat, "logfmt")})
	d := dispatch.New(s, policies, logger, dispatch.SystemNetwork())
	go reloadOnSignal(reloads, path, logger, d)
	return runUntilSignal(logger, d.Run)
}

// reloadOnSignal reloads the settings on each signal. Invalid settings are logged
// and the previous ones stay in force.
func reloadOnSignal(reloads <-chan os.Signal, path string, logger *log.Logger, d *dispatch.Dispatcher) {
	for range reloads {
		s, err := platform.LoadSettings(path)
		if err != nil {
			logger.Error("settings not reloaded; the previous ones stay in force", "path", path, "error", err)
			continue
		}
		d.Reload(s)
	}
}
