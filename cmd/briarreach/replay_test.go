package main

import (
	"bytes"
	"context"
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"briarreach/loadreplay"
)

var _ = Describe("the command replay", func() {
	call := func(args ...string) (string, error) {
		var out bytes.Buffer
		app := &cli.Command{Writer: &out, ErrWriter: &out, Commands: []*cli.Command{replayCommand()}, ExitErrHandler: func(context.Context, *cli.Command, error) {}}
		err := app.Run(context.Background(), append([]string{"briarreach", "replay"}, args...))
		return out.String(), err
	}

	// Guards against flags that don't reach the replays.
	It("writes the results of a model, patterns, variants and seeds as JSON", func() {
		out, err := call("--json", "--model", "first", "--replicas", "4", "--gateways", "3", "--slots", "16", "--pattern", "waves", "--seed", "5", "--seeds", "2", "--set", "late_factor=0.9")
		Expect(err).NotTo(HaveOccurred())
		var summaries []loadreplay.Summary
		Expect(json.Unmarshal([]byte(out), &summaries)).To(Succeed())
		Expect(summaries).To(HaveLen(len(loadreplay.Policies()) + 2))
		last := summaries[len(summaries)-1]
		Expect([]any{last.Model, last.Replicas, last.Gateways, last.Slots, last.Pattern, last.Policy}).To(Equal([]any{"first", 4, 3, 16, "waves", "late_factor=0.9"}))
		Expect(last.Results).To(HaveLen(2))
		Expect(last.Results[1].Seed).To(Equal(uint64(6)))
		Expect(last.Results[1].ByKind).To(HaveKey("draft"))
	})

	// Guards against wrong flags that are reported as failures or ignored.
	DescribeTable("reports wrong flags as usage errors", func(message string, args ...string) {
		_, err := call(args...)
		Expect(err).To(BeAssignableToTypeOf(&UsageError{}))
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry(nil, `load pattern "storm"`, "--pattern", "storm"),
		Entry(nil, `model "third"`, "--model", "third"),
		Entry(nil, "--seeds 0: accepted is 1 to 1000", "--seeds", "0"),
		Entry(nil, "--replicas 251: accepted is 0 to 250", "--replicas", "251"),
		Entry(nil, `policy set "all"`, "--policies", "all"),
		Entry(nil, `placement setting "rate"`, "--set", "rate=1"),
	)
})
