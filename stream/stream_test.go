package stream_test

import (
	"errors"
	"sync"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/peer"
	"briarreach/stream"
)

// nextFrame returns the sender's next frame, or an empty one if there is none.
func nextFrame(s *stream.Sender, limit int) peer.Frame {
	f, _ := s.Next(limit)
	return f
}

var _ = Describe("Sender", func() {
	var s *stream.Sender

	BeforeEach(func() {
		s = stream.NewSender(16)
		Expect(s.Write([]byte("0123456789abcdefgh"))).To(Equal(16), "the buffer is bounded")
	})

	It("sends only within the credit", func() {
		_, ok := s.Next(100)
		Expect(ok).To(BeFalse())
		Expect(s.Acknowledge(0, 5)).To(Succeed())
		Expect(nextFrame(s, 3)).To(Equal(peer.Frame{Offset: 0, Data: []byte("012")}))
		Expect(nextFrame(s, 100)).To(Equal(peer.Frame{Offset: 3, Data: []byte("34")}))
		_, ok = s.Next(100)
		Expect(ok).To(BeFalse())
		Expect(s.Write([]byte("x"))).To(BeZero(), "sent bytes are kept until they are acknowledged")
		Expect(s.Acknowledge(5, 32)).To(Succeed())
		Expect(s.Write([]byte("gh"))).To(Equal(2))
		s.Finish()
		Expect(s.Write([]byte("x"))).To(BeZero())
		for !s.Done() {
			_, ok := s.Next(4)
			Expect(ok).To(BeTrue())
		}
		Expect(s.Length()).To(BeEquivalentTo(18))
		Expect(s.Checksum()).To(Equal(xxhash.Sum64String("0123456789abcdefgh")))
		Expect(s.Resume(17, 32)).To(Succeed())
		Expect(s.Done()).To(BeFalse(), "the end must be sent again after the rest")
	})

	DescribeTable("refuses invalid offsets", func(act func() error, target any) {
		Expect(s.Acknowledge(0, 16)).To(Succeed())
		s.Next(8)
		Expect(s.Acknowledge(4, 16)).To(Succeed())
		Expect(errors.As(act(), target)).To(BeTrue())
		Expect(nextFrame(s, 100)).To(Equal(peer.Frame{Offset: 8, Data: []byte("89abcdef")}), "it is unchanged")
	},
		Entry("resume below what is kept", func() error { return s.Resume(3, 16) }, new(*stream.GapError)),
		Entry("resume above what was sent", func() error { return s.Resume(9, 16) }, new(*stream.OffsetError)),
		Entry("resume with a limit below the offset", func() error { return s.Resume(8, 7) }, new(*stream.OffsetError)),
		Entry("resume at a negative offset", func() error { return s.Resume(-1, 7) }, new(*stream.OffsetError)),
		Entry("acknowledgement of bytes not sent", func() error { return s.Acknowledge(9, 16) }, new(*stream.OffsetError)),
		Entry("acknowledgement with a limit below the offset", func() error { return s.Acknowledge(6, 5) }, new(*stream.OffsetError)),
	)

	It("resumes nothing after Close", func() {
		// Guards against the end of an answer being sent after Close has dropped
		// the bytes before it.
		s.Finish()
		s.Close()
		Expect(s.Done()).To(BeFalse())
		Expect(errors.As(s.Resume(0, 16), new(*stream.GapError))).To(BeTrue())
	})
})

var _ = Describe("Receiver", func() {
	DescribeTable("refuses invalid frames", func(f peer.Frame, target any) {
		r := stream.NewReceiver(8)
		Expect(r.Accept(peer.Frame{Offset: 0, Data: []byte("abcd")})).To(Succeed())
		Expect(r.Accept(peer.Frame{Offset: 6, Data: []byte("g")})).To(Succeed())
		Expect(errors.As(r.Accept(f), target)).To(BeTrue())
		Expect(r.Buffered()).To(Equal(5))
		Expect(r.Read(100)).To(Equal([]byte("abcd")))
	},
		Entry("beyond the credit", peer.Frame{Offset: 4, Data: []byte("efghi")}, new(*stream.CreditError)),
		Entry("far beyond the credit", peer.Frame{Offset: 1<<63 - 2, Data: []byte("efghi")}, new(*stream.CreditError)),
		Entry("negative offset", peer.Frame{Offset: -1, Data: []byte("_a")}, new(*stream.CreditError)),
		Entry("other bytes than the contiguous ones", peer.Frame{Offset: 2, Data: []byte("cX")}, new(*stream.ConflictError)),
		Entry("other bytes than the out-of-order ones", peer.Frame{Offset: 4, Data: []byte("efX")}, new(*stream.ConflictError)),
	)

	It("returns credit when half of the window is consumed", func() {
		r := stream.NewReceiver(8)
		Expect(r.Accept(peer.Frame{Data: []byte("abcdefgh")})).To(Succeed())
		r.Read(8)
		_, ok := r.Consume(3)
		Expect(ok).To(BeFalse())
		c, ok := r.Consume(1)
		Expect(ok).To(BeTrue())
		Expect(c).To(Equal(peer.Credit{Offset: 4, Limit: 12}))
	})

	It("is complete only when length and checksum match", func() {
		r := stream.NewReceiver(8)
		Expect(r.Accept(peer.Frame{Data: []byte("abcd")})).To(Succeed())
		var incomplete *stream.IncompleteError
		Expect(errors.As(r.Finish(6, xxhash.Sum64String("abcdef")), &incomplete)).To(BeTrue())
		Expect(*incomplete).To(Equal(stream.IncompleteError{Received: 4, Length: 6}))
		Expect(errors.As(r.Accept(peer.Frame{Offset: 4, Data: []byte("efg")}), new(*stream.ConflictError))).To(BeTrue())
		Expect(r.Accept(peer.Frame{Offset: 4, Data: []byte("ef")})).To(Succeed())
		Expect(errors.As(r.Finish(5, 0), new(*stream.ConflictError))).To(BeTrue())
		Expect(errors.As(r.Finish(6, 1), new(*stream.ChecksumError))).To(BeTrue())
		Expect(r.IsComplete()).To(BeFalse())
		Expect(r.Finish(6, xxhash.Sum64String("abcdef"))).To(Succeed())
		Expect(r.IsComplete()).To(BeTrue())
	})

	It("grants credit later when the limiter is exhausted now", func() {
		// Guards against a stream that stalls for ever after the limiter was
		// exhausted once.
		l := stream.NewLimiter(8)
		first := stream.NewReceiver(8, stream.WithLimiter(l))
		second := stream.NewReceiver(8, stream.WithLimiter(l))
		Expect(second.CreditLimit()).To(BeZero())
		_, ok := second.Consume(0)
		Expect(ok).To(BeFalse())
		Expect(errors.As(l.Acquire(1), new(*stream.LimiterFullError))).To(BeTrue())
		first.Close()
		c, ok := second.Consume(0)
		Expect(ok).To(BeTrue())
		Expect(c).To(Equal(peer.Credit{Offset: 0, Limit: 8}))
	})
})

var _ = Describe("Limiter", func() {
	It("never gives out more than its bound to concurrent streams", func() {
		l := stream.NewLimiter(100)
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() {
				defer GinkgoRecover()
				for range 2000 {
					if n := l.AcquireUpTo(30, 10); n > 0 {
						Expect(l.Used()).To(BeNumerically("<=", 100))
						l.Release(n)
					}
				}
			})
		}
		all.Wait()
		Expect(l.Used()).To(BeZero())
	})
})
