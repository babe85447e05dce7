package configsync_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"briarreach/configsync"
	"briarreach/table"
)

func TestConfigsync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configsync")
}

const (
	fencedHolderCount = 400
	pageTime          = 300 * time.Millisecond
)

// slowTable has fenced holders and no document, and takes pageTime for each page.
type slowTable struct{ table.Store }

func (slowTable) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	return make([]table.Row, len(keys)), ctx.Err()
}

func (slowTable) Query(ctx context.Context, partition, after string, limit int) ([]table.Row, error) {
	select {
	case <-time.After(pageTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var rows []table.Row
	for i := range fencedHolderCount {
		if sort := fmt.Sprintf("%06d", i); sort > after && len(rows) < limit {
			rows = append(rows, table.Row{Key: table.Key{Partition: partition, Sort: sort}, Version: 1})
		}
	}
	return rows, nil
}

// Guards against a list that is read from its start again and again, because its pages
// together take longer than one call may.
var _ = It("reads fenced holders whose pages together take longer than one call may", func() {
	f := configsync.New(slowTable{}, configsync.WithInterval(200*time.Millisecond))
	DeferCleanup(f.Close)
	Eventually(f.FencedHoldersLoaded, "8s", "20ms").Should(BeTrue())
	Expect(f.FencedHolders()).To(HaveLen(fencedHolderCount))
})
