// Command lbstub runs a stand-in for the platform, an engine or a plain service,
// for tests and the demo.
//
//	lbstub platform -listen 127.0.0.1:9000
//	lbstub engine   -listen 127.0.0.1:9101 -name e1 -platform http://127.0.0.1:9000 -data-centre qld-bne -domain f1
//	lbstub service  -listen 127.0.0.1:9201 -name s1
//	lbstub ask      http://127.0.0.1:9201/runs
//
// "lbstub ask URL" sends a GET request and prints the answer; "lbstub ask URL BODY"
// posts the body. POST /fault at the address of a stand-in sets the faults that it
// simulates.
package main

import (
	"os"

	"github.com/lycheebarrow/lycheebarrow/internal/standin"
)

func main() {
	os.Exit(standin.Run(os.Args[1:], os.Stdout, os.Stderr))
}
