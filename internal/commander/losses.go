package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lycheebarrow/lycheebarrow/internal/loganalyser"
)

// losses reads the logs of instances; it asks no process.
func (c *commander) losses(faults io.Writer) *ffcli.Command {
	set := flags("lbctl losses", faults)
	plot := set.String("plot", "", "SVG `file` to draw service over time into")
	return &ffcli.Command{
		Name: "losses", ShortUsage: "lbctl losses [-plot FILE] [LOG ...]",
		ShortHelp: "tell from instances' logs what became of each request, and why", FlagSet: set,
		Exec: func(_ context.Context, args []string) error {
			requests, err := c.readLogs(args)
			if err != nil {
				return err
			}
			if len(requests) == 0 {
				return fmt.Errorf("read the logs: no line of a request that ended")
			}
			if *plot != "" {
				if err := draw(*plot, requests); err != nil {
					return err
				}
			}
			return loganalyser.WriteTable(c.out, requests)
		},
	}
}

// readLogs reads the files given, or the standard input.
func (c *commander) readLogs(files []string) ([]loganalyser.Request, error) {
	if len(files) == 0 {
		return loganalyser.Read(c.in)
	}
	var out []loganalyser.Request
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("read the logs: %w", err)
		}
		requests, err := loganalyser.Read(f)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", name, err)
		}
		out = append(out, requests...)
	}
	return out, nil
}

func draw(name string, requests []loganalyser.Request) error {
	f, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("draw: %w", err)
	}
	if err := loganalyser.WriteChart(f, requests); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("draw: %w", err)
	}
	return nil
}
