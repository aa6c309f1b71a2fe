// Command parsleyhilld is the daemon that runs on every entry host.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3"

	"github.com/parsleyhill/parsleyhill/internal/daemon"
	"github.com/parsleyhill/parsleyhill/internal/settings"
)

// The exit statuses.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	flags := flag.NewFlagSet("parsleyhilld", flag.ContinueOnError)
	path := flags.String("settings", "parsleyhilld.json", "settings `file`, JSON with comments")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("PARSLEYHILLD")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, "parsleyhilld:", err)
		return exitSettings
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "parsleyhilld:", err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are good")
		return 0
	}
	return serve(s)
}

func serve(s settings.Settings) int {
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true})
	if s.Log.Format == "json" {
		logger.SetFormatter(log.JSONFormatter)
	}
	if level, err := log.ParseLevel(s.Log.Level); err == nil {
		logger.SetLevel(level)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	if err := daemon.New(s, logger).Run(ctx); err != nil {
		logger.Error("entry host failed", "error", err)
		return exitFailed
	}
	return 0
}
