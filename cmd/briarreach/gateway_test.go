package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a gateway that ends because SIGHUP, which announces changed
// settings, arrives while it starts.
var _ = Describe("a gateway that gets SIGHUP while it starts", func() {
	It("continues to start", func() {
		program := filepath.Join(GinkgoT().TempDir(), "briarreach")
		output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
		// A process can't handle signals before its own code runs. The fifo has no
		// reader until then: the gateway opens its settings as its first step.
		settings := filepath.Join(GinkgoT().TempDir(), "boot.conf")
		Expect(syscall.Mkfifo(settings, 0o600)).To(Succeed())
		var out syncBuffer
		gateway := exec.Command(program, "gateway", "--platform", settings)
		gateway.Stdout, gateway.Stderr = &out, &out
		Expect(gateway.Start()).To(Succeed())
		ended := make(chan error, 1)
		go func() { ended <- gateway.Wait() }()
		DeferCleanup(func() { _ = gateway.Process.Kill() })
		var file *os.File
		Eventually(func() (err error) {
			file, err = os.OpenFile(settings, os.O_WRONLY|syscall.O_NONBLOCK, 0)
			return err
		}, "5s", "1ms").Should(Succeed())
		Expect(gateway.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Consistently(ended, "200ms").ShouldNot(Receive(), out.String())
		// Settings without a key end the gateway with its own error, not the signal's.
		Expect(file.Close()).To(Succeed())
		Eventually(ended, 5*time.Second).Should(Receive())
		Expect(gateway.ProcessState.ExitCode()).To(Equal(exitUsage), out.String())
	})
})
