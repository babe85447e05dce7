package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/config"
	"briarreach/fleet"
	"briarreach/standin"
)

func quietLog() *log.Logger { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

// backgroundTraffic sends chat requests to all entries in turn until stop is
// called, and counts complete and failed answers.
type backgroundTraffic struct {
	complete, failed atomic.Int64
	cancel           context.CancelFunc
	group            sync.WaitGroup
}

func startTraffic(f *fleet.Fleet, rate int) *backgroundTraffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &backgroundTraffic{cancel: cancel}
	client := newHTTPClient()
	t.group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			url := "http://" + f.Entries[i%len(f.Entries)].CallerAddr().String() + "/v1/chat/completions"
			t.group.Go(func() {
				if _, err := timeToFirstByte(client, url, f.CallerKey, chatBody(i)); err != nil {
					t.failed.Add(1)
					return
				}
				t.complete.Add(1)
			})
		}
	})
	return t
}

func (t *backgroundTraffic) stop() {
	t.cancel()
	t.group.Wait()
}

// startMove adds two engines of version v2 with the faults and starts a move to
// this version.
func startMove(ctx context.Context, f *fleet.Fleet, within time.Duration, faults ...standin.TargetFault) []*standin.Engine {
	GinkgoHelper()
	var engines []*standin.Engine
	var operations []config.Operation
	for i := range 2 {
		e, err := standin.NewEngine(standin.WithEngineVersion("v2"), standin.WithEngineFaults(faults...),
			standin.WithEngineCapacity(256, 1<<24), standin.WithEngineAnswerTokens(8, 8))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(e.Close)
		engines = append(engines, e)
		name := fmt.Sprintf("engine-new-%d", i+1)
		Expect(f.AddAgent(name, e.URL())).To(Succeed())
		operations = append(operations, config.PutTarget{Target: config.Target{Name: name, Model: fleet.Model, Version: "v2",
			AgentAddr: f.Agents[len(f.Agents)-1].Addr(), MaxConcurrent: 64, MaxTokens: 1 << 20}})
	}
	Expect(f.Patch(ctx, operations...)).To(Succeed())
	Expect(fleet.WaitForConfig(ctx, f.Operator())).To(Succeed())
	Expect(f.Patch(ctx, config.StartMove{Move: "spring", Subject: fleet.Model, From: fleet.Version, To: "v2",
		Deadline: time.Now().Add(within)})).To(Succeed())
	return engines
}

func receivedRequests(engines []*standin.Engine) (requests int) {
	for _, e := range engines {
		record := e.Record()
		requests += record.Started + record.Refused
	}
	return requests
}

// Guards against moves that miss their deadline, and against bad versions that
// keep getting requests or fail those of callers.
var _ = Describe("version moves", func() {
	var f *fleet.Fleet
	state := func(ctx context.Context) config.Move {
		d, err := f.Operator().Config(ctx)
		if err != nil {
			return config.Move{}
		}
		return d.Moves["spring"]
	}
	BeforeEach(func(ctx SpecContext) {
		var err error
		f, err = fleet.New(ctx, fleet.WithSize(2, 2, 0), fleet.WithPrepaid(1<<40), fleet.WithLog(quietLog()),
			fleet.WithEngineOptions(standin.WithEngineCapacity(256, 1<<24), standin.WithEngineAnswerTokens(8, 8)))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func(ctx SpecContext) { _ = f.Close(ctx) })
	})

	It("finishes a good version before the deadline", func(ctx SpecContext) {
		t := startTraffic(f, 100)
		defer t.stop()
		startMove(ctx, f, 20*time.Second)
		deadline := state(ctx).Deadline
		Eventually(func() config.MoveState { return state(ctx).State }, 20*time.Second, 100*time.Millisecond).Should(Equal(config.MoveDone))
		Expect(state(ctx).Ended).To(BeTemporally("<", deadline))
		t.stop()
		Expect(t.failed.Load()).To(BeZero())
	}, SpecTimeout(60*time.Second))

	It("rolls back a failing version and answers its requests from the old one", func(ctx SpecContext) {
		t := startTraffic(f, 100)
		defer t.stop()
		engines := startMove(ctx, f, 30*time.Second, standin.TargetFault{FailShare: 1, Status: http.StatusInternalServerError})
		Eventually(func() config.MoveState { return state(ctx).State }, 30*time.Second, 100*time.Millisecond).Should(Equal(config.MoveRolledBack))
		Expect(state(ctx).Evidence).NotTo(BeEmpty())
		requestsToNewVersion := receivedRequests(engines)
		time.Sleep(3 * time.Second) // the specified time after which a bad version gets no more requests
		requestsToNewVersion = receivedRequests(engines) - requestsToNewVersion
		t.stop()
		total := t.complete.Load() + t.failed.Load()
		Expect(float64(t.failed.Load()) / float64(total)).To(BeNumerically("<=", 0.01))
		Expect(float64(receivedRequests(engines)) / float64(total)).To(BeNumerically("<=", 0.05))
		Expect(requestsToNewVersion).To(BeZero())
	}, SpecTimeout(60*time.Second))
})
