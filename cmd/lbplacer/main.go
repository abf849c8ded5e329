// Command lbplacer runs a placer, a process that forms replicas while it holds the
// lease of its data centre.
//
//	lbplacer -config FILE        run until SIGTERM or SIGINT
//	lbplacer check -config FILE  validate the settings and exit
//	lbplacer settings            print a Markdown table of all settings
package main

import (
	"os"

	"github.com/lycheebarrow/lycheebarrow/internal/composer"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
)

func main() {
	os.Exit(composer.RunDaemon(loader.RolePlacer, os.Args[1:], os.Stdout, os.Stderr))
}
