package stream_test

import (
	"bytes"
	"errors"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"briarreach/peer"
	"briarreach/stream"
)

// transfer is a sender and a receiver connected by a simulated network that
// keeps frames and credits until the test delivers, repeats or drops them.
type transfer struct {
	t        *rapid.T
	answer   []byte
	written  int
	sender   *stream.Sender
	receiver *stream.Receiver
	limiter  *stream.Limiter
	sendSize int // of the sender's buffer
	window   int
	frames   []peer.Frame  // in flight
	credits  []peer.Credit // in flight
	output   []byte        // bytes that the receiver has returned
}

func newTransfer(t *rapid.T) *transfer {
	x := &transfer{t: t, window: rapid.IntRange(1, 3000).Draw(t, "window"), sendSize: rapid.IntRange(1, 3000).Draw(t, "send buffer")}
	x.answer = make([]byte, rapid.IntRange(0, 8000).Draw(t, "length"))
	// With few distinct values, overlapping bytes sometimes match by chance.
	source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "content"), 0))
	for i := range x.answer {
		x.answer[i] = byte(source.IntN(4))
	}
	x.limiter = stream.NewLimiter(int64(rapid.IntRange(x.window+x.sendSize, 2*(x.window+x.sendSize)).Draw(t, "bound")))
	x.receiver = stream.NewReceiver(x.window, stream.WithLimiter(x.limiter))
	x.sender = stream.NewSender(x.sendSize, stream.WithLimiter(x.limiter))
	x.requireNoError(x.sender.Resume(0, x.receiver.CreditLimit()))
	return x
}

func (x *transfer) requireNoError(err error) {
	if err != nil {
		x.t.Fatal(err)
	}
}

func (x *transfer) write(limit int) {
	x.written += x.sender.Write(x.answer[x.written:min(len(x.answer), x.written+limit)])
	if x.written == len(x.answer) {
		x.sender.Finish()
	}
}

func (x *transfer) send(limit int) {
	if f, ok := x.sender.Next(limit); ok {
		f.Data = bytes.Clone(f.Data) // the transport copies it
		x.frames = append(x.frames, f)
	}
}

func (x *transfer) read(limit int) {
	b := x.receiver.Read(limit)
	x.output = append(x.output, b...)
	if c, ok := x.receiver.Consume(len(b)); ok {
		x.credits = append(x.credits, c)
	}
}

// reconnect drops everything in flight and resumes.
func (x *transfer) reconnect() {
	x.frames, x.credits = nil, nil
	x.requireNoError(x.sender.Resume(x.receiver.ResumeOffset(), x.receiver.CreditLimit()))
}

func (x *transfer) check() {
	if !bytes.HasPrefix(x.answer, x.output) {
		x.t.Fatalf("read bytes are no prefix of the answer")
	}
	if x.receiver.IsComplete() && x.receiver.ResumeOffset() != int64(len(x.answer)) {
		x.t.Fatalf("complete at %d of %d bytes", x.receiver.ResumeOffset(), len(x.answer))
	}
	if x.sender.Buffered() > x.sendSize || x.receiver.Buffered() > x.window || x.limiter.Used() > x.limiter.Limit() {
		x.t.Fatalf("bound: sender %d of %d, receiver %d of %d, both %d of %d", x.sender.Buffered(), x.sendSize,
			x.receiver.Buffered(), x.window, x.limiter.Used(), x.limiter.Limit())
	}
}

func (x *transfer) finish() {
	err := x.receiver.Finish(x.sender.Length(), x.sender.Checksum())
	var incomplete *stream.IncompleteError
	switch {
	case errors.As(err, &incomplete):
		if x.receiver.ResumeOffset() == int64(len(x.answer)) {
			x.t.Fatal("incomplete although all bytes arrived")
		}
	case err != nil:
		x.t.Fatal(err)
	}
}

