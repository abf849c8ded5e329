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
)

// _callGap is the time between the starts of two calls.
const _callGap = 10 * time.Millisecond

// command is one command of a script.
type command func(ts *testscript.TestScript, w *world, args []string)

// commands returns the commands of a session's script:
//
//	engine NAME DATA-CENTRE DOMAIN [ignores-fencing]
//	service NAME DATA-CENTRE
//	entry NAME DATA-CENTRE            placer NAME DATA-CENTRE
//	patch ENTRY BASE ID FILE          prints the number, or the refusal
//	sleep DURATION                    virtual time
//	await GROUP N ENTRY               until N replicas are routable
//	chat CALL ENTRY KEY TOKENS PROMPT starts a streamed draft
//	whole CALL ENTRY KEY TOKENS PROMPT starts a whole draft
//	call CALL ENTRY KEY IDEMPOTENCY-KEY SERVICE BODY
//	join CALL...                      prints each answer
//	fault NAME JSON                   switches a stand-in's faults
//	list NAME leaving|gone            changes the platform's list
//	crash NAME...  restart NAME...  shutdown NAME...
//	hold NAME NAME  release NAME NAME   freeze with the same name twice
//	cut DATA-CENTRE  mend DATA-CENTRE   from everything outside, the platform too
//	numbers PROCESS...                prints the configuration numbers they run
//	log PROCESS EVENT...              prints the decision log
//	runs SERVICE                      prints how often each key ran
func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	table := map[string]command{
		"engine": engineCommand, "service": func(_ *testscript.TestScript, w *world, a []string) { w.service(a[0], a[1]) },
		"entry":  processCommand(loader.RoleEntry),
		"placer": processCommand(loader.RolePlacer),
		"patch":  patchCommand, "sleep": sleepCommand, "await": awaitCommand,
		"chat": draftCommand(true), "whole": draftCommand(false), "call": callCommand, "join": joinCommand,
		"fault": faultCommand, "list": listCommand, "runs": runsCommand, "log": logCommand,
		"crash": eachCommand((*world).kill), "shutdown": eachCommand((*world).stop),
		"restart": func(ts *testscript.TestScript, w *world, a []string) {
			for _, n := range a {
				ts.Check(w.restart(n))
			}
		},
		"cut":     func(_ *testscript.TestScript, w *world, a []string) { w.cut(a[0], w.network.Block) },
		"mend":    func(_ *testscript.TestScript, w *world, a []string) { w.cut(a[0], w.network.Unblock) },
		"numbers": numbersCommand,
		"hold": func(_ *testscript.TestScript, w *world, a []string) {
			w.network.Block(w.hosts[a[0]].ip, w.hosts[a[1]].ip)
		},
		"release": func(_ *testscript.TestScript, w *world, a []string) {
			w.network.Unblock(w.hosts[a[0]].ip, w.hosts[a[1]].ip)
		},
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for n, c := range table {
		out[n] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s can't be negated", n)
			}
			c(ts, ts.Value(worldKey{}).(*world), args)
		}
	}
	return out
}

func eachCommand(f func(*world, string)) command {
	return func(_ *testscript.TestScript, w *world, a []string) {
		for _, n := range a {
			f(w, n)
		}
	}
}

// stop shuts a process down gracefully, in the background.
func (w *world) stop(name string) {
	app := w.hosts[name].app
	w.hosts[name].app = nil
	w.group.Go(func() { _ = app.Stop(context.Background()) })
}

// cut applies to every pair of hosts of which one is in the data centre. The
// hosts that the callers and operators use stay reachable.
func (w *world) cut(dataCentre string, apply func(a, b string)) {
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if a.dataCentre == dataCentre && b.dataCentre != dataCentre {
				apply(a.ip, b.ip)
			}
		}
	}
}

func numbersCommand(ts *testscript.TestScript, w *world, a []string) {
	for _, n := range a {
		c := lycheebarrow.Client{Address: w.hosts[n].ip + _operatorPort, Token: _operator, HTTP: w.client}
		x, err := c.Configuration(context.Background())
		ts.Check(err)
		fmt.Fprintf(ts.Stdout(), "%s runs %s\n", n, x.Number)
	}
}

func engineCommand(_ *testscript.TestScript, w *world, a []string) {
	w.engine(a[0], a[1], a[2], len(a) < 4)
}

func processCommand(role loader.Role) command {
	return func(ts *testscript.TestScript, w *world, a []string) { ts.Check(w.process(role, a[0], a[1])) }
}

func sleepCommand(ts *testscript.TestScript, _ *world, a []string) {
	d, err := time.ParseDuration(a[0])
	ts.Check(err)
	time.Sleep(d)
	synctest.Wait()
}

func patchCommand(ts *testscript.TestScript, w *world, a []string) {
	base, err := strconv.ParseUint(a[1], 10, 64)
	ts.Check(err)
	c := lycheebarrow.Client{Address: w.hosts[a[0]].ip + _operatorPort, Token: _operator, HTTP: w.client}
	change, err := c.Patch(context.Background(), lycheebarrow.Patch{
		ID: a[2], Base: base, Author: "ann", Reason: "session", Merge: json.RawMessage(ts.ReadFile(a[3])),
	})
	if err != nil {
		fmt.Fprint(ts.Stdout(), refusedPatch(err))
		return
	}
	fmt.Fprintf(ts.Stdout(), "accepted %s\n", change.Number)
}

