package table_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"briarreach/standin"
	"briarreach/table"
)

var _ = Describe("Client", func() {
	connect := func(url string) *table.Client {
		client, err := table.New(table.WithEndpoint(url), table.WithTimeout(20*time.Second))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		return client
	}

	// Guards against treating a response that leaves the outcome open as definite,
	// and the reverse.
	DescribeTable("maps responses of the service", func(status int, body string, commit OmegaMatcher, read OmegaMatcher) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}))
		DeferCleanup(server.Close)
		client := connect(server.URL)
		Expect(client.Commit(ctx, writes(put("a", table.Any{}, "1")))).To(commit)
		_, err := client.Get(ctx, key("a"))
		Expect(err).To(read)
	},
		Entry("success without a body that is JSON", 200, "<html>", beAmbiguous, beUnavailable),
		Entry("service unavailable", 503, `{"__type":"x#ServiceUnavailable"}`, beAmbiguous, beUnavailable),
		Entry("client error without a type", 400, `no JSON`, beAmbiguous, beUnavailable),
		Entry("proxy's error", 502, `Bad Gateway`, beAmbiguous, beUnavailable),
		Entry("throughput exceeded", 400, `{"__type":"x#ProvisionedThroughputExceededException"}`, beThrottled, beThrottled),
		Entry("request limit", 400, `{"__type":"x#RequestLimitExceeded"}`, beThrottled, beThrottled),
		Entry("access denied", 400, `{"__type":"x#AccessDeniedException"}`, beUnavailable, beUnavailable),
		Entry("table missing", 400, `{"__type":"x#ResourceNotFoundException"}`, beUnavailable, beUnavailable),
		Entry("validation", 400, `{"__type":"x#ValidationException"}`, beInvalid, beInvalid),
		Entry("in progress", 400, `{"__type":"x#TransactionInProgressException"}`, beAmbiguous, beUnavailable),
		Entry("cancelled by a condition", 400, `{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"ConditionalCheckFailed"}]}`, beConflict, beUnavailable),
		Entry("cancelled without reasons", 400, `{"__type":"x#TransactionCanceledException"}`, beUnavailable, beUnavailable),
		Entry("cancelled by the rate limit", 400, `{"__type":"x#TransactionCanceledException","CancellationReasons":[{"Code":"ThrottlingError"}]}`, beThrottled, beUnavailable),
	)

	// Guards against an unreachable service being reported as ambiguous.
	DescribeTable("reports a service that was not reached as unavailable", func(url string) {
		Expect(connect(url).Commit(ctx, writes(put("a", table.Any{}, "1")))).To(beUnavailable)
	},
		Entry("refused", "http://127.0.0.1:1"),
		Entry("unknown name", "http://no-such-host.invalid:80"),
	)

	// Guards against an unknown outcome when the service has closed an idle
	// connection and nothing could be sent.
	It("uses a new connection after an outage", func() {
		service, err := standin.NewTable()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		client := connect(service.Endpoint())
		for range 5 {
			Expect(client.Commit(ctx, writes(put("a", table.Any{}, "1")))).To(Succeed())
			Expect(service.SetFaults(standin.TableFaults{Outage: standin.TableOutageRefuse})).To(Succeed())
			Eventually(func() error {
				return client.Commit(ctx, writes(put("a", table.Any{}, "1")))
			}).Should(beUnavailable)
			Expect(service.SetFaults(standin.TableFaults{})).To(Succeed())
		}
	})

	// Guards against a simulated outage that can't be ended over HTTP.
	It("lets faults be set over HTTP", func() {
		service, err := standin.NewTable()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(service.Close)
		client := connect(service.Endpoint())
		control := "http://" + service.ControlAddr().String() + "/faults"
		set := func(body string, status int) {
			response, err := http.Post(control, "application/json", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			Expect(response.StatusCode).To(Equal(status))
		}
		set(`{"outage":"refuse","latency":"1ms"}`, 200)
		_, err = client.Get(ctx, key("a"))
		Expect(err).To(beUnavailable)
		set(`{"outage":"nonsense"}`, 400)
		set(`{}`, 200)
		_, err = client.Get(ctx, key("a"))
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("refuses options", func(opts ...table.Option) {
		_, err := table.New(opts...)
		Expect(err).To(beInvalid)
	},
		Entry("no endpoint"),
		Entry("no timeout", table.WithEndpoint("http://127.0.0.1:1"), table.WithTimeout(0)),
		Entry("no credentials", table.WithEndpoint("http://127.0.0.1:1"), table.WithCredentials("", "")),
	)
})

// Guards against goroutines and connections that outlive Close.
var _ = It("leaves no goroutine after Close", func() {
	before := goleak.IgnoreCurrent()
	service, err := standin.NewTable()
	Expect(err).NotTo(HaveOccurred())
	client, err := table.New(table.WithEndpoint(service.Endpoint()))
	Expect(err).NotTo(HaveOccurred())
	Expect(client.Commit(ctx, writes(put("a", table.Any{}, "1")))).To(Succeed())
	Expect(client.Close()).To(Succeed())
	Expect(service.Close()).To(Succeed())
	Expect(service.Close()).To(Succeed())
	// fasthttp stops these by itself some seconds after the last use.
	Expect(goleak.Find(before, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))).To(Succeed())
})
