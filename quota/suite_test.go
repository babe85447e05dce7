package quota_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

// Skips exactly the specs that KNOWN-RED.txt lists, and reports them.
// BRIARREACH_KNOWN_RED=run runs them as well.
var _ = BeforeEach(func() {
	list, err := os.ReadFile("../KNOWN-RED.txt")
	Expect(err).NotTo(HaveOccurred())
	name := CurrentSpecReport().FullText()
	if os.Getenv("BRIARREACH_KNOWN_RED") != "run" && strings.Contains(string(list), "spec: "+name+"\n") {
		AddReportEntry("known red: " + name)
		Skip("known red: " + name)
	}
})
