package lycheebarrow_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lycheebarrow/lycheebarrow/internal/commander"
	"github.com/lycheebarrow/lycheebarrow/internal/composer"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
)

// _patience bounds each wait on a condition; a healthy run ends far earlier.
const _patience = time.Minute

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lbentry":  func() { os.Exit(composer.RunDaemon(loader.RoleEntry, os.Args[1:], os.Stdout, os.Stderr)) },
		"lbplacer": func() { os.Exit(composer.RunDaemon(loader.RolePlacer, os.Args[1:], os.Stdout, os.Stderr)) },
		"lbstub":   func() { os.Exit(standin.Program(os.Args[1:], os.Stdout, os.Stderr)) },
		"lbctl": func() {
			os.Exit(commander.Program(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
		},
	})
}

// The scripts use these commands besides those of testscript:
//
//	start NAME PROGRAM ARGS...   run a program with its output in NAME.log
//	await NAME REGEX [VAR]       wait for a line of NAME.log; VAR gets the first group
//	signal NAME                  send SIGTERM
//	ended NAME [CODE]            wait for a program to end, and require the exit code
//	end NAME [CODE]              signal and ended in one
//	expand FILE                  replace $VAR in a file
//	open NAME ADDRESS FILE       connect and send a file over TCP
//	cut NAME                     close the sending side
//	finish NAME                  print the end of what comes until the other side closes
//	code CODE PROGRAM ARGS...    run a program, and require the exit code
//	eventually PROGRAM ARGS...   repeat a program until it exits 0
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script", RequireExplicitExec: true, UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start": start, "await": await, "signal": signal, "ended": ended, "end": end, "expand": expand,
			"open": open, "cut": cut, "finish": finish, "code": code, "eventually": eventually,
		},
		Setup: func(e *testscript.Env) error {
			e.Values[_running] = make(map[string]*exec.Cmd)
			e.Values[_opened] = make(map[string]*net.TCPConn)
			e.Setenv("LBCTL_TOKEN", "operator-token")
			return os.CopyFS(e.WorkDir, os.DirFS("testdata/world"))
		},
	})
}

// _shown bounds what a script sees of an answer, in bytes.
const _shown = 8 << 10

// Keys of a script's values.
const (
	_running = "running" // programs by name
	_opened  = "opened"  // connections by name
)

func start(ts *testscript.TestScript, _ bool, args []string) {
	path, err := exec.LookPath(args[1])
	ts.Check(err)
	log, err := os.Create(ts.MkAbs(args[0] + ".log"))
	ts.Check(err)
	c := exec.Command(path, args[2:]...)
	c.Dir, c.Stdout, c.Stderr = ts.MkAbs("."), log, log
	for _, v := range []string{"PATH", "HOME", "TMPDIR"} {
		c.Env = append(c.Env, v+"="+ts.Getenv(v))
	}
	ts.Check(c.Start())
	ts.Check(log.Close())
	ts.Value(_running).(map[string]*exec.Cmd)[args[0]] = c
	ts.Defer(func() {
		if c.ProcessState == nil {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	})
}

func await(ts *testscript.TestScript, _ bool, args []string) {
	want := regexp.MustCompile(args[1])
	until(ts, fmt.Sprintf("%s.log has no line %s", args[0], args[1]), func() bool {
		found := want.FindStringSubmatch(ts.ReadFile(args[0] + ".log"))
		if found != nil && len(args) > 2 {
			ts.Setenv(args[2], found[1])
		}
		return found != nil
	})
}

func until(ts *testscript.TestScript, fault string, done func() bool) {
	for deadline := time.Now().Add(_patience); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			ts.Fatalf("%s", fault)
		}
	}
}

func signal(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(ts.Value(_running).(map[string]*exec.Cmd)[args[0]].Process.Signal(syscall.SIGTERM))
}

func end(ts *testscript.TestScript, neg bool, args []string) {
	signal(ts, neg, args)
	ended(ts, neg, args)
}

func ended(ts *testscript.TestScript, _ bool, args []string) {
	c := ts.Value(_running).(map[string]*exec.Cmd)[args[0]]
	_ = c.Wait()
	want := "0"
	if len(args) > 1 {
		want = args[1]
	}
	if got := fmt.Sprint(c.ProcessState.ExitCode()); got != want {
		ts.Fatalf("%s ended with exit code %s, want %s:\n%s", args[0], got, want, ts.ReadFile(args[0]+".log"))
	}
}

func expand(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

func open(ts *testscript.TestScript, _ bool, args []string) {
	c, err := net.Dial("tcp", args[1])
	ts.Check(err)
	ts.Defer(func() { _ = c.Close() })
	ts.Value(_opened).(map[string]*net.TCPConn)[args[0]] = c.(*net.TCPConn)
	_, err = io.WriteString(c, strings.ReplaceAll(ts.ReadFile(args[2]), "\n", "\r\n"))
	ts.Check(err)
}

func cut(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(ts.Value(_opened).(map[string]*net.TCPConn)[args[0]].CloseWrite())
}

func finish(ts *testscript.TestScript, _ bool, args []string) {
	c := ts.Value(_opened).(map[string]*net.TCPConn)[args[0]]
	// What came before a reset still counts.
	answer, _ := io.ReadAll(c)
	_, err := ts.Stdout().Write(answer[max(0, len(answer)-_shown):])
	ts.Check(err)
}

func code(ts *testscript.TestScript, _ bool, args []string) {
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	}
	if fmt.Sprint(got) != args[0] {
		ts.Fatalf("%v ended with exit code %d, want %s", args[1:], got, args[0])
	}
}

func eventually(ts *testscript.TestScript, _ bool, args []string) {
	until(ts, fmt.Sprintf("%v did not succeed", args), func() bool { return ts.Exec(args[0], args[1:]...) == nil })
}
