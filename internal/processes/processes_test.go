// Package processes_test runs the programs as real processes on loopback and
// kills, pauses and ends them. The test binary runs itself as each program, so
// that the race detector is on in all of them.
package processes_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow"
	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
	"github.com/lycheebarrow/lycheebarrow/internal/composer"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
)

const (
	// _programVariable names the program that the test binary is to run as.
	_programVariable = "LYCHEEBARROW_TEST_PROGRAM"
	// _patience bounds the wait for a condition; it is no measure of anything.
	_patience = 90 * time.Second
	_pollWait = 20 * time.Millisecond

	_operatorToken = "operator-token"
	_callerKey     = "caller-key"
)

func TestMain(m *testing.M) {
	if os.Getenv(_programVariable) != "" {
		go endWithParent()
	}
	switch os.Getenv(_programVariable) {
	case "entry":
		os.Exit(composer.RunDaemon(loader.RoleEntry, os.Args[1:], os.Stdout, os.Stderr))
	case "placer":
		os.Exit(composer.RunDaemon(loader.RolePlacer, os.Args[1:], os.Stdout, os.Stderr))
	case "stub":
		os.Exit(standin.Program(os.Args[1:], os.Stderr, os.Stderr))
	}
	os.Exit(m.Run())
}

// endWithParent ends a program when the test binary that started it is gone.
func endWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(1)
}

// output gathers what a process prints.
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
	done chan struct{} // closed at its end
}

func start(t *testing.T, program, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, done: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], args...)
	p.cmd.Env = append(os.Environ(), _programVariable+"="+program)
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
			t.Logf("--- %s\n%s", name, tail(p.out.String()))
		}
		if strings.Contains(p.out.String(), "DATA RACE") {
			t.Errorf("%s has a data race:\n%s", name, p.out.String())
		}
	})
	return p
}

// tail returns the last part of a log, without the probes.
func tail(text string) string {
	const lines = 60
	kept := strings.Split(text, "\n")
	return strings.Join(kept[max(0, len(kept)-lines):], "\n")
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exit waits for the process's end and returns its exit code.
func (p *process) exit() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(_patience):
		require.Fail(p.t, "the process doesn't end", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// await waits for a match in the process's output and returns its first group.
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

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(_patience); !condition(); time.Sleep(_pollWait) {
		if time.Now().After(end) {
			require.Fail(t, "waited too long", what)
		}
	}
}

// world is a platform with what runs around it.
type world struct {
	t        *testing.T
	platform string // URL
	addresses,
	operators map[string]string
	health sync.Map // by entry, the address of its health pages
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, addresses: make(map[string]string), operators: make(map[string]string)}
	p := start(t, "stub", "platform", "platform", "-listen", "127.0.0.1:0")
	w.addresses["platform"] = p.await(`listening=(\S+)`)
	w.platform = "http://" + w.addresses["platform"]
	return w
}

// stub starts an engine or a service.
func (w *world) stub(kind, name, domain string, args ...string) *process {
	w.t.Helper()
	p := start(w.t, "stub", name, append([]string{
		kind, "-listen", "127.0.0.1:0", "-name", name, "-platform", w.platform,
		"-data-centre", "qld-bne", "-domain", domain, "-load-time", "200ms",
	}, args...)...)
	w.addresses[name] = p.await(`listening=(\S+)`)
	return p
}

// daemon starts an entry or a placer, on its earlier addresses if it had some.
func (w *world) daemon(program, name string) *process {
	w.t.Helper()
	args := []string{
		"-name", name, "-data-centre", "qld-bne", "-platform", w.platform, "-peer-secret", "0123456789abcdef0123",
		"-peer-listen", "127.0.0.1:0", "-operator-listen", "127.0.0.1:0",
		"-operator-tokens", "ann:" + authenticator.Digest(_operatorToken),
	}
	if program == "entry" {
		listen := w.addresses[name]
		if listen == "" {
			listen = "127.0.0.1:0"
		}
		args = append(args, "-callers-listen", listen)
	}
	p := start(w.t, program, name, args...)
	w.health.Store(name, p.await(`address="?([0-9.:]+)"? event=listen .*service=metrics`))
	w.operators[name] = p.await(`address="?([0-9.:]+)"? event=listen .*service=operator`)
	if program == "entry" && w.addresses[name] == "" {
		w.addresses[name] = p.await(`address="?([0-9.:]+)"? event=listen .*service=callers`)
	}
	return p
}

