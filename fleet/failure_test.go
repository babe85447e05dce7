package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/config"
	"briarreach/fleet"
	"briarreach/operator"
	"briarreach/settings"
	"briarreach/standin"
	"briarreach/vmlist"
)

// postToEntry sends a request to an entry and returns the status and the answer.
func postToEntry(f *fleet.Fleet, entry int, path, key, idempotencyKey, body string) (int, string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.Entries[entry].CallerAddr().String()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

const bookingsPath = "/v1/services/" + fleet.Service + "/bookings"

// executedCost returns the cost of what the engines and services executed, in
// budget tokens.
func executedCost(f *fleet.Fleet) (cost int64) {
	for _, e := range f.Engines {
		for _, run := range e.Runs() {
			cost += run.PromptTokens + run.GeneratedTokens
		}
	}
	for _, s := range f.Services {
		cost += 5 * int64(len(s.Runs()))
	}
	return cost
}

func firstBudget(ctx context.Context, f *fleet.Fleet) operator.Budget {
	budgets, err := f.Operator().Budgets(ctx)
	if err != nil || len(budgets) == 0 {
		return operator.Budget{Settled: -1}
	}
	return budgets[0]
}

var _ = Describe("a fleet during failures", func() {
	start := func(ctx context.Context, opts ...fleet.Option) *fleet.Fleet {
		GinkgoHelper()
		f, err := fleet.New(ctx, append([]fleet.Option{fleet.WithLog(quietLog())}, opts...)...)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func(ctx SpecContext) { _ = f.Close(ctx) })
		return f
	}

	// Guards against a patch that is lost, applied twice, or accepted although it
	// is invalid or stale.
	It("refuses bad patches with a type and changes nothing", func(ctx SpecContext) {
		f := start(ctx)
		client := f.Operator()
		before, err := client.Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		ok := config.Patch{ID: "01KBJQ4T1T9V3RXNWBGYQZ5ZC2", Base: before.Number, Operations: []config.Operation{config.TopUp{Budget: fleet.Budget, Amount: 7}}}
		for name, c := range map[string]struct {
			patch config.Patch
			kind  operator.ErrorType
		}{
			"old number":        {config.Patch{ID: ok.ID, Base: before.Number - 1, Operations: ok.Operations}, operator.Conflict},
			"future number":     {config.Patch{ID: ok.ID, Base: before.Number + 1, Operations: ok.Operations}, operator.Conflict},
			"budget below zero": {config.Patch{ID: ok.ID, Base: before.Number, Operations: []config.Operation{config.OpenBudget{Workspace: fleet.Workspace, Budget: "x", Prepaid: -1}}}, operator.Invalid},
			"unknown budget":    {config.Patch{ID: ok.ID, Base: before.Number, Operations: []config.Operation{config.TopUp{Budget: "none", Amount: 7}}}, operator.Invalid},
			"deadline in the past": {config.Patch{ID: ok.ID, Base: before.Number, Operations: []config.Operation{config.StartMove{
				Move: "m", Subject: fleet.Model, From: "v1", To: "v2", Deadline: time.Now().Add(-time.Hour)}}}, operator.Invalid},
			"controller's operation": {config.Patch{ID: ok.ID, Base: before.Number, Operations: []config.Operation{config.SetShare{Move: "m", SharePPM: 1}}}, operator.Invalid},
		} {
			_, err := client.Patch(ctx, c.patch)
			var apiErr *operator.Error
			Expect(errors.As(err, &apiErr)).To(BeTrue(), name)
			Expect(apiErr.Type).To(Equal(c.kind), "%s: %v", name, err)
		}
		for _, key := range []string{"", f.CallerKey, "wrong"} {
			_, err := operator.NewClient("http://"+f.Entries[0].OperatorAddr().String(), key).Config(ctx)
			var apiErr *operator.Error
			Expect(errors.As(err, &apiErr)).To(BeTrue())
			Expect(apiErr.Type).To(Equal(operator.Unauthorized))
		}
		after, err := client.Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(Equal(before))
		// The same patch twice, and once more at the other entry, tops up once.
		prepaid := firstBudget(ctx, f).Prepaid
		other := operator.NewClient("http://"+f.Entries[1].OperatorAddr().String(), f.OperatorKey)
		for _, c := range []*operator.Client{client, client, other} {
			accepted, err := c.Patch(ctx, ok)
			Expect(err).NotTo(HaveOccurred())
			Expect(accepted.ConfigNumber).To(Equal(before.Number + 1))
		}
		Expect(firstBudget(ctx, f).Prepaid).To(Equal(prepaid + 7))
	}, SpecTimeout(30*time.Second))

	// Guards against needless refusals during an outage of the table, against
	// bookings that run without a claim then, and against lost bills.
	It("serves from its grants during a table outage and bills afterwards", func(ctx SpecContext) {
		f := start(ctx)
		chat := func(i int) (int, string) {
			status, answer, err := postToEntry(f, i%2, "/v1/chat/completions", f.CallerKey, "", chatBody(i))
			Expect(err).NotTo(HaveOccurred())
			return status, answer
		}
		for i := range 4 { // both entries get grants
			status, answer := chat(i)
			Expect(status).To(Equal(http.StatusOK), answer)
		}
		Expect(f.Table.SetFaults(standin.TableFaults{Outage: "close"})).To(Succeed())
		for i := range 40 {
			status, answer := chat(i)
			Expect(status).To(Equal(http.StatusOK), answer)
		}
		status, answer, err := postToEntry(f, 0, bookingsPath, f.CallerKey, "booking-1", `{"slot":"10:30"}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(BeNumerically(">=", 500), answer)
		Expect(f.Services[0].Runs()).To(BeEmpty())
		Expect(f.Table.SetFaults(standin.TableFaults{})).To(Succeed())
		Eventually(func() int64 { return firstBudget(ctx, f).Settled }, 20*time.Second, 100*time.Millisecond).Should(Equal(executedCost(f)))
	}, SpecTimeout(60*time.Second))

	// Guards against requests that are sent to a drained target.
	It("sends nothing to a drained target and finishes its running work", func(ctx SpecContext) {
		f := start(ctx, fleet.WithEngineOptions(standin.WithEngineCapacity(256, 1<<24)))
		t := startTraffic(f, 100)
		defer t.stop()
		Eventually(f.Engines[0].Record, 5*time.Second).Should(HaveField("Started", BeNumerically(">", 5)))
		Expect(f.Patch(ctx, config.DrainTarget{Name: "engine-1"})).To(Succeed())
		time.Sleep(3 * time.Second) // the specified time after which the target gets no more requests
		started := f.Engines[0].Record().Started
		time.Sleep(time.Second)
		Expect(f.Engines[0].Record().Started).To(Equal(started))
		t.stop()
		Expect(t.failed.Load()).To(BeZero())
	}, SpecTimeout(30*time.Second))

	// Guards against requests that are sent to a target whose VM is leaving
	// according to the platform's list, also when the list is no longer updated.
	It("sends nothing to a target whose VM is leaving according to the platform's list", func(ctx SpecContext) {
		list, err := standin.NewVMList()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(list.Close)
		f := start(ctx, fleet.WithSettings(func(s *settings.Settings) {
			s.VMList.URL, s.VMList.Interval.Duration = list.URL(), 100*time.Millisecond
		}))
		document, err := f.Operator().Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		target := document.Targets["engine-1"]
		target.VM = "vm-1"
		Expect(f.Patch(ctx, config.PutTarget{Target: target})).To(Succeed())
		t := startTraffic(f, 50)
		defer t.stop()
		Eventually(f.Engines[0].Record, 5*time.Second).Should(HaveField("Started", BeNumerically(">", 5)))
		list.SetVMs(vmlist.VM{Name: "vm-1", FailureDomain: "attica-1", State: vmlist.Leaving, Address: netip.MustParseAddr("127.0.0.1")})
		time.Sleep(3 * time.Second) // the specified time after which the target gets no more requests
		started := f.Engines[0].Record().Started
		time.Sleep(time.Second)
		Expect(f.Engines[0].Record().Started).To(Equal(started))
		t.stop()
		Expect(t.failed.Load()).To(BeZero())
	}, SpecTimeout(30*time.Second))

	// Guards against overspending a budget through several entries.
	It("never bills more than the prepaid amount when callers ask for more", func(ctx SpecContext) {
		f := start(ctx, fleet.WithPrepaid(2000))
		refused := 0
		for i := range 200 {
			status, answer, err := postToEntry(f, i%2, "/v1/chat/completions", f.CallerKey, "", chatBody(i))
			Expect(err).NotTo(HaveOccurred())
			if status != http.StatusOK {
				Expect(answer).To(ContainSubstring(`"execution":"not_run"`))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
		Eventually(func() int64 { return firstBudget(ctx, f).Settled }, 10*time.Second, 100*time.Millisecond).Should(Equal(executedCost(f)))
		b := firstBudget(ctx, f)
		Expect(b.Settled).To(BeNumerically("<=", 2000))
		// The remaining amount must be too small to reserve one more request.
		AddReportEntry("left", fmt.Sprint(b.Prepaid-b.Settled))
		Expect(b.Prepaid - b.Settled).To(BeNumerically("<", 150))
	}, SpecTimeout(60*time.Second))

	// Guards against answers that are truncated or mixed up when an open
	// connection stops delivering packets for good while new ones work.
	It("resumes answers when the open connection to an agent goes silent", func(ctx SpecContext) {
		f := start(ctx, fleet.WithSize(1, 1, 0), fleet.WithEngineOptions(standin.WithEngineTokenRates(30, 0), standin.WithEngineAnswerTokens(150, 150)))
		link, err := standin.NewLink(standin.WithLinkTarget(f.Agents[0].Addr()))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(link.Close)
		document, err := f.Operator().Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		target := document.Targets["engine-1"]
		target.AgentAddr = link.Addr()
		Expect(f.Patch(ctx, config.PutTarget{Target: target})).To(Succeed())
		body := strings.Replace(chatBody(1), `"max_tokens":8`, `"max_tokens":150`, 1)
		_, want, err := postToEntry(f, 0, "/v1/chat/completions", f.CallerKey, "", body)
		Expect(err).NotTo(HaveOccurred())
		type result struct {
			answer string
			err    error
		}
		results := make(chan result, 8)
		for range cap(results) {
			go func() {
				_, answer, err := postToEntry(f, 0, "/v1/chat/completions", f.CallerKey, "", body)
				results <- result{answer, err}
			}()
		}
		Eventually(f.Engines[0].Running, 5*time.Second, 10*time.Millisecond).Should(Equal(cap(results)))
		link.SetFaultBothDirections(standin.LinkFault{DropKnownConnections: true})
		for range cap(results) {
			var r result
			Eventually(results, 20*time.Second).Should(Receive(&r))
			Expect(r.err).NotTo(HaveOccurred())
			Expect(answerText(r.answer)).To(Equal(answerText(want)), r.answer)
			Expect(r.answer).To(HaveSuffix("data: [DONE]\n\n"))
		}
		Eventually(func() int64 { return firstBudget(ctx, f).Settled }, 10*time.Second, 100*time.Millisecond).Should(Equal(executedCost(f)))
	}, SpecTimeout(60*time.Second))
})

// answerText returns the chunks of a streamed answer without their ids.
func answerText(answer string) string {
	var b strings.Builder
	for line := range strings.Lines(answer) {
		if _, rest, ok := strings.Cut(line, `"choices":`); ok {
			b.WriteString(rest)
		}
	}
	return b.String()
}
