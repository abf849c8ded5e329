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

// _waitTimeout bounds each wait for a condition. In a run without errors the
// conditions are met far earlier.
const _waitTimeout = time.Minute

// TestMain provides the programs that the scripts run, all in the test binary.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lbentry":  func() { os.Exit(composer.RunDaemon(loader.RoleEntry, os.Args[1:], os.Stdout, os.Stderr)) },
		"lbplacer": func() { os.Exit(composer.RunDaemon(loader.RolePlacer, os.Args[1:], os.Stdout, os.Stderr)) },
		"lbstub":   func() { os.Exit(standin.Run(os.Args[1:], os.Stdout, os.Stderr)) },
		"lbctl": func() {
			os.Exit(commander.Run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
		},
	})
}

// TestScripts runs the scripts in testdata/script with the programs of this module.
// Besides the commands of testscript, the scripts use:
//
//	start NAME PROGRAM ARGS...   run a program with its output in NAME.log
//	await NAME REGEX [VAR]       wait for a match in NAME.log; set VAR to its first capture group
//	signal NAME                  send SIGTERM to a program
//	interrupt NAME               send SIGINT to a program
//	ended NAME [CODE]            wait for a program to end, and require the exit code (default 0)
//	end NAME [CODE]              signal, then ended
//	expand FILE                  replace each $VAR in a file by its value
//	open NAME ADDRESS FILE       connect to ADDRESS over TCP and send a file
//	cut NAME                     close a connection for writing
//	finish NAME                  read until the other side closes; print the last 8 KiB
//	code CODE PROGRAM ARGS...    run a program, and require the exit code
//	eventually PROGRAM ARGS...   run a program again and again until it exits with 0
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script", RequireExplicitExec: true, UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start": startProgram, "await": awaitMatch, "signal": sendSIGTERM, "interrupt": sendSIGINT, "ended": waitForExit, "end": stopProgram, "expand": expandFile,
			"open": openConnection, "cut": closeWrite, "finish": readAnswer, "code": requireExitCode, "eventually": runUntilSuccess,
		},
		Setup: func(e *testscript.Env) error {
			e.Values[_programsKey] = make(map[string]*exec.Cmd)
			e.Values[_connectionsKey] = make(map[string]*net.TCPConn)
			e.Setenv("LBCTL_TOKEN", "operator-token")
			return os.CopyFS(e.WorkDir, os.DirFS("testdata/world"))
		},
	})
}

// _maxShownBytes is the length of the end of an answer that a script sees.
const _maxShownBytes = 8 << 10

// Keys of the values that testscript keeps for a script.
const (
	_programsKey    = "running" // programs by name
	_connectionsKey = "opened"  // connections by name
)

// startProgram runs a program in the background. The program is killed at the end
// of the script if the script hasn't waited for it.
func startProgram(ts *testscript.TestScript, _ bool, args []string) {
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
	ts.Value(_programsKey).(map[string]*exec.Cmd)[args[0]] = c
	ts.Defer(func() {
		if c.ProcessState == nil {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	})
}

func awaitMatch(ts *testscript.TestScript, _ bool, args []string) {
	want := regexp.MustCompile(args[1])
	waitUntil(ts, fmt.Sprintf("%s.log has no match of %s", args[0], args[1]), func() bool {
		found := want.FindStringSubmatch(ts.ReadFile(args[0] + ".log"))
		if found != nil && len(args) > 2 {
			ts.Setenv(args[2], found[1])
		}
		return found != nil
	})
}

// waitUntil waits until done returns true, and fails the script with the message
// after _waitTimeout.
func waitUntil(ts *testscript.TestScript, message string, done func() bool) {
	for deadline := time.Now().Add(_waitTimeout); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			ts.Fatalf("%s", message)
		}
	}
}

func sendSIGTERM(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(ts.Value(_programsKey).(map[string]*exec.Cmd)[args[0]].Process.Signal(syscall.SIGTERM))
}

func sendSIGINT(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(ts.Value(_programsKey).(map[string]*exec.Cmd)[args[0]].Process.Signal(syscall.SIGINT))
}

func stopProgram(ts *testscript.TestScript, neg bool, args []string) {
	sendSIGTERM(ts, neg, args)
	waitForExit(ts, neg, args)
}

func waitForExit(ts *testscript.TestScript, _ bool, args []string) {
	c := ts.Value(_programsKey).(map[string]*exec.Cmd)[args[0]]
	_ = c.Wait()
	want := "0"
	if len(args) > 1 {
		want = args[1]
	}
	if got := fmt.Sprint(c.ProcessState.ExitCode()); got != want {
		ts.Fatalf("%s ended with exit code %s, want %s:\n%s", args[0], got, want, ts.ReadFile(args[0]+".log"))
	}
}

func expandFile(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

func openConnection(ts *testscript.TestScript, _ bool, args []string) {
	c, err := net.Dial("tcp", args[1])
	ts.Check(err)
	ts.Defer(func() { _ = c.Close() })
	ts.Value(_connectionsKey).(map[string]*net.TCPConn)[args[0]] = c.(*net.TCPConn)
	_, err = io.WriteString(c, strings.ReplaceAll(ts.ReadFile(args[2]), "\n", "\r\n"))
	ts.Check(err)
}

func closeWrite(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(ts.Value(_connectionsKey).(map[string]*net.TCPConn)[args[0]].CloseWrite())
}

func readAnswer(ts *testscript.TestScript, _ bool, args []string) {
	c := ts.Value(_connectionsKey).(map[string]*net.TCPConn)[args[0]]
	// The error is ignored: if the other side resets the connection, what arrived
	// before is the answer to check.
	answer, _ := io.ReadAll(c)
	_, err := ts.Stdout().Write(answer[max(0, len(answer)-_maxShownBytes):])
	ts.Check(err)
}

func requireExitCode(ts *testscript.TestScript, _ bool, args []string) {
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	}
	if fmt.Sprint(got) != args[0] {
		ts.Fatalf("%v ended with exit code %d, want %s", args[1:], got, args[0])
	}
}

func runUntilSuccess(ts *testscript.TestScript, _ bool, args []string) {
	waitUntil(ts, fmt.Sprintf("%v did not succeed", args), func() bool { return ts.Exec(args[0], args[1:]...) == nil })
}
