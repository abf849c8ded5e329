// Package processes_test runs the programs as real processes on the loopback
// interface, and kills, pauses and shuts them down. The test binary starts itself as
// each program, so that the race detector, where it is on, covers all of them.
//
// A draft is a chat completion; a call is a request to a plain service.
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
	// _programEnv is the environment variable with the program to run as.
	_programEnv = "LYCHEEBARROW_TEST_PROGRAM"
	// _waitTimeout bounds each wait, so that a failing test ends. It is not a
	// requirement on the programs.
	_waitTimeout  = 90 * time.Second
	_pollInterval = 20 * time.Millisecond

	_operatorToken = "operator-token"
	_callerKey     = "caller-key"
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

// deployment is a platform, with the processes that use it and their addresses.
type deployment struct {
	t        *testing.T
	platform string // URL
	// addresses holds where stand-ins and entries listen for requests, and
	// operatorAddresses where daemons listen for operators, both by name.
	addresses,
	operatorAddresses map[string]string
	metricsAddresses sync.Map // by process, the address of its health and metrics pages
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, addresses: make(map[string]string), operatorAddresses: make(map[string]string)}
	p := start(t, "stub", "platform", "platform", "-listen", "127.0.0.1:0")
	d.addresses["platform"] = p.await(`listening=(\S+)`)
	d.platform = "http://" + d.addresses["platform"]
	return d
}

// startStub starts a stand-in for an engine or a service.
func (d *deployment) startStub(kind, name, domain string, args ...string) *process {
	d.t.Helper()
	p := start(d.t, "stub", name, append([]string{
		kind, "-listen", "127.0.0.1:0", "-name", name, "-platform", d.platform,
		"-data-centre", "qld-bne", "-domain", domain, "-load-time", "200ms",
	}, args...)...)
	d.addresses[name] = p.await(`listening=(\S+)`)
	return p
}

// startDaemon starts an entry or a placer. A restarted entry keeps its address for callers.
func (d *deployment) startDaemon(program, name string) *process {
	d.t.Helper()
	args := []string{
		"-name", name, "-data-centre", "qld-bne", "-platform", d.platform, "-peer-secret", "0123456789abcdef0123",
		"-peer-listen", "127.0.0.1:0", "-operator-listen", "127.0.0.1:0",
		"-operator-tokens", "ann:" + authenticator.Digest(_operatorToken),
	}
	if program == "entry" {
		listen := d.addresses[name]
		if listen == "" {
			listen = "127.0.0.1:0"
		}
		args = append(args, "-callers-listen", listen)
	}
	p := start(d.t, program, name, args...)
	d.metricsAddresses.Store(name, p.await(`address="?([0-9.:]+)"? event=listen .*service=metrics`))
	d.operatorAddresses[name] = p.await(`address="?([0-9.:]+)"? event=listen .*service=operator`)
	if program == "entry" && d.addresses[name] == "" {
		d.addresses[name] = p.await(`address="?([0-9.:]+)"? event=listen .*service=callers`)
	}
	return p
}

