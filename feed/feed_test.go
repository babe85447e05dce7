package feed_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"briarreach/feed"
	"briarreach/rowstore"
)

func TestFeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "feed")
}

// script answers the calls of a follower from lists.
type script struct {
	lists chan feed.Batch[int]
	nexts chan any // a batch or an error
}

func (s *script) List(ctx context.Context) (feed.Batch[int], error) {
	select {
	case b := <-s.lists:
		return b, nil
	case <-ctx.Done():
		return feed.Batch[int]{}, ctx.Err()
	}
}

func (s *script) Next(ctx context.Context, _ uint64, _ time.Duration) (feed.Batch[int], error) {
	select {
	case v := <-s.nexts:
		if err, ok := v.(error); ok {
			return feed.Batch[int]{}, err
		}
		return v.(feed.Batch[int]), nil
	case <-ctx.Done():
		return feed.Batch[int]{}, ctx.Err()
	}
}

var _ = Describe("a follower", func() {
	start := func() (*script, chan feed.Batch[int], *feed.Watcher[int]) {
		s := &script{lists: make(chan feed.Batch[int], 4), nexts: make(chan any, 4)}
		got := make(chan feed.Batch[int], 8)
		f := feed.New("test", s, func(b feed.Batch[int]) { got <- b }, feed.WithWait(100*time.Millisecond, 50*time.Millisecond))
		DeferCleanup(func(ctx context.Context) { f.Close(ctx) })
		return s, got, f
	}

	It("lists, then takes changes", func() {
		s, got, f := start()
		s.lists <- feed.Batch[int]{Events: []int{1}, Version: 5, Complete: true}
		Eventually(got).Should(Receive(HaveField("Complete", true)))
		s.nexts <- feed.Batch[int]{Events: []int{2}, Version: 6}
		Eventually(got).Should(Receive(HaveField("Events", []int{2})))
		Eventually(func() uint64 { return f.Status().Version }).Should(BeEquivalentTo(6))
	})

	// Guards against changes that are missed when the source forgets its
	// history.
	It("lists again when history is lost", func() {
		s, got, _ := start()
		s.lists <- feed.Batch[int]{Events: []int{1}, Version: 5, Complete: true}
		s.nexts <- &rowstore.HistoryLostError{After: 5}
		s.lists <- feed.Batch[int]{Events: []int{7}, Version: 9, Complete: true}
		Eventually(got).Should(Receive(HaveField("Events", []int{1})))
		Eventually(got).Should(Receive(HaveField("Events", []int{7})))
	})

	// Guards against a connection that falls silent for good.
	It("goes on after silence and failures, and says how old its belief is", func() {
		s, got, f := start()
		s.lists <- feed.Batch[int]{Events: []int{1}, Version: 5, Complete: true}
		Eventually(got).Should(Receive())
		Eventually(func() bool { return f.Status().Failing }, "2s").Should(BeTrue())
		s.nexts <- errors.New("refused")
		s.nexts <- feed.Batch[int]{Events: []int{3}, Version: 6}
		Eventually(got, "3s").Should(Receive(HaveField("Events", []int{3})))
		Expect(f.Status().Failing).To(BeFalse())
	})

	It("leaves no goroutine behind", func() {
		before := goleak.IgnoreCurrent()
		s := &script{lists: make(chan feed.Batch[int]), nexts: make(chan any)}
		feed.New("test", s, func(feed.Batch[int]) {}).Close(context.Background())
		Expect(goleak.Find(before)).To(Succeed())
	})
})
