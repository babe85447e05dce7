package quarantinestore

import (
	"context"
	"encoding/json"
	"fmt"

	"briarreach/quarantine"
	"briarreach/rowstore"
)

// Entry is a part in quarantine, as stored.
type Entry struct {
	Name    string `json:"name"` // of the row
	Service string `json:"service"`
	Part    string `json:"part"`
	Crashes int    `json:"crashes"` // after which the part was put into quarantine
}

// UnknownEntryError reports that no part in quarantine has the name.
type UnknownEntryError struct{ Name string }

func (e *UnknownEntryError) Error() string { return "no part in quarantine has the name " + e.Name }

// decodeEntry decodes a row. It returns false if the row names no part.
func decodeEntry(row rowstore.Row) (Entry, bool) {
	e := Entry{}
	if err := json.Unmarshal(row.Value, &e); err != nil || e.Service == "" || e.Part == "" {
		return Entry{}, false
	}
	e.Name = row.Key.Name
	return e, true
}

func (e Entry) key() quarantine.Part { return quarantine.Part{Service: e.Service, ID: e.Part} }

// List returns the parts in quarantine by name. Rows that can't be read are left
// out.
func List(ctx context.Context, store rowstore.Store) ([]Entry, error) {
	page, err := store.List(ctx, Table, "")
	if err != nil {
		return nil, fmt.Errorf("quarantinestore.List: %w", err)
	}
	entries := []Entry{}
	for _, row := range page.Rows {
		if e, ok := decodeEntry(row); ok {
			entries = append(entries, e)
		}
	}
	return entries, nil
}

// Release ends the quarantine of a part at all gateways. It fails with
// *UnknownEntryError if there is no row of that name.
func Release(ctx context.Context, store rowstore.Store, name string) error {
	page, err := store.List(ctx, Table, "")
	if err != nil {
		return fmt.Errorf("quarantinestore.Release: %w", err)
	}
	for _, row := range page.Rows {
		if row.Key.Name != name {
			continue
		}
		if _, err := store.Commit(ctx, rowstore.Tx{Delete: []rowstore.Key{row.Key}}); err != nil {
			return fmt.Errorf("quarantinestore.Release: %w", err)
		}
		return nil
	}
	return &UnknownEntryError{Name: name}
}
