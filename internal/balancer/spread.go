package balancer

import "slices"

// least returns the index of the lowest cost; draw, from 0 up to 1, picks among
// equals.
func least(costs []float64, draw float64) int {
	lowest := slices.Min(costs)
	var best []int
	for i, c := range costs {
		if c == lowest {
			best = append(best, i)
		}
	}
	return best[int(draw*float64(len(best)))]
}

// level returns an index, drawn so that so many requests that each draw for
// themselves fill the lowest costs up to one level. Taking the lowest cost instead
// would send them all to one upstream, since every process is told the same.
func level(costs []float64, requests, draw float64) int {
	sorted := slices.Sorted(slices.Values(costs))
	height, below := 0.0, 0.0
	for n, c := range sorted {
		if n > 0 && c >= height {
			break
		}
		below += c
		height = (requests + below) / float64(n+1)
	}
	left := draw * requests
	for i, c := range costs {
		if c >= height {
			continue
		}
		left -= height - c
		if left < 0 {
			return i
		}
	}
	return least(costs, draw)
}
