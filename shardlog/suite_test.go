package shardlog_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestSuite(t *testing.T) {
	// Ginkgo keeps a goroutine that handles signals.
	defer goleak.VerifyNone(t, goleak.IgnoreAnyFunction(
		"github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
	RegisterFailHandler(Fail)
	RunSpecs(t, "journal")
}
