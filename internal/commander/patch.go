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

func (c *commander) patchCommand(errOut io.Writer) *ffcli.Command {
	p := lycheebarrow.Patch{ID: uuid.NewString()}
	set := newFlagSet("lbctl config patch", errOut)
	set.Uint64Var(&p.Base, "base", 0, "`number` of the configuration that the patch is based on; 0 before the first patch")
	set.StringVar(&p.Author, "author", "", "`name` of the person who makes the change")
	set.StringVar(&p.Reason, "reason", "", "`reason` for the change")
	set.StringVar(&p.ID, "id", p.ID, "patch `id`; to repeat the patch safely, give the same id again")
	file := set.String("file", "", "`file` with the JSON merge patch (RFC 7396); - for the standard input")
	validateOnly := set.Bool("dry-run", false, "only validate the patch against the configuration in force and show what it would change")
	return &ffcli.Command{
		Name: "patch", ShortUsage: _patchUsage, ShortHelp: "change the configuration", FlagSet: set,
		Exec: func(ctx context.Context, _ []string) error {
			text, err := c.readMergePatch(*file)
			if err != nil {
				return err
			}
			p.Merge = text
			if *validateOnly {
				return c.dryRun(ctx, p)
			}
			if !isSet(set, "base") || p.Author == "" || p.Reason == "" {
				return usageError("%s; -base, -author and -reason must be given", _patchUsage)
			}
			return c.sendPatch(ctx, p)
		},
	}
}

// isSet reports whether the flag was given on the command line.
func isSet(set *flag.FlagSet, name string) bool {
	found := false
	set.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

// readMergePatch returns the JSON in a file, or in the standard input if name is
// "-".
func (c *commander) readMergePatch(name string) (json.RawMessage, error) {
	var text []byte
	var err error
	switch name {
	case "":
		return nil, usageError("%s; -file must be given", _patchUsage)
	case "-":
		text, err = io.ReadAll(c.in)
	default:
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, usageError("the patch can't be read: %w", err)
	}
	if !json.Valid(text) {
		var v any
		return nil, usageError("the patch is not JSON: %w", json.Unmarshal(text, &v))
	}
	return text, nil
}

// sendPatch sends a patch and prints the change that the process accepted.
func (c *commander) sendPatch(ctx context.Context, p lycheebarrow.Patch) error {
	change, err := c.client.Patch(ctx, p)
	if err != nil {
		return fmt.Errorf("patch with id %s: %w", p.ID, err)
	}
	return c.print(change, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as number %s\n", change.Number)
		printValues(change.Values, w)
	})
}

// dryRun merges a patch into the configuration in force, validates the result and
// prints the differences. It doesn't send the patch.
func (c *commander) dryRun(ctx context.Context, p lycheebarrow.Patch) error {
	configuration, err := c.client.Configuration(ctx)
	if err != nil {
		return err
	}
	merged, err := jsonpatch.MergePatch([]byte(configuration.Document), p.Merge)
	if err != nil {
		return usageError("the patch can't be merged: %w", err)
	}
	if _, err := validator.Parse(merged); err != nil {
		return err
	}
	values, err := comparer.Compare([]byte(configuration.Document), merged)
	if err != nil {
		return err
	}
	return c.print(values, func(w io.Writer) {
		fmt.Fprintf(w, "valid against number %s; nothing was sent\n", configuration.Number)
		printDifferences(values, w)
	})
}
