package budget

import (
	"fmt"
	"time"
)

// PendingError reports that the local balance is too small; a draw may help.
type PendingError struct {
	Budget          string
	Amount, Balance int64
}

func (e *PendingError) Error() string {
	return fmt.Sprintf("budget %q: %d needed, %d at hand", e.Budget, e.Amount, e.Balance)
}

// ExhaustedError reports that the ledger has less than the amount available.
type ExhaustedError struct {
	Budget            string
	Amount, Available int64
	Until             time.Time // a draw may be tried again then
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("budget %q: %d needed, %d available", e.Budget, e.Amount, e.Available)
}

// AmountError reports a negative amount.
type AmountError struct{ Amount int64 }

func (e *AmountError) Error() string { return fmt.Sprintf("negative amount %d", e.Amount) }
