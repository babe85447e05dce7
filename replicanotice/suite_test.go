package replicanotice_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReplicaNotice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replicanotice")
}
