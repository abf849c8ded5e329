package commander

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lycheebarrow/lycheebarrow"
	"github.com/lycheebarrow/lycheebarrow/internal/pauser"
)

const (
	// _waitLimit is how long "config wait" waits unless told otherwise.
	_waitLimit = 10 * time.Second
	// _waitInterval is the time between two looks.
	_waitInterval = 200 * time.Millisecond
)

func (c *commander) wait(faults io.Writer) *ffcli.Command {
	set := flags("lbctl config wait", faults)
	limit := set.Duration("timeout", _waitLimit, "longest wait")
	least := set.Int("processes", 1, "`number` of processes that must be known; a process that just started knows few others")
	return &ffcli.Command{
		Name: "wait", ShortUsage: "lbctl config wait [-timeout 10s] [-processes 14] N", FlagSet: set,
		ShortHelp: "wait until every known process runs number N or a later one, and list them",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usage("lbctl config wait [-timeout 10s] [-processes 14] N")
			}
			n, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usage("N is a configuration number, such as 5")
			}
			return c.waitFor(ctx, n, *least, *limit)
		},
	}
}

func (c *commander) waitFor(ctx context.Context, number uint64, least int, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		list, err := c.readProcesses(ctx)
		if err != nil {
			return err
		}
		behind := 0
		for _, p := range list {
			if p.ConfigurationNumber < number {
				behind++
			}
		}
		if (behind > 0 || len(list) < least) && time.Now().Before(deadline) && pauser.Pause(ctx, _waitInterval) {
			continue
		}
		if err := c.print(list, func(w io.Writer) { printProcesses(list, w) }); err != nil {
			return err
		}
		if behind > 0 {
			return fmt.Errorf("%w: %d of %d processes are not known to run number %d yet", lycheebarrow.ErrUnreachable, behind, len(list), number)
		}
		if len(list) < least {
			return fmt.Errorf("%w: only %d processes are known, not %d", lycheebarrow.ErrUnreachable, len(list), least)
		}
		return nil
	}
}
