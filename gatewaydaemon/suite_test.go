package gatewaydaemon_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGatewayDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gatewaydaemon")
}
