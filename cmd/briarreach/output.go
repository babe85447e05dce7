package main

import (
	"encoding/json"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

type rowOf = table.Row

// newTable returns a table for people.
func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	return t
}

// printJSON prints a value for programs.
func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
