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
	every := func(int) bool { return true }
	if i := pickBelow(costs, levelOf(costs, requests), random, every); i >= 0 {
		return i
	}
	return pickLowest(costs, random)
}

// pickConnected is pickLevelled among the indices that are connected, with the level of
// all costs. It returns -1 if none of these is below the level. It answers the load of
// many processes with few requests each: a process that chooses among all upstreams
// comes back to each so seldom that every request needs a new connection.
func pickConnected(costs []float64, requests, random float64, connected func(i int) bool) int {
	return pickBelow(costs, levelOf(costs, requests), random, connected)
}

// levelOf returns the common level to which requests raise the lowest costs.
func levelOf(costs []float64, requests float64) float64 {
	level, sum := 0.0, 0.0
	for n, c := range slices.Sorted(slices.Values(costs)) {
		if n > 0 && c >= level {
			break
		}
		sum += c
		level = (requests + sum) / float64(n+1)
	}
	return level
}

// pickBelow returns a random one of the indices that eligible accepts, weighted by how
// far the costs are below the level, or -1 if there is none.
func pickBelow(costs []float64, level, random float64, eligible func(i int) bool) int {
	total := 0.0
	weights := make([]float64, len(costs))
	for i, c := range costs {
		if c < level && eligible(i) {
			weights[i] = level - c
			total += weights[i]
		}
	}
	left := random * total
	for i, w := range weights {
		left -= w
		if w > 0 && left < 0 {
			return i
		}
	}
	return -1
}
