package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/engineclient"
	"github.com/lycheebarrow/lycheebarrow/internal/placementtracker"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _tokenTime is the time in which an engine generates one token.
const _tokenTime = 30 * time.Millisecond

func main() {
	streams := flag.Int("streams", 50, "`number` of concurrent drafts")
	tokens := flag.Int("tokens", 200, "`number` of tokens of each draft")
	flag.Parse()
	if err := run(*streams, *tokens); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

// run measures that many concurrent drafts of that many tokens each, and prints the
// results.
func run(streams, tokens int) error {
	s, err := startSystem(streams)
	if err != nil {
		return err
	}
	defer s.close()
	replica, err := s.servingReplica()
	if err != nil {
		return err
	}
	body := draftBody(tokens)
	directRequest := func() (*http.Request, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+replica.GetAddresses()[0]+"/v1/chat/completions", bytes.NewReader(body))
		if err == nil {
			req.Header.Set(engineclient.HeaderAttempt, "direct")
			req.Header.Set(engineclient.HeaderReplica, replica.GetName())
			req.Header.Set(engineclient.HeaderGeneration, strconv.FormatUint(replica.GetGeneration(), 10))
		}
		return req, err
	}
	entryRequest := func() (*http.Request, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.callersAddress+"/v1/chat/completions", bytes.NewReader(body))
		if err == nil {
			req.Header.Set("Authorization", "Bearer "+_key)
		}
		return req, err
	}
	fmt.Printf("%d concurrent drafts of %d tokens, %s per token\n", streams, tokens, _tokenTime)
	for _, target := range []struct {
		name         string
		buildRequest func() (*http.Request, error)
	}{{"direct", directRequest}, {"entry", entryRequest}} {
		r, err := measure(target.buildRequest, streams, tokens)
		if err != nil {
			return fmt.Errorf("%s: %w", target.name, err)
		}
		fmt.Println(target.name+":", r)
	}
	return nil
}

// draftBody returns the body of a request for a draft of that many tokens.
func draftBody(tokens int) []byte {
	body, _ := json.Marshal(engineclient.ChatRequest{
		Model: "form-assistant", Stream: true,
		Messages: []engineclient.ChatMessage{{Role: "user", Content: fmt.Sprintf("visa form [tokens=%d]", tokens)}},
	})
	return body
}

// result holds the measurements of drafts sent to one target.
type result struct {
	// first and whole are the times to the first line and to the end of each draft.
	first, whole  []time.Duration
	processorTime time.Duration
	bytes         int
	tokens        int
	heap          int64 // bytes per open stream
}

// String returns the result on one line.
func (r result) String() string {
	return fmt.Sprintf("first token p50 %s p99 %s; whole draft p50 %s p99 %s; processor time %.1f us per token; %d bytes per token; heap %d bytes per stream",
		quantile(r.first, 50), quantile(r.first, 99), quantile(r.whole, 50), quantile(r.whole, 99),
		float64(r.processorTime.Microseconds())/float64(r.tokens), r.bytes/r.tokens, r.heap)
}

// quantile sorts d and returns its quantile, rounded to 0.1 ms.
func quantile(d []time.Duration, percent int) time.Duration {
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[(len(d)-1)*percent/100].Round(100 * time.Microsecond)
}

// measure sends concurrent drafts, and reads the memory in use halfway through them.
func measure(buildRequest func() (*http.Request, error), streams, tokens int) (result, error) {
	var r result
	var mu sync.Mutex
	var group sync.WaitGroup
	var failures []error
	heapBefore, processorBefore := heap(), processorTime()
	for range streams {
		group.Go(func() {
			first, whole, n, err := sendDraft(buildRequest)
			mu.Lock()
			defer mu.Unlock()
			failures = append(failures, err)
			r.first, r.whole, r.bytes = append(r.first, first), append(r.whole, whole), r.bytes+n
		})
	}
	time.Sleep(time.Duration(tokens) * _tokenTime / 2)
	r.heap = (heap() - heapBefore) / int64(streams)
	group.Wait()
	r.processorTime, r.tokens = processorTime()-processorBefore, streams*tokens
	return r, errors.Join(failures...)
}

// sendDraft requests a draft and reads it up to its end marker. It returns the times to the
// first line and to the end marker, and the number of bytes read.
func sendDraft(buildRequest func() (*http.Request, error)) (first, whole time.Duration, n int, err error) {
	req, err := buildRequest()
	if err != nil {
		return 0, 0, 0, err
	}
	sent := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		return 0, 0, 0, fmt.Errorf("status %d: %s", res.StatusCode, text)
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		n += len(lines.Bytes()) + 1
		if first == 0 {
			first = time.Since(sent)
		}
		if strings.HasSuffix(lines.Text(), "[DONE]") {
			return first, time.Since(sent), n, nil
		}
	}
	return 0, 0, 0, errors.New("the response has no end marker [DONE]")
}

// processorTime returns the time that this process has used, user plus system.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of the heap and the stacks that are in use after a garbage
// collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// servingReplica waits until the group's replica is serving and returns it.
func (s *system) servingReplica() (*wire.Replica, error) {
	const timeout = 20 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, value := range s.platform.Objects(placementtracker.KeyPrefix) {
			var p wire.Placement
			if err := protojson.Unmarshal(value, &p); err != nil {
				return nil, err
			}
			for _, r := range p.GetReplicas() {
				if r.GetState() == wire.ReplicaState_REPLICA_STATE_SERVING {
					// The entry may not have read the placement yet.
					time.Sleep(time.Second)
					return r, nil
				}
			}
		}
	}
	return nil, context.DeadlineExceeded
}