// refusedPatch tells what the operator API said of a patch.
func refusedPatch(err error) string {
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

// awaitCommand waits until enough replicas of the group are ready, as their
// engines say.
func awaitCommand(ts *testscript.TestScript, w *world, a []string) {
	want, err := strconv.Atoi(a[1])
	ts.Check(err)
	const limit = 2 * time.Minute
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(101 * time.Millisecond) {
		c := lycheebarrow.Client{Address: w.hosts[a[2]].ip + _operatorPort, Token: _operator, HTTP: w.client}
		text, err := c.Read(context.Background(), "placements")
		if err == nil && strings.Count(string(text), `"state":"REPLICA_STATE_SERVING"`) >= want {
			// A probe of every member, so that evidence is there too.
			time.Sleep(300 * time.Millisecond)
			return
		}
	}
	ts.Fatalf("%s has not %d replicas after %s", a[0], want, limit)
}

func (w *world) begin(name string, f func() string) {
	done := make(chan string, 1)
	w.calls[name] = done
	w.group.Go(func() { done <- f() })
	// Calls that start at one instant would run in any order.
	time.Sleep(_callGap)
}

func draftCommand(stream bool) command {
	return func(_ *testscript.TestScript, w *world, a []string) {
		address, key, prompt := w.hosts[a[1]].ip+_callersPort, a[2], fmt.Sprintf("%s [tokens=%s]", strings.Join(a[4:], " "), a[3])
		body, _ := json.Marshal(map[string]any{
			"model": "form-assistant", "stream": stream, "messages": []any{map[string]string{"role": "user", "content": prompt}},
		})
		w.begin(a[0], func() string {
			res, err := w.post("http://"+address+"/v1/chat/completions", key, "", string(body))
			if err != nil {
				return "no answer"
			}
			defer res.Body.Close()
			text, err := io.ReadAll(res.Body)
			return judge(res, string(text), err, prompt, stream)
		})
	}
}

// judge says what a caller got: whether it is whole, and its own.
func judge(res *http.Response, text string, err error, prompt string, stream bool) string {
	if res.StatusCode != http.StatusOK {
		return refusal(res, text)
	}
	want := strings.Join(standin.ExpectedTokens(prompt, 0), "")
	got, whole := text, err == nil
	if stream {
		got, whole = join(text)
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

// join puts the chunks of a stream together; the answer is whole where its end
// marker came.
func join(text string) (string, bool) {
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

func refusal(res *http.Response, text string) string {
	var e struct {
		Error struct{ Code, Outcome string }
	}
	_ = json.Unmarshal([]byte(text), &e)
	if e.Error.Code == "" {
		// A service's own answer, passed on.
		return fmt.Sprintf("%d by the service outcome=%s", res.StatusCode, res.Header.Get("Lb-Outcome"))
	}
	s := fmt.Sprintf("%d %s outcome=%s", res.StatusCode, e.Error.Code, e.Error.Outcome)
	if res.Header.Get("Retry-After") != "" {
		s += " retry"
	}
	return s
}

func callCommand(_ *testscript.TestScript, w *world, a []string) {
	url := "http://" + w.hosts[a[1]].ip + _callersPort + "/services/" + a[4] + "/run"
	key, idempotency, body := a[2], a[3], a[5]
	w.begin(a[0], func() string {
		res, err := w.post(url, key, idempotency, body)
		if err != nil {
			return "no answer"
		}
		defer res.Body.Close()
		text, _ := io.ReadAll(res.Body)
		if res.StatusCode != http.StatusOK {
			return refusal(res, string(text))
		}
		s := "200 " + strings.TrimSpace(string(text))
		if res.Header.Get("Lb-Replayed") != "" {
			s += " replayed"
		}
		return s
	})
}

func (w *world) post(url, key, idempotency, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotency != "" {
		req.Header.Set("Idempotency-Key", idempotency)
	}
	return w.client.Do(req)
}

func joinCommand(ts *testscript.TestScript, w *world, a []string) {
	for _, n := range a {
		fmt.Fprintf(ts.Stdout(), "%s: %s\n", n, <-w.calls[n])
	}
}

func faultCommand(ts *testscript.TestScript, w *world, a []string) {
	port := _enginePort
	if a[0] == "platform" {
		port = ":9000"
	}
	res, err := w.client.Post("http://"+w.hosts[a[0]].ip+port+"/fault", "application/json", strings.NewReader(a[1]))
	ts.Check(err)
	ts.Check(res.Body.Close())
}

func listCommand(ts *testscript.TestScript, w *world, a []string) {
	if a[1] == "gone" {
		w.platform.RemoveInstance(a[0])
		return
	}
	i, ok := w.platform.Instance(a[0])
	if !ok {
		ts.Fatalf("no instance %s", a[0])
	}
	i.Leaving = true
	w.platform.SetInstance(i)
}

func runsCommand(ts *testscript.TestScript, w *world, a []string) {
	runs := w.hosts[a[0]].handler.(*standin.Service).RunCounts()
	for _, k := range slices.Sorted(maps.Keys(runs)) {
		fmt.Fprintf(ts.Stdout(), "%s ran %d\n", k, runs[k])
	}
}

func logCommand(ts *testscript.TestScript, w *world, a []string) {
	fmt.Fprint(ts.Stdout(), w.hosts[a[0]].events(a[1:]...))
}
