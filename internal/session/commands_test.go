package session_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lycheebarrow/lycheebarrow"
	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/standin"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _requestInterval is the virtual time between the starts of two requests.
const _requestInterval = 10 * time.Millisecond

// command is one command of a script.
type command func(ts *testscript.TestScript, d *deployment, args []string)

// commands returns the commands of a session's script:
//
//	engine NAME DATA-CENTRE DOMAIN [ignores-fencing]
//	                                 start an engine and list it on the platform
//	service NAME DATA-CENTRE         start a plain service and list it on the platform
//	entry NAME DATA-CENTRE           start an entry
//	drain-limit DURATION             set the drain limit of the entries started later
//	placer NAME DATA-CENTRE          start a placer
//	patch ENTRY BASE ID FILE         send a configuration patch that is based on the
//	                                 configuration number BASE; print the new number
//	                                 or the refusal
//	sleep DURATION                   sleep in virtual time
//	await GROUP N ENTRY              wait until ENTRY can route to N replicas of a group
//	chat REQUEST ENTRY KEY TOKENS PROMPT
//	                                 start a draft that is streamed; REQUEST names the
//	                                 request for join
//	chat-unstreamed REQUEST ENTRY KEY TOKENS PROMPT
//	                                 start a draft that is answered in one response
//	call REQUEST ENTRY KEY IDEMPOTENCY-KEY SERVICE BODY
//	                                 start a call to a plain service
//	join REQUEST...                  wait for each request and print its answer
//	fault NAME JSON                  set the faults of a stand-in
//	platform-list NAME leaving|gone  mark an instance as leaving on the platform's
//	                                 list, or remove it from the list
//	crash NAME...                    stop hosts without a graceful shutdown
//	restart NAME...                  start crashed hosts again
//	shutdown NAME...                 start a graceful shutdown of processes
//	block NAME NAME                  block the traffic between two hosts; the same
//	                                 name twice blocks all traffic of that host
//	unblock NAME NAME                end a block
//	partition DATA-CENTRE            block the traffic between a data centre and all
//	                                 hosts outside it, the platform included
//	reconnect DATA-CENTRE            end a partition
//	configuration-number PROCESS...  print the configuration number in force
//	log PROCESS EVENT...             print the log lines with these events
//	runs SERVICE                     print how often the call with each idempotency key
//	                                 ran
func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	table := map[string]command{
		"engine": engineCommand, "service": func(_ *testscript.TestScript, d *deployment, a []string) { d.startService(a[0], a[1]) },
		"entry":       processCommand(loader.RoleEntry),
		"placer":      processCommand(loader.RolePlacer),
		"drain-limit": func(_ *testscript.TestScript, d *deployment, a []string) { d.drainLimit = a[0] },
		"patch":       patchCommand, "sleep": sleepCommand, "await": awaitCommand,
		"chat": draftCommand(true), "chat-unstreamed": draftCommand(false), "call": callCommand, "join": joinCommand,
		"fault": faultCommand, "platform-list": platformListCommand, "runs": runsCommand, "log": logCommand,
		"crash": eachCommand((*deployment).kill), "shutdown": eachCommand((*deployment).shutDown),
		"restart": func(ts *testscript.TestScript, d *deployment, a []string) {
			for _, n := range a {
				ts.Check(d.restart(n))
			}
		},
		"partition": func(_ *testscript.TestScript, d *deployment, a []string) {
			d.applyAcrossBoundary(a[0], d.network.Block)
		},
		"reconnect": func(_ *testscript.TestScript, d *deployment, a []string) {
			d.applyAcrossBoundary(a[0], d.network.Unblock)
		},
		"configuration-number": configurationNumberCommand,
		"block": func(_ *testscript.TestScript, d *deployment, a []string) {
			d.network.Block(d.hosts[a[0]].ip, d.hosts[a[1]].ip)
		},
		"unblock": func(_ *testscript.TestScript, d *deployment, a []string) {
			d.network.Unblock(d.hosts[a[0]].ip, d.hosts[a[1]].ip)
		},
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for n, c := range table {
		out[n] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s can't be negated", n)
			}
			c(ts, ts.Value(deploymentKey{}).(*deployment), args)
		}
	}
	return out
}

func eachCommand(f func(*deployment, string)) command {
	return func(_ *testscript.TestScript, d *deployment, a []string) {
		for _, n := range a {
			f(d, n)
		}
	}
}

// shutDown starts a graceful shutdown of a process and does not wait for its end.
func (d *deployment) shutDown(name string) {
	app := d.hosts[name].app
	d.hosts[name].app = nil
	d.goroutines.Go(func() { _ = app.Stop(context.Background()) })
}

