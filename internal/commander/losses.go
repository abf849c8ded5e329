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

// lossesCommand analyses the logs of instances; it calls no process.
func (c *commander) lossesCommand(errOut io.Writer) *ffcli.Command {
	set := newFlagSet("lbctl losses", errOut)
	plot := set.String("plot", "", "SVG `file` to write a chart to, of the requests that ended in each second")
	return &ffcli.Command{
		Name: "losses", ShortUsage: "lbctl losses [-plot FILE] [LOG ...]",
		ShortHelp: "count the requests in instances' logs by route and by what went wrong", FlagSet: set,
		Exec: func(_ context.Context, args []string) error {
			requests, err := c.readLogs(args)
			if err != nil {
				return err
			}
			if len(requests) == 0 {
				return fmt.Errorf("read the logs: no request that ended was found")
			}
			if *plot != "" {
				if err := writeChart(*plot, requests); err != nil {
					return err
				}
			}
			return loganalyser.WriteTable(c.out, requests)
		},
	}
}

// readLogs returns the requests in the log files, or in the standard input if there
// are no files.
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
		_ = f.Close() // only read, so closing loses no data
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", name, err)
		}
		out = append(out, requests...)
	}
	return out, nil
}

func writeChart(name string, requests []loganalyser.Request) error {
	f, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("write the chart: %w", err)
	}
	if err := loganalyser.WriteChart(f, requests); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("write the chart: %w", err)
	}
	return nil
}
