//go:build review2

// Command standin-2 plays the scripts of the second review against lbinstance processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

func main() {
	if len(os.Args) != 3 {
		quit("usage: standin-2 CASE FOLDER")
	}
	cases := map[string]func(w *world, trouble bool) bool{"headers": playHeaders, "readers": playReaders, "streams": playStreams, "stale": playStale}
	play, ok := cases[os.Args[1]]
	if !ok {
		quit("no case %s", os.Args[1])
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ends
		quit("interrupted")
	}()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		quit("make a folder: %v", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec := newRecord(filepath.Join(os.Args[2], "record.txt"))
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %t", os.Args[1], trouble)
	broken := play(newWorld(dir, rec), trouble)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	stopAll()
	_ = os.RemoveAll(dir)
	if broken {
		rec.add("the rule was broken")
		fmt.Println("BROKEN")
		os.Exit(1)
	}
	rec.add("the rule held")
}
