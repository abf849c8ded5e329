package main

import (
	"flag"
	"fmt"
)

func main() {
	seeds := flag.Int("seeds", 3, "number of seeds, from 1")
	name := flag.String("workload", "", "only this workload")
	only := flag.String("policy", "", "only this policy")
	flag.Parse()
	for _, w := range _workloads {
		if *name != "" && *name != w.name {
			continue
		}
		for _, crest := range []float64{1, 2} {
			fmt.Printf("\n%s, crest at %.0f times the capacity of %.1f requests/s\n\n", w.name, crest, w.capacity())
			table(w, crest, *seeds, *only)
		}
	}
}

func table(w workload, crest float64, seeds int, only string) {
	fmt.Println("| policy | short wait p50/p95/p99 ms | long wait p50/p95 ms | long tokens/s | good/s | refused | small short refused | small wait p95 ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, p := range _policies {
		if only != "" && only != p.name {
			continue
		}
		r := newRow()
		for seed := range seeds {
			measure(w, crest, uint64(seed+1), p.make).add(r, seeds)
		}
		fmt.Printf("| %s | %d / %d / %d | %d / %d | %.0f | %.1f | %.1f%% | %.1f%% | %d |\n", p.name,
			r.short.ValueAtQuantile(50), r.short.ValueAtQuantile(95), r.short.ValueAtQuantile(99),
			r.long.ValueAtQuantile(50), r.long.ValueAtQuantile(95), r.longRate, r.good,
			percent(r.refused, r.sent), percent(r.refusedSmall, r.sentSmall), r.small.ValueAtQuantile(95))
	}
}

func percent(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return 100 * float64(part) / float64(all)
}
