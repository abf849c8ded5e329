package loganalyser

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"
)

// Request holds the fields of the log line that an instance writes when a request has
// ended. Numbers that the line lacks are 0.
type Request struct {
	// LoggedAt is the time of the line, which is the time when the request ended.
	LoggedAt time.Time
	ID       string
	Route    string
	Model    string
	Status   int
	Outcome  string
	// Late is "first" if the first event missed the route's latency target, "gap" if a
	// later gap between events exceeded the route's gap target, and "no" otherwise. It
	// is empty if no event arrived.
	Late string
	// Resumed counts how often the stream was resumed at another upstream.
	Resumed int
	// Sends counts the attempts to send the request to an upstream.
	Sends int
	// FirstMS and TotalMS are the times, in milliseconds, from the request's arrival to
	// its first event and to its end.
	FirstMS int
	TotalMS int
	// Upstream lists the upstreams that were tried, separated by commas.
	Upstream string
}

// Cause returns the category that the request is counted under, such as "late: paused".
func (r *Request) Cause() string {
	switch {
	case r.Outcome == "answered" && r.Status >= 500:
		return "failed by its upstream"
	case r.Outcome == "answered" && r.Late == "first" && r.Sends > 1:
		return "late: retried before its first event"
	case r.Outcome == "answered" && r.Late == "first":
		return "late: first event waited for"
	case r.Outcome == "answered" && r.Late == "gap" && r.Resumed > 0:
		return "late: resumed after a pause"
	case r.Outcome == "answered" && r.Late == "gap":
		return "late: paused"
	case r.Outcome == "answered":
		return OnTime
	case r.Status == 503:
		return "refused: " + r.Outcome
	case r.Status == 200:
		return "cut: " + r.Outcome
	default:
		return "failed: " + r.Outcome
	}
}

// OnTime is the cause of requests that were answered within their route's targets.
const OnTime = "on time"

// Read returns the requests of a log, in the order of its lines. It skips lines of other
// events, lines without a route or a valid time, and any text before a line's first key.
func Read(r io.Reader) ([]Request, error) {
	const maxLineBytes = 1 << 20
	var out []Request
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		line := s.Text()
		if !strings.Contains(line, "event=request ") {
			continue
		}
		f := ParseFields(line)
		if f["event"] != "request" || f["route"] == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, f["time"])
		if err != nil {
			continue
		}
		out = append(out, Request{
			LoggedAt: at, ID: f["request"], Route: f["route"], Model: f["model"], Status: parseInt(f["status"]), Outcome: f["outcome"],
			Late: f["late"], Resumed: parseInt(f["resumed"]), Sends: parseInt(f["sends"]), FirstMS: parseInt(f["first_ms"]),
			TotalMS: parseInt(f["total_ms"]), Upstream: f["upstream"],
		})
	}
	return out, s.Err()
}

// parseInt returns the number in text, or 0 if there is none.
func parseInt(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// ParseFields returns the key=value pairs of a log line. At a malformed quoted value it
// stops, and returns the pairs before it.
func ParseFields(line string) map[string]string {
	out := make(map[string]string)
	for line != "" {
		before, rest, ok := strings.Cut(line, "=")
		if !ok {
			return out
		}
		key := before[strings.LastIndexByte(before, ' ')+1:]
		if strings.HasPrefix(rest, `"`) {
			quoted, err := strconv.QuotedPrefix(rest)
			if err != nil {
				return out
			}
			value, err := strconv.Unquote(quoted)
			if err != nil {
				return out
			}
			out[key], line = value, rest[len(quoted):]
			continue
		}
		out[key], line, _ = strings.Cut(rest, " ")
	}
	return out
}
