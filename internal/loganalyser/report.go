package loganalyser

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteTable writes the number of requests for each cause, in total and by route, with the
// most frequent cause and the busiest route first.
func WriteTable(w io.Writer, requests []Request) error {
	counts := make(map[string]map[string]int)
	totals := make(map[string]int)
	for i := range requests {
		r := &requests[i]
		cause := r.Cause()
		if counts[cause] == nil {
			counts[cause] = make(map[string]int)
		}
		counts[cause][r.Route]++
		counts[cause][""]++
		totals[r.Route]++
	}
	routes := slices.SortedFunc(maps.Keys(totals), func(a, b string) int {
		return cmp.Or(cmp.Compare(totals[b], totals[a]), cmp.Compare(a, b))
	})
	const maxRoutes = 6 // columns; requests of other routes count only in the column "all"
	routes = routes[:min(len(routes), maxRoutes)]
	causes := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b][""], counts[a][""]), cmp.Compare(a, b))
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "cause\tall\tshare\t%s\t\n", strings.Join(routes, "\t"))
	for _, c := range causes {
		fmt.Fprintf(t, "%s\t%d\t%.1f%%\t", c, counts[c][""], 100*float64(counts[c][""])/float64(len(requests)))
		for _, r := range routes {
			fmt.Fprintf(t, "%d\t", counts[c][r])
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("loganalyser: write the table: %w", err)
	}
	return nil
}

// Dimensions of the chart, in pixels.
const (
	_width  = 900
	_height = 260
	_margin = 40
)

// _bands are the bands of the chart, from the bottom. The last one holds all requests
// that are in none of the others.
var _bands = []struct{ name, colour string }{
	{"on time", "#4c9f70"}, {"late", "#e0b84c"}, {"refused", "#c05c4c"}, {"failed", "#6c4c8c"},
}

// WriteChart writes an SVG chart of the number of requests that ended in each second,
// stacked in bands. It fails if there are no requests.
func WriteChart(w io.Writer, requests []Request) error {
	if len(requests) == 0 {
		return fmt.Errorf("loganalyser: write the chart: no request in the log")
	}
	first, last := requests[0].LoggedAt, requests[0].LoggedAt
	for i := range requests {
		if requests[i].LoggedAt.Before(first) {
			first = requests[i].LoggedAt
		}
		if requests[i].LoggedAt.After(last) {
			last = requests[i].LoggedAt
		}
	}
	seconds := int(last.Sub(first)/time.Second) + 1
	counts := make([][4]int, seconds)
	peak := 1
	for i := range requests {
		n := &counts[int(requests[i].LoggedAt.Sub(first)/time.Second)]
		n[bandOf(requests[i].Cause())]++
		peak = max(peak, n[0]+n[1]+n[2]+n[3])
	}
	var b strings.Builder
	fmt.Fprintf(&b, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n", _width, _height)
	step := float64(_width-2*_margin) / float64(seconds)
	scale := float64(_height-2*_margin) / float64(peak)
	for i, second := range counts {
		bottom := float64(_height - _margin)
		for j, n := range second {
			height := float64(n) * scale
			bottom -= height
			fmt.Fprintf(&b, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>\n", _margin+float64(i)*step, bottom, step, height, _bands[j].colour)
		}
	}
	for j, c := range _bands {
		fmt.Fprintf(&b, "<rect x=\"%d\" y=\"10\" width=\"10\" height=\"10\" fill=\"%s\"/><text x=\"%d\" y=\"19\">%s</text>\n", _margin+j*90, c.colour, _margin+14+j*90, c.name)
	}
	fmt.Fprintf(&b, "<text x=\"2\" y=\"%d\">%d/s</text><text x=\"%d\" y=\"%d\">%d s</text>\n</svg>\n", _margin+4, peak, _width-_margin, _height-_margin+16, seconds)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("loganalyser: write the chart: %w", err)
	}
	return nil
}

// bandOf returns the index in _bands of a cause's band.
func bandOf(cause string) int {
	switch {
	case cause == OnTime:
		return 0
	case strings.HasPrefix(cause, "late"):
		return 1
	case strings.HasPrefix(cause, "refused"):
		return 2
	default:
		return 3
	}
}
