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

// refusal is the body of a refusal of the operator API.
type refusal struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Mend    string `json:"mend"`
	} `json:"error"`
	Faults  validator.Faults     `json:"faults"`
	Current uint64               `json:"current"`
	Winner  *lycheebarrow.Change `json:"winner"`
}

// report tells the operator what went wrong and returns the exit code.
func report(err error, w io.Writer) int {
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
		fmt.Fprintln(w, "It is not known whether the change is in force. Send it again with the same -id; it is applied once at most.")
		return ExitUnknown
	case errors.Is(err, lycheebarrow.ErrUnreachable):
		fmt.Fprintln(w, "lbctl:", err)
		return ExitUnreachable
	default:
		fmt.Fprintln(w, "lbctl:", err)
		return ExitFailed
	}
}

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
	if r.Error.Mend != "" {
		fmt.Fprintf(w, "To mend: %s\n", r.Error.Mend)
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

func printWinner(r refusal, w io.Writer) {
	fmt.Fprintf(w, "The configuration is at number %d.\n", r.Current)
	if r.Winner == nil {
		return
	}
	fmt.Fprintf(w, "Change %s won: %s, by %s\n", r.Winner.Number, r.Winner.Reason, r.Winner.Author)
	printValues(r.Winner.Values, w)
}
