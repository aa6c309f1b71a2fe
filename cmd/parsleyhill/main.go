// Command parsleyhill is the tool of operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/parsleyhill/parsleyhill/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
