package budget

import (
	"fmt"
	"time"
)

// InsufficientBalanceError reports that the local balance is too small; a draw may help.
type InsufficientBalanceError struct {
	Budget          string
	Amount, Balance int64
}

func (e *InsufficientBalanceError) Error() string {
	return fmt.Sprintf("budget %q: %d needed, %d at hand", e.Budget, e.Amount, e.Balance)
}

// ExhaustedError reports that the ledger has less than the amount available.
type ExhaustedError struct {
	Budget            string
	Amount, Available int64
	RetryAt           time.Time // a draw may be tried again then
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("budget %q: %d needed, %d available", e.Budget, e.Amount, e.Available)
}

// AmountError reports a negative amount.
type AmountError struct{ Amount int64 }

func (e *AmountError) Error() string { return fmt.Sprintf("negative amount %d", e.Amount) }
