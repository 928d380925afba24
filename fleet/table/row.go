// Package table defines the rows that operators edit: their kinds, their validation, the
// merge of concurrent edits, and their CSV format.
package table

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// Version is the number of changes of a row; 0 is a row that does not exist.
type Version int64

// ID identifies a row.
type ID struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the id as kind/name.
func (id ID) String() string { return string(id.Kind) + "/" + id.Name }

// ParseID parses an id of the form kind/name.
func ParseID(s string) (ID, error) {
	kind, name, ok := strings.Cut(s, "/")
	if !ok || name == "" {
		return ID{}, errors.Newf("row %q: want KIND/NAME", s)
	}
	k, err := ParseKind(kind)
	return ID{Kind: k, Name: name}, err
}

// Cells holds the values of a row by column, as text. In JSON, numbers and booleans are
// written as such.
type Cells map[Column]string

// Get returns a cell's text, or "" if it is not set.
func (c Cells) Get(name Column) string { return c[name] }

// Int returns a cell's whole number, or fallback if it is not set.
func (c Cells) Int(name Column, fallback int64) int64 {
	n, err := strconv.ParseInt(c[name], 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// Columns lists the columns that are set, in order.
func (c Cells) Columns() []Column {
	names := lo.Keys(c)
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// MarshalJSON implements json.Marshaler; numbers and booleans are written without quotes.
func (c Cells) MarshalJSON() ([]byte, error) {
	typed := make(map[Column]any, len(c))
	for name, value := range c {
		typed[name] = typedCell(name, value)
	}
	return json.Marshal(typed)
}

func typedCell(name Column, value string) any {
	if name == ColNote {
		return value
	}
	if n, err := strconv.ParseInt(value, 10, 64); err == nil && strconv.FormatInt(n, 10) == value && isNumber(name) {
		return n
	}
	if name == ColChecksFence {
		return value == "true"
	}
	return value
}

func isNumber(name Column) bool {
	for _, columns := range schema {
		for _, c := range columns {
			if c.name == name && (c.kind == integerCell || c.kind == positiveCell) {
				return true
			}
		}
	}
	return false
}

// UnmarshalJSON implements json.Unmarshaler; it accepts text, numbers, booleans and lists of text.
func (c *Cells) UnmarshalJSON(data []byte) error {
	var raw map[Column]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return errors.Wrap(err, "cells")
	}
	*c = make(Cells, len(raw))
	for name, value := range raw {
		text, err := cellText(value)
		if err != nil {
			return errors.Wrapf(err, "cell %s", name)
		}
		(*c)[name] = text
	}
	return nil
}

func cellText(value json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(value, &list) == nil && list != nil {
		return strings.Join(list, ","), nil
	}
	switch s := string(value); {
	case s == "null":
		return "", nil
	case strings.HasPrefix(s, "{"), strings.HasPrefix(s, "["):
		return "", errors.Newf("%s: want text, a number, true or false", s)
	default:
		return s, nil
	}
}

// Row is one row of the table. It is immutable: changes return a new Row.
type Row struct {
	Kind    Kind    `json:"kind"`
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Cells   Cells   `json:"cells"`
	// Changed is the version at which each cell last changed.
	Changed map[Column]Version `json:"changed,omitempty"`
}

// ID returns the id of the row.
func (r Row) ID() ID { return ID{Kind: r.Kind, Name: r.Name} }

// WithCells returns the row's next version with some cells changed; "" unsets a cell.
func (r Row) WithCells(changes Cells) Row {
	next := Row{Kind: r.Kind, Name: r.Name, Version: r.Version + 1, Cells: Cells{}, Changed: map[Column]Version{}}
	for name, value := range r.Cells {
		next.Cells[name] = value
	}
	for name, v := range r.Changed {
		next.Changed[name] = v
	}
	for name, value := range changes {
		if next.Cells[name] == value {
			continue
		}
		next.Changed[name] = next.Version
		next.Cells[name] = value
		if value == "" {
			delete(next.Cells, name)
		}
	}
	return next
}

// Table is a set of rows. It is immutable: changes return a new Table.
type Table struct {
	rows map[ID]Row
}

// New returns a table of the rows.
func New(rows ...Row) Table {
	t := Table{rows: make(map[ID]Row, len(rows))}
	for _, r := range rows {
		t.rows[r.ID()] = r
	}
	return t
}

// Get returns a row by its id.
func (t Table) Get(id ID) (Row, bool) {
	r, ok := t.rows[id]
	return r, ok
}

// Rows lists the rows of a kind ("" for all) in order.
func (t Table) Rows(k Kind) []Row {
	rows := lo.Filter(lo.Values(t.rows), func(r Row, _ int) bool { return k == "" || r.Kind == k })
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID().String() < rows[j].ID().String() })
	return rows
}

// WithRow returns the table with a row added or replaced.
func (t Table) WithRow(r Row) Table {
	next := t.clone()
	next.rows[r.ID()] = r
	return next
}

// Without returns the table without a row.
func (t Table) Without(id ID) Table {
	next := t.clone()
	delete(next.rows, id)
	return next
}

func (t Table) clone() Table {
	next := Table{rows: make(map[ID]Row, len(t.rows)+1)}
	for id, r := range t.rows {
		next.rows[id] = r
	}
	return next
}
