package loganalyser

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"
)

// Request is the log line of one request that ended.
type Request struct {
	At       time.Time
	ID       string
	Route    string
	Model    string
	Status   int
	Outcome  string
	Late     string
	Resumed  int
	Sends    int
	FirstMS  int
	TotalMS  int
	Upstream string
}

// Cause returns the one cause that a request is counted under.
func (r *Request) Cause() string {
	switch {
	case r.Outcome == "answered" && r.Status >= 500:
		return "failed by its upstream"
	case r.Outcome == "answered" && r.Late == "first" && r.Sends > 1:
		return "late: sent again before its first event"
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

// OnTime is the cause of requests that lost nothing.
const OnTime = "on time"

// Read returns the requests of a log, in its order. Lines of other events, and
// what stands before a line's first key, are skipped.
func Read(r io.Reader) ([]Request, error) {
	const longest = 1 << 20 // bytes of a line
	var out []Request
	s := bufio.NewScanner(r)
	s.Buffer(nil, longest)
	for s.Scan() {
		line := s.Text()
		if !strings.Contains(line, "event=request ") {
			continue
		}
		f := Fields(line)
		if f["event"] != "request" || f["route"] == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, f["time"])
		if err != nil {
			continue
		}
		out = append(out, Request{
			At: at, ID: f["request"], Route: f["route"], Model: f["model"], Status: number(f["status"]), Outcome: f["outcome"],
			Late: f["late"], Resumed: number(f["resumed"]), Sends: number(f["sends"]), FirstMS: number(f["first_ms"]),
			TotalMS: number(f["total_ms"]), Upstream: f["upstream"],
		})
	}
	return out, s.Err()
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// Fields returns the key=value pairs of a log line.
func Fields(line string) map[string]string {
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
