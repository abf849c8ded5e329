//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lycheebarrow/lycheebarrow/platform/stub"
)

// model is a model of the configuration, as PROTOCOL.md describes it.
type model struct {
	size        int
	load, warm  time.Duration
	share, pace float64
}

var models = map[string]model{
	"large": {size: 6, load: 16 * time.Second, warm: 1600 * time.Millisecond, share: 0.67, pace: 1},
	"small": {size: 3, load: 12 * time.Second, warm: 1100 * time.Millisecond, share: 0.33, pace: 0.6},
}

const (
	heartbeat = 1200 * time.Millisecond
	formTime  = 300 * time.Millisecond
	stallTime = 6 * time.Second
	eventTime = 45 * time.Millisecond
)

// membership is the group of an engine. members is the list of the join, the head first.
type membership struct {
	name    string
	epoch   uint64
	rank    int
	state   string
	members []string
}

// groupKey is a group by name, epoch and list.
func (m *membership) key() string {
	return fmt.Sprintf("%s/%d/%s", m.name, m.epoch, strings.Join(m.members, ","))
}

// engine is a model server that follows PROTOCOL.md. The mutex of its fleet guards it.
type engine struct {
	fleet            *fleet
	id, zone, domain string
	address          string
	server           *http.Server
	born             int64
	dead, leaving    bool
	group            *membership
	model, lastModel string
	staged           string
	stagingUntil     time.Time
	staging          string
	highestEpoch     uint64
	sequence         uint64
	running          map[int]context.CancelFunc
	nextRun          int
	incompleteSince  time.Time
}

// fleet is all engines of the service.
type fleet struct {
	mu      sync.Mutex
	store   *stub.Store
	record  *record
	engines map[string]*engine
	traffic bool
	// trouble is what troubleTenths in 10 engines do in place of a response.
	trouble       trouble
	troubleTenths int
	// troubleModel limits the trouble to the heads of a model's groups; empty if it does not.
	troubleModel string
	slots        int
	everReady    map[string]map[string]bool // members that have been ready, by group key
	runs         map[string]int
	violations   []string
}

func newFleet(s *stub.Store, r *record) *fleet {
	return &fleet{store: s, record: r, engines: make(map[string]*engine), everReady: make(map[string]map[string]bool), runs: make(map[string]int), trouble: troubleNone}
}

// add starts an engine. staged is the model on its host, or empty.
func (f *fleet) add(id, zone, domain string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &engine{fleet: f, id: id, zone: zone, domain: domain, address: l.Addr().String(), born: time.Now().UnixMilli(), running: make(map[int]context.CancelFunc)}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	f.mu.Lock()
	f.engines[id] = e
	e.writeEntry()
	f.mu.Unlock()
	go func() { _ = e.server.Serve(l) }()
	go func() {
		for {
			time.Sleep(heartbeat)
			f.mu.Lock()
			if e.dead {
				f.mu.Unlock()
				return
			}
			e.writeEntry()
			f.mu.Unlock()
		}
	}()
	return nil
}

func (e *engine) shared() map[string]any {
	list := []any{}
	if e.model != "" {
		list = append(list, map[string]any{"name": e.model, "version": 1, "adapters": []string{}})
	}
	out := map[string]any{"born": e.born, "models": list, "domain": e.domain, "staged": []string{}}
	if e.staged != "" {
		out["staged"] = []string{e.staged}
	}
	if g := e.group; g != nil {
		out["group"] = map[string]any{"name": g.name, "epoch": g.epoch, "rank": g.rank, "state": g.state}
	} else {
		out["group"] = nil
	}
	return out
}

// writeEntry writes the engine's entry. The caller holds the mutex.
func (e *engine) writeEntry() {
	if e.dead {
		return
	}
	x := e.shared()
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	x["service"], x["address"], x["zone"], x["version"], x["slots"], x["state"], x["coldRemainingMs"], x["sequence"] = "engines", e.address, e.zone, 1, e.fleet.slots, state, 0, 1
	e.fleet.store.Put("servers", e.id, x)
}

