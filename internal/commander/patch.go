package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lycheebarrow/lycheebarrow"
	"github.com/lycheebarrow/lycheebarrow/internal/comparer"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
)

const _patchUsage = "lbctl config patch -base N -author WHO -reason WHY -file FILE [-id ID] [-dry-run]"

func (c *commander) patch(faults io.Writer) *ffcli.Command {
	p := lycheebarrow.Patch{ID: uuid.NewString()}
	set := flags("lbctl config patch", faults)
	set.Uint64Var(&p.Base, "base", 0, "`number` of the configuration that the patch is based on; 0 before the first patch")
	set.StringVar(&p.Author, "author", "", "who makes the change")
	set.StringVar(&p.Reason, "reason", "", "why, in plain words")
	set.StringVar(&p.ID, "id", p.ID, "patch `id`; give the same again to repeat a patch safely")
	file := set.String("file", "", "`file` with the JSON merge patch (RFC 7396); - for the standard input")
	dry := set.Bool("dry-run", false, "only check the patch against the configuration in force and show what it would change")
	return &ffcli.Command{
		Name: "patch", ShortUsage: _patchUsage, ShortHelp: "change the configuration", FlagSet: set,
		Exec: func(ctx context.Context, _ []string) error {
			text, err := c.readFile(*file)
			if err != nil {
				return err
			}
			p.Merge = text
			if *dry {
				return c.dryRun(ctx, p)
			}
			if !given(set, "base") || p.Author == "" || p.Reason == "" {
				return usage("%s; -base, -author and -reason must be given", _patchUsage)
			}
			return c.send(ctx, p)
		},
	}
}

func given(set *flag.FlagSet, name string) bool {
	found := false
	set.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

// readFile reads a file of JSON.
func (c *commander) readFile(name string) (json.RawMessage, error) {
	var text []byte
	var err error
	switch name {
	case "":
		return nil, usage("%s; -file must be given", _patchUsage)
	case "-":
		text, err = io.ReadAll(c.in)
	default:
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, usage("the patch can't be read: %w", err)
	}
	if !json.Valid(text) {
		var v any
		return nil, usage("the patch is not JSON: %w", json.Unmarshal(text, &v))
	}
	return text, nil
}

func (c *commander) send(ctx context.Context, p lycheebarrow.Patch) error {
	change, err := c.client.Patch(ctx, p)
	if err != nil {
		return fmt.Errorf("patch with id %s: %w", p.ID, err)
	}
	return c.print(change, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as number %s\n", change.Number)
		printValues(change.Values, w)
	})
}

// dryRun checks a patch against the configuration in force without sending it.
func (c *commander) dryRun(ctx context.Context, p lycheebarrow.Patch) error {
	x, err := c.client.Configuration(ctx)
	if err != nil {
		return err
	}
	merged, err := jsonpatch.MergePatch([]byte(x.Document), p.Merge)
	if err != nil {
		return usage("the patch can't be merged: %w", err)
	}
	if _, err := validator.Parse(merged); err != nil {
		return err
	}
	values, err := comparer.Compare([]byte(x.Document), merged)
	if err != nil {
		return err
	}
	return c.print(values, func(w io.Writer) {
		fmt.Fprintf(w, "valid against number %s; nothing was sent\n", x.Number)
		printCompared(values, w)
	})
}
