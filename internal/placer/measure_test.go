package placer_test

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

var _measure = flag.Bool("measure", false, "print the measurements of group downtime and control cost")

const (
	_sampleInterval = 100 * time.Millisecond
	_loadTime       = 20 * time.Second
	_settleTime     = 60 * time.Second
)

// trial is one fault scenario with upper limits for its measurements.
type trial struct {
	name      string
	domains   int
	perDomain int
	groups    map[string]validator.Group
	duration  time.Duration
	// limits bounds the downtime, the longest shortage and the loads. Its other
	// fields are not checked.
	limits result
	// injectFault makes the fault or the change that the case measures.
	injectFault func(t *testing.T, f *fleet, p *process)
}

// result holds the measurements of a trial, the times in seconds of virtual
// time.
type result struct {
	// shortage is the time for which declared replicas were not routable, summed
	// over the replicas. downtime is the time for which groups had no routable
	// replica at all, summed over the groups. longestShortage is the longest
	// uninterrupted time for which the fleet lacked a declared replica.
	shortage, downtime, longestShortage float64
	// stranded is the time that live instances spent outside any routable
	// replica while the fleet lacked a declared one, summed over the instances.
	stranded float64
	loads    int
}

// groups declares groups of the same size, named g0, g1 and so on.
func groups(count, replicas, members int) map[string]validator.Group {
	out := make(map[string]validator.Group)
	for i := range count {
		n := fmt.Sprintf("g%d", i)
		out[n] = validator.Group{Model: n, Version: "v1", DataCentre: "dc", Replicas: replicas, Members: members}
	}
	return out
}

// watch samples the fleet every _sampleInterval for the given time.
func (f *fleet) watch(d validator.Document, duration time.Duration) result {
	var r result
	currentShortage := 0.0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(_sampleInterval) {
		f.withLock(func() { f.addSample(&r, &currentShortage, d) })
	}
	for _, x := range []*float64{&r.shortage, &r.downtime, &r.longestShortage, &r.stranded} {
		*x = roundToSamples(*x)
	}
	return r
}

// roundToSamples rounds to a multiple of _sampleInterval, 0.1 s, which removes the
// rounding error of the sum.
func roundToSamples(seconds float64) float64 {
	perSecond := float64(time.Second / _sampleInterval)
	return math.Round(seconds*perSecond) / perSecond
}

// addSample adds one sample to r. currentShortage is the length of the current
// shortage in seconds.
func (f *fleet) addSample(r *result, currentShortage *float64, d validator.Document) {
	have := map[string]int{}
	serving := map[string]bool{}
	for _, p := range f.placements() {
		for _, x := range p.GetReplicas() {
			if !f.routable(x) || x.GetState() == wire.ReplicaState_REPLICA_STATE_DRAINING {
				continue
			}
			have[x.GetGroup()]++
			for _, m := range x.GetMembers() {
				serving[m] = true
			}
		}
	}
	missing := 0
	for n, g := range d.Groups {
		missing += max(0, g.Replicas-have[n])
		if have[n] == 0 {
			r.downtime += _sampleInterval.Seconds()
		}
	}
	if missing == 0 {
		*currentShortage = 0
		return
	}
	*currentShortage += _sampleInterval.Seconds()
	r.longestShortage = max(r.longestShortage, *currentShortage)
	r.shortage += float64(missing) * _sampleInterval.Seconds()
	for n, e := range f.engines {
		if !e.dead && !e.hung && !serving[n] {
			r.stranded += _sampleInterval.Seconds()
		}
	}
}

// replace removes an instance from the list and adds a new one with another name
// in its domain.
func (f *fleet) replace(name string) {
	f.withLock(func() {
		row := f.list[name]
		delete(f.list, name)
		f.engines[name].dead = true
		row.Name += "x"
		row.Address = row.Name
		f.list[row.Name] = row
		f.engines[row.Name] = &engine{name: row.Name, fencing: true, loadTime: _loadTime, state: "idle"}
	})
}