// after changes the engine after d unless it has ended.
func (e *engine) after(d time.Duration, change func()) {
	time.AfterFunc(d, func() {
		e.fleet.mu.Lock()
		defer e.fleet.mu.Unlock()
		if !e.dead {
			change()
			e.writeEntry()
		}
	})
}

type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	Mode      string   `json:"mode"`
	Expect    *uint64  `json:"expect"`
}

// ServeHTTP serves reports, orders and requests.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f := e.fleet
	switch r.URL.Path {
	case "/-/report":
		f.mu.Lock()
		x := e.shared()
		x["stage"], x["busy"], x["sequence"], x["waiting"], x["running"], x["kvUsed"], x["kvTotal"], x["handles"], x["pace"] = "both", e.staging != "", e.sequence, 0, len(e.running), 0, 2470000, 0, 1.0
		f.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(x)
	case "/-/order":
		var o order
		if json.Unmarshal(body, &o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		f.mu.Lock()
		status := e.execute(o)
		f.record.printf("order %s to %s: %s epoch %d (term %d, number %d) members %v: status %d", o.Operation, e.id, o.Group, o.Epoch, o.Epoch>>20, o.Epoch&(1<<20-1), o.Members, status)
		f.mu.Unlock()
		w.WriteHeader(status)
	default:
		e.serveRequest(w, r)
	}
}

// execute carries out an order. The caller holds the mutex.
func (e *engine) execute(o order) int {
	if o.Expect != nil && *o.Expect != e.sequence {
		return http.StatusConflict
	}
	isMember := e.group != nil && e.group.name == o.Group && e.group.epoch == o.Epoch
	isHead := isMember && e.group.rank == 0
	switch {
	case o.Operation == "stage":
		e.staging = o.Model
		e.after(e.loadTime(o.Model), func() { e.staged, e.staging = o.Model, "" })
	case o.Operation == "join":
		if o.Epoch < e.highestEpoch || isMember && !slices.Equal(o.Members, e.group.members) {
			return http.StatusPreconditionFailed
		}
		if isMember {
			return http.StatusOK
		}
		e.join(o)
	case o.Operation == "open" && isHead && e.group.state == "ready":
		g := e.group
		e.after(formTime, func() {
			if e.group == g && g.state == "ready" {
				g.state = "open"
				e.incompleteSince = time.Time{}
			}
		})
	case o.Operation == "open" && isHead && e.group.state == "open":
		return http.StatusOK
	case o.Operation == "close" && isHead && (e.group.state == "open" || e.group.state == "closing"):
		e.group.state = "closing"
		if o.Mode == "evict" {
			for _, cancel := range e.running {
				cancel()
			}
			e.group.state = "ready"
		}
		e.endClosing()
	case o.Operation == "close" && isHead && e.group.state == "broken":
		e.group.state = "ready"
	case o.Operation == "leave" && isMember:
		e.group = nil
	default:
		return http.StatusConflict
	}
	e.sequence++
	e.writeEntry()
	return http.StatusAccepted
}

// endClosing ends a close once no request runs. The caller holds the mutex.
func (e *engine) endClosing() {
	if e.group != nil && e.group.state == "closing" && len(e.running) == 0 {
		e.group.state = "ready"
	}
}

func (e *engine) loadTime(name string) time.Duration {
	d := models[name].load
	if !e.fleet.traffic {
		d /= 10
	}
	return d
}

