// Command lbctl is the command line for operators. "lbctl -help" lists its commands
// and exit codes.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/lycheebarrow/lycheebarrow/internal/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(commander.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
