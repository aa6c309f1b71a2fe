// Command parsleyhill is the tool of operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/parsleyhill/parsleyhill/internal/cli"
	"github.com/parsleyhill/parsleyhill/internal/entryclient"
)

// conns is the number of idle connections kept to one entry host.
const conns = 256

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	tool := cli.Tool{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Transport: entryclient.NewTransport(conns)}
	os.Exit(tool.Run(ctx, os.Args[1:]))
}
