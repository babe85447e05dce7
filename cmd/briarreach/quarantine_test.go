package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/platform/standin"
	"briarreach/quarantinestore"
)

// Guards against a part that stays in quarantine because an operator has no means to
// find and release it.
var _ = Describe("the command quarantine", func() {
	It("lists the parts and releases one", func() {
		store, err := standin.NewStore()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
		store.Put(quarantinestore.Table, "", "0123456789abcdef", []byte(`{"service":"engine","part":"5c1e07a2","crashes":3}`))
		settings, err := os.ReadFile("../../platform/testdata/settings.conf")
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(GinkgoT().TempDir(), "boot.conf")
		Expect(os.WriteFile(file, fmt.Appendf(settings, "\nplatform.address=%s\n", store.Address()), 0o600)).To(Succeed())
		program := filepath.Join(GinkgoT().TempDir(), "briarreach")
		output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
		call := func(args ...string) (string, int) {
			command := exec.Command(program, append([]string{"quarantine", "--platform", file}, args...)...)
			out, err := command.Output()
			if err != nil {
				Expect(err).To(BeAssignableToTypeOf(&exec.ExitError{}))
			}
			return string(out), command.ProcessState.ExitCode()
		}
		out, code := call("--json")
		Expect(code).To(BeZero())
		var entries []quarantinestore.Entry
		Expect(json.Unmarshal([]byte(out), &entries)).To(Succeed())
		Expect(entries).To(Equal([]quarantinestore.Entry{{Name: "0123456789abcdef", Service: "engine", Part: "5c1e07a2", Crashes: 3}}))
		_, code = call("--release", "none")
		Expect(code).To(Equal(exitUsage))
		_, code = call("--release", "0123456789abcdef")
		Expect(code).To(BeZero())
		Expect(store.Names(quarantinestore.Table, "")).To(BeEmpty())
		Expect(store.Close()).To(Succeed())
		_, code = call()
		Expect(code).To(Equal(exitUnavailable))
	})
})
