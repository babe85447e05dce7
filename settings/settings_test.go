package settings_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const valid = `process = "entry-1"
vm = "vm-1"
failure_domain = "attica-1"
[entry]
caller_address = "127.0.0.1:8081"
operator_address = "127.0.0.1:8181"
peer_address = "127.0.0.1:9081"
config_interval = "2s"
[table]
endpoint = "http://127.0.0.1:8500"
[fleet]
ca_file = "ca.pem"
cert_file = "cert.pem"
key_file = "key.pem"
`

// Guards against settings that are silently ignored or read in a wrong unit,
// and against errors that an operator cannot locate in the file.
var _ = DescribeTable("faults are reported with file, line, key and accepted range",
	func(from, to string, want ...string) {
		_, err := settings.Parse("entry.toml", []byte(strings.Replace(valid, from, to, 1)))
		Expect(err).To(HaveOccurred())
		for _, text := range want {
			Expect(err.Error()).To(ContainSubstring(text))
		}
	},
	Entry("unknown key", "config_interval", "config_intervall", "entry.toml:8", "entry.config_intervall", "unknown setting"),
	Entry("unknown table", "[fleet]", "[flet]", "entry.toml", "flet"),
	Entry("missing unit", `"2s"`, `"2"`, "entry.toml:8", "unit"),
	Entry("wrong unit", `"2s"`, `"2 seconds"`, "entry.toml:8", "unit"),
	Entry("number in place of a duration", `"2s"`, `2`, "entry.toml:8"),
	Entry("out of range", `"2s"`, `"20s"`, "entry.toml:8", "entry.config_interval", "50ms to 5s"),
	Entry("less memory than a body takes", "[table]", "max_body_bytes = 8388608\nmax_request_memory_bytes = 67108863\n[table]", "entry.toml:10", "67108864 to"),
	Entry("no time to stall", "[table]", "stall_timeout = \"1ms\"\n[table]", "entry.stall_timeout", "100ms to 10m"),
	Entry("memory for operators", "[table]", "max_operator_memory_bytes = 1\n[table]", "entry.max_operator_memory_bytes", "8388608 to"),
	Entry("negative number", "[table]", "max_connections_per_address = -1\n[table]", "entry.max_connections_per_address", "0 to"),
	Entry("address without a port", `"127.0.0.1:8081"`, `"127.0.0.1"`, "entry.toml:5"),
	Entry("missing value", `process = "entry-1"`, "", "process", "not empty"),
	Entry("URL of another kind", "http://", "ftp://", "entry.toml:10", "table.endpoint", "a URL"),
	Entry("two roles", "[table]", "[agent]\n[table]", "exactly one of the tables"),
	Entry("no TOML", "[table]", "[table", "entry.toml:9"),
)

var _ = It("applies the defaults to a valid file", func() {
	s, err := settings.Parse("entry.toml", []byte(valid))
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Entry.DrawHorizon.Minutes()).To(Equal(20.0))
	Expect(s.Log.Level).To(Equal("info"))
})

// Guards against example files that no longer load.
var _ = DescribeTable("example files load", func(name string) {
	data, err := os.ReadFile("../examples/" + name)
	Expect(err).NotTo(HaveOccurred())
	_, err = settings.Parse(name, data)
	Expect(err).NotTo(HaveOccurred())
}, Entry(nil, "entry-1.toml"), Entry(nil, "entry-2.toml"), Entry(nil, "agent-engine-1.toml"), Entry(nil, "agent-service-1.toml"))