// actions returns the steps from which rapid builds random histories.
func (x *transfer) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T, n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
	size := rapid.IntRange(1, 1500)
	return map[string]func(*rapid.T){
		"":      func(*rapid.T) { x.check() },
		"write": func(t *rapid.T) { x.write(size.Draw(t, "size")) },
		"send":  func(t *rapid.T) { x.send(size.Draw(t, "size")) },
		"read":  func(t *rapid.T) { x.read(size.Draw(t, "size")) },
		"deliver": func(t *rapid.T) {
			if len(x.frames) > 0 {
				i := pick(t, len(x.frames))
				x.requireNoError(x.receiver.Accept(x.frames[i]))
				if !rapid.Bool().Draw(t, "again") {
					x.frames = append(x.frames[:i], x.frames[i+1:]...)
				}
			}
		},
		"credit": func(t *rapid.T) {
			if len(x.credits) > 0 {
				x.requireNoError(x.sender.Acknowledge(x.credits[0].Offset, x.credits[0].Limit))
				x.credits = x.credits[1:]
			}
		},
		"reconnect": func(*rapid.T) { x.reconnect() },
		"finish": func(*rapid.T) {
			if x.sender.Done() {
				x.finish()
			}
		},
	}
}

var _ = Describe("Sender and Receiver", func() {
	It("transfer exactly the written bytes whatever is lost, late, repeated or resumed", func() {
		// Guards against a truncated or corrupted answer that is taken for
		// complete, against stalls, and against exceeded memory limits.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			x := newTransfer(t)
			t.Repeat(x.actions())
			for range 3 * (len(x.answer) + 1) {
				x.write(len(x.answer))
				x.reconnect()
				x.send(len(x.answer))
				for _, f := range x.frames {
					x.requireNoError(x.receiver.Accept(f))
				}
				x.read(len(x.answer))
				x.check()
				if x.sender.Done() && len(x.output) == len(x.answer) {
					break
				}
			}
			x.finish()
			if !x.receiver.IsComplete() || !bytes.Equal(x.output, x.answer) {
				t.Fatalf("read %d of %d bytes, complete: %v", len(x.output), len(x.answer), x.receiver.IsComplete())
			}
			x.sender.Close()
			x.receiver.Close()
			if used := x.limiter.Used(); used != 0 {
				t.Fatalf("%d bytes of the bound are not given back", used)
			}
		})
	})

	It("never take an answer with a changed or missing byte for complete", func() {
		// Guards against corruption that only the checksum reveals.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "answer")
			sum := xxhash.Sum64(b)
			r := stream.NewReceiver(len(b))
			cut := rapid.IntRange(0, len(b)-1).Draw(t, "at")
			bad := bytes.Clone(b)
			if rapid.Bool().Draw(t, "missing") {
				bad = bad[:cut]
			} else {
				bad[cut] ^= rapid.ByteRange(1, 255).Draw(t, "flip")
			}
			if err := r.Accept(peer.Frame{Data: bad}); err != nil {
				t.Fatal(err)
			}
			err := r.Finish(int64(len(b)), sum)
			if !errors.As(err, new(*stream.IncompleteError)) && !errors.As(err, new(*stream.ChecksumError)) || r.IsComplete() {
				t.Fatalf("finish: %v, complete: %v", err, r.IsComplete())
			}
		})
	})

	It("survive any frames, credits and resumes of a faulty peer", func() {
		// Guards against a panic or unbounded memory caused by offsets out of range.
		offset := rapid.OneOf(rapid.Int64(), rapid.Int64Range(-2, 200))
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r, s := stream.NewReceiver(64), stream.NewSender(64)
			s.Write(make([]byte, 40))
			t.Repeat(map[string]func(*rapid.T){
				"accept": func(t *rapid.T) {
					_ = r.Accept(peer.Frame{Offset: offset.Draw(t, "offset"), Data: rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "data")})
				},
				"read":        func(*rapid.T) { r.Consume(len(r.Read(30))) },
				"finish":      func(t *rapid.T) { _ = r.Finish(offset.Draw(t, "length"), rapid.Uint64().Draw(t, "sum")) },
				"write":       func(*rapid.T) { s.Write(make([]byte, 10)) },
				"next":        func(*rapid.T) { s.Next(20) },
				"acknowledge": func(t *rapid.T) { _ = s.Acknowledge(offset.Draw(t, "offset"), offset.Draw(t, "limit")) },
				"resume":      func(t *rapid.T) { _ = s.Resume(offset.Draw(t, "offset"), offset.Draw(t, "limit")) },
				"": func(t *rapid.T) {
					if r.Buffered() > 64 || s.Buffered() > 64 {
						t.Fatalf("receiver holds %d, sender %d", r.Buffered(), s.Buffered())
					}
				},
			})
		})
	})
})
