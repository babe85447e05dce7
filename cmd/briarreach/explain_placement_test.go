package main

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"github.com/urfave/cli/v3"

	"briarreach/gateway"
	"briarreach/platform"
	"briarreach/story"
)

var _ = Describe("the command explain placement", func() {
	var asked gateway.PlacementQuery
	var answer *gateway.PlacementExplanation
	var failure error
	var address string

	BeforeEach(func() {
		asked, failure = gateway.PlacementQuery{}, nil
		answer = &gateway.PlacementExplanation{Route: "chat", Workspace: "acme", Service: "engine", ConfigVersion: 12, RegistryVersion: 340, Replica: "engine-3", Why: "home",
			Candidates: []gateway.ExplainedCandidate{
				{Replica: "engine-3", FailureDomain: "a", Version: "v2", Verdict: "taken", ExpectedMS: 44.5, Load: 2, Bound: 7, BacklogTokens: 0, CachedTokens: 568, Speed: 1.2},
				{Replica: "engine-1", FailureDomain: "a", Version: "v2", Verdict: "not_best", ExpectedMS: 139.1, Load: 3, Bound: 4, BacklogTokens: 2100, Speed: 0.55},
				{Replica: "engine-2", FailureDomain: "b", Version: "v2", Verdict: "limited", WaitMS: 412, ExpectedMS: 60.2, Speed: 1},
				{Replica: "engine-4", FailureDomain: "c", Version: "v1", Verdict: "version_withheld", ExpectedMS: 60.2, Speed: 1},
			}}
		server, err := platform.NewReadinessServer(netip.MustParseAddrPort("127.0.0.1:0"), func() bool { return true }, metrics.NewSet(), &log.Logger{Handler: discard.Default},
			platform.WithPlacementExplainer(func(q gateway.PlacementQuery) (*gateway.PlacementExplanation, error) {
				asked = q
				return answer, failure
			}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func(ctx context.Context) { Expect(server.Close(ctx)).To(Succeed()) })
		address = server.Addr().String()
	})
	call := func(args ...string) (string, error) {
		var out bytes.Buffer
		app := &cli.Command{Writer: &out, ErrWriter: &out, Commands: []*cli.Command{explainCommand()}, ExitErrHandler: func(context.Context, *cli.Command, error) {}}
		err := app.Run(context.Background(), append([]string{"briarreach", "explain"}, args...))
		return out.String(), err
	}
	described := func(extra ...string) []string {
		return append([]string{"placement", "--gateway", address, "--workspace", "acme", "--host", "api.example", "--path", "/v1/chat", "--tokens", "2368", "--part", "system, long:568"}, extra...)
	}
	logFile := func(fields string) string {
		path := filepath.Join(GinkgoT().TempDir(), "gateway.log")
		Expect(os.WriteFile(path, []byte(`{"fields":{"process":"g","request":"9c41","kind":"stream",`+fields+`"outcome":"served"},"level":"info","timestamp":"2026-01-02T03:04:05Z","message":"request"}`+"\n"), 0o600)).To(Succeed())
		return path
	}
	const recorded = `"route":"chat","workspace":"acme","service":"engine","prompt_tokens":900,"prompt_parts":["a","b"],`
	golden := func(name, out string) {
		GinkgoHelper()
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), name, []byte(out))
	}

	// Guards against changes of the output that scripts and operators read.
	It("prints the choice and the candidates as text and as JSON", func() {
		out, err := call(described()...)
		Expect(err).NotTo(HaveOccurred())
		golden("explain_placement_text", out)
		Expect(asked).To(Equal(gateway.PlacementQuery{Workspace: "acme", Host: "api.example", Path: "/v1/chat", PromptTokens: 2368, SharedParts: []gateway.PromptPart{{ID: "system, long", Tokens: 568}}}))
		out, err = call(described("--json")...)
		Expect(err).NotTo(HaveOccurred())
		golden("explain_placement_json", out)
	})

	It("prints a refusal", func() {
		answer.Replica, answer.Why, answer.Refusal = "", "", &gateway.ExplainedRefusal{Reason: gateway.Overloaded, RetryAfterMS: 380.25}
		answer.Candidates = answer.Candidates[1:3]
		answer.Candidates[0].Verdict = "refused"
		out, err := call(described()...)
		Expect(err).NotTo(HaveOccurred())
		golden("explain_placement_refusal", out)
	})

	// Guards against an explanation of another request than the recorded one.
	It("asks for a recorded request", func() {
		_, err := call("placement", "--gateway", address, "--request", "9c41", logFile(recorded+`"prompt_part_tokens":[300,200],`))
		Expect(err).NotTo(HaveOccurred())
		want := gateway.PlacementQuery{Workspace: "acme", Route: "chat", Service: "engine", PromptTokens: 900, SharedParts: []gateway.PromptPart{{ID: "a", Tokens: 300}, {ID: "b", Tokens: 200}}}
		Expect(asked).To(Equal(want))
		_, err = call("placement", "--gateway", address, "--request", "9c41", "--part", "a:10", logFile(recorded))
		Expect(err).NotTo(HaveOccurred())
		want.SharedParts = []gateway.PromptPart{{ID: "a", Tokens: 10}}
		Expect(asked).To(Equal(want))
	})

	// Guards against errors that don't say what is missing.
	It("names what is missing, with its exit code", func() {
		expect := func(code int, text string, args ...string) {
			GinkgoHelper()
			_, err := call(args...)
			Expect(err).To(MatchError(ContainSubstring(text)))
			Expect(exitCode(err)).To(Equal(code))
		}
		GinkgoT().Setenv(platform.SettingsVariable, "")
		expect(exitUsage, "--gateway or --platform", "placement", "--host", "h", "--path", "/")
		expect(exitUsage, "--host and --path are missing", "placement", "--gateway", address)
		expect(exitUnavailable, "no explanation from a gateway at 127.0.0.1:1", "placement", "--gateway", "127.0.0.1:1", "--host", "h", "--path", "/")
		expect(exitFailed, "no log line names the request 77", "placement", "--gateway", address, "--request", "77", logFile(recorded))
		expect(exitFailed, "names no route", "placement", "--gateway", address, "--request", "9c41", logFile(`"route":"",`))
		expect(exitUsage, "--part ID:TOKENS: a b", "placement", "--gateway", address, "--request", "9c41", logFile(recorded))
		failure = &gateway.PlacementQueryError{Missing: gateway.MissingRoute, Name: "h/"}
		expect(exitUsage, "unknown route h/", described()...)
		failure = &gateway.PlacementQueryError{Missing: gateway.MissingConfiguration}
		expect(exitUnavailable, "no configuration yet", described()...)
	})

	// Guards against a subcommand that takes the place of the command's own argument.
	It("leaves explain ID FILE as it was", func() {
		out, err := call("9c41", logFile(recorded))
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring(`* 03:04:05.000 g request: kind="stream"`))
		_, err = call("77", logFile(recorded))
		var notFound *story.NotFoundError
		Expect(errors.As(err, &notFound)).To(BeTrue())
	})
})