// patch sends a configuration to each entry and waits until the entry has applied it.
func (d *deployment) patch(document string, entries ...string) {
	d.t.Helper()
	for _, e := range entries {
		c := lycheebarrow.Client{Address: d.operatorAddresses[e], Token: _operatorToken}
		await(d.t, "the configuration at "+e, func() bool {
			_, err := c.Patch(context.Background(), lycheebarrow.Patch{
				ID: "first", Base: 0, Author: "ann", Reason: "test", Merge: json.RawMessage(document),
			})
			return err == nil
		})
		await(d.t, "the configuration at "+e, func() bool {
			res, err := d.sendRequest(e, http.MethodGet, "/v1/models", "", "")
			if err != nil {
				return false
			}
			res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
	}
}

func (d *deployment) sendRequest(entry, method, path, key, body string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+d.addresses[entry]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+_callerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	// A new connection for each request, as from a load balancer.
	req.Close = true
	return http.DefaultClient.Do(req)
}

// setFaults sets the faults of a stand-in.
func (d *deployment) setFaults(name, faults string) {
	d.t.Helper()
	res, err := http.Post("http://"+d.addresses[name]+"/fault", "application/json", strings.NewReader(faults))
	require.NoError(d.t, err)
	res.Body.Close()
}

// runCount returns how often a service ran the call with an idempotency key.
func (d *deployment) runCount(service, key string) int {
	d.t.Helper()
	res, err := http.Get("http://" + d.addresses[service] + "/runs")
	require.NoError(d.t, err)
	defer res.Body.Close()
	var counts map[string]int
	require.NoError(d.t, json.NewDecoder(res.Body).Decode(&counts))
	return counts[key]
}

// answer is the result of a request as the caller sees it.
type answer struct {
	status  int
	outcome string
	body    string
	err     error
}

func (d *deployment) call(entry, key string) answer {
	res, err := d.sendRequest(entry, http.MethodPost, "/services/lodgement/lodge", key, "fee=1")
	return readAnswer(res, err)
}

// chat sends a streamed chat request and reads the whole answer. It calls
// onFirstByte, if not nil, after the first byte.
func (d *deployment) chat(entry, prompt string, onFirstByte func()) answer {
	body := fmt.Sprintf(`{"model":"form-assistant","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	res, err := d.sendRequest(entry, http.MethodPost, "/v1/chat/completions", "", body)
	if err == nil && res.StatusCode == http.StatusOK && onFirstByte != nil {
		first := make([]byte, 1)
		if _, err := io.ReadFull(res.Body, first); err == nil {
			onFirstByte()
			rest := res.Body
			res.Body = struct {
				io.Reader
				io.Closer
			}{io.MultiReader(bytes.NewReader(first), rest), rest}
		}
	}
	return readAnswer(res, err)
}

func readAnswer(res *http.Response, err error) answer {
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, outcome: res.Header.Get("Lb-Outcome"), body: string(text), err: err}
}

// isWhole reports whether the answer is complete and is the expected one for the prompt.
func (a answer) isWhole(prompt string) bool {
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
	return text.String() == strings.Join(standin.ExpectedTokens(prompt, 0), "")
}

// servingReplicas returns the members of each serving replica that the entry knows, by name.
func (d *deployment) servingReplicas(entry string) map[string][]string {
	c := lycheebarrow.Client{Address: d.operatorAddresses[entry], Token: _operatorToken}
	text, err := c.Read(context.Background(), "placements")
	out := make(map[string][]string)
	if err != nil {
		return out
	}
	collectServing(text, out)
	return out
}

// collectServing adds every serving replica found at any depth of a JSON text to into.
func collectServing(text []byte, into map[string][]string) {
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
		collectServing(v, into)
	}
}

// configuration returns a configuration document with one organisation, a group of
// replicas with two members each, and a service with those of the upstreams s1 and s2
// that have been started.
func (d *deployment) configuration(replicas int) string {
	var upstreams []string
	for _, n := range []string{"s1", "s2"} {
		if a := d.addresses[n]; a != "" {
			upstreams = append(upstreams, fmt.Sprintf(`%q:{"address":%q,"data_centre":"qld-bne"}`, n, a))
		}
	}
	services := "{}"
	if len(upstreams) > 0 {
		services = fmt.Sprintf(`{"lodgement":{"unrepeatable":true,"timeout_ms":4000,"upstreams":{%s}}}`, strings.Join(upstreams, ","))
	}
	groups := "{}"
	if replicas > 0 {
		groups = fmt.Sprintf(`{"forms":{"model":"form-assistant","version":"v1","data_centre":"qld-bne","replicas":%d,"members":2}}`, replicas)
	}
	return fmt.Sprintf(`{"organisations":{"acme":{"keys_sha256":[%q]}},"groups":%s,"services":%s}`,
		authenticator.Digest(_callerKey), groups, services)
}

// wasNotRun reports whether the answer shows that the request was not run, so that
// another entry may be tried.
func wasNotRun(a answer) bool {
	return errors.Is(a.err, syscall.ECONNREFUSED) || a.status == http.StatusServiceUnavailable && a.outcome == "not-run"
}

// String formats the answer for messages of failed tests.
func (a answer) String() string {
	return fmt.Sprintf("status %d, outcome %q, error %v, body %q", a.status, a.outcome, a.err, a.body)
}
