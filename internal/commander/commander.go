package commander

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lycheebarrow/lycheebarrow"
)

// Exit codes of lbctl.
const (
	ExitDone        = 0
	ExitFailed      = 1 // anything not named below
	ExitUsage       = 2 // the command line is wrong; nothing was sent
	ExitConflict    = 3 // another change won; it is shown, and nothing was changed
	ExitRefused     = 4 // refused for faults, listed by path with the allowed values
	ExitUnreachable = 5 // the process can't be reached, or some are still behind
	ExitUnknown     = 6 // no answer came to a patch: send it again with the same id
)

const _help = `Exit codes:
  0  done
  1  failed for another reason
  2  bad usage; nothing was sent
  3  conflict; the change that won is shown, and nothing was changed
  4  refused for faults, listed by path with the allowed values
  5  unreachable; or "config wait" ran out of time
  6  outcome unknown; send the patch again with the same -id`

// errUsage marks a wrong command line.
var errUsage = errors.New("usage")

// commander is one run of lbctl.
type commander struct {
	client lycheebarrow.Client
	json   bool
	in     io.Reader
	out    io.Writer
}

// Run runs the command line and returns the exit code. Answers go to out,
// faults and help to faults.
func Run(ctx context.Context, args []string, in io.Reader, out, faults io.Writer) int {
	c := &commander{in: in, out: out}
	root := c.root(faults)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitDone
		}
		// The flag set has printed the fault and the usage.
		return ExitUsage
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(faults, ffcli.DefaultUsageFunc(root))
		return ExitUsage
	}
	return report(err, faults)
}

func (c *commander) root(faults io.Writer) *ffcli.Command {
	set := flags("lbctl", faults)
	set.StringVar(&c.client.Address, "address", "", "`address` of a process's operator API")
	set.StringVar(&c.client.Token, "token", "", "operator's `token`; better given as the environment variable LBCTL_TOKEN")
	set.BoolVar(&c.json, "json", false, "print JSON for programs")
	return &ffcli.Command{
		ShortUsage: "lbctl [-address ADDRESS] [-token TOKEN] [-json] <command>", LongHelp: _help, FlagSet: set,
		Subcommands: []*ffcli.Command{
			c.config(faults), c.groups(faults), c.instances(faults), c.upstreams(faults), c.processes(faults),
			c.explain(faults), c.drain(faults), c.try(faults), c.digest(faults), c.losses(faults),
		},
		Options: []ff.Option{ff.WithEnvVarPrefix("LBCTL")},
		Exec:    func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func flags(name string, faults io.Writer) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(faults)
	return set
}

// usage returns an error that tells how the command is used.
func usage(format string, values ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errUsage}, values...)...)
}

// print writes JSON where it was asked for, else what show writes.
func (c *commander) print(value any, show func(w io.Writer)) error {
	if !c.json {
		show(c.out)
		return nil
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}
