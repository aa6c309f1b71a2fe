package main

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/parsleyhill/parsleyhill/internal/settings"
)

const exampleSettings = "../../deploy/tamarind/entry-westlands-1.json"

func TestExitStatuses(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(bad, []byte(`{"host": 1, "colour": "red"}`), 0o600))
	cases := []struct {
		name    string
		args    []string
		env     string
		status  int
		out     string
		errOut  []string
		errLine int
	}{
		{name: "valid settings with -check", args: []string{"-settings", exampleSettings, "-check"}, out: "entry-westlands-1"},
		{name: "help", args: []string{"-help"}, errOut: []string{"Exit status", "-log-level"}},
		{name: "unknown flag", args: []string{"-verbose"}, status: exitInvalid, errOut: []string{"-verbose"}},
		{name: "unexpected argument", args: []string{"start"}, status: exitInvalid, errOut: []string{`"start"`}},
		{name: "missing settings file", args: []string{"-settings", "nowhere.json"}, status: exitInvalid, errOut: []string{"nowhere.json"}},
		{
			name: "invalid settings without -check", args: []string{"-settings", bad}, status: exitInvalid,
			errOut: []string{"bad.json:1: host: must be", "colour: unknown field", "zone: is missing", "listen.peers: is missing"}, errLine: 9,
		},
		{
			name: "invalid log level in the environment", args: []string{"-settings", exampleSettings, "-check"}, env: "loud", status: exitInvalid,
			errOut: []string{`command line or environment: log.level: "loud"`},
		},
		{name: "flag overrides the environment", args: []string{"-settings", exampleSettings, "-check", "-log-level", "debug"}, env: "loud", out: "good"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv("PARSLEYHILLD_LOG_LEVEL", c.env)
			var out, errOut bytes.Buffer
			require.Equal(t, c.status, run(c.args, &out, &errOut), errOut.String())
			require.Contains(t, out.String(), c.out)
			for _, want := range c.errOut {
				require.Contains(t, errOut.String(), want)
			}
			if c.errLine > 0 {
				require.Equal(t, c.errLine, strings.Count(errOut.String(), "\n"), errOut.String())
			}
		})
	}
}

// minimalSettings returns the settings of an entry host that reaches nothing.
func minimalSettings() settings.Settings {
	const anyPort, nowhere = "127.0.0.1:0", "http://127.0.0.1:1"
	return settings.Settings{
		Host: "entry-1", Region: "nairobi", Zone: "karen", Listen: settings.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort},
		Platform: settings.Platform{Log: nowhere, HostList: nowhere}, Stop: settings.Stop{DrainMs: 1, GraceMs: 1},
	}.WithDefaults()
}

// Guards against SIGHUP that ends an entry host at once, with all its requests.
func TestHangupDoesNotEndTheEntryHost(t *testing.T) {
	lines, errOut := io.Pipe()
	status := make(chan int, 1)
	go func() {
		status <- serve(minimalSettings(), errOut)
		_ = errOut.Close()
	}()
	hungUp := false
	for scanner := bufio.NewScanner(lines); scanner.Scan(); {
		switch line := scanner.Text(); {
		case strings.Contains(line, "entry host starts"):
			require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		case strings.Contains(line, "settings are read only at the start"):
			hungUp = true
			require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		}
	}
	require.True(t, hungUp)
	require.Equal(t, exitOK, <-status)
}

// logsToPipeEnv makes the test binary run an entry host that logs to its standard error.
const logsToPipeEnv = "PARSLEYHILLD_TEST_LOGS_TO_PIPE"

// Guards against an entry host that ends, with all its requests, when who reads its log has
// gone, for instance because a log collector is restarted.
func TestEntryHostOutlivesTheReaderOfItsLog(t *testing.T) {
	if os.Getenv(logsToPipeEnv) != "" {
		os.Exit(serve(minimalSettings(), os.Stderr))
	}
	host := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	host.Env = append(os.Environ(), logsToPipeEnv+"=1")
	lines, err := host.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, host.Start())
	scanner := bufio.NewScanner(lines)
	for scanner.Scan() && !strings.Contains(scanner.Text(), "entry host starts") {
	}
	require.NoError(t, scanner.Err())
	require.NoError(t, lines.Close())
	// The stop is logged.
	require.NoError(t, host.Process.Signal(syscall.SIGTERM))
	require.NoError(t, host.Wait())
}

// Guards against a repeated SIGTERM that ends an entry host at once, with the requests in
// work that its planned stop would have answered.
func TestRepeatedTerminationSignalDoesNotEndThePlannedStop(t *testing.T) {
	lines, out := io.Pipe()
	logged := bufio.NewScanner(lines)
	terminate := func(message string) {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		require.True(t, logged.Scan())
		require.Contains(t, logged.Text(), message)
	}
	status := runUntilSignal(log.New(out), func(ctx context.Context) error {
		terminate("stop signal received")
		<-ctx.Done()
		terminate("stop signal repeated")
		terminate("stop signal repeated")
		return nil
	})
	require.Equal(t, exitOK, status)
}
