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
	ExitFailed      = 1 // failed for a reason that no other code covers
	ExitUsage       = 2 // the command line is wrong; nothing was sent
	ExitConflict    = 3 // another change was accepted first; it is printed, and nothing was changed
	ExitRefused     = 4 // refused as invalid; faults of the configuration are printed by path with the allowed values
	ExitUnreachable = 5 // the process can't be reached, or "config wait" timed out
	ExitUnknown     = 6 // it is unknown whether a patch is in force: send it again with the same id
)

const _exitCodesHelp = `Exit codes:
  0  done
  1  failed for another reason
  2  bad usage; nothing was sent
  3  conflict; the change that was accepted first is shown, and nothing was changed
  4  refused as invalid; faults of the configuration are listed by path with the allowed values
  5  unreachable; or "config wait" timed out
  6  outcome unknown; send the patch again with the same -id`

// errUsage is wrapped by the errors of a wrong command line.
var errUsage = errors.New("usage")

// commander has the options of one run of lbctl, and its input and output.
type commander struct {
	client lycheebarrow.Client
	asJSON bool
	in     io.Reader
	out    io.Writer
}

// Run runs the command line args and returns the exit code. It writes results to
// out, and errors and help to errOut.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	c := &commander{in: in, out: out}
	root := c.rootCommand(errOut)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitDone
		}
		// The flag set has printed the error and the usage.
		return ExitUsage
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(errOut, ffcli.DefaultUsageFunc(root))
		return ExitUsage
	}
	return reportError(err, errOut)
}

func (c *commander) rootCommand(errOut io.Writer) *ffcli.Command {
	set := newFlagSet("lbctl", errOut)
	set.StringVar(&c.client.Address, "address", "", "`address` of a process's operator API")
	set.StringVar(&c.client.Token, "token", "", "operator's `token`; prefer the environment variable LBCTL_TOKEN")
	set.BoolVar(&c.asJSON, "json", false, "print JSON instead of tables")
	return &ffcli.Command{
		ShortUsage: "lbctl [-address ADDRESS] [-token TOKEN] [-json] <command>", LongHelp: _exitCodesHelp, FlagSet: set,
		Subcommands: []*ffcli.Command{
			c.configCommand(errOut), c.groupsCommand(errOut), c.instancesCommand(errOut), c.upstreamsCommand(errOut), c.processesCommand(errOut),
			c.explainCommand(errOut), c.drainCommand(errOut), c.tryCommand(errOut), c.digestCommand(errOut), c.lossesCommand(errOut),
		},
		Options: []ff.Option{ff.WithEnvVarPrefix("LBCTL")},
		Exec:    func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// newFlagSet returns a flag set that writes its errors and usage to errOut.
func newFlagSet(name string, errOut io.Writer) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(errOut)
	return set
}

// usageError returns an error for a wrong command line. The text says how to use
// the command, or what is wrong.
func usageError(format string, values ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errUsage}, values...)...)
}

// print writes value as JSON if -json was given, else it calls show.
func (c *commander) print(value any, show func(w io.Writer)) error {
	if !c.asJSON {
		show(c.out)
		return nil
	}
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}
