// Command parsleyhill is the command-line tool for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/parsleyhill/parsleyhill/internal/cli"
	"github.com/parsleyhill/parsleyhill/internal/entryclient"
)

// idleConns is the number of idle connections kept open to each entry host.
const idleConns = 256

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	tool := cli.Tool{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Transport: entryclient.NewTransport(idleConns)}
	os.Exit(tool.Run(ctx, os.Args[1:]))
}
