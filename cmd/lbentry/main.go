// Command lbentry runs an entry: it serves callers and operators.
//
//	lbentry -config FILE     run until SIGTERM
//	lbentry check -config FILE   only check the settings
//	lbentry settings         print a table of all settings
package main

import (
	"os"

	"github.com/lycheebarrow/lycheebarrow/internal/composer"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
)

func main() {
	os.Exit(composer.RunDaemon(loader.RoleEntry, os.Args[1:], os.Stdout, os.Stderr))
}