var _trials = []trial{
	{name: "death-with-spare", limits: result{downtime: 23, longestShortage: 23, loads: 8}, domains: 2, perDomain: 9, groups: groups(2, 1, 8), duration: 2 * time.Minute, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		f.changeEngines("f0-03", func(e *engine) { e.dead = true })
	}},
	{name: "hang-with-spare", limits: result{downtime: 23, longestShortage: 23, loads: 8}, domains: 2, perDomain: 9, groups: groups(2, 1, 8), duration: 2 * time.Minute, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		f.changeEngines("f0-03", func(e *engine) { e.hung = true })
	}},
	{name: "death-without-spare-back-after-30s", limits: result{downtime: 53, longestShortage: 53, loads: 8}, domains: 2, perDomain: 8, groups: groups(2, 1, 8), duration: 2 * time.Minute, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		f.changeEngines("f0-03", func(e *engine) { e.dead = true })
		time.Sleep(30 * time.Second)
		f.changeEngines("f0-03", func(e *engine) { e.restart() })
	}},
	{name: "pause-without-spare-10s", limits: result{downtime: 10.1, longestShortage: 10.1}, domains: 2, perDomain: 8, groups: groups(2, 1, 8), duration: 2 * time.Minute, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		f.changeEngines("f0-03", func(e *engine) { e.hung = true })
		time.Sleep(10 * time.Second)
		f.changeEngines("f0-03", func(e *engine) { e.hung = false })
	}},
	{name: "domain-outage-60s", limits: result{longestShortage: 28, loads: 8}, domains: 3, perDomain: 8, groups: groups(1, 2, 8), duration: 3 * time.Minute, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		f.changeEngines("f0", func(e *engine) { e.hung = true })
		time.Sleep(60 * time.Second)
		f.changeEngines("f0", func(e *engine) { e.hung = false })
	}},
	{name: "domain-outage-4s", domains: 3, perDomain: 8, groups: groups(1, 2, 8), duration: 2 * time.Minute, limits: result{longestShortage: 5}, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		f.changeEngines("f0", func(e *engine) { e.hung = true })
		time.Sleep(4 * time.Second)
		f.changeEngines("f0", func(e *engine) { e.hung = false })
	}},
	{name: "deaths-of-two-replicas-without-spare", domains: 1, perDomain: 16, groups: groups(1, 2, 8), duration: 3 * time.Minute, limits: result{downtime: 26, longestShortage: 180, loads: 8}, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		f.changeEngines("f0-03", func(e *engine) { e.dead = true })
		f.changeEngines("f0-11", func(e *engine) { e.dead = true })
	}},
	{name: "flapping-member", limits: result{downtime: 76, longestShortage: 6}, domains: 1, perDomain: 8, groups: groups(1, 1, 8), duration: 10 * time.Minute, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		for range 15 {
			f.changeEngines("f0-03", func(e *engine) { e.dead = true })
			time.Sleep(5 * time.Second)
			f.changeEngines("f0-03", func(e *engine) { e.dead = false })
			time.Sleep(15 * time.Second)
		}
	}},
	{name: "restarting-member-with-spare", limits: result{downtime: 23, longestShortage: 23, loads: 8}, domains: 1, perDomain: 9, groups: groups(1, 1, 8), duration: 10 * time.Minute, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		for range 15 {
			f.changeEngines("f0-00", func(e *engine) { e.dead = true })
			time.Sleep(5 * time.Second)
			f.changeEngines("f0-00", func(e *engine) { e.restart() })
			time.Sleep(15 * time.Second)
		}
	}},
	{name: "restarting-member-without-spare", domains: 1, perDomain: 8, groups: groups(1, 1, 8), duration: 10 * time.Minute, limits: result{downtime: 450, longestShortage: 450, loads: 24}, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		for range 15 {
			f.changeEngines("f0-00", func(e *engine) { e.dead = true })
			time.Sleep(5 * time.Second)
			f.changeEngines("f0-00", func(e *engine) { e.restart() })
			time.Sleep(15 * time.Second)
		}
	}},
	{name: "placer-frozen-20s", limits: result{}, domains: 2, perDomain: 9, groups: groups(2, 1, 8), duration: 2 * time.Minute, injectFault: func(_ *testing.T, f *fleet, p *process) {
		p.freeze()
		time.Sleep(20 * time.Second)
		p.thaw()
	}},
	{name: "platform-out-20s", limits: result{}, domains: 2, perDomain: 9, groups: groups(2, 1, 8), duration: 2 * time.Minute, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		f.withLock(func() { f.unavailable = true })
		time.Sleep(20 * time.Second)
		f.withLock(func() { f.unavailable = false })
	}},
	{name: "roll-with-room", limits: result{loads: 16}, domains: 3, perDomain: 8, groups: groups(1, 2, 8), duration: 5 * time.Minute, injectFault: changeVersion},
	{name: "roll-without-room", limits: result{longestShortage: 25, loads: 16}, domains: 2, perDomain: 8, groups: groups(1, 2, 8), duration: 5 * time.Minute, injectFault: changeVersion},
	{name: "announced-replacement-of-every-instance", domains: 2, perDomain: 9, groups: groups(2, 1, 8), duration: 26 * time.Minute, limits: result{downtime: 500, longestShortage: 30, loads: 160}, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		for d := range 2 {
			for i := range 9 {
				n := fmt.Sprintf("f%d-%02d", d, i)
				f.changeEngines(n, func(e *engine) { e.leaving = true })
				time.Sleep(40 * time.Second)
				f.replace(n)
				time.Sleep(40 * time.Second)
			}
		}
	}},
	{name: "replacement-of-every-instance", limits: result{downtime: 370, longestShortage: 23, loads: 144}, domains: 2, perDomain: 9, groups: groups(2, 1, 8), duration: 13 * time.Minute, injectFault: func(_ *testing.T, f *fleet, _ *process) {
		for d := range 2 {
			for i := range 9 {
				f.replace(fmt.Sprintf("f%d-%02d", d, i))
				time.Sleep(40 * time.Second)
			}
		}
	}},
}

