package table

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/samber/lo"
)

// Edit changes some cells of a row, creates it or deletes it.
type Edit struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the row version that the edit is based on; 0 creates the row.
	Version Version `json:"version"`
	Cells   Cells   `json:"cells,omitempty"`
	Delete  bool    `json:"delete,omitempty"`
}

// ID returns the id of the edited row.
func (e Edit) ID() ID { return ID{Kind: e.Kind, Name: e.Name} }

// Fault is a reason why an edit was refused: the row, the cell, its value and the rule.
type Fault struct {
	Row   ID     `json:"row"`
	Cell  Column `json:"cell,omitempty"`
	Value string `json:"value,omitempty"`
	Rule  string `json:"rule"`
	// Conflict marks a cell that another operator has changed; Current is its current value.
	Conflict bool   `json:"conflict,omitempty"`
	Current  string `json:"current,omitempty"`
}

// Error returns the row, the cell, its value and the rule in one line.
func (f Fault) Error() string {
	text := f.Row.String()
	if f.Cell != "" {
		text += fmt.Sprintf(", cell %s, value %q", f.Cell, f.Value)
	}
	text += ": " + f.Rule
	if f.Conflict && f.Cell != "" {
		text += fmt.Sprintf(" (now %q)", f.Current)
	}
	return text
}

// Faults holds all reasons why a set of edits was refused.
type Faults []Fault

// Error returns the faults in one line.
func (fs Faults) Error() string {
	return strings.Join(lo.Map(fs, func(f Fault, _ int) string { return f.Error() }), "; ")
}

// Conflict reports whether any fault is a conflict with another operator.
func (fs Faults) Conflict() bool {
	return lo.SomeBy(fs, func(f Fault) bool { return f.Conflict })
}

// Apply applies all the edits or, if there is any fault, none, and returns the faults.
func (t Table) Apply(edits []Edit) (Table, Faults) {
	var faults Faults
	next := t.clone()
	seen := map[ID]bool{}
	for _, e := range edits {
		if seen[e.ID()] {
			faults = append(faults, Fault{Row: e.ID(), Rule: "the row stands twice among the edits"})
			continue
		}
		seen[e.ID()] = true
		faults = append(faults, next.applyOne(e)...)
	}
	if len(faults) > 0 {
		return t, faults
	}
	if faults = next.checkReferences(); len(faults) > 0 {
		return t, faults
	}
	return next, nil
}

// applyOne applies one edit to the table in place.
func (t Table) applyOne(e Edit) Faults {
	if faults := e.check(); len(faults) > 0 {
		return faults
	}
	old, exists := t.rows[e.ID()]
	if faults := conflicts(old, exists, e); len(faults) > 0 {
		return faults
	}
	if e.Delete {
		delete(t.rows, e.ID())
		return nil
	}
	if !exists {
		old = Row{Kind: e.Kind, Name: e.Name, Cells: Cells{}}
	}
	if faults := fixedCells(old, e); len(faults) > 0 {
		return faults
	}
	next := old.WithCells(e.Cells)
	if faults := missingCells(next); len(faults) > 0 {
		return faults
	}
	t.rows[next.ID()] = next
	return nil
}

// conflicts returns a fault for each edited cell that was changed to another value after the
// version that the edit is based on.
func conflicts(old Row, exists bool, e Edit) Faults {
	switch {
	case !exists && e.Version == 0 && !e.Delete:
		return nil
	case !exists:
		return Faults{{Row: e.ID(), Rule: "the row does not exist", Conflict: true}}
	case e.Version > old.Version:
		return Faults{{Row: e.ID(), Rule: fmt.Sprintf("version %d was never made; the row is at %d", e.Version, old.Version), Conflict: true}}
	case e.Delete && e.Version != old.Version:
		return Faults{{Row: e.ID(), Rule: fmt.Sprintf("the row has changed since version %d and is at %d", e.Version, old.Version), Conflict: true}}
	}
	var faults Faults
	for _, name := range e.Cells.Columns() {
		value := e.Cells[name]
		if old.Changed[name] > e.Version && old.Cells[name] != value {
			faults = append(faults, Fault{
				Row: e.ID(), Cell: name, Value: value, Conflict: true, Current: old.Cells[name],
				Rule: fmt.Sprintf("the cell was changed at version %d, after version %d that this edit was made from", old.Changed[name], e.Version),
			})
		}
	}
	return faults
}

// check validates an edit by itself, without the table.
func (e Edit) check() Faults {
	if _, ok := schema[e.Kind]; !ok {
		return Faults{{Row: e.ID(), Rule: fmt.Sprintf("the kind is one of %v", Kinds())}}
	}
	if rule := checkName(e.Name); rule != "" {
		return Faults{{Row: e.ID(), Rule: rule}}
	}
	var faults Faults
	for _, name := range e.Cells.Columns() {
		if rule := checkCell(e.Kind, name, e.Cells[name]); rule != "" {
			faults = append(faults, Fault{Row: e.ID(), Cell: name, Value: e.Cells[name], Rule: rule})
		}
	}
	return faults
}

func checkCell(k Kind, name Column, value string) string {
	c, ok := columnOf(k, name)
	if !ok {
		known := lo.Map(schema[k], func(c column, _ int) string { return string(c.name) })
		return "no such column; a " + string(k) + " has " + strings.Join(known, ", ")
	}
	if !utf8.ValidString(value) {
		return "text in UTF-8"
	}
	if value == "" {
		return ""
	}
	return c.check(value)
}

const maxName = 128

func checkName(name string) string {
	if name == "" || len(name) > maxName {
		return fmt.Sprintf("a name has 1 to %d characters", maxName)
	}
	for _, r := range name {
		plain := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.:", r)
		if !plain {
			return fmt.Sprintf("a name has letters, digits and -_.: only, not %q", r)
		}
	}
	return ""
}

// fixedCells returns a fault for each set cell that the edit changes although it is fixed.
func fixedCells(old Row, e Edit) Faults {
	var faults Faults
	for _, c := range schema[e.Kind] {
		value, edited := e.Cells[c.name]
		if c.fixed && edited && old.Cells[c.name] != "" && old.Cells[c.name] != value {
			faults = append(faults, Fault{Row: e.ID(), Cell: c.name, Value: value, Rule: "the cell can't change once it is set; it is " + old.Cells[c.name]})
		}
	}
	return faults
}

// missingCells returns a fault for each required cell that is not set.
func missingCells(r Row) Faults {
	missing := lo.Filter(schema[r.Kind], func(c column, _ int) bool { return c.required && r.Cells[c.name] == "" })
	return lo.Map(missing, func(c column, _ int) Fault {
		return Fault{Row: r.ID(), Cell: c.name, Rule: "the cell must be set"}
	})
}

// checkReferences checks that every row named in a cell exists.
func (t Table) checkReferences() Faults {
	var faults Faults
	for _, r := range t.Rows("") {
		for _, c := range schema[r.Kind] {
			faults = append(faults, t.checkReference(r, c)...)
		}
	}
	return faults
}

func (t Table) checkReference(r Row, c column) Faults {
	value := r.Cells[c.name]
	if c.references == "" || value == "" {
		return nil
	}
	var faults Faults
	for _, name := range c.names(value) {
		if _, ok := t.rows[ID{Kind: c.references, Name: name}]; !ok {
			faults = append(faults, Fault{Row: r.ID(), Cell: c.name, Value: value, Rule: fmt.Sprintf("there is no %s %q", c.references, name)})
		}
	}
	return faults
}
