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

// explainCommand matches a command of the operators' page; the indented lines
// after it are its output.
var explainCommand = regexp.MustCompile(`^    \$ briarreach explain (\S+) docs/(\S+)$`)

var _ = Describe("the example commands of the operators' page", func() {
	// Guards against a page whose examples differ from the commands' real output.
	It("print what the page shows", func() {
		page, err := os.ReadFile("../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		commands, output := 0, ""
		for _, line := range strings.Split(string(page), "\n") {
			if m := explainCommand.FindStringSubmatch(line); m != nil {
				commands++
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
			// The page writes "..." for the fields that it omits.
			pattern := ""
			for _, part := range strings.Split(shown, "...") {
				if pattern != "" {
					pattern += ".*"
				}
				pattern += regexp.QuoteMeta(part)
			}
			Expect(output).To(MatchRegexp(pattern))
		}
		Expect(commands).To(BeNumerically(">=", 3))
	})
})
