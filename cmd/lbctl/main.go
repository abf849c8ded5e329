// Command lbctl is the operators' command line; "lbctl -help" lists what it
// does and its exit codes.
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
