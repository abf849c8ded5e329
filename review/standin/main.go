//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is the longest time that a case may run before its processes are ended.
const limit = 115 * time.Second

// a caseFunc plays one case. It returns whether the rule was broken.
type caseFunc func(w *world) (broken bool, err error)

var cases = map[string]caseFunc{
	"large-bodies":  playLargeBodies,
	"quiet-crashes": playQuietCrashes,
	"leaving":       playLeaving,
	"many-parts":    playManyParts,
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	file := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "standin: no such case:", *name)
		os.Exit(exitNotRun)
	}
	out, err := os.Create(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitNotRun)
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", record: &record{file: out, start: time.Now()}}
	w.record.add("case %s, with the disruption: %t", *name, w.trouble)
	if err := w.open(); err != nil {
		w.close()
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(limit, func() {
		w.record.add("the case took too long")
		w.close()
		os.Exit(exitNotRun)
	})
	broken, err := play(w)
	w.close()
	code := exitHeld
	switch {
	case err != nil:
		w.record.add("could not run: %v", err)
		code = exitNotRun
	case broken:
		w.record.add("the rule was broken")
		code = exitBroken
	default:
		w.record.add("the rule held")
	}
	_ = out.Close() // the lines are written already
	os.Exit(code)
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// add writes a line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, values...)
	_, _ = fmt.Fprintln(r.file, line)
}

// note is add for a line that is also printed.
func (r *record) note(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}
