package move_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMove(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "move")
}
