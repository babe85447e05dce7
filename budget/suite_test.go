package budget_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	// rapid's default of 100 histories rarely contains a fenced holder that
	// resumes. The full count is run with -rapid.checks=100000.
	checks := flag.Lookup("rapid.checks")
	if checks.Value.String() == checks.DefValue {
		if err := checks.Value.Set("3000"); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "budget")
}
