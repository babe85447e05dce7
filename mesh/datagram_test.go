package mesh

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/placement"
	"briarreach/quarantine"
	"briarreach/quota"
	"briarreach/replica"
	"briarreach/replicalimit"
	"briarreach/replicanotice"
	"briarreach/replicaspeed"
)

// Guards against gateways of two versions, as during a deployment, that misread each
// other's datagrams.
var _ = Describe("a datagram", func() {
	It("encodes a placement as earlier versions do", func() {
		p := placement.Announcement{ReplicaID: "r", PrefixHash: 7, PrefillTokens: 9}
		now, err := cbor.Marshal(datagram{Announcement: p})
		Expect(err).NotTo(HaveOccurred())
		before, err := cbor.Marshal(p)
		Expect(err).NotTo(HaveOccurred())
		Expect(now).To(Equal(before))
		var d datagram
		Expect(cbor.Unmarshal(before, &d)).To(Succeed())
		Expect(d).To(Equal(datagram{Announcement: p}))
	})

	// Guards against messages that no datagram can hold, and so never arrive.
	It("with the speeds of very many replicas has at most 1,000 bytes", func() {
		s, now := replicaspeed.New(replicaspeed.Defaults()), time.Unix(1e9, 0)
		for i := range 600 {
			s.Of(replica.Replica{ID: fmt.Sprint(i), Service: "s"}).Record(replicaspeed.Sample{OwnTokens: 4321.7, QueuedTokens: 1234.5, Took: 123_456_789}, now)
		}
		m, due := s.NextMessage(1, now)
		Expect(due).To(BeTrue())
		data, err := cbor.Marshal(datagram{Speeds: &m})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(And(BeNumerically(">", 800), BeNumerically("<=", 1000)))
	})

	DescribeTable("is a placement on no replica for earlier versions if it is another message",
		func(d datagram) {
			data, err := cbor.Marshal(d)
			Expect(err).NotTo(HaveOccurred())
			var p placement.Announcement
			Expect(cbor.Unmarshal(data, &p)).To(Succeed())
			Expect(p).To(BeZero())
		},
		Entry("a crash", datagram{Crash: &quarantine.Crash{Service: "s", PartIDs: []string{"a"}}}),
		Entry("an answer", datagram{Answer: &quarantine.Answer{Part: quarantine.Part{Service: "s", ID: "a"}}}),
		Entry("grants", datagram{Grants: &quota.GrantNotice{Holder: "h", Granted: map[string]int64{"w": 1}}}),
		Entry("a replica that leaves", datagram{Leaving: &replicanotice.Leaving{Replica: replica.Incarnation{ID: "r"}}}),
		Entry("speeds of replicas", datagram{Speeds: &replicaspeed.Message{Entries: []replicaspeed.Entry{{Key: 7, Samples: 1, Tokens: 2, Seconds: 3}}}}),
		Entry("a limit", datagram{Limit: &replicalimit.Notice{Stated: true, PerSecond: 2}}),
	)
})
