package crash_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/crash"
	"briarreach/replica"
	"briarreach/upstream"
)

// dialer is a crash.Dialer whose replicas don't respond until enough connections to
// them are tried at a time.
type dialer struct{ arrived sync.WaitGroup }

func (d *dialer) AcceptsConnections(context.Context, netip.AddrPort) bool {
	d.arrived.Done()
	d.arrived.Wait()
	return false
}

var _ = Describe("a detector of ended replicas", func() {
	listen := func() (net.Listener, replica.Replica) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		return l, replica.Replica{ID: "r", Service: "s", Address: netip.MustParseAddrPort(l.Addr().String())}
	}
	start := func() (*crash.Detector, chan crash.End) {
		ends := make(chan crash.End, 10)
		pool := upstream.New()
		DeferCleanup(pool.Close)
		d := crash.New(pool, crash.WithEndHandler(func(e crash.End) { ends <- e }))
		DeferCleanup(d.Close)
		return d, ends
	}

	// Guards against a crash that is reported with the parts of one request only:
	// each request that it broke is a suspect.
	It("reports every broken send of a replica that refuses connections", func() {
		d, ends := start()
		l, r := listen()
		Expect(l.Close()).To(Succeed())
		d.Report(crash.BrokenSend{Replica: r, SharedParts: []string{"a"}, At: time.Now()})
		d.Report(crash.BrokenSend{Replica: r, SharedParts: []string{"b"}, At: time.Now(), AnswerTime: time.Second})
		var parts []string
		for range 2 {
			var e crash.End
			Eventually(ends, "1s").Should(Receive(&e))
			parts = append(parts, e.SharedParts...)
		}
		Expect(parts).To(ConsistOf("a", "b"))
	})

	// Guards against blaming a request for a connection that a live replica or the
	// network broke.
	It("reports nothing while the replica accepts connections, and does after its end", func() {
		d, ends := start()
		l, r := listen()
		d.Report(crash.BrokenSend{Replica: r, SharedParts: []string{"a"}, At: time.Now()})
		Consistently(ends, "100ms").ShouldNot(Receive())
		Expect(l.Close()).To(Succeed())
		d.Report(crash.BrokenSend{Replica: r, SharedParts: []string{"a"}, At: time.Now()})
		Eventually(ends, "1s").Should(Receive())
	})

	// Guards against a crash that passes for the end of an answer without a length,
	// and so shows that the request is harmless.
	It("takes an answer for complete only if its replica accepts connections", func() {
		complete := make(chan crash.BrokenSend, 10)
		ends := make(chan crash.End, 10)
		pool := upstream.New()
		DeferCleanup(pool.Close)
		d := crash.New(pool, crash.WithEndHandler(func(e crash.End) { ends <- e }), crash.WithCompleteHandler(func(b crash.BrokenSend) { complete <- b }))
		DeferCleanup(d.Close)
		l, r := listen()
		report := func() {
			d.Report(crash.BrokenSend{Replica: r, SharedParts: []string{"a"}, At: time.Now(), PossiblyComplete: true})
		}
		report()
		Eventually(complete, "1s").Should(Receive())
		Expect(l.Close()).To(Succeed())
		report()
		Eventually(ends, "1s").Should(Receive())
		Expect(complete).To(BeEmpty())
	})

	// Guards against a verdict that waits until many replicas that don't respond were
	// tried one after the other.
	It("checks several replicas at a time", func() {
		const replicas = 4
		dialing := &dialer{}
		dialing.arrived.Add(replicas)
		ends := make(chan crash.End, replicas)
		d := crash.New(dialing, crash.WithEndHandler(func(e crash.End) { ends <- e }))
		DeferCleanup(d.Close)
		for i := range replicas {
			d.Report(crash.BrokenSend{Replica: replica.Replica{ID: fmt.Sprint(i)}, At: time.Now()})
		}
		for range replicas {
			Eventually(ends, "5s").Should(Receive())
		}
	})
})
