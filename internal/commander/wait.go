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
	// _defaultWaitTimeout is how long "config wait" waits unless -timeout is given.
	_defaultWaitTimeout = 10 * time.Second
	// _pollInterval is the time between two reads of the processes.
	_pollInterval = 200 * time.Millisecond
)

func (c *commander) waitCommand(errOut io.Writer) *ffcli.Command {
	set := newFlagSet("lbctl config wait", errOut)
	timeout := set.Duration("timeout", _defaultWaitTimeout, "longest time to wait")
	minProcesses := set.Int("processes", 1, "least `number` of processes that must be listed; a process that has just started knows few others")
	return &ffcli.Command{
		Name: "wait", ShortUsage: "lbctl config wait [-timeout 10s] [-processes 14] N", FlagSet: set,
		ShortHelp: "wait until every known process runs number N or a later one, and list them",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("lbctl config wait [-timeout 10s] [-processes 14] N")
			}
			n, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usageError("N is a configuration number, such as 5")
			}
			return c.waitFor(ctx, n, *minProcesses, *timeout)
		},
	}
}

// waitFor reads the processes until at least minProcesses are known and all run the
// number or a later one. It prints them, and returns an error if the timeout passed
// before that.
func (c *commander) waitFor(ctx context.Context, number uint64, minProcesses int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
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
		if (behind > 0 || len(list) < minProcesses) && time.Now().Before(deadline) && pauser.Pause(ctx, _pollInterval) {
			continue
		}
		if err := c.print(list, func(w io.Writer) { printProcesses(list, w) }); err != nil {
			return err
		}
		if behind > 0 {
			return fmt.Errorf("%w: %d of %d processes are not known to run number %d yet", lycheebarrow.ErrUnreachable, behind, len(list), number)
		}
		if len(list) < minProcesses {
			return fmt.Errorf("%w: only %d processes are known, not %d", lycheebarrow.ErrUnreachable, len(list), minProcesses)
		}
		return nil
	}
}
