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
	"github.com/lycheebarrow/lycheebarrow/internal/watcher"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// _tokenTime is the engines' time for one token.
const _tokenTime = 30 * time.Millisecond

func main() {
	streams := flag.Int("streams", 50, "drafts at once")
	tokens := flag.Int("tokens", 200, "tokens of each draft")
	flag.Parse()
	if err := run(*streams, *tokens); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

func run(streams, tokens int) error {
	s, err := start(streams)
	if err != nil {
		return err
	}
	defer s.close()
	replica, err := s.replica()
	if err != nil {
		return err
	}
	body := chat(tokens)
	direct := func() (*http.Request, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+replica.GetAddresses()[0]+"/v1/chat/completions", bytes.NewReader(body))
		if err == nil {
			req.Header.Set(engineclient.HeaderAttempt, "direct")
			req.Header.Set(engineclient.HeaderReplica, replica.GetName())
			req.Header.Set(engineclient.HeaderGeneration, strconv.FormatUint(replica.GetGeneration(), 10))
		}
		return req, err
	}
	entry := func() (*http.Request, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.callers+"/v1/chat/completions", bytes.NewReader(body))
		if err == nil {
			req.Header.Set("Authorization", "Bearer "+_key)
		}
		return req, err
	}
	fmt.Printf("%d drafts at once of %d tokens, %s a token\n", streams, tokens, _tokenTime)
	for _, way := range []struct {
		name string
		make func() (*http.Request, error)
	}{{"direct", direct}, {"entry", entry}} {
		m, err := measure(way.make, streams, tokens)
		if err != nil {
			return fmt.Errorf("%s: %w", way.name, err)
		}
		fmt.Println(way.name+":", m)
	}
	return nil
}

func chat(tokens int) []byte {
	body, _ := json.Marshal(engineclient.ChatRequest{
		Model: "form-assistant", Stream: true,
		Messages: []engineclient.ChatMessage{{Role: "user", Content: fmt.Sprintf("visa form [tokens=%d]", tokens)}},
	})
	return body
}

// result is what one way of sending drafts took.
type result struct {
	first, whole []time.Duration
	processor    time.Duration
	bytes        int
	tokens       int
	heap         int64 // bytes for each open stream
}

// String shows the result on one line.
func (r result) String() string {
	return fmt.Sprintf("first token p50 %s p99 %s; whole p50 %s p99 %s; processor %.1f us a token; %d bytes a token; heap %d bytes a stream",
		quantile(r.first, 50), quantile(r.first, 99), quantile(r.whole, 50), quantile(r.whole, 99),
		float64(r.processor.Microseconds())/float64(r.tokens), r.bytes/r.tokens, r.heap)
}

func quantile(d []time.Duration, percent int) time.Duration {
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[(len(d)-1)*percent/100].Round(100 * time.Microsecond)
}

func measure(build func() (*http.Request, error), streams, tokens int) (result, error) {
	var r result
	var mu sync.Mutex
	var group sync.WaitGroup
	var failures []error
	idle, spent := heap(), processor()
	for range streams {
		group.Go(func() {
			first, whole, n, err := draft(build)
			mu.Lock()
			defer mu.Unlock()
			failures = append(failures, err)
			r.first, r.whole, r.bytes = append(r.first, first), append(r.whole, whole), r.bytes+n
		})
	}
	time.Sleep(time.Duration(tokens) * _tokenTime / 2)
	r.heap = (heap() - idle) / int64(streams)
	group.Wait()
	r.processor, r.tokens = processor()-spent, streams*tokens
	return r, errors.Join(failures...)
}

// draft sends one draft and reads it to its end marker.
func draft(build func() (*http.Request, error)) (first, whole time.Duration, n int, err error) {
	req, err := build()
	if err != nil {
		return 0, 0, 0, err
	}
	begun := time.Now()
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
			first = time.Since(begun)
		}
		if strings.HasSuffix(lines.Text(), "[DONE]") {
			return first, time.Since(begun), n, nil
		}
	}
	return 0, 0, 0, errors.New("no end marker")
}

func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// replica waits until the group is served and returns its replica.
func (s *system) replica() (*wire.Replica, error) {
	const limit = 20 * time.Second
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, value := range s.platform.Objects(watcher.KeyPrefix) {
			var p wire.Placement
			if err := protojson.Unmarshal(value, &p); err != nil {
				return nil, err
			}
			for _, r := range p.GetReplicas() {
				if r.GetState() == wire.ReplicaState_REPLICA_STATE_SERVING {
					time.Sleep(time.Second)
					return r, nil
				}
			}
		}
	}
	return nil, context.DeadlineExceeded
}
