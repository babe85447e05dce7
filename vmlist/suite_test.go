package vmlist_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestVMList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "vmlist")
}
