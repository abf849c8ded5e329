//go:build review3

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the case are those of tallowgum-qld-grown for its servers and its smallest
// machines.
const (
	_memoryMB   = 184
	_engines    = 162
	_domainSize = 27
	_callers    = 800
	_ordinary   = 12
	// The crowd calls one machine in each round, for _roundTime; the engines are in trouble in the
	// middle of it, for _troubleTime.
	_rounds      = 6
	_settleTime  = 4 * time.Second
	_troubleTime = 5 * time.Second
	_restTime    = 2 * time.Second
	// A day counts 0 if on a tenth of the machines in use, two at least, processes end by
	// themselves _faultEnds times.
	_faultEnds, _faultMachines = 3, 2
	_restartDelay              = time.Second
)

// heads: a crowd calls one machine while all engines send heads without end. The platform kills a
// process that exceeds the memory of its machine, and starts it again.
func heads(w *world) error {
	models["large"] = model{size: 12, load: 16 * time.Second, warm: 1600 * time.Millisecond, share: 0.67, pace: 1}
	models["small"] = model{size: 6, load: 12 * time.Second, warm: 1100 * time.Millisecond, share: 0.33, pace: 0.6}
	w.fleet.slots = 48
	w.memory, w.descriptors, w.share = strconv.Itoa(_memoryMB), "4100", "0.192"
	w.configure()
	zones := []string{"a", "b", "c"}
	for i := range _engines {
		d := i / _domainSize
		if err := w.fleet.add(fmt.Sprintf("e%03d", i), zones[d%len(zones)], fmt.Sprintf("d%d", d)); err != nil {
			return err
		}
	}
	for i, zone := range zones {
		if err := w.addMachine(fmt.Sprintf("front-%d", i), zone); err != nil {
			return err
		}
	}
	if !w.until("16 groups are open", 30*time.Second, func() bool { return w.fleet.openGroups() >= 16 }) {
		return errors.New("the groups did not open")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	guard := &memoryGuard{world: w, ends: make(map[string]int), peak: make(map[string]int)}
	var group sync.WaitGroup
	for _, m := range w.machines {
		group.Go(func() { guard.watch(ctx, m) })
	}
	for i := range _ordinary {
		group.Go(func() { w.callAll(ctx, i) })
	}
	time.Sleep(3 * time.Second)
	for round := range _rounds {
		m := w.machines[round%_faultMachines]
		w.record.printf("round %d: %d callers at %s", round, _callers, m.name)
		w.playCrowd(m)
		w.record.printf("results so far: %s; largest memory in kB: %v; ends: %v", w.resultText(), guard.peak, guard.ends)
	}
	cancel()
	group.Wait()
	guard.check()
	return nil
}

// playCrowd plays one round.
func (w *world) playCrowd(m *machine) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range _callers {
		group.Go(func() { w.call(ctx, m, i) })
	}
	time.Sleep(_settleTime)
	if w.trouble {
		w.fleet.setTrouble(troubleHeads, 10)
	}
	time.Sleep(_troubleTime)
	w.fleet.setTrouble(troubleNone, 0)
	time.Sleep(_restTime)
	cancel()
	group.Wait()
}

// callAll is an ordinary caller, which calls all machines in turn.
func (w *world) callAll(ctx context.Context, n int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ; ctx.Err() == nil; n++ {
		w.send(ctx, client, w.machines[n%len(w.machines)], request{kind: kinds[n/3%2]})
		time.Sleep(200 * time.Millisecond)
	}
}

// call is one caller: it sends one request after the other, waits for each answer, and waits as a
// refusal tells it to.
func (w *world) call(ctx context.Context, m *machine, n int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ; ctx.Err() == nil; n++ {
		wait := w.send(ctx, client, m, request{kind: kinds[n%2], alone: true})
		select {
		case <-ctx.Done():
		case <-time.After(max(wait, 50*time.Millisecond)):
		}
	}
}

// memoryGuard does what the platform does: it kills a process that exceeds the memory of its
// machine, and starts it again.
type memoryGuard struct {
	world *world
	mu    sync.Mutex
	// ends counts the kills, and peak is the largest memory, in kB, by machine.
	ends, peak map[string]int
}

func (g *memoryGuard) watch(ctx context.Context, m *machine) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		n := m.residentKB()
		g.mu.Lock()
		g.peak[m.name] = max(g.peak[m.name], n)
		g.mu.Unlock()
		if n <= _memoryMB*1024 {
			continue
		}
		g.world.record.printf("%s has %d kB of memory, its machine %d kB: the platform kills it", m.name, n, _memoryMB*1024)
		m.kill()
		g.mu.Lock()
		g.ends[m.name]++
		g.mu.Unlock()
		time.Sleep(_restartDelay)
		if err := m.start(); err != nil {
			g.world.record.printf("start %s: %v", m.name, err)
			return
		}
	}
}

// check checks the rule Fault.
func (g *memoryGuard) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.world.record.printf("largest memory in kB: %v; ends: %v", g.peak, g.ends)
	fmt.Printf("largest memory in kB, of %d: %v; ends: %v\n", _memoryMB*1024, g.peak, g.ends)
	n := 0
	for _, ends := range g.ends {
		if ends >= _faultEnds {
			n++
		}
	}
	if n >= _faultMachines {
		g.world.fleet.violate("Fault: on %d of %d machines processes ended %d times or more, with more memory than their machines have", n, len(g.world.machines), _faultEnds)
	}
}

// residentKB returns the memory of the process as the kernel counts it, without the bytes that
// it has received and not read, in kB.
func (m *machine) residentKB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.processID()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}
