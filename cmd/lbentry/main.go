// Command lbentry runs an entry, a process that serves callers and operators.
//
//	lbentry -config FILE        run until SIGTERM or SIGINT
//	lbentry check -config FILE  validate the settings and exit
//	lbentry settings            print a Markdown table of all settings
package main

import (
	"os"

	"github.com/lycheebarrow/lycheebarrow/internal/composer"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
)

func main() {
	os.Exit(composer.RunDaemon(loader.RoleEntry, os.Args[1:], os.Stdout, os.Stderr))
}
