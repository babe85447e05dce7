package gateway_test

import (
	"context"
	"io"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/json"

	"briarreach/gateway"
	"briarreach/placement"
	"briarreach/retrybudget"
)

// BenchmarkRefusal measures a request that is refused without a send, with its
// log line encoded and discarded; the difference is the cost of the log line.
func BenchmarkRefusal(b *testing.B) {
	for name, handler := range map[string]log.Handler{"line_written": json.New(io.Discard), "line_discarded": discard.New()} {
		b.Run(name, func(b *testing.B) {
			g := gateway.New(nil, placement.New(placement.Defaults(), nil), retrybudget.New(retrybudget.Limit{}, 1),
				gateway.WithLog(&log.Logger{Level: log.InfoLevel, Handler: handler}), gateway.WithMetrics(metrics.NewSet()))
			r := &gateway.Request{ID: "9c41d07be2a35f68", Host: "h.example", Path: "/chat/"}
			for b.Loop() {
				g.Serve(context.Background(), r)
			}
		})
	}
}