// join checks rule TWO and begins to join a group. The caller holds the mutex.
func (e *engine) join(o order) {
	f := e.fleet
	if g := e.group; g != nil && g.rank != 0 {
		h := f.engines[g.members[0]]
		if h != nil && !h.dead && h.group != nil && h.group.key() == g.key() && (h.group.state == "open" || h.group.state == "closing") {
			f.violate("TWO: %s takes a join of %s epoch %d while %s, the head of its group %s epoch %d, is %s", e.id, o.Group, o.Epoch, h.id, g.name, g.epoch, h.group.state)
		}
	} else if g != nil && (g.state == "open" || g.state == "closing") {
		f.violate("TWO: %s takes a join of %s epoch %d while it is the head of %s epoch %d, which is %s", e.id, o.Group, o.Epoch, g.name, g.epoch, g.state)
	}
	m := models[o.Model]
	d := e.loadTime(o.Model)
	switch {
	case e.lastModel == o.Model:
		d = 200 * time.Millisecond
	case e.staged == o.Model:
		d = m.warm
	}
	g := &membership{name: o.Group, epoch: o.Epoch, rank: slices.Index(o.Members, e.id), state: "joining", members: o.Members}
	e.group, e.highestEpoch, e.lastModel, e.model = g, o.Epoch, o.Model, ""
	e.after(d, func() {
		if e.group == g && g.state == "joining" {
			g.state, e.model, e.staged = "ready", o.Model, o.Model
			if f.everReady[g.key()] == nil {
				f.everReady[g.key()] = make(map[string]bool)
			}
			f.everReady[g.key()][e.id] = true
		}
	})
}

func (f *fleet) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.violations = append(f.violations, text)
	f.record.printf("BROKEN %s", text)
}

// missing returns the first member of a head's list that is not in the group now, or "".
func (e *engine) missing() string {
	for _, id := range e.group.members {
		m := e.fleet.engines[id]
		if m == nil || m.dead || m.group == nil || m.group.name != e.group.name || m.group.epoch != e.group.epoch || m.group.state == "joining" {
			return id
		}
	}
	return ""
}

// requestState returns "serves", "stalls" or "refuses" and the server at fault. The caller holds
// the mutex.
func (e *engine) requestState() (string, string) {
	if e.group == nil || e.group.rank != 0 || e.group.state != "open" {
		return "refuses", ""
	}
	m := e.missing()
	if m == "" {
		e.incompleteSince = time.Time{}
		return "serves", ""
	}
	if e.incompleteSince.IsZero() {
		e.incompleteSince = time.Now()
	}
	if time.Since(e.incompleteSince) < stallTime {
		return "stalls", m
	}
	e.group.state = "broken"
	e.writeEntry()
	return "refuses", m
}

// await waits until the group serves.
func (e *engine) await(ctx context.Context) (bool, string) {
	for {
		e.fleet.mu.Lock()
		dead := e.dead
		state, fault := e.requestState()
		e.fleet.mu.Unlock()
		switch {
		case dead || ctx.Err() != nil:
			panic(http.ErrAbortHandler)
		case state == "serves":
			return true, ""
		case state == "refuses":
			return false, fault
		}
		time.Sleep(eventTime)
	}
}

