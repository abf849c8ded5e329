package composer

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/fx"

	"github.com/lycheebarrow/lycheebarrow/internal/loader"
	"github.com/lycheebarrow/lycheebarrow/internal/logger"
	"github.com/lycheebarrow/lycheebarrow/internal/networker"
)

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2 // the settings are invalid
	ExitForced   = 3 // an interrupt ended the shutdown early
)

// RunDaemon runs a daemon's command line: "check" validates the settings, "settings"
// prints a table of them, and anything else runs the daemon until SIGTERM or SIGINT. SIGINT
// ends a graceful shutdown at once; SIGTERM does not, since supervisors may repeat it.
// RunDaemon returns the exit code.
func RunDaemon(role loader.Role, args []string, output, log io.Writer) int {
	s, code, run := readSettings(role, args, output, log)
	if !run {
		return code
	}
	// Entries and placers have nothing to reload.
	signal.Ignore(syscall.SIGHUP)
	app := NewEntry
	if role == loader.RolePlacer {
		app = NewPlacer
	}
	return runApp(app(s, networker.System{}, log), logger.New(log, s.Name()), log)
}

// readSettings reads the settings of a command line, and handles the commands "check" and
// "settings". If run is false, there is nothing to run, and code is the exit code.
func readSettings(role loader.Role, args []string, output, errOutput io.Writer) (s loader.Settings, code int, run bool) {
	if len(args) > 0 && args[0] == "settings" {
		fmt.Fprint(output, loader.MarkdownTable(role))
		return s, ExitOK, false
	}
	check := len(args) > 0 && args[0] == "check"
	if check {
		args = args[1:]
	}
	s, err := loader.Load(role, args, errOutput)
	if errors.Is(err, flag.ErrHelp) {
		return s, ExitOK, false
	}
	if err != nil {
		fmt.Fprintln(errOutput, err)
		return s, ExitSettings, false
	}
	if check {
		fmt.Fprintln(output, "settings are valid")
		return s, ExitOK, false
	}
	return s, ExitOK, true
}

// runApp runs an application until SIGTERM or SIGINT, and returns the exit code. It
// writes errors to output.
func runApp(app *fx.App, log logger.Logger, output io.Writer) int {
	// The process outlives the reader of its log.
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	if err := app.Start(context.Background()); err != nil {
		fmt.Fprintln(output, err)
		return ExitFailed
	}
	log.Event("signal", logger.Fields{"signal": <-signals, "outcome": "shutting down"})
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
		defer cancel()
		stopped <- app.Stop(ctx)
	}()
	for {
		select {
		case err := <-stopped:
			if err != nil {
				fmt.Fprintln(output, err)
				return ExitFailed
			}
			return ExitOK
		case s := <-signals:
			if s == os.Interrupt {
				log.Warn("signal", logger.Fields{"signal": s, "outcome": "exiting before all responses are complete"})
				return ExitForced
			}
			log.Event("signal", logger.Fields{"signal": s, "outcome": "already shutting down"})
		}
	}
}
