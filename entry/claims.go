package entry

import (
	"context"

	"briarreach/caller"
)

// claimKey claims the idempotency key of a call that may not be repeated.
type claimKey struct{ e *Entry }

func (f claimKey) apply(_ context.Context, _ *exchange) caller.Reply { return nil }

// claimHandle is the claim of one request.
type claimHandle struct{}

func (*claimHandle) beforeDispatch(context.Context, try) *caller.Error { return nil }
func (*claimHandle) afterAnswer(*answer)                               {}
func (*claimHandle) afterRefusal()                                     {}
