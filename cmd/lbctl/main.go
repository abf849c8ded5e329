// Command lbctl is the operators' command line.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lycheebarrow/lycheebarrow"
)

func main() {
	if err := run(context.Background(), os.Args[1:], os.Stdout); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "lbctl:", err)
		}
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, out io.Writer) error {
	var c lycheebarrow.Client
	set := flag.NewFlagSet("lbctl", flag.ContinueOnError)
	set.StringVar(&c.Address, "address", "", "`address` of a process's operator API")
	set.StringVar(&c.Token, "token", "", "operator's `token`")
	get := &ffcli.Command{
		Name: "get", ShortUsage: "lbctl config get", ShortHelp: "show the configuration",
		Exec: func(ctx context.Context, _ []string) error { return show(ctx, &c, out, "configuration") },
	}
	config := &ffcli.Command{
		Name: "config", ShortUsage: "lbctl config <get|patch>", ShortHelp: "read and change the configuration",
		Subcommands: []*ffcli.Command{get, patchCommand(&c, out)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	groups := &ffcli.Command{
		Name: "groups", ShortUsage: "lbctl groups", ShortHelp: "show the placed replicas",
		Exec: func(ctx context.Context, _ []string) error { return show(ctx, &c, out, "placements") },
	}
	root := &ffcli.Command{
		ShortUsage: "lbctl [flags] <subcommand>", FlagSet: set, Subcommands: []*ffcli.Command{config, groups},
		Options: []ff.Option{ff.WithEnvVarPrefix("LBCTL")},
		Exec:    func(context.Context, []string) error { return flag.ErrHelp },
	}
	return root.ParseAndRun(ctx, args)
}

func show(ctx context.Context, c *lycheebarrow.Client, out io.Writer, page string) error {
	text, err := c.Read(ctx, page)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", text)
	return err
}

func patchCommand(c *lycheebarrow.Client, out io.Writer) *ffcli.Command {
	p := lycheebarrow.Patch{ID: uuid.NewString()}
	set := flag.NewFlagSet("lbctl config patch", flag.ContinueOnError)
	set.Uint64Var(&p.Base, "base", 0, "`number` of the configuration that the patch is based on")
	set.StringVar(&p.Author, "author", "", "who makes the change")
	set.StringVar(&p.Reason, "reason", "", "why, in plain words")
	set.StringVar(&p.ID, "id", p.ID, "patch `id`; give the same again to repeat a patch safely")
	file := set.String("file", "", "`file` with the JSON merge patch")
	return &ffcli.Command{
		Name: "patch", ShortUsage: "lbctl config patch -base N -author WHO -reason WHY -file FILE", ShortHelp: "change the configuration",
		FlagSet: set,
		Exec: func(ctx context.Context, _ []string) error {
			text, err := os.ReadFile(*file)
			if err != nil {
				return err
			}
			p.Merge = json.RawMessage(text)
			change, err := c.Patch(ctx, p)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(out, "accepted as number %s\n", change.Number)
			return err
		},
	}
}
