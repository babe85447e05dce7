// Package lease elects the holder of a named lease. A lease is a row in the
// table that its holder renews; another process acquires it when the row has
// not changed for the lease duration on that process's own clock.
package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"briarreach/table"
)

const maxHolderBytes = 512

// Row is the stored form of a lease. FencingNumber grows by one with each new
// holder. Holder is empty if the lease was released. Expires only informs
// operators.
type Row struct {
	Holder        string    `json:"holder"`
	FencingNumber uint64    `json:"number"`
	Expires       time.Time `json:"expires"`
}

// InvalidError reports a malformed row.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid lease: " + e.Reason }

// Key returns the key of a lease.
func Key(name string) table.Key { return table.Key{Partition: "lease", Sort: name} }

// Encode returns the row as JSON. It fails with *InvalidError when
// Expires is outside the years 0 to 9999.
func (r *Row) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("lease.Row.Encode: %w", &InvalidError{Reason: err.Error()})
	}
	return data, nil
}

// Decode decodes a stored row. It fails with *InvalidError.
func Decode(data []byte) (*Row, error) {
	var r Row
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("lease.Decode: %w", &InvalidError{Reason: err.Error()})
	}
	if r.FencingNumber == 0 || len(r.Holder) > maxHolderBytes {
		return nil, fmt.Errorf("lease.Decode: %w", &InvalidError{
			Reason: fmt.Sprintf("bad fencing number or holder: number is %d, holder has %d bytes", r.FencingNumber, len(r.Holder))})
	}
	return &r, nil
}
