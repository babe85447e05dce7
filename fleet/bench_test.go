package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"briarreach/fleet"
	"briarreach/standin"
)

const (
	benchRate     = 500 // requests/s
	benchDuration = 5 * time.Second
	benchWorkers  = 64
)

func chatBody(i int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Tour %d"}]}`, fleet.Model, i)
}

func newBenchFleet(b *testing.B) *fleet.Fleet {
	b.Helper()
	f, err := fleet.New(context.Background(), fleet.WithSize(1, 2, 0), fleet.WithPrepaid(1<<40), fleet.WithCapacity(512),
		fleet.WithLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}),
		fleet.WithEngineOptions(standin.WithEngineCapacity(1024, 1<<24), standin.WithEngineAnswerTokens(8, 8)))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close(context.Background()) })
	return f
}

// timeToFirstByte sends a request, reads the whole answer and returns the time to
// its first byte.
func timeToFirstByte(client *http.Client, url, key, body string) (time.Duration, error) {
	start := time.Now()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var one [1]byte
	if _, err := io.ReadFull(response.Body, one[:]); err != nil {
		return 0, err
	}
	first := time.Since(start)
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || !strings.HasSuffix(string(answer), "data: [DONE]\n\n") {
		return 0, fmt.Errorf("status %d: %s: %w", response.StatusCode, answer, err)
	}
	return first, nil
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * benchWorkers}}
}

// runOpenLoop sends benchRate requests per second without waiting for answers.
// The histogram holds the times to the first byte in microseconds.
func runOpenLoop(b *testing.B, url, key string) *hdrhistogram.Histogram {
	b.Helper()
	client := newHTTPClient()
	h := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / benchRate)
	defer ticker.Stop()
	for i := range int(benchDuration.Seconds() * benchRate) {
		<-ticker.C
		group.Go(func() {
			d, err := timeToFirstByte(client, url, key, chatBody(i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				b.Error(err)
				return
			}
			_ = h.RecordValue(d.Microseconds())
		})
	}
	group.Wait()
	return h
}

// BenchmarkFirstToken measures the time to the first token at 500 requests/s,
// directly at an engine and through an entry and an agent.
func BenchmarkFirstToken(b *testing.B) {
	f := newBenchFleet(b)
	direct := runOpenLoop(b, f.Engines[0].URL()+"/v1/chat/completions", "")
	routed := runOpenLoop(b, "http://"+f.Entries[0].CallerAddr().String()+"/v1/chat/completions", f.CallerKey)
	for _, q := range []float64{50, 99} {
		d, r := float64(direct.ValueAtQuantile(q)), float64(routed.ValueAtQuantile(q))
		b.ReportMetric(d, fmt.Sprintf("direct_p%.0f_us", q))
		b.ReportMetric(r, fmt.Sprintf("routed_p%.0f_us", q))
		b.ReportMetric(r-d, fmt.Sprintf("added_p%.0f_us", q))
	}
}

// runClosedLoop sends requests with benchWorkers workers, each waiting for its
// answer, and returns the answers per second.
func runClosedLoop(b *testing.B, url, key string) float64 {
	b.Helper()
	client := newHTTPClient()
	var sent atomic.Int64
	var group sync.WaitGroup
	start := time.Now()
	for range benchWorkers {
		group.Go(func() {
			for time.Since(start) < benchDuration {
				if _, err := timeToFirstByte(client, url, key, chatBody(int(sent.Load()))); err != nil {
					b.Error(err)
					return
				}
				sent.Add(1)
			}
		})
	}
	group.Wait()
	return float64(sent.Load()) / time.Since(start).Seconds()
}

// BenchmarkThroughput measures the short requests per second through one entry
// with two agents, and directly at an engine.
func BenchmarkThroughput(b *testing.B) {
	f := newBenchFleet(b)
	direct := runClosedLoop(b, f.Engines[0].URL()+"/v1/chat/completions", "")
	routed := runClosedLoop(b, "http://"+f.Entries[0].CallerAddr().String()+"/v1/chat/completions", f.CallerKey)
	b.ReportMetric(direct, "direct_req/s")
	b.ReportMetric(routed, "routed_req/s")
	b.ReportMetric(routed/direct, "ratio")
}