// checkPartial checks rule PARTIAL as a request begins to run. The caller holds the mutex.
func (e *engine) checkPartial(id string) {
	g := e.group
	if len(g.members) != models[e.model].size {
		e.fleet.violate("PARTIAL: %s begins to run in %s epoch %d, which has %d members", id, g.name, g.epoch, len(g.members))
	}
	for _, m := range g.members {
		if !e.fleet.everReady[g.key()][m] {
			e.fleet.violate("PARTIAL: %s begins to run in %s epoch %d, of which %s has never been ready", id, g.name, g.epoch, m)
		}
	}
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	f, id := e.fleet, r.Header.Get("Attempt-Id")
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	w.Header().Set("Attempt-Id", id)
	ok, fault := e.await(ctx)
	f.mu.Lock()
	if ok && (e.group == nil || r.Header.Get("Model") != e.model) {
		ok = false
	}
	if !ok {
		f.mu.Unlock()
		if fault != "" {
			w.Header().Set("At-Server", fault)
		}
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	inTrouble := f.trouble != troubleNone && e.isInTrouble()
	if inTrouble && f.trouble != troubleEvents {
		f.mu.Unlock()
		f.sendWithoutEnd(ctx, w, id)
		return
	}
	f.traffic = true
	f.runs[id]++
	e.checkPartial(id)
	n := e.nextRun
	e.nextRun++
	e.running[n] = cancel
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(e.running, n)
		e.endClosing()
		f.mu.Unlock()
	}()
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, tokens, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	last, _ := strconv.Atoi(tokens)
	last /= 6
	w.Header().Set("Server-Seal", "seal-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= last; i++ {
		time.Sleep(eventTime)
		if ok, _ := e.await(ctx); !ok {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if inTrouble && i == from+eventsBeforeTrouble {
			e.fleet.sendNoEvents(ctx, w)
		}
	}
}

// eventsBeforeTrouble is how many events an engine in trouble still sends.
const eventsBeforeTrouble = 5

// noEvent is what an engine in trouble sends in a stream.
const noEvent = "these bytes are no event\n\n"

// sendNoEvents sends bytes that are no events until the caller closes.
func (f *fleet) sendNoEvents(ctx context.Context, w http.ResponseWriter) {
	for ctx.Err() == nil {
		time.Sleep(eventTime)
		if _, err := io.WriteString(w, noEvent); err != nil {
			break
		}
		if http.NewResponseController(w).Flush() != nil {
			break
		}
	}
	panic(http.ErrAbortHandler)
}

// headRate is how many bytes of a head without end an engine sends a second.
const headRate = 2700

// trouble is what engines in trouble do.
type trouble string

const (
	troubleNone trouble = "none"
	// troubleHeads: they send heads without end, headRate bytes a second.
	troubleHeads trouble = "heads without end"
	// troubleBytes: they send bytes without end that are no answer.
	troubleBytes trouble = "bytes without end"
	// troubleEvents: they send bytes without end, with blank lines, after the first events of a
	// stream.
	troubleEvents trouble = "bytes without end in a stream"
)

// setTroubleModel limits the trouble to the heads of a model's groups.
func (f *fleet) setTroubleModel(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.troubleModel = name
}

// sendWithoutEnd sends the bytes of a server in trouble until the caller closes or the trouble
// ends.
func (f *fleet) sendWithoutEnd(ctx context.Context, w http.ResponseWriter, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	const pause = 50 * time.Millisecond
	out := ""
	for n := 0; ctx.Err() == nil; time.Sleep(pause) {
		switch f.currentTrouble() {
		case troubleNone:
			return
		case troubleHeads:
			if n == 0 {
				out = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n"
			}
			for len(out) < headRate/int(time.Second/pause) {
				out += fieldName(n) + ":\n"
				n++
			}
		case troubleBytes:
			out = strings.Repeat("no answer ", 100)
		}
		if _, err := io.WriteString(c, out); err != nil {
			return
		}
		out = ""
	}
}

// isInTrouble reports whether the engine is one of those in trouble. The caller holds the mutex.
func (e *engine) isInTrouble() bool {
	n, _ := strconv.Atoi(e.id[1:])
	if m := e.fleet.troubleModel; m != "" {
		return e.model == m
	}
	return n*7%10 < e.fleet.troubleTenths
}

func (f *fleet) currentTrouble() trouble {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.trouble
}

// setTrouble sets what so many tenths of the engines do from now on.
func (f *fleet) setTrouble(t trouble, tenths int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trouble, f.troubleTenths = t, tenths
	who := fmt.Sprintf("%d in 10 engines", tenths)
	if f.troubleModel != "" {
		who = "the engines with model " + f.troubleModel
	}
	f.record.printf("trouble of %s: %s", who, t)
}

// fieldName returns the nth of the shortest names of fields.
func fieldName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	const count = len(letters)
	if n < count*count {
		return string([]byte{letters[n/count], letters[n%count]})
	}
	n -= count * count
	return string([]byte{letters[n/count/count%count], letters[n/count%count], letters[n%count]})
}

// openGroups returns how many groups serve.
func (f *fleet) openGroups() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		if !e.dead && e.group != nil && e.group.rank == 0 && e.group.state == "open" && e.missing() == "" {
			n++
		}
	}
	return n
}
