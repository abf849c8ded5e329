package balancer

import "slices"

// pickLowest returns the index of the lowest cost. random, in [0, 1), chooses among
// equal costs.
func pickLowest(costs []float64, random float64) int {
	lowest := slices.Min(costs)
	var best []int
	for i, c := range costs {
		if c == lowest {
			best = append(best, i)
		}
	}
	return best[int(random*float64(len(best)))]
}

// pickLevelled returns a random index, weighted so that the expected requests of all
// processes, each of which chooses on its own, raise the lowest costs to one common
// level (water-filling). If each process chose the lowest cost instead, all these
// requests would go to one upstream, since every process knows the same loads. random
// is in [0, 1).
func pickLevelled(costs []float64, requests, random float64) int {
	sorted := slices.Sorted(slices.Values(costs))
	level, sum := 0.0, 0.0
	for n, c := range sorted {
		if n > 0 && c >= level {
			break
		}
		sum += c
		level = (requests + sum) / float64(n+1)
	}
	left := random * requests
	for i, c := range costs {
		if c >= level {
			continue
		}
		left -= level - c
		if left < 0 {
			return i
		}
	}
	return pickLowest(costs, random)
}
