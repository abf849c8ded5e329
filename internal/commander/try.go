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

// _maxReadBytes is the number of bytes at which "try call" cuts off an answer, and
// "digest" its input.
const _maxReadBytes = 1 << 20

// entryClient calls the callers' API of an entry with the key of an organisation.
type entryClient struct {
	address, key string
}

func (c *commander) tryCommand(errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "try", ShortUsage: "lbctl try <draft|call>", ShortHelp: "send a request to an entry as a caller would",
		Subcommands: []*ffcli.Command{c.tryDraftCommand(errOut), c.tryCallCommand(errOut)},
		Exec:        func(context.Context, []string) error { return usageError("lbctl try <draft|call>") },
	}
}

func (c *commander) tryDraftCommand(errOut io.Writer) *ffcli.Command {
	var e entryClient
	set := newFlagSet("lbctl try draft", errOut)
	set.StringVar(&e.address, "entry", "", "`address` of the callers' API")
	set.StringVar(&e.key, "key", "", "API `key` of an organisation")
	model := set.String("model", "", "name of the `model`")
	return &ffcli.Command{
		Name: "draft", ShortUsage: "lbctl try draft -entry ADDRESS -key KEY -model MODEL PROMPT", FlagSet: set,
		ShortHelp: "stream a draft from a model; prints the request's id, the text, and whether the text is complete",
		Exec: func(ctx context.Context, args []string) error {
			if e.address == "" || *model == "" || len(args) == 0 {
				return usageError("lbctl try draft -entry ADDRESS -key KEY -model MODEL PROMPT")
			}
			return c.streamDraft(ctx, e, *model, strings.Join(args, " "))
		},
	}
}

func (c *commander) streamDraft(ctx context.Context, e entryClient, model, prompt string) error {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return err
	}
	res, err := e.send(ctx, http.MethodPost, "/v1/chat/completions", body, http.Header{"Content-Type": {"application/json"}})
	if err != nil {
		return err
	}
	defer res.Body.Close()
	fmt.Fprintf(c.out, "request=%s\n", res.Header.Get("Lb-Request"))
	if res.StatusCode != http.StatusOK {
		return refusalError(res)
	}
	words, err := c.copyDraft(res.Body)
	if err != nil {
		return fmt.Errorf("draft incomplete after %d words: %w", words, err)
	}
	fmt.Fprintf(c.out, "\nwhole=true words=%d\n", words)
	return nil
}

// copyDraft prints the text in a stream of server-sent events, up to its end marker,
// and returns the number of words printed.
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

func (c *commander) tryCallCommand(errOut io.Writer) *ffcli.Command {
	var e entryClient
	set := newFlagSet("lbctl try call", errOut)
	set.StringVar(&e.address, "entry", "", "`address` of the callers' API")
	set.StringVar(&e.key, "key", "", "API `key` of an organisation")
	idempotencyKey := set.String("once", "", "idempotency `key` of a call that may not be repeated")
	file := set.String("body", "", "`file` with the body of the request")
	return &ffcli.Command{
		Name: "call", ShortUsage: "lbctl try call -entry ADDRESS -key KEY [-once KEY] [-body FILE] SERVICE/PATH", FlagSet: set,
		ShortHelp: "call a plain service; prints the status, whether the call ran, and the answer",
		Exec: func(ctx context.Context, args []string) error {
			if e.address == "" || len(args) != 1 {
				return usageError("lbctl try call -entry ADDRESS -key KEY [-once KEY] [-body FILE] SERVICE/PATH")
			}
			return c.callService(ctx, e, args[0], *idempotencyKey, *file)
		},
	}
}

func (c *commander) callService(ctx context.Context, e entryClient, path, idempotencyKey, file string) error {
	var body []byte
	var err error
	if file != "" {
		if body, err = os.ReadFile(file); err != nil {
			return err
		}
	}
	header := http.Header{}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	res, err := e.send(ctx, http.MethodPost, "/services/"+path, body, header)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	fmt.Fprintf(c.out, "request=%s\n", res.Header.Get("Lb-Request"))
	if res.Header.Get("Lb-Outcome") != "ran" {
		return refusalError(res)
	}
	fmt.Fprintf(c.out, "status=%d outcome=ran replayed=%t\n", res.StatusCode, res.Header.Get("Lb-Replayed") == "true")
	_, err = io.Copy(c.out, io.LimitReader(res.Body, _maxReadBytes))
	return err
}

// send calls the entry. It returns answers of every status without an error.
func (e entryClient) send(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+e.key)
	return http.DefaultClient.Do(req)
}

// refusalError returns the error for an answer by which the entry refuses a request.
func refusalError(res *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(res.Body, _maxReadBytes))
	return fmt.Errorf("refused with status %d, outcome %s: %s", res.StatusCode, res.Header.Get("Lb-Outcome"), bytes.TrimSpace(text))
}

func (c *commander) digestCommand(errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "digest", ShortUsage: "lbctl digest < FILE", FlagSet: newFlagSet("lbctl digest", errOut),
		ShortHelp: "print the SHA-256 of a key or token read from the standard input, in hex as the configuration and the settings expect it",
		Exec: func(context.Context, []string) error {
			text, err := io.ReadAll(io.LimitReader(c.in, _maxReadBytes))
			if err != nil {
				return err
			}
			secret := strings.TrimSpace(string(text))
			if secret == "" {
				return usageError("give the key or token on the standard input")
			}
			_, err = fmt.Fprintln(c.out, authenticator.Digest(secret))
			return err
		},
	}
}
