package explainer

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lycheebarrow/lycheebarrow/internal/journaler"
)

// _clock is how a sentence gives the time of its event, in UTC.
const _clock = "15:04:05.000"

// _reasons tells why a replica was chosen, by the reason of a route event.
var _reasons = map[string]string{
	"least-load": "it had the least work for its size",
	"spill":      "no copy in this data centre could take it, so it went to another data centre",
	"affinity":   "it still holds the beginning of this request in memory, which saves time",
}

// _upstreamReasons tells why an upstream of a service was chosen, by the reason
// of a call-route event.
var _upstreamReasons = map[string]string{
	"least-in-flight":   "it had the fewest calls under way",
	"other-data-centre": "no upstream in this data centre could take it",
	"all-resting":       "every upstream had failed lately, and this one was due for another try",
}

// _refusals tells why a request was refused, by the code of a refuse event.
var _refusals = map[string]string{
	"busy":                "every copy of the model was full, and no place came free in time",
	"no-replica":          "no copy of the model was whole and able to answer in time",
	"queue-full":          "too many requests were waiting already",
	"draining":            "this entry was shutting down; another one takes the request",
	"no-configuration":    "this entry had no configuration yet",
	"attempts-used-up":    "the answer broke off on every copy that was tried",
	"caller-gone":         "the caller hung up before its answer was whole",
	"outcome-unknown":     "the service was called, and its answer never came",
	"body-cut":            "the request ended before it was whole",
	"body-late":           "the request took too long to arrive",
	"records-unavailable": "the record that keeps the call from running twice could not be written",
}

// _outcomes tells what an outcome means to the caller.
var _outcomes = map[string]string{
	"ran":     "It did run.",
	"not-run": "It was not run, so it is safe to send it again.",
	"unknown": "Whether it ran is not known, so look it up before sending it under a new key.",
}

// Explain returns one sentence or two for each event, in the events' order.
func Explain(events []journaler.Event) []string {
	out := make([]string, 0, len(events))
	for _, e := range events {
		out = append(out, e.Time.UTC().Format(_clock)+"  "+sentence(e))
	}
	return out
}

func sentence(e journaler.Event) string {
	f := e.Fields
	switch e.Name {
	case "route":
		return route(f)
	case "attempt-broken":
		return broken(f)
	case "answer":
		return fmt.Sprintf("The whole answer reached the caller: %s pieces of text, in %s.", f["tokens"], millis(f["duration_ms"]))
	case "answer-cut":
		return fmt.Sprintf("The answer broke off before its end (%s). The caller can see that it is not whole.", f["message"])
	case "refuse":
		return refuse(f)
	case "call-route":
		return callRoute(f)
	case "call":
		return call(f)
	default:
		return other(e)
	}
}

func route(f map[string]string) string {
	why, ok := _reasons[f["reason"]]
	if !ok {
		why = "of the rule named " + f["reason"]
	}
	text := fmt.Sprintf("Organisation %s asked for the model %s. %s could take it. It waited %s and went to copy %s (entered through instance %s, generation %s), because %s.",
		f["organisation"], f["model"], copies(f["candidates"]), millis(f["wait_ms"]), f["replica"], f["upstream"], f["generation"], why)
	if f["long"] == "true" {
		text += " It counts as long work, which may fill only a part of each copy, so that short requests don't wait behind it."
	}
	return text
}

func copies(count string) string {
	if count == "1" {
		return "One copy of the model"
	}
	return count + " copies of the model"
}

func broken(f map[string]string) string {
	kept := "Nothing had arrived yet, and the whole answer is asked of another copy"
	if f["tokens"] != "" && f["tokens"] != "0" {
		kept = fmt.Sprintf("The %s pieces of text that had arrived are kept, and the rest is asked of another copy", f["tokens"])
	}
	return fmt.Sprintf("Copy %s stopped being able to go on. %s. Detail: %s", f["replica"], kept, f["error"])
}

func refuse(f map[string]string) string {
	why, ok := _refusals[f["code"]]
	if !ok {
		why = f["message"]
	}
	return fmt.Sprintf("The request was refused: %s. %s", why, _outcomes[f["outcome"]])
}

func callRoute(f map[string]string) string {
	why, ok := _upstreamReasons[f["reason"]]
	if !ok {
		why = "of the rule named " + f["reason"]
	}
	return fmt.Sprintf("Organisation %s called the service %s. The call went to upstream %s, because %s.", f["organisation"], f["service"], f["upstream"], why)
}

func call(f map[string]string) string {
	text := "That ended the call. " + _outcomes[f["outcome"]]
	if f["status"] != "" && f["status"] != "0" {
		text += fmt.Sprintf(" The service answered with status %s.", f["status"])
	}
	if f["error"] != "" {
		text += " Detail: " + f["error"]
	}
	return text
}

// other tells an event that has no sentence of its own.
func other(e journaler.Event) string {
	parts := make([]string, 0, len(e.Fields))
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		if k != "request" {
			parts = append(parts, k+" "+e.Fields[k])
		}
	}
	return strings.ReplaceAll(e.Name, "-", " ") + ": " + strings.Join(parts, ", ")
}

// millis tells a number of milliseconds.
func millis(text string) string {
	n, err := strconv.ParseInt(text, 10, 64)
	switch {
	case err != nil:
		return "an unknown time"
	case n == 0:
		return "less than a millisecond"
	default:
		return (time.Duration(n) * time.Millisecond).String()
	}
}