// applyAcrossBoundary calls apply with the IP addresses of each host in the data
// centre and each host outside it. The host that callers and operators send from is
// not among them, so they still reach every entry.
func (d *deployment) applyAcrossBoundary(dataCentre string, apply func(a, b string)) {
	for _, a := range d.hosts {
		for _, b := range d.hosts {
			if a.dataCentre == dataCentre && b.dataCentre != dataCentre {
				apply(a.ip, b.ip)
			}
		}
	}
}

func configurationNumberCommand(ts *testscript.TestScript, d *deployment, a []string) {
	for _, n := range a {
		c := lycheebarrow.Client{Address: d.hosts[n].ip + _operatorPort, Token: _operatorToken, HTTP: d.client}
		x, err := c.Configuration(context.Background())
		ts.Check(err)
		fmt.Fprintf(ts.Stdout(), "%s runs %s\n", n, x.Number)
	}
}

func engineCommand(_ *testscript.TestScript, d *deployment, a []string) {
	d.startEngine(a[0], a[1], a[2], len(a) < 4)
}

func processCommand(role loader.Role) command {
	return func(ts *testscript.TestScript, d *deployment, a []string) { ts.Check(d.startProcess(role, a[0], a[1])) }
}

func sleepCommand(ts *testscript.TestScript, _ *deployment, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	time.Sleep(d)
	synctest.Wait()
}

func patchCommand(ts *testscript.TestScript, d *deployment, a []string) {
	base, err := strconv.ParseUint(a[1], 10, 64)
	ts.Check(err)
	c := lycheebarrow.Client{Address: d.hosts[a[0]].ip + _operatorPort, Token: _operatorToken, HTTP: d.client}
	change, err := c.Patch(context.Background(), lycheebarrow.Patch{
		ID: a[2], Base: base, Author: "ann", Reason: "session", Merge: json.RawMessage(ts.ReadFile(a[3])),
	})
	if err != nil {
		fmt.Fprint(ts.Stdout(), describeRefusedPatch(err))
		return
	}
	fmt.Fprintf(ts.Stdout(), "accepted %s\n", change.Number)
}

// describeRefusedPatch describes the refusal of a patch by the operator API.
func describeRefusedPatch(err error) string {
	var refused *lycheebarrow.APIError
	if !errors.As(err, &refused) {
		return "no answer\n"
	}
	var b struct {
		Error  struct{ Code, Outcome string }
		Winner struct {
			Number, Author, Reason string
			PatchID                string `json:"patchId"`
		}
		Faults []struct{ Path, Problem, Allowed string }
	}
	_ = json.Unmarshal(refused.Body, &b)
	out := fmt.Sprintf("refused %d %s outcome=%s\n", refused.Status, b.Error.Code, b.Error.Outcome)
	if b.Winner.Number != "" {
		out += fmt.Sprintf("winner number=%s id=%s author=%s reason=%s\n", b.Winner.Number, b.Winner.PatchID, b.Winner.Author, b.Winner.Reason)
	}
	for _, f := range b.Faults {
		out += fmt.Sprintf("fault %s: %s; allowed: %s\n", f.Path, f.Problem, f.Allowed)
	}
	return out
}

// awaitCommand waits until the entry's placements have enough serving replicas of a
// group, and the entry has probed their members. It fails after 2 minutes.
func awaitCommand(ts *testscript.TestScript, d *deployment, a []string) {
	want, err := strconv.Atoi(a[1])
	ts.Check(err)
	const limit = 2 * time.Minute
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(101 * time.Millisecond) {
		c := lycheebarrow.Client{Address: d.hosts[a[2]].ip + _operatorPort, Token: _operatorToken, HTTP: d.client}
		text, err := c.Read(context.Background(), "placements")
		if err == nil && servingReplicas(ts, text, a[0]) >= want {
			// The entry routes to a replica only once it has probed every member.
			time.Sleep(300 * time.Millisecond)
			return
		}
	}
	ts.Fatalf("%s: fewer than %d serving replicas after %s", a[0], want, limit)
}

// servingReplicas counts the serving replicas of a group in an operator page of placements.
func servingReplicas(ts *testscript.TestScript, page []byte, group string) (count int) {
	var list struct {
		Placements []struct {
			Replicas []struct{ Group, State string }
		}
	}
	ts.Check(json.Unmarshal(page, &list))
	for _, p := range list.Placements {
		for _, r := range p.Replicas {
			if r.Group == group && r.State == wire.ReplicaState_REPLICA_STATE_SERVING.String() {
				count++
			}
		}
	}
	return count
}

func (d *deployment) startRequest(name string, f func() string) {
	done := make(chan string, 1)
	d.results[name] = done
	d.goroutines.Go(func() { done <- f() })
	// Requests that start at the same instant would run in random order.
	time.Sleep(_requestInterval)
}

