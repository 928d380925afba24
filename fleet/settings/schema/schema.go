// Package schema validates settings, which are JSON with comments, against a list of fields. It
// reports every fault with its line, its column, the field and what was expected.
package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/tailscale/hujson"
)

// Fault is one error in the settings.
type Fault struct {
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Field    string `json:"field"`
	Expected string `json:"expected"`
}

// Error returns the fault in one line.
func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("line %d, column %d: expected %s", f.Line, f.Column, f.Expected)
	}
	return fmt.Sprintf("line %d, column %d, field %s: expected %s", f.Line, f.Column, f.Field, f.Expected)
}

// Faults holds all errors in the settings.
type Faults []Fault

// Error returns the faults, each on its own line.
func (fs Faults) Error() string {
	return strings.Join(lo.Map(fs, func(f Fault, _ int) string { return f.Error() }), "\n")
}

// Field is the rule for one value of the settings. Exactly one of Text, List, Number, Fields
// and Each is set.
type Field struct {
	Name     string
	Required bool
	Text     Rule
	List     Rule // for each text of a list
	Number   *Range
	Fields   []Field
	Each     Rule // for each text of an object with arbitrary keys
}

// Rule validates a text. It returns what was expected, or "" if the text is valid.
type Rule func(string) string

// Range is the range of valid numbers.
type Range struct {
	Min, Max float64
	Whole    bool // only whole numbers
}

// Whole returns a range of whole numbers.
func Whole(minValue, maxValue int64) *Range {
	return &Range{Min: float64(minValue), Max: float64(maxValue), Whole: true}
}

// Number returns a range of numbers.
func Number(minValue, maxValue float64) *Range { return &Range{Min: minValue, Max: maxValue} }

// Schema defines the fields of a settings file.
type Schema struct {
	Fields []Field
	Open   bool // unknown fields are ignored
}

type checker struct {
	text   []byte
	open   bool
	faults Faults
}

// Check validates the settings and returns them as standard JSON. The error is of type Faults if
// the text has any.
func (s Schema) Check(data []byte) ([]byte, error) {
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, Faults{syntaxFault(data, err)}
	}
	c := &checker{text: data, open: s.Open}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		c.add(value.StartOffset, "", "an object in braces")
		return nil, c.faults
	}
	c.object("", object, value.StartOffset, s.Fields)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	value.Standardize()
	return value.Pack(), nil
}

// syntaxFault converts an error of the parser; its line and column are parsed from its text.
func syntaxFault(data []byte, err error) Fault {
	f := Fault{Line: 1, Column: 1, Expected: "JSON with comments: " + errors.UnwrapAll(err).Error()}
	text := err.Error()
	if at := strings.Index(text, "line "); at >= 0 {
		_, _ = fmt.Sscanf(text[at:], "line %d, column %d", &f.Line, &f.Column)
	}
	return f
}

func (c *checker) add(offset int, name, expected string) {
	before := c.text[:min(offset, len(c.text))]
	line := 1 + bytes.Count(before, []byte{'\n'})
	column := offset - bytes.LastIndexByte(before, '\n')
	c.faults = append(c.faults, Fault{Line: line, Column: column, Field: name, Expected: expected})
}

func (c *checker) object(prefix string, o *hujson.Object, offset int, fields []Field) {
	seen := map[string]bool{}
	for _, m := range o.Members {
		c.member(prefix, m, fields, seen)
	}
	for _, f := range fields {
		if f.Required && !seen[f.Name] {
			c.add(offset, prefix+f.Name, "the field to be there")
		}
	}
}

// each checks every text of an object with arbitrary keys.
func (c *checker) each(name string, v hujson.Value, rule Rule) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		c.add(v.StartOffset, name, "an object in braces")
		return
	}
	for _, m := range o.Members {
		c.quoted(name+"."+m.Name.Value.(hujson.Literal).String(), m.Value, rule)
	}
}

func (c *checker) member(prefix string, m hujson.ObjectMember, fields []Field, seen map[string]bool) {
	name := m.Name.Value.(hujson.Literal).String()
	f, ok := lo.Find(fields, func(f Field) bool { return f.Name == name })
	if !ok && c.open {
		return
	}
	if !ok {
		names := lo.Map(fields, func(f Field, _ int) string { return f.Name })
		c.add(m.Name.StartOffset, prefix+name, "one of the fields "+strings.Join(names, ", "))
		return
	}
	if seen[name] {
		c.add(m.Name.StartOffset, prefix+name, "the field only once")
	}
	seen[name] = true
	c.value(prefix+name, m.Value, f)
}

func (c *checker) value(name string, v hujson.Value, f Field) {
	switch {
	case f.Fields != nil:
		if o, ok := v.Value.(*hujson.Object); ok {
			c.object(name+".", o, v.StartOffset, f.Fields)
			return
		}
		c.add(v.StartOffset, name, "an object in braces")
	case f.Number != nil:
		c.number(name, v, *f.Number)
	case f.Each != nil:
		c.each(name, v, f.Each)
	case f.List != nil:
		a, ok := v.Value.(*hujson.Array)
		if !ok {
			c.add(v.StartOffset, name, "a list in brackets")
			return
		}
		for i, e := range a.Elements {
			c.quoted(fmt.Sprintf("%s[%d]", name, i), e, f.List)
		}
	default:
		c.quoted(name, v, f.Text)
	}
}

func (c *checker) number(name string, v hujson.Value, r Range) {
	expected := fmt.Sprintf("a %snumber from %s to %s", lo.Ternary(r.Whole, "whole ", ""), formatNumber(r.Min), formatNumber(r.Max))
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		c.add(v.StartOffset, name, expected)
		return
	}
	n := literal.Float()
	if r.Whole && n != math.Trunc(n) || n < r.Min || n > r.Max {
		c.add(v.StartOffset, name, expected)
	}
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

func (c *checker) quoted(name string, v hujson.Value, rule Rule) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		c.add(v.StartOffset, name, "text in quotes")
		return
	}
	var text string
	if err := json.Unmarshal(literal, &text); err != nil {
		c.add(v.StartOffset, name, "text in quotes")
		return
	}
	if expected := rule(text); expected != "" {
		c.add(v.StartOffset, name, expected)
	}
}
