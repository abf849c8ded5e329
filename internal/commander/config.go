package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lycheebarrow/lycheebarrow"
	"github.com/lycheebarrow/lycheebarrow/internal/comparer"
)

func (c *commander) config(faults io.Writer) *ffcli.Command {
	get := &ffcli.Command{
		Name: "get", ShortUsage: "lbctl config get", ShortHelp: "show the configuration in force",
		FlagSet: flags("lbctl config get", faults), Exec: c.configGet,
	}
	history := &ffcli.Command{
		Name: "history", ShortUsage: "lbctl config history", ShortHelp: "show the newest changes: number, author, reason, before and after",
		FlagSet: flags("lbctl config history", faults), Exec: c.configHistory,
	}
	diff := &ffcli.Command{
		Name: "diff", ShortUsage: "lbctl config diff A B", ShortHelp: "show what differs between two numbers",
		FlagSet: flags("lbctl config diff", faults), Exec: c.configDiff,
	}
	return &ffcli.Command{
		Name: "config", ShortUsage: "lbctl config <get|patch|history|diff|wait>", ShortHelp: "read and change the configuration",
		Subcommands: []*ffcli.Command{get, c.patch(faults), history, diff, c.wait(faults)},
		Exec:        func(context.Context, []string) error { return usage("lbctl config <get|patch|history|diff|wait>") },
	}
}

func (c *commander) configGet(ctx context.Context, _ []string) error {
	x, err := c.client.Configuration(ctx)
	if err != nil {
		return err
	}
	return c.print(x, func(w io.Writer) {
		fmt.Fprintf(w, "number %s\n%s\n", x.Number, indent(x.Document))
	})
}

func (c *commander) configHistory(ctx context.Context, _ []string) error {
	x, err := c.client.Configuration(ctx)
	if err != nil {
		return err
	}
	return c.print(x.Recent, func(w io.Writer) {
		for _, h := range x.Recent {
			printChange(h, w)
		}
	})
}

func printChange(h lycheebarrow.Change, w io.Writer) {
	ms, _ := strconv.ParseInt(h.AcceptedUnixMS, 10, 64)
	when := time.UnixMilli(ms).UTC().Format(time.DateTime)
	fmt.Fprintf(w, "number %s, %s UTC, by %s: %s\n", h.Number, when, h.Author, h.Reason)
	printValues(h.Values, w)
}

func printValues(values []lycheebarrow.ValueChange, w io.Writer) {
	for _, v := range values {
		fmt.Fprintf(w, "  %s\n    before: %s\n    after:  %s\n", v.Path, absent(v.Before), absent(v.After))
	}
}

func absent(text string) string {
	if text == "" {
		return "(absent)"
	}
	return text
}

func (c *commander) configDiff(ctx context.Context, args []string) error {
	if len(args) != 2 {
		return usage("lbctl config diff A B")
	}
	a, errA := strconv.ParseUint(args[0], 10, 64)
	b, errB := strconv.ParseUint(args[1], 10, 64)
	if errA != nil || errB != nil {
		return usage("A and B are configuration numbers, such as 3 and 5")
	}
	x, err := c.client.Configuration(ctx)
	if err != nil {
		return err
	}
	before, err := documentAt(x, a)
	if err != nil {
		return err
	}
	after, err := documentAt(x, b)
	if err != nil {
		return err
	}
	values, err := comparer.Compare(before, after)
	if err != nil {
		return err
	}
	return c.print(values, func(w io.Writer) { printCompared(values, w) })
}

func printCompared(values []comparer.ValueChange, w io.Writer) {
	out := make([]lycheebarrow.ValueChange, len(values))
	for i, v := range values {
		out[i] = lycheebarrow.ValueChange(v)
	}
	if len(out) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	printValues(out, w)
}

// documentAt takes back the changes after a number.
func documentAt(x lycheebarrow.Configuration, number uint64) ([]byte, error) {
	current, err := strconv.ParseUint(x.Number, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("the process runs no readable number: %w", err)
	}
	if number > current {
		return nil, usage("number %d is not in force yet; the newest is %d", number, current)
	}
	document := []byte(x.Document)
	for i := len(x.Recent) - 1; i >= 0 && current > number; i-- {
		if x.Recent[i].Number != strconv.FormatUint(current, 10) {
			break
		}
		values := make([]comparer.ValueChange, len(x.Recent[i].Values))
		for j, v := range x.Recent[i].Values {
			values[j] = comparer.ValueChange(v)
		}
		if document, err = comparer.Undo(document, values); err != nil {
			return nil, err
		}
		current--
	}
	if current > number {
		return nil, usage("number %d is too old; the history reaches back to %d", number, current)
	}
	return document, nil
}

func indent(document string) string {
	var v any
	if json.Unmarshal([]byte(document), &v) != nil {
		return document
	}
	text, _ := json.MarshalIndent(v, "", "  ")
	return string(text)
}
