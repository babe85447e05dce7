package stream_test

import (
	"fmt"
	"testing"

	"briarreach/stream"
)

// BenchmarkTransfer transfers frames from a Sender to a Receiver with flow
// control.
func BenchmarkTransfer(b *testing.B) {
	for _, size := range []int{64, 1024} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, s := stream.NewReceiver(16<<10), stream.NewSender(16<<10)
			if err := s.Resume(0, r.CreditLimit()); err != nil {
				b.Fatal(err)
			}
			data := make([]byte, size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				s.Write(data)
				f, _ := s.Next(size)
				if err := r.Accept(f); err != nil {
					b.Fatal(err)
				}
				if c, ok := r.Consume(len(r.Read(size))); ok {
					if err := s.Acknowledge(c.Offset, c.Limit); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
