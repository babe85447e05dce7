package loadreplay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/loadreplay"
)

var _ = Describe("the product that estimates the speeds of replicas", func() {
	// Guards against estimates that serve fewer requests on time than the product
	// without them, or than a baseline.
	DescribeTable("serves as many requests on time as any other policy",
		func(model, pattern string) {
			m, err := loadreplay.ModelByName(model)
			Expect(err).NotTo(HaveOccurred())
			m = m.Scaled(9)
			byPolicy := run(m, pattern, 2, comparison("placement", m)...)
			for name, other := range byPolicy {
				Expect(byPolicy["learning"].OnTime.Mean).To(BeNumerically(">=", other.OnTime.Mean-0.02), name)
			}
		},
		Entry(nil, "first", "waves"), Entry(nil, "first", "uneven_servers"), Entry(nil, "first", "slowed_server"),
		Entry(nil, "second", "long_burst"), Entry(nil, "second", "hot_workspace"), Entry(nil, "second", "weak_gateways"),
	)

	// Guards against refusals of requests that would be in time, as with the constant
	// rate of 35,000 tokens/s at replicas of 81,900: a burst of 2.5 times needs 54% of
	// the fleet's prefill rate.
	It("refuses nothing in a burst that the replicas can take", func() {
		m := loadreplay.SecondModel().Scaled(9)
		byPolicy := run(m, "long_burst", 2, comparison("placement", m, "product", "learning")...)
		Expect(byPolicy["product"].Refused.Mean).To(BeNumerically(">", 0.01), "the pattern shows nothing")
		Expect(byPolicy["learning"].Refused.High).To(BeZero())
	})

	// Guards against estimates that follow a change later than two seconds after it, or
	// give slow replicas more than their share by speed. At full size, 26 gateways don't
	// find them in time without sharing what they see.
	It("finds slowed replicas within two seconds and gives slow ones their share", func() {
		for _, m := range []loadreplay.Model{loadreplay.FirstModel().Scaled(12), loadreplay.SecondModel().Scaled(12), loadreplay.FirstModel()} {
			s := run(m, "slowed_server", 3, comparison("placement", m, "learning")...)["learning"]
			Expect(s.NeverFound).To(BeZero())
			for _, found := range s.Found {
				Expect(found).To(BeNumerically("<=", 2*time.Second), m.Name)
			}
			Expect(s.SlowestLoad.Mean).To(BeNumerically("<=", 1.1), m.Name)
		}
	})
})
