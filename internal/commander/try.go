package commander

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lycheebarrow/lycheebarrow/internal/authenticator"
)

// _maxCallAnswer bounds what "try call" shows of an answer.
const _maxCallAnswer = 1 << 20

// trial is a call that an operator makes as a caller would.
type trial struct {
	entry, key string
}

func (c *commander) try(faults io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "try", ShortUsage: "lbctl try <draft|call>", ShortHelp: "call an entry as a caller would",
		Subcommands: []*ffcli.Command{c.tryDraft(faults), c.tryCall(faults)},
		Exec:        func(context.Context, []string) error { return usage("lbctl try <draft|call>") },
	}
}

func (c *commander) tryDraft(faults io.Writer) *ffcli.Command {
	var t trial
	set := flags("lbctl try draft", faults)
	set.StringVar(&t.entry, "entry", "", "`address` of the callers' API")
	set.StringVar(&t.key, "key", "", "API `key` of an organisation")
	model := set.String("model", "", "`model` to ask")
	return &ffcli.Command{
		Name: "draft", ShortUsage: "lbctl try draft -entry ADDRESS -key KEY -model MODEL PROMPT", FlagSet: set,
		ShortHelp: "stream a draft; prints the request's id, the text, and whether it came whole",
		Exec: func(ctx context.Context, args []string) error {
			if t.entry == "" || *model == "" || len(args) == 0 {
				return usage("lbctl try draft -entry ADDRESS -key KEY -model MODEL PROMPT")
			}
			return c.draft(ctx, t, *model, strings.Join(args, " "))
		},
	}
}

func (c *commander) draft(ctx context.Context, t trial, model, prompt string) error {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return err
	}
	res, err := t.send(ctx, http.MethodPost, "/v1/chat/completions", body, http.Header{"Content-Type": {"application/json"}})
	if err != nil {
		return err
	}
	defer res.Body.Close()
	fmt.Fprintf(c.out, "request=%s\n", res.Header.Get("Lb-Request"))
	if res.StatusCode != http.StatusOK {
		return refused(res)
	}
	words, err := c.copyDraft(res.Body)
	if err != nil {
		return fmt.Errorf("the draft is not whole after %d words: %w", words, err)
	}
	fmt.Fprintf(c.out, "\nwhole=true words=%d\n", words)
	return nil
}

// copyDraft prints a stream of server-sent events up to its end marker.
func (c *commander) copyDraft(r io.Reader) (words int, err error) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return words, nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return words, err
		}
		for _, x := range chunk.Choices {
			words += len(strings.Fields(x.Delta.Content))
			fmt.Fprint(c.out, x.Delta.Content)
		}
	}
	if lines.Err() != nil {
		return words, lines.Err()
	}
	return words, errors.New("the stream ended without its end marker")
}

func (c *commander) tryCall(faults io.Writer) *ffcli.Command {
	var t trial
	set := flags("lbctl try call", faults)
	set.StringVar(&t.entry, "entry", "", "`address` of the callers' API")
	set.StringVar(&t.key, "key", "", "API `key` of an organisation")
	once := set.String("once", "", "idempotency `key` of a call that may not be repeated")
	file := set.String("body", "", "`file` with the body")
	return &ffcli.Command{
		Name: "call", ShortUsage: "lbctl try call -entry ADDRESS -key KEY [-once KEY] [-body FILE] SERVICE/PATH", FlagSet: set,
		ShortHelp: "call a plain service; prints the status, whether the call ran, and the answer",
		Exec: func(ctx context.Context, args []string) error {
			if t.entry == "" || len(args) != 1 {
				return usage("lbctl try call -entry ADDRESS -key KEY [-once KEY] [-body FILE] SERVICE/PATH")
			}
			return c.callService(ctx, t, args[0], *once, *file)
		},
	}
}

func (c *commander) callService(ctx context.Context, t trial, path, once, file string) error {
	var body []byte
	var err error
	if file != "" {
		if body, err = os.ReadFile(file); err != nil {
			return err
		}
	}
	header := http.Header{}
	if once != "" {
		header.Set("Idempotency-Key", once)
	}
	res, err := t.send(ctx, http.MethodPost, "/services/"+path, body, header)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	fmt.Fprintf(c.out, "request=%s\n", res.Header.Get("Lb-Request"))
	if res.Header.Get("Lb-Outcome") != "ran" {
		return refused(res)
	}
	fmt.Fprintf(c.out, "status=%d outcome=ran replayed=%t\n", res.StatusCode, res.Header.Get("Lb-Replayed") == "true")
	_, err = io.Copy(c.out, io.LimitReader(res.Body, _maxCallAnswer))
	return err
}

func (t trial) send(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+t.key)
	return http.DefaultClient.Do(req)
}

func refused(res *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(res.Body, _maxCallAnswer))
	return fmt.Errorf("refused with status %d, outcome %s: %s", res.StatusCode, res.Header.Get("Lb-Outcome"), bytes.TrimSpace(text))
}

func (c *commander) digest(faults io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "digest", ShortUsage: "lbctl digest < FILE", FlagSet: flags("lbctl digest", faults),
		ShortHelp: "print the SHA-256 of a key or token read from the standard input, as configuration and settings want it",
		Exec: func(context.Context, []string) error {
			text, err := io.ReadAll(io.LimitReader(c.in, _maxCallAnswer))
			if err != nil {
				return err
			}
			secret := strings.TrimSpace(string(text))
			if secret == "" {
				return usage("give the key on the standard input")
			}
			_, err = fmt.Fprintln(c.out, authenticator.Digest(secret))
			return err
		},
	}
}
