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

// startEndpoints returns a client endpoint and the addresses of n servers.
func startEndpoints(b *testing.B, n int, h peer.Handler) (*peer.Endpoint, []netip.AddrPort) {
	b.Helper()
	authority, err := peer.NewAuthority()
	check(b, err)
	start := func(process string, role peer.Role, opts ...peer.Option) *peer.Endpoint {
		issued, err := authority.Issue(process, role, []netip.Addr{loopback}, time.Hour)
		check(b, err)
		c, err := issued.Credentials()
		check(b, err)
		e, err := peer.New(append(opts, peer.WithCredentials(c))...)
		check(b, err)
		b.Cleanup(func() { _ = e.Close() })
		return e
	}
	var addresses []netip.AddrPort
	for i := range n {
		addresses = append(addresses, start(fmt.Sprint("agent-", i), peer.AgentRole, peer.WithHandler(h)).Addr())
	}
	return start("entry-1", peer.EntryRole), addresses
}

func check(b *testing.B, err error) {
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
				check(b, err)
			}
		})
	}
}

func BenchmarkDecodeFrame(b *testing.B) {
	for _, size := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			encoded, err := peer.Encode(peer.Frame{Offset: 1 << 20, Data: make([]byte, size)})
			check(b, err)
			b.ReportAllocs()
			for b.Loop() {
				_, _, err := peer.Decode(encoded)
				check(b, err)
			}
		})
	}
}

// BenchmarkFrames sends frames on one stream over loopback.
func BenchmarkFrames(b *testing.B) {
	for _, size := range []int{64, 1024} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			client, to := startEndpoints(b, 1, func(_ context.Context, s *peer.Stream) {
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
			check(b, err)
			defer s.Abort()
			f := peer.Frame{Data: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				check(b, s.Send(f))
			}
			check(b, s.Send(peer.Final{}))
			_, err = s.Receive()
			check(b, err)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "frames/s")
		})
	}
}

// answerShort answers a Dispatch with 512 bytes.
func answerShort(_ context.Context, s *peer.Stream) {
	m, err := s.Receive()
	if err != nil {
		return
	}
	_ = errors.Join(
		s.Send(peer.Head{AttemptID: m.(peer.Dispatch).AttemptID, Status: 200, ContentType: "application/json"}),
		s.Send(peer.Frame{Data: make([]byte, 512)}),
		s.Send(peer.Final{Length: 512, Outcome: peer.OutcomeComplete, Execution: peer.ExecutionRan}))
}

func exchange(ctx context.Context, client *peer.Endpoint, address netip.AddrPort) error {
	s, err := client.Open(ctx, address)
	if err != nil {
		return err
	}
	defer s.Abort()
	err = s.Send(peer.Dispatch{RequestID: "01JEXAMPLE", AttemptID: "01JEXAMPLE", Workspace: "workspace", Budget: "budget",
		Holder: "01JHOLDER", Target: "engine-1", Version: "v1", Route: "model", Method: "POST", Path: "/v1/chat/completions",
		Deadline: time.Unix(1796359320, 0).UTC(), Body: make([]byte, 1024), CreditBytes: windowBytes})
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

// reportLatency reports quantiles of a histogram of nanoseconds.
func reportLatency(b *testing.B, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
}

// BenchmarkExchangeAt500 starts an exchange (Open, Dispatch, Head, Frame, Final)
// every 2 ms, whether or not the previous ones have ended.
func BenchmarkExchangeAt500(b *testing.B) {
	client, to := startEndpoints(b, 4, answerShort)
	for _, a := range to {
		check(b, exchange(b.Context(), client, a))
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
	reportLatency(b, h)
}

// BenchmarkExchanges runs concurrent exchanges with 4 agents. Both sides run in
// this process.
func BenchmarkExchanges(b *testing.B) {
	for _, concurrency := range []int{8, 64, 512} {
		b.Run(fmt.Sprint(concurrency), func(b *testing.B) {
			client, to := startEndpoints(b, 4, answerShort)
			b.ReportAllocs()
			runConcurrently(b, concurrency, func(i int) error { return exchange(b.Context(), client, to[i%len(to)]) })
		})
	}
}

// runConcurrently calls f b.N times from concurrent goroutines.
func runConcurrently(b *testing.B, concurrency int, f func(i int) error) {
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
	reportLatency(b, h)
}

// BenchmarkBesideStalled fetches answers of 64 KiB, 100 at a time, on a
// connection that also carries stalled answers.
func BenchmarkBesideStalled(b *testing.B) {
	for _, stalled := range []int{0, 1000} {
		b.Run(fmt.Sprint(stalled), func(b *testing.B) {
			server := newAgent()
			client, to := startEndpoints(b, 1, server.serve)
			for i := range stalled {
				s, err := client.Open(b.Context(), to[0])
				check(b, err)
				defer s.Abort()
				check(b, s.Send(peer.Dispatch{AttemptID: fmt.Sprint("stalled-", i), MaxTokens: 64 << 10, CreditBytes: windowBytes}))
			}
			for server.blockedAnswers.Load() < int64(stalled) {
				time.Sleep(time.Millisecond)
			}
			runConcurrently(b, 100, func(i int) error {
				_, err := testRequest{endpoint: client, address: to[0], attemptID: fmt.Sprint("normal-", i), answerBytes: 64 << 10}.run(b.Context())
				return err
			})
		})
	}
}

// BenchmarkIdle reports the traffic of a connection without exchanges, with 28
// bytes of IP and UDP headers per packet. One iteration takes a second.
func BenchmarkIdle(b *testing.B) {
	client, to := startEndpoints(b, 1, answerShort)
	link, err := standin.NewLink(standin.WithLinkTarget(to[0]))
	check(b, err)
	defer func() { _ = link.Close() }()
	check(b, exchange(b.Context(), client, link.Addr()))
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	<-tick.C // until path MTU discovery has ended
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
