package story_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"briarreach/story"
)

func TestStory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "story")
}

var _ = Describe("the log lines of a request", func() {
	It("include those of its process around the request", func() {
		data, err := os.ReadFile("testdata/fleet.log")
		Expect(err).NotTo(HaveOccurred())
		lines, err := story.Find(bytes.NewReader(data), "aa11", 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		Expect(story.Write(&out, lines)).To(Succeed())
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "story", out.Bytes())
	})

	It("are an error if no line names the request", func() {
		_, err := story.Find(strings.NewReader("noise\n{not json\n"), "zz", time.Second)
		var missing *story.NotFoundError
		Expect(err).To(BeAssignableToTypeOf(missing))
	})
})
