package budget

import (
	"fmt"
	"time"
)

// InsufficientBalanceError reports that the local balance is too small. A draw
// may increase it.
type InsufficientBalanceError struct {
	Budget          string
	Amount, Balance int64
}

func (e *InsufficientBalanceError) Error() string {
	return fmt.Sprintf("budget %q: %d needed, %d at hand", e.Budget, e.Amount, e.Balance)
}

// ExhaustedError reports that less than the amount is available in the ledger.
type ExhaustedError struct {
	Budget            string
	Amount, Available int64
	RetryAt           time.Time // no draw is attempted before then
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("budget %q: %d needed, %d available", e.Budget, e.Amount, e.Available)
}

// AmountError reports a negative amount.
type AmountError struct{ Amount int64 }

func (e *AmountError) Error() string { return fmt.Sprintf("negative amount %d", e.Amount) }
