package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/loadreplay"
)

func TestReplayPlot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replayplot")
}

var _ = Describe("the plots of a replay", func() {
	// Guards against a change of the JSON output that the plots don't follow.
	It("have a line for each policy", func() {
		summaries := []loadreplay.Summary{
			{Model: "first", Slots: 64, Pattern: "waves", Policy: "product", Results: []loadreplay.Result{{OnTimeBySecond: []float64{1, 0.5}}}},
			{Model: "first", Slots: 64, Pattern: "waves", Policy: "random", Results: []loadreplay.Result{{OnTimeBySecond: []float64{0.5, 0}}}},
		}
		input, err := json.Marshal(summaries)
		Expect(err).NotTo(HaveOccurred())
		dir := GinkgoT().TempDir()
		Expect(plotAll(bytes.NewReader(input), dir, "svg")).To(Succeed())
		svg, err := os.ReadFile(filepath.Join(dir, "first-64-waves.svg"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(svg)).To(And(ContainSubstring(">product<"), ContainSubstring(">random<")))
	})

	DescribeTable("are refused for input without results", func(input string) {
		Expect(plotAll(strings.NewReader(input), GinkgoT().TempDir(), "svg")).To(MatchError(ContainSubstring("standard input")))
	}, Entry(nil, ""), Entry(nil, "[]"))
})
