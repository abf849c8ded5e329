// Package processes_test runs the programs as real processes on the loopback
// interface, and kills, pauses and shuts them down. The test binary starts itself as
// each program, so that the race detector, where it is on, covers all of them.
//
// A draft is a chat completion; a call is a request to a plain service.
package processes_test

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/composer"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
)

const (
	// _programEnv is the environment variable with the program to run as.
	_programEnv = "LYCHEEBARROW_TEST_PROGRAM"
	// _waitTimeout bounds each wait, so that a failing test ends. It is not a
	// requirement on the programs.
	_waitTimeout  = 90 * time.Second
	_pollInterval = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	if os.Getenv(_programEnv) != "" {
		go exitWithParent()
	}
	switch os.Getenv(_programEnv) {
	case "entry":
		os.Exit(composer.RunDaemon(loader.RoleEntry, os.Args[1:], os.Stdout, os.Stderr))
	case "placer":
		os.Exit(composer.RunDaemon(loader.RolePlacer, os.Args[1:], os.Stdout, os.Stderr))
	case "stub":
		os.Exit(standin.Run(os.Args[1:], os.Stderr, os.Stderr))
	}
	os.Exit(m.Run())
}

// exitWithParent exits when standard input is closed, as it is once the test binary exits.
func exitWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(1)
}

// output collects what a process prints.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// process is one running program.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	out  output
	done chan struct{} // closed when the process has exited
}

func start(t *testing.T, program, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, done: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], args...)
	p.cmd.Env = append(os.Environ(), _programEnv+"="+program)
	p.cmd.Stderr = &p.out
	_, err := p.cmd.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.done
		if t.Failed() {
			t.Logf("--- %s\n%s", name, lastLines(p.out.String()))
		}
		if strings.Contains(p.out.String(), "DATA RACE") {
			t.Errorf("%s has a data race:\n%s", name, p.out.String())
		}
	})
	return p
}

// lastLines returns the last 60 lines of a log.
func lastLines(text string) string {
	const lines = 60
	kept := strings.Split(text, "\n")
	return strings.Join(kept[max(0, len(kept)-lines):], "\n")
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exitCode waits until the process has exited and returns its exit code.
func (p *process) exitCode() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(_waitTimeout):
		require.Fail(p.t, "the process did not exit in time", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// await waits until the process's output matches a pattern, and returns the text of
// the pattern's last group.
func (p *process) await(pattern string) string {
	p.t.Helper()
	re := regexp.MustCompile(pattern)
	found := ""
	await(p.t, p.name+" to print "+pattern, func() bool {
		m := re.FindStringSubmatch(p.out.String())
		if m != nil {
			found = m[len(m)-1]
		}
		return m != nil
	})
	return found
}

// await waits until the condition is met; what describes it in the failure message.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(_waitTimeout); !condition(); time.Sleep(_pollInterval) {
		if time.Now().After(end) {
			require.Fail(t, "condition not met in time", what)
		}
	}
}
