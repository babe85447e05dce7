package loadreplay_test

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/loadreplay"
)

func TestLoadReplay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadreplay")
}

// replays simulates a pattern with all policies.
func replays(name string, seed uint64) (baselines []loadreplay.Result, product loadreplay.Result) {
	GinkgoHelper()
	pattern, err := loadreplay.Generate(name, seed)
	Expect(err).NotTo(HaveOccurred())
	for _, policy := range loadreplay.Policies() {
		baselines = append(baselines, loadreplay.Replay(pattern, policy, loadreplay.DefaultEngineModel(), seed))
	}
	return baselines[:len(baselines)-1], baselines[len(baselines)-1]
}

var _ = Describe("the placement decisions", func() {
	onTime := func(r loadreplay.Result) float64 {
		part, _ := r.Overall.Shares()
		return part
	}

	// Guards against a placement that serves fewer requests on time than a simpler
	// one, under any load within the capacity of the replicas.
	DescribeTable("serve as many requests on time as each baseline",
		func(pattern string) {
			for seed := range uint64(2) {
				baselines, product := replays(pattern, seed+1)
				for _, b := range baselines {
					Expect(onTime(product)).To(BeNumerically(">=", onTime(b)-0.02), b.Policy)
				}
				Expect(product.WorstWorkspaceRatio).To(BeNumerically(">=", 0.9), "no workspace is left behind")
				Expect(product.NeedlessRefusals).To(BeNumerically("<=", product.Overall.Total/100), "refused while slots are free")
			}
		},
		Entry(nil, "calm"), Entry(nil, "burst"), Entry(nil, "hot_key"), Entry(nil, "hot_tenant"),
		Entry(nil, "quarter_gone"), Entry(nil, "retry_storm"), Entry(nil, "long_prompts"),
		Entry(nil, "departure"),
	)

	// Guards against requests at replicas that have asked for a pause, and against
	// fewer requests on time because of them.
	It("send nothing to replicas while they pause", func() {
		for seed := range uint64(3) {
			baselines, product := replays("pause", seed+1)
			for _, b := range baselines {
				if b.Policy == "without_notices" {
					Expect(b.SentInPause).To(BeNumerically(">", 0))
					continue
				}
				Expect(onTime(product)).To(BeNumerically(">=", onTime(b)-0.02), b.Policy)
			}
			Expect(product.SentInPause).To(BeZero())
		}
	})

	// Guards against requests that are lost at replicas that had said that they leave.
	It("move away from replicas before they have left", func() {
		for seed := range uint64(3) {
			baselines, product := replays("departure", seed+1)
			i := slices.IndexFunc(baselines, func(b loadreplay.Result) bool { return b.Policy == "without_notices" })
			Expect(product.Overall.Failed).To(BeNumerically("<=", baselines[i].Overall.Failed/2))
		}
	})

	// Guards against queues that grow until callers disconnect: without refusals,
	// most of the prefill was wasted.
	It("refuse in time what the replicas can't start, in overload", func() {
		for seed := range uint64(3) {
			baselines, product := replays("overload", seed+1)
			accepting := baselines[len(baselines)-1]
			Expect(accepting.Policy).To(Equal("without_refusals"))
			Expect(onTime(product)).To(BeNumerically(">", onTime(accepting)))
			Expect(product.Overall.Failed).To(BeNumerically("<=", accepting.Overall.Failed/2), "callers that disconnect or lose their response")
			Expect(product.NeedlessRefusals).To(BeNumerically("<=", product.Overall.Total/20), "refused while slots are free")
		}
	})
})

var _ = Describe("a load", func() {
	It("is read as it was written", func() {
		pattern, err := loadreplay.Generate("burst", 1)
		Expect(err).NotTo(HaveOccurred())
		var file bytes.Buffer
		for _, r := range pattern.Requests {
			Expect(json.NewEncoder(&file).Encode(r)).To(Succeed())
		}
		read, err := loadreplay.Read("burst", &file)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Requests).To(Equal(pattern.Requests))
	})

	It("with a syntax error is rejected with its line number", func() {
		_, err := loadreplay.Read("load.jsonl", strings.NewReader("{}\n{\n"))
		Expect(err).To(MatchError(ContainSubstring("load.jsonl:2")))
	})

	It("with an unknown name is rejected", func() {
		_, err := loadreplay.Generate("storm", 1)
		Expect(err).To(MatchError(ContainSubstring(`load pattern "storm": accepted are`)))
	})

	It("without requests has an empty result", func() {
		r := loadreplay.Replay(&loadreplay.Pattern{}, loadreplay.Random{}, loadreplay.DefaultEngineModel(), 1)
		Expect(r.Overall.Total).To(BeZero())
		Expect(r.FirstEvent[0]).To(Equal(time.Duration(0)))
	})
})
