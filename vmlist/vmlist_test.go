package vmlist_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"briarreach/settings"
	"briarreach/standin"
	"briarreach/vmlist"
)

var _ = Describe("Client", func() {
	var clock *clockwork.FakeClock
	var server *standin.VMList
	var client *vmlist.Client

	poll := func() {
		clock.Advance(12 * time.Second) // the interval with the largest jitter
		ctx := GinkgoT().Context()
		Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
	}
	state := func() vmlist.State {
		list := client.Snapshot()
		Expect(list).NotTo(BeNil())
		return list.VMs[0].State
	}

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		var err error
		server, err = standin.NewVMList(standin.WithVMListClock(clock), standin.WithVMListVMs(vmlist.VM{Name: "a", State: vmlist.Live}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client = vmlist.New(server.URL(), vmlist.WithInterval(10*time.Second), vmlist.WithTimeout(20*time.Second), vmlist.WithClock(clock))
		DeferCleanup(client.Close)
		Expect(clock.BlockUntilContext(GinkgoT().Context(), 1)).To(Succeed())
	})

	// Guards against a list that is lost during an outage or replaced by a
	// corrupt one.
	DescribeTable("keeps the last list while the service fails", func(faults standin.VMListFaults) {
		Expect(state()).To(Equal(vmlist.Live))
		server.SetVMs(vmlist.VM{Name: "a", State: vmlist.Leaving})
		server.SetFaults(faults)
		poll()
		Expect(state()).To(Equal(vmlist.Live))
		var failed *vmlist.FetchError
		Expect(errors.As(client.Err(), &failed)).To(BeTrue())
		server.SetFaults(standin.VMListFaults{})
		poll()
		Expect(state()).To(Equal(vmlist.Leaving))
		Expect(client.Err()).NotTo(HaveOccurred())
	},
		Entry("outage", standin.VMListFaults{Outage: true}),
		Entry("corrupt answers", standin.VMListFaults{Corrupt: true}),
	)

	It("shows a change after the lag", func() {
		server.SetFaults(standin.VMListFaults{Lag: settings.Duration{Duration: 30 * time.Second}})
		server.SetVMs(vmlist.VM{Name: "a", State: vmlist.Leaving})
		poll()
		poll()
		Expect(state()).To(Equal(vmlist.Live))
		poll()
		Expect(state()).To(Equal(vmlist.Leaving))
	})

	// Guards against a list that goes back in time when a poll is answered by
	// another server with a larger lag.
	It("never accepts an older list", func() {
		server.SetVMs(vmlist.VM{Name: "a", State: vmlist.Leaving})
		poll()
		Expect(state()).To(Equal(vmlist.Leaving))
		server.SetFaults(standin.VMListFaults{Lag: settings.Duration{Duration: time.Hour}})
		poll()
		Expect(state()).To(Equal(vmlist.Leaving))
	})

	It("shows a list that was set over HTTP", func() {
		request, err := http.NewRequest(http.MethodPut, server.URL()+"/vms", strings.NewReader(`{"vms":[{"name":"b","state":"leaving","address":"10.0.0.1"}]}`))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		poll()
		Expect(client.Snapshot().VMs[0].Name).To(Equal("b"))
	})
})

// Guards against a malformed list that is taken for an empty list.
var _ = DescribeTable("Parse rejects", func(data string) {
	_, err := vmlist.Parse([]byte(data))
	var invalid *vmlist.InvalidError
	Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
},
	Entry("no JSON", `{`),
	Entry("null", `null`),
	Entry("no vms", `{"as_of":"2026-01-01T00:00:00Z"}`),
	Entry("no as_of", `{"vms":[]}`),
	Entry("unknown state", `{"vms":[{"name":"a","state":"gone"}],"as_of":"2026-01-01T00:00:00Z"}`),
	Entry("no name", `{"vms":[{"state":"live"}],"as_of":"2026-01-01T00:00:00Z"}`),
	Entry("name twice", `{"vms":[{"name":"a","state":"live"},{"name":"a","state":"leaving"}],"as_of":"2026-01-01T00:00:00Z"}`),
	Entry("bad address", `{"vms":[{"name":"a","state":"live","address":"x"}],"as_of":"2026-01-01T00:00:00Z"}`),
)

// FuzzParse guards against panics and against a list that Parse accepts but
// that changes when it is written and read again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"vms":[{"name":"a","failure_domain":"d","state":"live","address":"10.0.0.1"}],"as_of":"2026-01-01T00:00:00Z"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := vmlist.Parse(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(list)
		if err != nil {
			t.Skip("a time that JSON does not represent")
		}
		if _, err := vmlist.Parse(again); err != nil {
			t.Fatalf("%s: %v", again, err)
		}
	})
}

// Guards against goroutines that outlive Close.
var _ = It("leaves no goroutine after Close", func() {
	before := goleak.IgnoreCurrent()
	server, err := standin.NewVMList()
	Expect(err).NotTo(HaveOccurred())
	client := vmlist.New(server.URL())
	Eventually(client.Snapshot).ShouldNot(BeNil())
	Expect(client.Close()).To(Succeed())
	Expect(client.Close()).To(Succeed())
	Expect(server.Close()).To(Succeed())
	// fasthttp ends these goroutines some seconds after their last use.
	Expect(goleak.Find(before, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"))).To(Succeed())
})
