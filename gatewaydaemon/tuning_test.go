package gatewaydaemon_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/gatewaydaemon"
)

func TestGatewayDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gatewaydaemon")
}

var _ = Describe("the tuning file", func() {
	load := func(text string) (gatewaydaemon.Tuning, error) {
		path := filepath.Join(GinkgoT().TempDir(), "gateway.toml")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return gatewaydaemon.LoadTuning(path)
	}

	It("overrides the keys it contains and keeps the other defaults", func() {
		t, err := load("[placement]\neject_for = \"2s\"\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Placement.EjectFor).To(Equal(2 * time.Second))
		Expect(t.Quota).To(Equal(gatewaydaemon.DefaultTuning().Quota))
	})

	It("switches mechanisms off", func() {
		t, err := load("[replicas]\nfollow_evacuations = false\npace_cold = false\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Replicas).To(Equal(gatewaydaemon.ReplicaTuning{}))
		Expect(gatewaydaemon.DefaultTuning().Replicas).To(Equal(gatewaydaemon.ReplicaTuning{FollowEvacuations: true, PaceCold: true}))
	})

	It("of the deployment is valid", func() {
		t, err := gatewaydaemon.LoadTuning("../deploy/gateway.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(t.LearnSpeed).To(BeTrue())
		Expect(gatewaydaemon.DefaultTuning().LearnSpeed).To(BeFalse())
	})

	// Guards against a process that starts with a misread value.
	DescribeTable("with an invalid key or value is refused by an error that names it",
		func(text, want string) {
			_, err := load(text)
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("unknown key", "[placement]\nejectfor = \"2s\"\n", "ejectfor"),
		Entry("not a duration", "[placement]\neject_for = \"soon\"\n", "placement.eject_for: accepted is a duration from 1ms to 1h"),
		Entry("memory too short for a sample", "[placement]\nspeed_memory = \"1s\"\n", "placement.speed_memory: accepted is a duration from 5s to 10m"),
		Entry("switch that is no switch", "[placement]\nlearn_speed = 1\n", "gateway.toml"),
		Entry("negative factor", "[placement]\noverload_late_factor = -1\n", "placement.overload_late_factor: accepted is a number from 0 to 100"),
		Entry("too many bytes", "[gateway]\nmax_event_bytes = 2000000\n", "gateway.max_event_bytes: accepted is a whole number from 1024 to 1048576"),
		Entry("no homes", "[quota]\nhomes_per_workspace = 0\n", "quota.homes_per_workspace: accepted is a whole number from 1 to 64"),
		Entry("too few crashes", "[quarantine]\ncrashes = 1\n", "quarantine.crashes: accepted is a whole number from 2 to 5"),
		Entry("crashes of a request that never coincide", "[quarantine]\nrequest_coincidence = \"0s\"\n", "quarantine.request_coincidence: accepted is a duration from 1ms to 1h"),
		Entry("no duration of a quarantine", "[quarantine]\nduration = \"0s\"\n", "quarantine.duration: accepted is a duration from 1ms to 1h"),
		Entry("out of range", "[quota]\ngranted_part = 1.5\n", "quota.granted_part: accepted is a number from 0.01 to 1"),
		Entry("too much memory for callers", "[callers]\nmemory_part = 0.6\n", "callers.memory_part: accepted is 0 or a number from 0.05 to 0.5"),
		Entry("no stall time", "[callers]\nstall_timeout = \"0s\"\n", "callers.stall_timeout: accepted is a duration from 1ms to 1h"),
		Entry("fewer than no connections", "[callers]\nconnections_per_address = -1\n", "callers.connections_per_address: accepted is a whole number from 0"),
		Entry("more than the whole capacity", "[overload]\nnot_ready_above = 1.5\n", "overload.not_ready_above: accepted is a number from 0 to 1"),
		Entry("not TOML", "[placement", "gateway.toml"),
	)
})
