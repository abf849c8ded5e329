// Command lbplacer runs a placer: it forms replicas while it holds its data centre's lease.
//
//	lbplacer -config FILE     run until SIGTERM
//	lbplacer check -config FILE   only check the settings
//	lbplacer settings         print a table of all settings
package main

import (
	"os"

	"github.com/lycheebarrow/lycheebarrow/internal/composer"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
)

func main() {
	os.Exit(composer.RunDaemon(loader.RolePlacer, os.Args[1:], os.Stdout, os.Stderr))
}
