package holder

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHolder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "holder")
}
