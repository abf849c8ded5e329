//go:build review3

// Command standin-3 plays the cases of review/REPORT-3.md: stand-ins of the platform, of model
// servers and of clients, and the project's own program as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// _limit is how long a case may take.
const _limit = 115 * time.Second

func main() {
	cases := map[string]func(w *world) error{"heads": heads, "recover": recoverAll, "events": events}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE ROOT RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- cases[os.Args[1]](w) }()
	select {
	case err = <-ended:
	case s := <-stopped:
		err = fmt.Errorf("stopped by %s", s)
	case <-time.After(_limit):
		err = fmt.Errorf("not done after %s", _limit)
	}
	w.close()
	w.record.printf("results of requests: %s", w.resultText())
	w.fleet.mu.Lock()
	broken := w.fleet.violations
	w.fleet.mu.Unlock()
	switch {
	case err != nil:
		w.record.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case len(broken) > 0:
		for _, v := range broken {
			fmt.Println("broken:", v)
		}
		os.Exit(1)
	}
	w.record.printf("held")
	fmt.Println("held")
}
