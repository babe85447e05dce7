package main

import (
	"encoding/json"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

type tableRow = table.Row

// newTable returns a table to print as text.
func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	return t
}

// printJSON prints a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
