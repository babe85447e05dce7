package targetset_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTargetset(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Targetset")
}
