package feed_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
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

// restoredSource answers like a store that may be restored.
type restoredSource struct {
	mu           sync.Mutex
	era, version uint64
	events       []int
	calls        int
	lost         bool // whether it never has the changes after a version
}

func (s *restoredSource) restore(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.version = s.era+1, version
}

func (s *restoredSource) change(event int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.events = append(s.events, event)
}

func (s *restoredSource) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *restoredSource) List(context.Context) (feed.Batch[int], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return feed.Batch[int]{Events: s.events, Era: s.era, Version: s.version, Complete: true}, nil
}

func (s *restoredSource) Next(_ context.Context, after uint64, wait time.Duration) (feed.Batch[int], error) {
	s.mu.Lock()
	s.calls++
	if s.lost || after > s.version {
		s.mu.Unlock()
		return feed.Batch[int]{}, &rowstore.HistoryLostError{After: after}
	}
	s.mu.Unlock()
	time.Sleep(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if after >= s.version {
		return feed.Batch[int]{Era: s.era, Version: s.version}, nil
	}
	return feed.Batch[int]{Events: s.events[len(s.events)-1:], Era: s.era, Version: s.version}, nil
}

// steppedSource announces each call and answers it with the next batch.
type steppedSource struct {
	calls   chan string
	batches chan feed.Batch[int]
}

func (s *steppedSource) answer(ctx context.Context, call string) (feed.Batch[int], error) {
	select {
	case s.calls <- call:
	case <-ctx.Done():
		return feed.Batch[int]{}, ctx.Err()
	}
	select {
	case b := <-s.batches:
		return b, nil
	case <-ctx.Done():
		return feed.Batch[int]{}, ctx.Err()
	}
}

func (s *steppedSource) List(ctx context.Context) (feed.Batch[int], error) {
	return s.answer(ctx, "list")
}

func (s *steppedSource) Next(ctx context.Context, _ uint64, _ time.Duration) (feed.Batch[int], error) {
	return s.answer(ctx, "changes")
}

var _ = Describe("a watcher", func() {
	start := func() (*fakeSource, chan feed.Batch[int], *feed.Watcher[int]) {
		s := &fakeSource{lists: make(chan feed.Batch[int], 4), nexts: make(chan any, 4)}
		handled := make(chan feed.Batch[int], 8)
		w := feed.New("test", s, func(b feed.Batch[int]) { handled <- b }, feed.WithWait(100*time.Millisecond, 50*time.Millisecond), feed.WithListingAfterGap())
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

	// Guards against a watcher that lists and asks for changes after a version of an
	// earlier era by turns, and so asks the source without end and misses changes.
	It("continues from the version of a source that was restored from a copy", func() {
		s := &restoredSource{era: 1, version: 400}
		handled := make(chan feed.Batch[int], 1000)
		w := feed.New("test", s, func(b feed.Batch[int]) { handled <- b }, feed.WithWait(50*time.Millisecond, 500*time.Millisecond))
		DeferCleanup(func(ctx context.Context) { w.Close(ctx) })
		Eventually(handled).Should(Receive(And(HaveField("Complete", true), HaveField("Restored", false))))
		s.restore(200)
		Eventually(handled).Should(Receive(And(HaveField("Complete", true), HaveField("Restored", true))))
		before := s.callCount()
		time.Sleep(500 * time.Millisecond)
		Expect(s.callCount()-before).To(BeNumerically("<=", 20), "calls of 50 ms each in 500 ms")
		s.change(7)
		Eventually(handled).Should(Receive(HaveField("Events", []int{7})))
		Expect(w.Status().Version).To(BeEquivalentTo(201))
	})

	// Guards against changes that are missed because the versions of a new era have
	// passed the known one before the next call.
	It("lists again when an era has passed the known version", func() {
		s, handled, _ := start()
		s.lists <- feed.Batch[int]{Events: []int{1}, Era: 1, Version: 5, Complete: true}
		Eventually(handled).Should(Receive())
		s.nexts <- feed.Batch[int]{Events: []int{9}, Era: 2, Version: 9}
		s.lists <- feed.Batch[int]{Events: []int{7, 9}, Era: 2, Version: 9, Complete: true}
		Eventually(handled).Should(Receive(And(HaveField("Events", []int{7, 9}), HaveField("Restored", true))))
	})

	// Guards against a source that is asked without a pause while each listing is
	// followed by lost history.
	It("waits between listings that don't help", func() {
		s := &restoredSource{era: 1, version: 1, lost: true}
		w := feed.New("test", s, func(feed.Batch[int]) {})
		DeferCleanup(func(ctx context.Context) { w.Close(ctx) })
		time.Sleep(time.Second)
		Expect(s.callCount()).To(BeNumerically("<=", 40))
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

	// Guards against a gap whose changes take longer to read than new ones take to come.
	It("lists instead of reading the changes of a gap", func() {
		s, handled, _ := start()
		s.lists <- feed.Batch[int]{Events: []int{1}, Version: 5, Complete: true}
		Eventually(handled).Should(Receive())
		s.lists <- feed.Batch[int]{Events: []int{9}, Version: 9, Complete: true}
		Eventually(handled, "2s").Should(Receive(And(HaveField("Events", []int{9}), HaveField("Restored", false))), "no call has been answered for longer than a wait")
		s.nexts <- feed.Batch[int]{Events: []int{10}, Version: 10}
		Eventually(handled).Should(Receive(HaveField("Events", []int{10})))
	})

	// Guards against a process that stood still and takes the response that waited for
	// it as the newest state.
	It("lists after a response that arrived late", func() {
		clock := clockwork.NewFakeClock()
		s := &steppedSource{calls: make(chan string), batches: make(chan feed.Batch[int])}
		handled := make(chan feed.Batch[int], 8)
		w := feed.New("test", s, func(b feed.Batch[int]) { handled <- b }, feed.WithClock(clock), feed.WithListingAfterGap())
		DeferCleanup(func(ctx context.Context) { w.Close(ctx) })
		Eventually(s.calls).Should(Receive(Equal("list")))
		Eventually(s.batches).Should(BeSent(feed.Batch[int]{Version: 5, Complete: true}))
		Eventually(s.calls).Should(Receive(Equal("changes")))
		clock.Advance(4 * time.Second)
		Eventually(s.batches).Should(BeSent(feed.Batch[int]{Events: []int{6}, Version: 6, AnsweredAt: clock.Now()}))
		Eventually(s.calls).Should(Receive(Equal("list")))
		Eventually(s.batches).Should(BeSent(feed.Batch[int]{Events: []int{9}, Version: 9, Complete: true}))
		Eventually(s.calls).Should(Receive(Equal("changes")))
		Eventually(handled).Should(Receive(HaveField("Complete", true)))
		Eventually(handled).Should(Receive(HaveField("Events", []int{6})))
		Eventually(handled).Should(Receive(HaveField("Events", []int{9})))
	})

	// Guards against a second listing of a restored source that is taken for complete
	// before its writers have written again.
	It("does not list after a gap in a source that was just restored", func() {
		clock := clockwork.NewFakeClock()
		s := &steppedSource{calls: make(chan string), batches: make(chan feed.Batch[int])}
		w := feed.New("test", s, func(feed.Batch[int]) {}, feed.WithClock(clock), feed.WithListingAfterGap())
		DeferCleanup(func(ctx context.Context) { w.Close(ctx) })
		Eventually(s.calls).Should(Receive(Equal("list")))
		Eventually(s.batches).Should(BeSent(feed.Batch[int]{Era: 1, Version: 9, Complete: true}))
		Eventually(s.calls).Should(Receive(Equal("changes")))
		Eventually(s.batches).Should(BeSent(feed.Batch[int]{Era: 2, Version: 5, AnsweredAt: clock.Now()}))
		Eventually(s.calls).Should(Receive(Equal("list")))
		Eventually(s.batches).Should(BeSent(feed.Batch[int]{Era: 2, Version: 5, Complete: true}))
		for _, gap := range []time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second} {
			Eventually(s.calls).Should(Receive(Equal("changes")))
			clock.Advance(gap)
			Eventually(s.batches).Should(BeSent(feed.Batch[int]{Era: 2, Version: 5, AnsweredAt: clock.Now()}))
		}
		Eventually(s.calls).Should(Receive(Equal("changes")))
		clock.Advance(4 * time.Second)
		Eventually(s.batches).Should(BeSent(feed.Batch[int]{Era: 2, Version: 6, AnsweredAt: clock.Now()}))
		Eventually(s.calls).Should(Receive(Equal("list")))
	})

	// Guards against an age that counts from the end of a response that took long, or from
	// one that is not in force yet.
	It("counts the age of its state from the time at which the response began", func() {
		clock := clockwork.NewFakeClock()
		s := &steppedSource{calls: make(chan string), batches: make(chan feed.Batch[int])}
		handling, handled := make(chan int), make(chan bool)
		w := feed.New("test", s, func(b feed.Batch[int]) { handling <- len(b.Events); <-handled }, feed.WithClock(clock))
		DeferCleanup(func(ctx context.Context) { w.Close(ctx) })
		listedAt := clock.Now()
		Eventually(s.calls).Should(Receive(Equal("list")))
		Eventually(s.batches).Should(BeSent(feed.Batch[int]{Version: 5, Complete: true}))
		Eventually(handling).Should(Receive())
		Expect(w.Status().CurrentAt).To(BeZero())
		Eventually(handled).Should(BeSent(true))
		Eventually(s.calls).Should(Receive(Equal("changes")))
		Expect(w.Status().CurrentAt).To(Equal(listedAt))
		clock.Advance(900 * time.Millisecond)
		answeredAt := clock.Now()
		clock.Advance(2 * time.Second)
		Eventually(s.batches).Should(BeSent(feed.Batch[int]{Events: []int{6}, Version: 6, AnsweredAt: answeredAt}))
		Eventually(handling).Should(Receive())
		Expect(w.Status()).To(And(HaveField("CurrentAt", listedAt), HaveField("Version", BeEquivalentTo(5))))
		Eventually(handled).Should(BeSent(true))
		Eventually(func() time.Time { return w.Status().CurrentAt }).Should(Equal(answeredAt))
	})

	// Guards against listings without end of a state that takes long to read.
	It("waits for changes after a listing that took long", func() {
		clock := clockwork.NewFakeClock()
		s := &steppedSource{calls: make(chan string), batches: make(chan feed.Batch[int])}
		w := feed.New("test", s, func(feed.Batch[int]) {}, feed.WithClock(clock), feed.WithListingAfterGap())
		DeferCleanup(func(ctx context.Context) { w.Close(ctx) })
		Eventually(s.calls).Should(Receive(Equal("list")))
		clock.Advance(5 * time.Second)
		Eventually(s.batches).Should(BeSent(feed.Batch[int]{Version: 5, Complete: true}))
		Eventually(s.calls).Should(Receive(Equal("changes")))
	})

	It("leaves no goroutine behind", func() {
		before := goleak.IgnoreCurrent()
		s := &fakeSource{lists: make(chan feed.Batch[int]), nexts: make(chan any)}
		feed.New("test", s, func(feed.Batch[int]) {}).Close(context.Background())
		Expect(goleak.Find(before)).To(Succeed())
	})
})
