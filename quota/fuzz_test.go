package quota_test

import (
	"testing"
	"time"

	"briarreach/quota"
	"briarreach/rowstore"
)

// FuzzLoadRows guards against a stored row that takes the process down or makes it
// exceed a quota.
func FuzzLoadRows(f *testing.F) {
	f.Add("holder/h1", []byte(`{"incarnation":"x","sequence":1,"at_ms":5,"address":"10.0.0.1:7","fingerprint":"f","accounts":{"w":{"granted":10,"spent":5}}}`))
	f.Add("holder/h0", []byte(`{"accounts":{"w":{"granted":9223372036854775807,"spent":-9223372036854775808,"window":1,"released":-1}}}`))
	f.Add("workspace/w", []byte(`{"granted":5,"limit":10,"config_version":9}`))
	f.Add("workspace/w", []byte("null"))
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		const limit = 1000
		now := time.Unix(1e9, 0)
		al := quota.New("p", "h0", "h0-1", quota.Defaults())
		al.SetLimits(1, []quota.Limit{{Workspace: workspace, Tokens: limit}})
		row := rowstore.Row{Key: rowstore.Key{Table: quota.HolderTable, Part: "p", Name: name}, Version: 1, Value: value}
		// An unreadable row is an error; the others are applied.
		_ = al.LoadRows([]rowstore.Row{row}, quota.ScopeAll, time.Second, now)
		al.PrepareSync(now, false)
		if d := al.Reserve(workspace, 1, now); d == quota.Reserved {
			t.Fatal("reserved before a grant was committed")
		}
	})
}
