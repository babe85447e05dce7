package table

import "fmt"

// Validate returns *InvalidError if the service would refuse the transaction.
func (tx Transaction) Validate() error {
	if tx.ID == "" || len(tx.ID) > MaxTransactionIDBytes {
		return &InvalidError{Reason: fmt.Sprintf("transaction id has %d bytes, accepted are 1 to %d", len(tx.ID), MaxTransactionIDBytes)}
	}
	rows := len(tx.Writes) + len(tx.Checks)
	if rows == 0 || rows > MaxTransactionRows {
		return &InvalidError{Reason: fmt.Sprintf("transaction has %d items, accepted are 1 to %d", rows, MaxTransactionRows)}
	}
	seen := make(map[Key]struct{}, rows)
	size := 0
	item := func(k Key, e Precondition) error {
		if err := k.validate(); err != nil {
			return err
		}
		if e == nil {
			return &InvalidError{Reason: "no expectation for row " + k.String()}
		}
		if _, ok := seen[k]; ok {
			return &InvalidError{Reason: "row " + k.String() + " is in the transaction twice"}
		}
		seen[k] = struct{}{}
		size += len(k.Partition) + len(k.Sort)
		return nil
	}
	for _, w := range tx.Writes {
		if err := item(w.Key, w.Expect); err != nil {
			return err
		}
		if len(w.Value) > MaxValueBytes {
			return &InvalidError{Reason: fmt.Sprintf("value of row %s has %d bytes, accepted are %d", w.Key, len(w.Value), MaxValueBytes)}
		}
		size += len(w.Value)
	}
	for _, c := range tx.Checks {
		if err := item(c.Key, c.Expect); err != nil {
			return err
		}
	}
	if size > MaxTransactionBytes {
		return &InvalidError{Reason: fmt.Sprintf("transaction has %d bytes, accepted are %d", size, MaxTransactionBytes)}
	}
	return nil
}

func (k Key) validate() error {
	if k.Partition == "" || len(k.Partition) > MaxPartitionBytes || k.Sort == "" || len(k.Sort) > MaxSortBytes {
		return &InvalidError{Reason: fmt.Sprintf("key has a partition of %d and a sort key of %d bytes, accepted are 1 to %d and 1 to %d",
			len(k.Partition), len(k.Sort), MaxPartitionBytes, MaxSortBytes)}
	}
	return nil
}

func validateQuery(partition, after string, limit int) error {
	if partition == "" || len(partition) > MaxPartitionBytes || len(after) > MaxSortBytes || limit < 1 {
		return &InvalidError{Reason: fmt.Sprintf("query of a partition of %d bytes after a sort key of %d bytes with limit %d",
			len(partition), len(after), limit)}
	}
	return nil
}
