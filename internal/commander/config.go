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

func (c *commander) configCommand(errOut io.Writer) *ffcli.Command {
	get := &ffcli.Command{
		Name: "get", ShortUsage: "lbctl config get", ShortHelp: "show the configuration in force",
		FlagSet: newFlagSet("lbctl config get", errOut), Exec: c.showConfiguration,
	}
	history := &ffcli.Command{
		Name: "history", ShortUsage: "lbctl config history", ShortHelp: "show the latest changes: number, author, reason, and values before and after",
		FlagSet: newFlagSet("lbctl config history", errOut), Exec: c.showHistory,
	}
	diff := &ffcli.Command{
		Name: "diff", ShortUsage: "lbctl config diff A B", ShortHelp: "show the differences between two numbers of the configuration",
		FlagSet: newFlagSet("lbctl config diff", errOut), Exec: c.showDifferences,
	}
	return &ffcli.Command{
		Name: "config", ShortUsage: "lbctl config <get|patch|history|diff|wait>", ShortHelp: "read and change the configuration",
		Subcommands: []*ffcli.Command{get, c.patchCommand(errOut), history, diff, c.waitCommand(errOut)},
		Exec:        func(context.Context, []string) error { return usageError("lbctl config <get|patch|history|diff|wait>") },
	}
}

func (c *commander) showConfiguration(ctx context.Context, _ []string) error {
	configuration, err := c.client.Configuration(ctx)
	if err != nil {
		return err
	}
	return c.print(configuration, func(w io.Writer) {
		fmt.Fprintf(w, "number %s\n%s\n", configuration.Number, indent(configuration.Document))
	})
}

func (c *commander) showHistory(ctx context.Context, _ []string) error {
	configuration, err := c.client.Configuration(ctx)
	if err != nil {
		return err
	}
	return c.print(configuration.Recent, func(w io.Writer) {
		for _, change := range configuration.Recent {
			printChange(change, w)
		}
	})
}

func printChange(change lycheebarrow.Change, w io.Writer) {
	ms, _ := strconv.ParseInt(change.AcceptedUnixMS, 10, 64)
	when := time.UnixMilli(ms).UTC().Format(time.DateTime)
	fmt.Fprintf(w, "number %s, %s UTC, by %s: %s\n", change.Number, when, change.Author, change.Reason)
	printValues(change.Values, w)
}

func printValues(values []lycheebarrow.ValueChange, w io.Writer) {
	for _, v := range values {
		fmt.Fprintf(w, "  %s\n    before: %s\n    after:  %s\n", v.Path, orAbsent(v.Before), orAbsent(v.After))
	}
}

// orAbsent returns JSON text, or "(absent)" for a value that does not exist.
func orAbsent(text string) string {
	if text == "" {
		return "(absent)"
	}
	return text
}

func (c *commander) showDifferences(ctx context.Context, args []string) error {
	if len(args) != 2 {
		return usageError("lbctl config diff A B")
	}
	a, errA := strconv.ParseUint(args[0], 10, 64)
	b, errB := strconv.ParseUint(args[1], 10, 64)
	if errA != nil || errB != nil {
		return usageError("A and B are configuration numbers, such as 3 and 5")
	}
	configuration, err := c.client.Configuration(ctx)
	if err != nil {
		return err
	}
	before, err := documentAt(configuration, a)
	if err != nil {
		return err
	}
	after, err := documentAt(configuration, b)
	if err != nil {
		return err
	}
	values, err := comparer.Compare(before, after)
	if err != nil {
		return err
	}
	return c.print(values, func(w io.Writer) { printDifferences(values, w) })
}

func printDifferences(values []comparer.ValueChange, w io.Writer) {
	out := make([]lycheebarrow.ValueChange, len(values))
	for i, v := range values {
		out[i] = lycheebarrow.ValueChange(v)
	}
	if len(out) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	printValues(out, w)
}

// documentAt returns the configuration document as it was at a number. It undoes
// the later changes, newest first, and returns an error if the history no longer
// has all of them.
func documentAt(configuration lycheebarrow.Configuration, number uint64) ([]byte, error) {
	current, err := strconv.ParseUint(configuration.Number, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("read the configuration number of the process: %w", err)
	}
	if number > current {
		return nil, usageError("number %d is not in force yet; the newest is %d", number, current)
	}
	document := []byte(configuration.Document)
	for i := len(configuration.Recent) - 1; i >= 0 && current > number; i-- {
		if configuration.Recent[i].Number != strconv.FormatUint(current, 10) {
			break
		}
		values := make([]comparer.ValueChange, len(configuration.Recent[i].Values))
		for j, v := range configuration.Recent[i].Values {
			values[j] = comparer.ValueChange(v)
		}
		if document, err = comparer.Undo(document, values); err != nil {
			return nil, err
		}
		current--
	}
	if current > number {
		return nil, usageError("number %d is too old; the history reaches back to %d", number, current)
	}
	return document, nil
}

// indent returns the document with line breaks and indentation, or unchanged if it
// is not JSON.
func indent(document string) string {
	var v any
	if json.Unmarshal([]byte(document), &v) != nil {
		return document
	}
	text, _ := json.MarshalIndent(v, "", "  ")
	return string(text)
}