// patch puts a document in force at an entry and waits until the others have it.
func (w *world) patch(document string, entries ...string) {
	w.t.Helper()
	for _, e := range entries {
		c := lycheebarrow.Client{Address: w.operators[e], Token: _operatorToken}
		await(w.t, "the configuration at "+e, func() bool {
			_, err := c.Patch(context.Background(), lycheebarrow.Patch{
				ID: "first", Base: 0, Author: "ann", Reason: "test", Merge: json.RawMessage(document),
			})
			return err == nil
		})
		await(w.t, "the configuration at "+e, func() bool {
			res, err := w.do(e, http.MethodGet, "/v1/models", "", "")
			if err != nil {
				return false
			}
			res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
	}
}

func (w *world) do(entry, method, path, key, body string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+w.addresses[entry]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+_callerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	// A connection for each request, as a balancer in front would give.
	req.Close = true
	return http.DefaultClient.Do(req)
}

// fault switches a stand-in's faults.
func (w *world) fault(name, faults string) {
	w.t.Helper()
	res, err := http.Post("http://"+w.addresses[name]+"/fault", "application/json", strings.NewReader(faults))
	require.NoError(w.t, err)
	res.Body.Close()
}

// runs returns how often a service ran a key.
func (w *world) runs(service, key string) int {
	w.t.Helper()
	res, err := http.Get("http://" + w.addresses[service] + "/runs")
	require.NoError(w.t, err)
	defer res.Body.Close()
	var counts map[string]int
	require.NoError(w.t, json.NewDecoder(res.Body).Decode(&counts))
	return counts[key]
}

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	body    string
	err     error
}

func (w *world) call(entry, key string) answer {
	res, err := w.do(entry, http.MethodPost, "/services/lodgement/lodge", key, "fee=1")
	return read(res, err)
}

// chat asks for a streamed draft; begun is called at its first byte.
func (w *world) chat(entry, prompt string, begun func()) answer {
	body := fmt.Sprintf(`{"model":"form-assistant","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	res, err := w.do(entry, http.MethodPost, "/v1/chat/completions", "", body)
	if err == nil && res.StatusCode == http.StatusOK && begun != nil {
		first := make([]byte, 1)
		if _, err := io.ReadFull(res.Body, first); err == nil {
			begun()
			rest := res.Body
			res.Body = struct {
				io.Reader
				io.Closer
			}{io.MultiReader(bytes.NewReader(first), rest), rest}
		}
	}
	return read(res, err)
}

func read(res *http.Response, err error) answer {
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, outcome: res.Header.Get("Lb-Outcome"), body: string(text), err: err}
}

// whole says that an answer is the whole and right draft for its prompt.
func (a answer) whole(prompt string) bool {
	if a.err != nil || a.status != http.StatusOK || !strings.Contains(a.body, "data: [DONE]") {
		return false
	}
	var text strings.Builder
	for line := range strings.Lines(a.body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if ok && json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return text.String() == strings.Join(standin.Words(prompt, 0), "")
}

// replicas returns the members of each serving replica.
func (w *world) replicas(entry string) map[string][]string {
	c := lycheebarrow.Client{Address: w.operators[entry], Token: _operatorToken}
	text, err := c.Read(context.Background(), "placements")
	out := make(map[string][]string)
	if err != nil {
		return out
	}
	collect(text, out)
	return out
}

// collect finds every serving replica in a JSON text.
func collect(text []byte, into map[string][]string) {
	var r struct {
		Name    string
		Members []string
		State   string
	}
	if json.Unmarshal(text, &r) == nil && r.State == "REPLICA_STATE_SERVING" {
		into[r.Name] = r.Members
		return
	}
	var list []json.RawMessage
	var object map[string]json.RawMessage
	_ = json.Unmarshal(text, &list)
	_ = json.Unmarshal(text, &object)
	for _, v := range object {
		list = append(list, v)
	}
	for _, v := range list {
		collect(v, into)
	}
}

// document has the groups and services of these tests.
func (w *world) document(replicas int) string {
	var servers []string
	for _, n := range []string{"s1", "s2"} {
		if a := w.addresses[n]; a != "" {
			servers = append(servers, fmt.Sprintf(`%q:{"address":%q,"data_centre":"qld-bne"}`, n, a))
		}
	}
	services := "{}"
	if len(servers) > 0 {
		services = fmt.Sprintf(`{"lodgement":{"unrepeatable":true,"timeout_ms":4000,"upstreams":{%s}}}`, strings.Join(servers, ","))
	}
	groups := "{}"
	if replicas > 0 {
		groups = fmt.Sprintf(`{"forms":{"model":"form-assistant","version":"v1","data_centre":"qld-bne","replicas":%d,"members":2}}`, replicas)
	}
	return fmt.Sprintf(`{"organisations":{"acme":{"keys_sha256":[%q]}},"groups":%s,"services":%s}`,
		authenticator.Digest(_callerKey), groups, services)
}

// refused says that a request can safely go to another entry.
func refused(a answer) bool {
	return errors.Is(a.err, syscall.ECONNREFUSED) || a.status == http.StatusServiceUnavailable && a.outcome == "not-run"
}

// String shows an answer in a failure.
func (a answer) String() string {
	return fmt.Sprintf("status %d, outcome %q, error %v, body %q", a.status, a.outcome, a.err, a.body)
}
