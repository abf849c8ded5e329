// Command lbstub runs one stand-in for tests and the demo.
//
//	lbstub platform -listen 127.0.0.1:9000
//	lbstub engine   -listen 127.0.0.1:9101 -name e1 -platform http://127.0.0.1:9000 -data-centre qld-bne -domain f1
//	lbstub service  -listen 127.0.0.1:9201 -name s1
//	lbstub ask      http://127.0.0.1:9201/runs
//
// POST /fault on the same address switches faults; "lbstub ask URL BODY" posts.
package main

import (
	"os"

	"github.com/lycheebarrow/lycheebarrow/internal/standin"
)

func main() {
	os.Exit(standin.Run(os.Args[1:], os.Stdout, os.Stderr))
}
