package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"briarreach/peer"
	"briarreach/standin"
)

// pair returns a dialling endpoint and the addresses of n serving ones.
func pair(b *testing.B, n int, h peer.Handler) (*peer.Endpoint, []netip.AddrPort) {
	b.Helper()
	fleet, err := peer.NewAuthority()
	fail(b, err)
	start := func(process string, role peer.Role, opts ...peer.Option) *peer.Endpoint {
		issued, err := fleet.Issue(process, role, []netip.Addr{loopback}, time.Hour)
		fail(b, err)
		c, err := issued.Credentials()
		fail(b, err)
		e, err := peer.New(append(opts, peer.WithCredentials(c))...)
		fail(b, err)
		b.Cleanup(func() { _ = e.Close() })
		return e
	}
	var addresses []netip.AddrPort
	for i := range n {
		addresses = append(addresses, start(fmt.Sprint("agent-", i), peer.AgentRole, peer.WithHandler(h)).Addr())
	}
	return start("entry-1", peer.EntryRole), addresses
}

func fail(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func BenchmarkEncodeFrame(b *testing.B) {
	for _, size := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := peer.Frame{Offset: 1 << 20, Data: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				_, err := peer.Encode(f)
				fail(b, err)
			}
		})
	}
}

func BenchmarkDecodeFrame(b *testing.B) {
	for _, size := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			encoded, err := peer.Encode(peer.Frame{Offset: 1 << 20, Data: make([]byte, size)})
			fail(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, _, err := peer.Decode(encoded)
				fail(b, err)
			}
		})
	}
}

// BenchmarkFrames sends frames on one stream over loopback.
func BenchmarkFrames(b *testing.B) {
	for _, size := range []int{64, 1024} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			client, to := pair(b, 1, func(_ context.Context, s *peer.Stream) {
				for {
					m, err := s.Receive()
					if err != nil {
						return
					}
					if _, last := m.(peer.Final); last {
						_ = s.Send(m)
					}
				}
			})
			s, err := client.Open(b.Context(), to[0])
			fail(b, err)
			defer s.Abort()
			f := peer.Frame{Data: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				fail(b, s.Send(f))
			}
			fail(b, s.Send(peer.Final{}))
			_, err = s.Receive()
			fail(b, err)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "frames/s")
		})
	}
}

// answer is a short request's answer.
func answer(_ context.Context, s *peer.Stream) {
	m, err := s.Receive()
	if err != nil {
		return
	}
	_ = errors.Join(
		s.Send(peer.Head{AttemptID: m.(peer.Dispatch).AttemptID, Status: 200, ContentType: "application/json"}),
		s.Send(peer.Frame{Data: make([]byte, 512)}),
		s.Send(peer.Final{Length: 512, Outcome: peer.OutcomeComplete, Execution: peer.ExecutionRan}))
}

func exchange(ctx context.Context, client *peer.Endpoint, to netip.AddrPort) error {
	s, err := client.Open(ctx, to)
	if err != nil {
		return err
	}
	defer s.Abort()
	err = s.Send(peer.Dispatch{RequestID: "01JEXAMPLE", AttemptID: "01JEXAMPLE", Workspace: "workspace", Budget: "budget",
		Holder: "01JHOLDER", Target: "engine-1", Version: "v1", Route: "model", Method: "POST", Path: "/v1/chat/completions",
		Deadline: time.Unix(1796359320, 0).UTC(), Body: make([]byte, 1024), CreditBytes: window})
	if err != nil {
		return err
	}
	for {
		m, err := s.Receive()
		if err != nil {
			return err
		}
		if _, last := m.(peer.Final); last {
			return s.CloseSend()
		}
	}
}

// report prints quantiles of a histogram of nanoseconds.
func report(b *testing.B, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
}

// BenchmarkExchangeAt500 starts an exchange (Open, Dispatch, Head, Frame, Final)
// every 2 ms, whether or not the ones before have ended.
func BenchmarkExchangeAt500(b *testing.B) {
	client, to := pair(b, 4, answer)
	for _, a := range to {
		fail(b, exchange(b.Context(), client, a))
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	b.ResetTimer()
	for i := range b.N {
		<-tick.C
		all.Go(func() {
			start := time.Now()
			if err := exchange(b.Context(), client, to[i%len(to)]); err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(int64(time.Since(start)))
		})
	}
	all.Wait()
	report(b, h)
}

// BenchmarkExchanges runs concurrent exchanges with 4 agents. Both sides run in
// this process.
func BenchmarkExchanges(b *testing.B) {
	for _, concurrency := range []int{8, 64, 512} {
		b.Run(fmt.Sprint(concurrency), func(b *testing.B) {
			client, to := pair(b, 4, answer)
			b.ReportAllocs()
			flood(b, concurrency, func(i int) error { return exchange(b.Context(), client, to[i%len(to)]) })
		})
	}
}

// flood calls f b.N times from concurrent goroutines.
func flood(b *testing.B, concurrency int, f func(i int) error) {
	work := make(chan int)
	var all sync.WaitGroup
	var mu sync.Mutex
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	for range concurrency {
		all.Go(func() {
			for i := range work {
				start := time.Now()
				if err := f(i); err != nil {
					b.Error(err)
				}
				mu.Lock()
				_ = h.RecordValue(int64(time.Since(start)))
				mu.Unlock()
			}
		})
	}
	b.ResetTimer()
	for i := range b.N {
		work <- i
	}
	close(work)
	all.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "exchanges/s")
	report(b, h)
}

// BenchmarkBesideStalled fetches answers of 64 KiB, 100 at a time, beside
// stalled answers on the same connection.
func BenchmarkBesideStalled(b *testing.B) {
	for _, stalled := range []int{0, 1000} {
		b.Run(fmt.Sprint(stalled), func(b *testing.B) {
			server := newAgent()
			client, to := pair(b, 1, server.serve)
			for i := range stalled {
				s, err := client.Open(b.Context(), to[0])
				fail(b, err)
				defer s.Abort()
				fail(b, s.Send(peer.Dispatch{AttemptID: fmt.Sprint("stalled-", i), MaxTokens: 64 << 10, CreditBytes: window}))
			}
			for server.waiting.Load() < int64(stalled) {
				time.Sleep(time.Millisecond)
			}
			flood(b, 100, func(i int) error {
				_, err := fetch{endpoint: client, address: to[0], attempt: fmt.Sprint("normal-", i), size: 64 << 10}.run(b.Context())
				return err
			})
		})
	}
}

// BenchmarkIdle prints the traffic of a connection without exchanges, with 28
// bytes of IP and UDP headers for each packet. One iteration takes a second.
func BenchmarkIdle(b *testing.B) {
	client, to := pair(b, 1, answer)
	link, err := standin.NewLink(standin.WithLinkTarget(to[0]))
	fail(b, err)
	defer func() { _ = link.Close() }()
	fail(b, exchange(b.Context(), client, link.Addr()))
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	<-tick.C // the search for the path's packet size ends
	bytes := func() int {
		up, down := link.Stats(standin.ToTarget), link.Stats(standin.FromTarget)
		return up.Bytes + down.Bytes + 28*(up.Received+down.Received)
	}
	before := bytes()
	b.ResetTimer()
	for range b.N {
		<-tick.C
	}
	b.ReportMetric(float64(bytes()-before)/b.Elapsed().Seconds(), "B/s")
}
