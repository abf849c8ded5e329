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

// _timeLayout is the layout of an event's time, in UTC.
const _timeLayout = "15:04:05.000"

// _replicaReasons explains why a replica was chosen, by the reason of a route event.
var _replicaReasons = map[string]string{
	"least-load": "it had the least work for its size",
	"spill":      "no copy in this data centre could take it, so it went to another data centre",
	"affinity":   "it still holds the beginning of this request in memory, which saves time",
}

// _upstreamReasons explains why an upstream of a service was chosen, by the reason of
// a call-route event.
var _upstreamReasons = map[string]string{
	"least-in-flight":   "it had the fewest calls in progress",
	"other-data-centre": "no upstream in this data centre could take it",
	"all-resting":       "every upstream had failed recently, and this one was due for another try",
}

// _refusalReasons explains why a request was refused, by the code of a refuse event.
var _refusalReasons = map[string]string{
	"busy":                "every copy of the model was full, and none had room in time",
	"no-replica":          "no copy of the model was complete and able to answer in time",
	"queue-full":          "too many requests were waiting already",
	"draining":            "this entry was shutting down; another one takes the request",
	"no-configuration":    "this entry had no configuration yet",
	"attempts-used-up":    "the answer broke off on every copy that was tried",
	"caller-gone":         "the caller disconnected before its answer was complete",
	"outcome-unknown":     "the service was called, and its answer never came",
	"body-cut":            "the request ended before it was complete",
	"body-late":           "the request took too long to arrive",
	"records-unavailable": "the record that keeps the call from running twice could not be written",
}

// _outcomes explains to the caller whether its request ran, by the outcome of an event.
var _outcomes = map[string]string{
	"ran":     "It did run.",
	"not-run": "It was not run, so it is safe to send it again.",
	"unknown": "Whether it ran is not known, so look it up before sending it under a new key.",
}

// Explain returns one line of text for each event, in the order of events. A line
// holds the event's time and a few sentences.
func Explain(events []journaler.Event) []string {
	out := make([]string, 0, len(events))
	for _, e := range events {
		out = append(out, e.Time.UTC().Format(_timeLayout)+"  "+describe(e))
	}
	return out
}

// describe returns the sentences of an event.
func describe(e journaler.Event) string {
	f := e.Fields
	switch e.Name {
	case "route":
		return describeRoute(f)
	case "attempt-broken":
		return describeBrokenAttempt(f)
	case "answer":
		return fmt.Sprintf("The whole answer reached the caller: %s pieces of text, in %s.", f["tokens"], formatMillis(f["duration_ms"]))
	case "answer-cut":
		return fmt.Sprintf("The answer broke off before its end (%s). The caller can see that it is incomplete.", f["message"])
	case "refuse":
		return describeRefusal(f)
	case "call-route":
		return describeCallRoute(f)
	case "call":
		return describeCall(f)
	default:
		return describeOther(e)
	}
}

func describeRoute(f map[string]string) string {
	reason, ok := _replicaReasons[f["reason"]]
	if !ok {
		reason = "of the rule named " + f["reason"]
	}
	text := fmt.Sprintf("Organisation %s asked for the model %s. %s could take it. The request waited %s and went to copy %s (entered through instance %s, generation %s), because %s.",
		f["organisation"], f["model"], formatCopies(f["candidates"]), formatMillis(f["wait_ms"]), f["replica"], f["upstream"], f["generation"], reason)
	if f["long"] == "true" {
		text += " It counts as long work, which may fill only a part of each copy, so that short requests don't wait behind it."
	}
	return text
}

func formatCopies(count string) string {
	if count == "1" {
		return "One copy of the model"
	}
	return count + " copies of the model"
}

func describeBrokenAttempt(f map[string]string) string {
	kept := "Nothing had arrived yet, and the whole answer is asked of another copy"
	if f["tokens"] != "" && f["tokens"] != "0" {
		kept = fmt.Sprintf("The %s pieces of text that had arrived are kept, and the rest is asked of another copy", f["tokens"])
	}
	return fmt.Sprintf("Copy %s could not finish the answer. %s. Detail: %s", f["replica"], kept, f["error"])
}

func describeRefusal(f map[string]string) string {
	reason, ok := _refusalReasons[f["code"]]
	if !ok {
		reason = f["message"]
	}
	return fmt.Sprintf("The request was refused: %s. %s", reason, _outcomes[f["outcome"]])
}

func describeCallRoute(f map[string]string) string {
	reason, ok := _upstreamReasons[f["reason"]]
	if !ok {
		reason = "of the rule named " + f["reason"]
	}
	return fmt.Sprintf("Organisation %s called the service %s. The call went to upstream %s, because %s.", f["organisation"], f["service"], f["upstream"], reason)
}

func describeCall(f map[string]string) string {
	text := "The call ended. " + _outcomes[f["outcome"]]
	if f["status"] != "" && f["status"] != "0" {
		text += fmt.Sprintf(" The service answered with status %s.", f["status"])
	}
	if f["error"] != "" {
		text += " Detail: " + f["error"]
	}
	return text
}

// describeOther lists the name and the fields of an event that has no sentences of its
// own.
func describeOther(e journaler.Event) string {
	parts := make([]string, 0, len(e.Fields))
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		if k != "request" {
			parts = append(parts, k+" "+e.Fields[k])
		}
	}
	return strings.ReplaceAll(e.Name, "-", " ") + ": " + strings.Join(parts, ", ")
}

// formatMillis formats a number of milliseconds as a duration.
func formatMillis(text string) string {
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
