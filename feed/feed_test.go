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

// fakeSource answers calls with the batches and errors sent to its channels.
type fakeSource struct {
	lists chan feed.Batch[int]
	nexts chan any // batches or errors
}

func (s *fakeSource) List(ctx context.Context) (feed.Batch[int], error) {
	select {
	case b := <-s.lists:
		return b, nil
	case <-ctx.Done():
		return feed.Batch[int]{}, ctx.Err()
	}
}

func (s *fakeSource) Next(ctx context.Context, _ uint64, _ time.Duration) (feed.Batch[int], error) {
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

var _ = Describe("a watcher", func() {
	start := func() (*fakeSource, chan feed.Batch[int], *feed.Watcher[int]) {
		s := &fakeSource{lists: make(chan feed.Batch[int], 4), nexts: make(chan any, 4)}
		handled := make(chan feed.Batch[int], 8)
		w := feed.New("test", s, func(b feed.Batch[int]) { handled <- b }, feed.WithWait(100*time.Millisecond, 50*time.Millisecond))
		DeferCleanup(func(ctx context.Context) { w.Close(ctx) })
		return s, handled, w
	}

	It("lists, then handles changes", func() {
		s, handled, w := start()
		s.lists <- feed.Batch[int]{Events: []int{1}, Version: 5, Complete: true}
		Eventually(handled).Should(Receive(HaveField("Complete", true)))
		s.nexts <- feed.Batch[int]{Events: []int{2}, Version: 6}
		Eventually(handled).Should(Receive(HaveField("Events", []int{2})))
		Eventually(func() uint64 { return w.Status().Version }).Should(BeEquivalentTo(6))
	})

	// Guards against changes that are missed when the source has discarded its
	// history.
	It("lists again when history is lost", func() {
		s, handled, _ := start()
		s.lists <- feed.Batch[int]{Events: []int{1}, Version: 5, Complete: true}
		s.nexts <- &rowstore.HistoryLostError{After: 5}
		s.lists <- feed.Batch[int]{Events: []int{7}, Version: 9, Complete: true}
		Eventually(handled).Should(Receive(HaveField("Events", []int{1})))
		Eventually(handled).Should(Receive(HaveField("Events", []int{7})))
	})

	// Guards against a connection on which no response arrives any more.
	It("recovers from timeouts and failures, and reports them in its status", func() {
		s, got, w := start()
		s.lists <- feed.Batch[int]{Events: []int{1}, Version: 5, Complete: true}
		Eventually(got).Should(Receive())
		Eventually(func() bool { return w.Status().Failing }, "2s").Should(BeTrue())
		s.nexts <- errors.New("refused")
		s.nexts <- feed.Batch[int]{Events: []int{3}, Version: 6}
		Eventually(got, "3s").Should(Receive(HaveField("Events", []int{3})))
		Expect(w.Status().Failing).To(BeFalse())
	})

	It("leaves no goroutine behind", func() {
		before := goleak.IgnoreCurrent()
		s := &fakeSource{lists: make(chan feed.Batch[int]), nexts: make(chan any)}
		feed.New("test", s, func(feed.Batch[int]) {}).Close(context.Background())
		Expect(goleak.Find(before)).To(Succeed())
	})
})
