package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/lycheebarrow/lycheebarrow"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
)

// refusal is the body of an answer in which the operator API refuses a call.
type refusal struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Remedy  string `json:"mend"`
	} `json:"error"`
	Faults  validator.Faults     `json:"faults"`
	Current uint64               `json:"current"`
	Winner  *lycheebarrow.Change `json:"winner"`
}

// reportError prints the error, if any, and returns the exit code.
func reportError(err error, w io.Writer) int {
	var api *lycheebarrow.APIError
	var faults validator.Faults
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, errUsage):
		fmt.Fprintln(w, "lbctl:", err)
		return ExitUsage
	case errors.Is(err, lycheebarrow.ErrNoAddress):
		fmt.Fprintln(w, "lbctl: give -address or LBCTL_ADDRESS, the host:port of a process's operator API")
		return ExitUsage
	case errors.As(err, &api):
		return reportRefusal(api, w)
	case errors.As(err, &faults):
		printFaults(faults, w)
		return ExitRefused
	case errors.Is(err, lycheebarrow.ErrUncertain):
		fmt.Fprintln(w, "lbctl:", err)
		fmt.Fprintln(w, "It is not known whether the change is in force. Send it again with the same -id; it is applied at most once.")
		return ExitUnknown
	case errors.Is(err, lycheebarrow.ErrUnreachable):
		fmt.Fprintln(w, "lbctl:", err)
		return ExitUnreachable
	default:
		fmt.Fprintln(w, "lbctl:", err)
		return ExitFailed
	}
}

// reportRefusal prints a refusal of the operator API and returns the exit code.
func reportRefusal(api *lycheebarrow.APIError, w io.Writer) int {
	var r refusal
	if err := json.Unmarshal(api.Body, &r); err != nil {
		fmt.Fprintln(w, "lbctl:", api)
		return ExitFailed
	}
	if len(r.Faults) > 0 {
		printFaults(r.Faults, w)
		return ExitRefused
	}
	fmt.Fprintf(w, "lbctl: %s\n", r.Error.Message)
	if r.Error.Remedy != "" {
		fmt.Fprintf(w, "Remedy: %s\n", r.Error.Remedy)
	}
	switch {
	case api.Status == http.StatusConflict:
		printWinner(r, w)
		return ExitConflict
	case r.Error.Code == "patch-unsure":
		return ExitUnknown
	case api.Status == http.StatusBadRequest || api.Status == http.StatusUnprocessableEntity:
		return ExitRefused
	default:
		return ExitFailed
	}
}

func printFaults(faults validator.Faults, w io.Writer) {
	fmt.Fprintln(w, "lbctl: nothing was changed; the configuration would have these faults:")
	for _, f := range faults {
		fmt.Fprintf(w, "  %s: %s\n    allowed: %s\n", f.Path, f.Problem, f.Allowed)
	}
}

// printWinner prints the configuration number in force and, if the API names it,
// the change that was accepted first.
func printWinner(r refusal, w io.Writer) {
	fmt.Fprintf(w, "The configuration is at number %d.\n", r.Current)
	if r.Winner == nil {
		return
	}
	fmt.Fprintf(w, "Change %s won: %s, by %s\n", r.Winner.Number, r.Winner.Reason, r.Winner.Author)
	printValues(r.Winner.Values, w)
}
