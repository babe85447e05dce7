package logsink_test

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/logsink"
)

var _ = Describe("the log sink", func() {
	// Guards against requests that block on a stalled reader of the log.
	It("never blocks, and counts the lines it drops", func() {
		r, w := io.Pipe()
		s := logsink.New(w, logsink.WithRate(1e9, 1e9))
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range 20_000 {
				_, _ = fmt.Fprintf(s, "line %d\n", i)
			}
		}()
		Eventually(done, "5s").Should(BeClosed())
		Expect(s.DroppedSinceReport()).To(BeNumerically(">", 10_000))
		s.Close()
		Expect(r.Close()).To(Succeed())
	})

	It("limits the rate and reports how many lines it dropped", func() {
		var out bytes.Buffer
		clock := clockwork.NewFakeClock()
		s := logsink.New(&out, logsink.WithClock(clock), logsink.WithRate(10, 5))
		for range 100 {
			_, _ = s.Write([]byte("line\n"))
		}
		clock.Advance(time.Second)
		_, _ = s.Write([]byte("last\n"))
		s.Close()
		dropped := 0
		for _, m := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(out.String(), -1) {
			n, err := strconv.Atoi(m[1])
			Expect(err).NotTo(HaveOccurred())
			dropped += n
		}
		Expect(dropped).To(Equal(95), "over all reports: the writer may report while lines are still dropped")
		Expect(out.String()).To(HaveSuffix("last\n"))
	})
})
