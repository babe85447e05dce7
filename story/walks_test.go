package story_test

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/story"
)

// explained is a command of the operators' page; the indented lines after it
// are its output.
var explained = regexp.MustCompile(`^    \$ briarreach explain (\S+) docs/(\S+)$`)

var _ = Describe("the walks of the operators' page", func() {
	// Guards against a page whose commands no longer show what it says.
	It("print what the page shows", func() {
		page, err := os.ReadFile("../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		walks, output := 0, ""
		for _, line := range strings.Split(string(page), "\n") {
			if m := explained.FindStringSubmatch(line); m != nil {
				walks++
				data, err := os.ReadFile("../docs/" + m[2])
				Expect(err).NotTo(HaveOccurred())
				lines, err := story.Find(bytes.NewReader(data), m[1], 3*time.Second)
				Expect(err).NotTo(HaveOccurred())
				var out bytes.Buffer
				Expect(story.Write(&out, lines)).To(Succeed())
				output = out.String()
				continue
			}
			shown, indented := strings.CutPrefix(line, "    ")
			if !indented || output == "" {
				output = ""
				continue
			}
			// Fields that the page leaves out are marked by dots.
			pattern := ""
			for _, part := range strings.Split(shown, "...") {
				if pattern != "" {
					pattern += ".*"
				}
				pattern += regexp.QuoteMeta(part)
			}
			Expect(output).To(MatchRegexp(pattern))
		}
		Expect(walks).To(BeNumerically(">=", 3))
	})
})
