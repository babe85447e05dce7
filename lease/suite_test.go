package lease_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The environment variable BRIARREACH_HISTORIES sets the number of random
// histories of the property tests.
func TestLease(t *testing.T) {
	histories := os.Getenv("BRIARREACH_HISTORIES")
	if histories == "" {
		histories = "3000"
	}
	if err := flag.Set("rapid.checks", histories); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}
