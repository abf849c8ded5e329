package main

import (
	"flag"
	"fmt"
)

func main() {
	seeds := flag.Int("seeds", 3, "`number` of seeds; seeds are counted from 1")
	workloadName := flag.String("workload", "", "`name` of the only workload to run; all if empty")
	policyName := flag.String("policy", "", "`name` of the only policy to run; all if empty")
	flag.Parse()
	for _, w := range _workloads {
		if *workloadName != "" && *workloadName != w.name {
			continue
		}
		for _, peak := range []float64{1, 2} {
			fmt.Printf("\n%s, peak load at %.0f times the capacity of %.1f requests/s\n\n", w.name, peak, w.capacity())
			printTable(w, peak, *seeds, *policyName)
		}
	}
}

// printTable runs a workload with a peak load of peak times the capacity under each
// policy, or only under the policy named policyName, and prints a row of results for each.
func printTable(w workload, peak float64, seeds int, policyName string) {
	fmt.Println("| policy | short wait p50/p95/p99 ms | long wait p50/p95 ms | long tokens/s | good/s | refused | small short refused | small wait p95 ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, p := range _policies {
		if policyName != "" && policyName != p.name {
			continue
		}
		r := newRow()
		for seed := range seeds {
			simulate(w, peak, uint64(seed+1), p.newPolicy).addTo(r, seeds)
		}
		fmt.Printf("| %s | %d / %d / %d | %d / %d | %.0f | %.1f | %.1f%% | %.1f%% | %d |\n", p.name,
			r.short.ValueAtQuantile(50), r.short.ValueAtQuantile(95), r.short.ValueAtQuantile(99),
			r.long.ValueAtQuantile(50), r.long.ValueAtQuantile(95), r.longTokenRate, r.goodRate,
			percent(r.refused, r.sent), percent(r.refusedSmall, r.sentSmall), r.small.ValueAtQuantile(95))
	}
}

// percent returns part as a percentage of total, and 0 if total is 0.
func percent(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return 100 * float64(part) / float64(total)
}