func draftCommand(stream bool) command {
	return func(_ *testscript.TestScript, d *deployment, a []string) {
		address, key, prompt := d.hosts[a[1]].ip+_callersPort, a[2], fmt.Sprintf("%s [tokens=%s]", strings.Join(a[4:], " "), a[3])
		body, _ := json.Marshal(map[string]any{
			"model": "form-assistant", "stream": stream, "messages": []any{map[string]string{"role": "user", "content": prompt}},
		})
		d.startRequest(a[0], func() string {
			res, err := d.post("http://"+address+"/v1/chat/completions", key, "", string(body))
			if err != nil {
				return "no answer"
			}
			defer res.Body.Close()
			text, err := io.ReadAll(res.Body)
			return describeDraft(res, string(text), err, prompt, stream)
		})
	}
}

// describeDraft describes the answer to a draft: a refusal, or whether the text is
// complete and is the expected text for the caller's own prompt.
func describeDraft(res *http.Response, text string, err error, prompt string, stream bool) string {
	if res.StatusCode != http.StatusOK {
		return describeRefusal(res, text)
	}
	want := strings.Join(standin.ExpectedTokens(prompt, 0), "")
	got, whole := text, err == nil
	if stream {
		got, whole = joinChunks(text)
	} else {
		var a struct {
			Choices []struct{ Message struct{ Content string } }
		}
		whole = whole && json.Unmarshal([]byte(text), &a) == nil && len(a.Choices) == 1
		if whole {
			got = a.Choices[0].Message.Content
		}
	}
	switch {
	case whole && got == want:
		return "200 whole and right"
	case whole:
		return fmt.Sprintf("200 WRONG: %q", got)
	case strings.HasPrefix(want, got):
		return fmt.Sprintf("200 cut after %d of %d bytes", len(got), len(want))
	default:
		return fmt.Sprintf("200 cut and WRONG: %q", got)
	}
}

// joinChunks returns the concatenated text of a stream of chunks, and whether the
// stream ended with its end marker.
func joinChunks(text string) (string, bool) {
	var out strings.Builder
	for line := range strings.Lines(text) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return out.String(), true
		}
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 {
			out.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return out.String(), false
}

func describeRefusal(res *http.Response, text string) string {
	var e struct {
		Error struct{ Code, Outcome string }
	}
	_ = json.Unmarshal([]byte(text), &e)
	if e.Error.Code == "" {
		// The entry passed on the service's own response.
		return fmt.Sprintf("%d by the service outcome=%s", res.StatusCode, res.Header.Get("Lb-Outcome"))
	}
	s := fmt.Sprintf("%d %s outcome=%s", res.StatusCode, e.Error.Code, e.Error.Outcome)
	if res.Header.Get("Retry-After") != "" {
		s += " retry"
	}
	return s
}

func callCommand(_ *testscript.TestScript, d *deployment, a []string) {
	url := "http://" + d.hosts[a[1]].ip + _callersPort + "/services/" + a[4] + "/run"
	key, idempotency, body := a[2], a[3], a[5]
	d.startRequest(a[0], func() string {
		res, err := d.post(url, key, idempotency, body)
		if err != nil {
			return "no answer"
		}
		defer res.Body.Close()
		text, _ := io.ReadAll(res.Body)
		if res.StatusCode != http.StatusOK {
			return describeRefusal(res, string(text))
		}
		s := "200 " + strings.TrimSpace(string(text))
		if res.Header.Get("Lb-Replayed") != "" {
			s += " replayed"
		}
		return s
	})
}

func (d *deployment) post(url, key, idempotency, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotency != "" {
		req.Header.Set("Idempotency-Key", idempotency)
	}
	return d.client.Do(req)
}

func joinCommand(ts *testscript.TestScript, d *deployment, a []string) {
	for _, n := range a {
		fmt.Fprintf(ts.Stdout(), "%s: %s\n", n, <-d.results[n])
	}
}

func faultCommand(ts *testscript.TestScript, d *deployment, a []string) {
	port := _enginePort
	if a[0] == "platform" {
		port = ":9000"
	}
	res, err := d.client.Post("http://"+d.hosts[a[0]].ip+port+"/fault", "application/json", strings.NewReader(a[1]))
	ts.Check(err)
	ts.Check(res.Body.Close())
}

func platformListCommand(ts *testscript.TestScript, d *deployment, a []string) {
	if a[1] == "gone" {
		d.platform.RemoveInstance(a[0])
		return
	}
	i, ok := d.platform.Instance(a[0])
	if !ok {
		ts.Fatalf("no instance %s", a[0])
	}
	i.Leaving = true
	d.platform.SetInstance(i)
}

func runsCommand(ts *testscript.TestScript, d *deployment, a []string) {
	runs := d.hosts[a[0]].handler.(*standin.Service).RunCounts()
	for _, k := range slices.Sorted(maps.Keys(runs)) {
		fmt.Fprintf(ts.Stdout(), "%s ran %d\n", k, runs[k])
	}
}

func logCommand(ts *testscript.TestScript, d *deployment, a []string) {
	fmt.Fprint(ts.Stdout(), d.hosts[a[0]].selectedEvents(a[1:]...))
}