// changeVersion configures a new version of every group.
func changeVersion(t *testing.T, _ *fleet, p *process) {
	next := validator.Document{Groups: map[string]validator.Group{}}
	for n, g := range p.configurer.Current().Document().Groups {
		g.Version = "v2"
		next.Groups[n] = g
	}
	p.configure(t, 2, next)
}

// TestMeasureDowntime measures group downtime and stranded instances in virtual
// time, and checks the limits of each trial.
// Command: go test ./internal/placer -run TestMeasureDowntime -v -measure
func TestMeasureDowntime(t *testing.T) {
	for _, tc := range _trials {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(tc.domains, tc.perDomain, true, _loadTime)
				d := validator.Document{Groups: tc.groups}
				p := f.start("p1")
				defer p.stop()
				p.configure(t, 1, d)
				time.Sleep(_settleTime + 37*time.Millisecond)
				before := f.loads
				done := make(chan struct{})
				go func() {
					defer close(done)
					tc.injectFault(t, f, p)
				}()
				r := f.watch(d, tc.duration)
				r.loads = f.loads - before
				<-done
				if *_measure {
					fmt.Printf("| %s | %.1f | %.1f | %.1f | %.1f | %d |\n", tc.name, r.shortage, r.downtime, r.longestShortage, r.stranded, r.loads)
				}
				assert.LessOrEqual(t, r.downtime, tc.limits.downtime)
				assert.LessOrEqual(t, r.longestShortage, tc.limits.longestShortage)
				assert.LessOrEqual(t, r.loads, tc.limits.loads)
			})
		})
	}
}

// TestMeasureCost measures the calls, bytes and processor time per second of a
// lease holder over a settled fleet.
// Command: go test ./internal/placer -run TestMeasureCost -v -measure
func TestMeasureCost(t *testing.T) {
	if !*_measure {
		t.Skip("prints measurements only; run with -measure")
	}
	for _, n := range []int{10, 50, 100, 200, 400} {
		for _, g := range []int{1, n / 8} {
			measureCost(t, n, max(1, g))
		}
	}
}

// measureCost prints a row of the cost table.
func measureCost(t *testing.T, instances, replicas int) {
	synctest.Test(t, func(t *testing.T) {
		const length = time.Minute
		f := newFleet((instances+15)/16, 16, true, time.Second)
		for n := range f.engines {
			if len(f.engines) <= instances {
				break
			}
			delete(f.engines, n)
			delete(f.list, n)
		}
		p := f.start("p1")
		defer p.stop()
		p.configure(t, 1, validator.Document{Groups: groups(1, replicas, 8)})
		time.Sleep(_settleTime + 37*time.Millisecond)
		f.withLock(func() { f.bytes, f.calls = 0, map[string]int{} })
		start := processorTime()
		time.Sleep(length)
		spent := processorTime() - start
		f.withLock(func() {
			c := f.calls
			fmt.Printf("| %d | %d | %.2f | %.2f | %.2f | %.2f | %.1f | %.0f | %.1f |\n", instances, replicas,
				float64(c["get"])/length.Seconds(), float64(c["write"])/length.Seconds(), float64(c["list"])/length.Seconds(),
				float64(c["instances"])/length.Seconds(), float64(c["status"])/length.Seconds(), float64(f.bytes)/length.Seconds(),
				float64(spent.Microseconds())/length.Seconds())
		})
	})
}
